package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

const (
	processNodes = 3
	workerPort   = 19000
	playedFor    = 60 * time.Second
)

// cluster is some controllers that run as processes on the loopback network, with the
// simulated services that they need.
type cluster struct {
	b       testing.TB
	d       *simulator.Deployment
	server  *simulator.Server
	nodes   []string // addresses for users and workers
	client  *http.Client
	mu      sync.Mutex // guards rnd
	rnd     *rand.Rand
	stop    chan struct{}
	running sync.WaitGroup
}

func serve(b testing.TB, addr string, h http.Handler) string {
	b.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends with Close
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// freeAddr returns an address that nobody listens on.
func freeAddr(b testing.TB) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newCluster(b testing.TB, d *simulator.Deployment) *cluster {
	b.Helper()
	return &cluster{
		b:      b,
		d:      d,
		server: simulator.NewServer(d.World(time.Now())),
		rnd:    rand.New(rand.NewPCG(1, 1)),
		stop:   make(chan struct{}),
		client: &http.Client{
			Timeout:   5 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 3000, MaxIdleConns: 0, IdleConnTimeout: time.Minute},
		},
	}
}

// settings writes the settings file of each controller.
func (c *cluster) settings(dir string) []string {
	state := serve(c.b, "127.0.0.1:0", c.server.State())
	cloud := serve(c.b, "127.0.0.1:0", c.server.Cloud(workerPort))
	serve(c.b, fmt.Sprintf("0.0.0.0:%d", workerPort), c.server.Workers())
	var peers, files []string
	for range processNodes {
		c.nodes = append(c.nodes, freeAddr(c.b))
		peers = append(peers, freeAddr(c.b))
	}
	zones := []string{"x", "y", "z"}
	for i := range processNodes {
		var s strings.Builder
		fmt.Fprintf(&s, "host_name = \"n%d\"\nsite = %q\nserve_on = %q\ncluster_listen = %q\n", i, zones[i], c.nodes[i], peers[i])
		for k := range processNodes {
			if k != i {
				fmt.Fprintf(&s, "[[members]]\nhost_name = \"n%d\"\nsite = %q\naddr = %q\n", k, zones[k], peers[k])
			}
		}
		fmt.Fprintf(&s, "[external]\ncloud = %q\nstate = %q\n", cloud, state)
		fmt.Fprintf(&s, "[facts]\nsize = %d\nzones = [\"x\", \"y\", \"z\"]\ntime_bound_ms = 25.0\n", processNodes)
		for _, team := range []string{"a", "b"} {
			fmt.Fprintf(&s, "[[facts.teams]]\nname = %q\ngpus = %g\ngpus_max = %g\n", team, c.d.TeamGPUs/2, c.d.TeamGPUs)
		}
		fmt.Fprintf(&s, "[[facts.objectives]]\nkind = \"wait\"\nclass = \"service\"\nwithin_s = 12.0\nshare = 0.9\n")
		fmt.Fprintf(
			&s,
			"[facts.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\ngang_wait_s = 50.0\ngang_peer_s = 5.0\n",
			c.d.HeartbeatS, c.d.LeaseS, c.d.CancelS,
		)
		fmt.Fprintf(
			&s, "[facts.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", c.d.State.RPS,
			c.d.State.WriteRPS, c.d.State.ValueKB, c.d.State.TxnOps,
		)
		fmt.Fprintf(
			&s,
			"[facts.cloud]\nrps = 6.0\nlist_lag_s = 5.0\n[facts.machine_limits]\ncores = 0.09\nmemory_mb = 212.0\nmax_sockets = 3000\n",
		)
		file := filepath.Join(dir, fmt.Sprintf("n%d.toml", i))
		if err := os.WriteFile(file, []byte(s.String()), 0o600); err != nil {
			c.b.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// every runs f at intervals until the cluster stops.
func (c *cluster) every(d time.Duration, f func()) {
	c.running.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(d):
				f()
			}
		}
	})
}

func (c *cluster) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// send sends a request to a controller; status 0 stands for no answer.
func (c *cluster) send(node int, method, path string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequest(method, "http://"+c.nodes[node]+path, bytes.NewReader(body))
	if err != nil {
		c.b.Error(err)
		return 0, nil
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// user submits a job and asks for it until it is done.
func (c *cluster) user(class *simulator.Class, n int) {
	c.mu.Lock()
	run, runTime := class.NewJob(n, c.rnd)
	c.mu.Unlock()
	c.server.With(func(w *simulator.World) {
		w.Jobs[run.UID] = &simulator.Job{Spec: run, RunTime: runTime, Done: map[int]bool{}}
	})
	body := simulator.Submission(&run)
	accepted := false
	c.every(time.Second, func() {
		if !accepted {
			status, _ := c.send(c.random(processNodes), "POST", "/v2/runs", body)
			accepted = status == 200 || status == 201
			return
		}
		time.Sleep(4 * time.Second)
		c.send(c.random(processNodes), "GET", "/v2/runs/"+run.UID, nil)
	})
}

// BenchmarkProcesses runs three controllers as processes of their own under the load of a
// deployment for a minute, and has them write profiles into the folder that
// PROFILE_DIR names (n0, n1, n2).
func BenchmarkProcesses(b *testing.B) {
	base := os.Getenv("PROFILE_DIR")
	if base == "" {
		b.Skip("PROFILE_DIR is not set")
	}
	program := filepath.Join(b.TempDir(), "violetturn")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for _, d := range []*simulator.Deployment{simulator.Small(), simulator.Large()} {
		b.Run(d.Name, func(b *testing.B) {
			for range b.N {
				d.Boot = 10 * time.Second // the fill is not what is looked at here
				newCluster(b, d).run(program, filepath.Join(base, d.Name))
			}
		})
	}
}

func (c *cluster) run(program, base string) {
	var processes []*exec.Cmd
	for i, file := range c.settings(c.b.TempDir()) {
		dir := filepath.Join(base, fmt.Sprintf("n%d", i))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			c.b.Fatal(err)
		}
		p := exec.Command(program, "--config", file, "--profile", dir)
		if err := p.Start(); err != nil {
			c.b.Fatal(err)
		}
		processes = append(processes, p)
	}
	c.every(100*time.Millisecond, c.server.Tick)
	c.workers()
	jobs := 0
	for _, class := range []*simulator.Class{&c.d.Services, &c.d.Arrays} {
		for range class.Initial {
			c.user(class, jobs)
			jobs++
		}
	}
	for end := time.Now().Add(playedFor); time.Now().Before(end); time.Sleep(time.Second) {
		for _, class := range []*simulator.Class{&c.d.Services, &c.d.Arrays} {
			if c.random(1000) < int(class.PerSecond*1000) {
				c.user(class, jobs)
				jobs++
			}
		}
	}
	for _, p := range processes {
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			c.b.Error(err)
		}
		if err := p.Wait(); err != nil {
			c.b.Error(err)
		}
		c.b.Logf(
			"%v of processor time, %v of it in the kernel",
			p.ProcessState.UserTime()+p.ProcessState.SystemTime(), p.ProcessState.SystemTime(),
		)
	}
	close(c.stop)
	c.running.Wait()
	c.server.With(func(w *simulator.World) {
		c.b.Logf("%d machines, %d jobs, broken: %v", len(w.Cloud.Hosts), jobs, w.Violations)
	})
}

// reporting is how a worker reports.
type reporting struct {
	next    time.Time
	said    string
	sending bool
}

// workers has the machines' workers report.
func (c *cluster) workers() {
	known := map[string]*reporting{}
	var mu sync.Mutex // guards known and what is in it
	c.every(100*time.Millisecond, func() {
		c.server.With(func(w *simulator.World) {
			mu.Lock()
			defer mu.Unlock()
			for _, host := range w.Cloud.Names() {
				x := w.Cloud.Hosts[host]
				r := known[host]
				if r == nil {
					r = &reporting{}
					known[host] = r
				}
				state := ""
				if x.Up() && !x.Partitioned && !r.sending {
					state = x.Summary()
				}
				interval := time.Duration(c.d.HeartbeatS * float64(time.Second))
				soonest := r.next.Add(500*time.Millisecond - interval)
				if state == "" || w.Now.Before(r.next) && (state == r.said || w.Now.Before(soonest)) {
					continue
				}
				r.said, r.sending = state, true
				r.next = w.Now.Add(time.Duration((0.75 + 0.5*float64(c.random(1000))/1000) * c.d.HeartbeatS * float64(time.Second)))
				report, sent, session, node := api.JSON(x.Heartbeat()), w.Now, x.AgentEpoch, x.Node
				c.running.Go(func() {
					c.report(host, node, report, sent, session)
					mu.Lock()
					r.sending = false
					mu.Unlock()
				})
			}
		})
	})
}

// report sends a worker's heartbeat and has it take in the answer.
func (c *cluster) report(host string, node int, report []byte, sent time.Time, session uint64) {
	status, body := c.send(node, "POST", "/checkin", report)
	c.server.With(func(w *simulator.World) {
		x := w.Cloud.Hosts[host]
		if x == nil || x.Partitioned { // the answer is lost
			return
		}
		o, leader, err := simulator.ParseHeartbeatResponse(body)
		switch {
		case status == 200 && err != nil:
			c.b.Error(err)
		case status == 200:
			x.HandleResponse(o, sent, session)
		case status == 421 && leader != "":
			if _, err := fmt.Sscanf(leader, "n%d", &x.Node); err != nil {
				c.b.Error(err)
			}
		default:
			x.Node = (node + 1) % processNodes
		}
	})
}
