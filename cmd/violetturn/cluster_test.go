package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"violetturn/internal/simulator"
)

const (
	processNodes = 3     // controllers of a cluster
	workerPort   = 19000 // of all simulated workers
)

// cluster is some controllers that run as processes on the loopback network, with the
// simulated services that they need.
type cluster struct {
	b          testing.TB
	deployment *simulator.Deployment
	server     *simulator.Server
	nodes      []string // addresses of the controllers for users and workers
	client     *http.Client

	mu     sync.Mutex // guards random
	random *rand.Rand

	stop    chan struct{}  // closed to end the goroutines of every
	running sync.WaitGroup // those goroutines, and heartbeats under way
}

// serve serves HTTP until the end of the test and returns the address.
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

// newCluster returns a cluster whose controllers have not been started.
func newCluster(b testing.TB, d *simulator.Deployment) *cluster {
	b.Helper()
	return &cluster{
		b:          b,
		deployment: d,
		server:     simulator.NewServer(d.NewEnvironment(time.Now())),
		random:     rand.New(rand.NewPCG(1, 1)),
		stop:       make(chan struct{}),
		client: &http.Client{
			Timeout:   5 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 3000, MaxIdleConns: 0, IdleConnTimeout: time.Minute},
		},
	}
}

// writeSettings starts the simulated services, writes the settings file of each controller into a
// folder and returns the files.
func (c *cluster) writeSettings(dir string) []string {
	state := serve(c.b, "127.0.0.1:0", c.server.StateHandler())
	cloud := serve(c.b, "127.0.0.1:0", c.server.CloudHandler(workerPort))
	serve(c.b, fmt.Sprintf("0.0.0.0:%d", workerPort), c.server.WorkerHandler())
	var peers, files []string
	for range processNodes {
		c.nodes = append(c.nodes, freeAddr(c.b))
		peers = append(peers, freeAddr(c.b))
	}
	for i := range processNodes {
		text := c.memberSettings(i, peers) + fmt.Sprintf("[external]\ncloud = %q\nstate = %q\n", cloud, state) + c.factsSettings()
		file := filepath.Join(dir, fmt.Sprintf("n%d.toml", i))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			c.b.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// memberSettings returns what the settings of controller i say of the controllers.
func (c *cluster) memberSettings(i int, peers []string) string {
	zones := []string{"x", "y", "z"}
	var s strings.Builder
	fmt.Fprintf(&s, "host_name = \"n%d\"\nsite = %q\nserve_on = %q\ncluster_listen = %q\n", i, zones[i], c.nodes[i], peers[i])
	for k := range processNodes {
		if k != i {
			fmt.Fprintf(&s, "[[members]]\nhost_name = \"n%d\"\nsite = %q\naddr = %q\n", k, zones[k], peers[k])
		}
	}
	return s.String()
}

// factsSettings returns what the settings say of the deployment.
func (c *cluster) factsSettings() string {
	d := c.deployment
	var s strings.Builder
	fmt.Fprintf(&s, "[facts]\nsize = %d\nzones = [\"x\", \"y\", \"z\"]\ntime_bound_ms = 25.0\n", processNodes)
	for _, team := range []string{"a", "b"} {
		fmt.Fprintf(&s, "[[facts.teams]]\nname = %q\ngpus = %g\ngpus_max = %g\n", team, d.TeamGPULimit/2, d.TeamGPULimit)
	}
	fmt.Fprintf(&s, `[[facts.objectives]]
kind = "wait"
class = "service"
within_s = 12.0
share = 0.9
[facts.workers]
report_s = %g
lease_s = %g
cancel_s = %g
gang_wait_s = 50.0
gang_peer_s = 5.0
[facts.state]
rps = %g
write_rps = %g
value_kb = %g
txn_ops = %d
[facts.cloud]
rps = 6.0
list_lag_s = 5.0
[facts.machine_limits]
cores = 0.09
memory_mb = 212.0
max_sockets = 3000
`, d.HeartbeatS, d.LeaseS, d.CancelS, d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps)
	return s.String()
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

// randomBelow returns a random number from 0 to n-1.
func (c *cluster) randomBelow(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
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

// playUser submits a job and asks for it until the cluster stops.
func (c *cluster) playUser(class *simulator.JobClass, n int) {
	c.mu.Lock()
	job, runTime := class.NewJob(n, c.random)
	c.mu.Unlock()
	c.server.WithLock(func(w *simulator.Environment) {
		w.Jobs[job.UID] = &simulator.Job{Spec: job, RunTime: runTime, DoneTasks: map[int]bool{}}
	})
	body := simulator.Submission(&job)
	accepted := false
	c.every(time.Second, func() {
		if !accepted {
			status, _ := c.send(c.randomBelow(processNodes), "POST", "/v2/runs", body)
			accepted = status == 200 || status == 201
			return
		}
		time.Sleep(4 * time.Second)
		c.send(c.randomBelow(processNodes), "GET", "/v2/runs/"+job.UID, nil)
	})
}
