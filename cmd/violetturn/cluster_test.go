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
	controllerCount = 3     // number of controllers in a cluster
	workerPort      = 19000 // port of all simulated workers
)

// cluster runs controllers as processes on the loopback network, together with the simulated
// services that they need.
type cluster struct {
	tb              testing.TB
	deployment      *simulator.Deployment
	server          *simulator.Server
	controllerAddrs []string // addresses of the controllers for users and workers
	client          *http.Client

	mu     sync.Mutex // guards random
	random *rand.Rand

	stop    chan struct{}  // closed to stop the goroutines of runPeriodically
	running sync.WaitGroup // those goroutines, and heartbeats in flight
}

// startServer serves HTTP until the end of the test and returns its address.
func startServer(tb testing.TB, addr string, h http.Handler) string {
	tb.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // returns after Close
	tb.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// freeAddr returns a loopback address with a free port.
func freeAddr(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newCluster returns a cluster without starting its controllers.
func newCluster(tb testing.TB, d *simulator.Deployment) *cluster {
	tb.Helper()
	return &cluster{
		tb:         tb,
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
// folder and returns the paths of the files.
func (c *cluster) writeSettings(dir string) []string {
	state := startServer(c.tb, "127.0.0.1:0", c.server.StateHandler())
	cloud := startServer(c.tb, "127.0.0.1:0", c.server.CloudHandler(workerPort))
	startServer(c.tb, fmt.Sprintf("0.0.0.0:%d", workerPort), c.server.WorkerHandler())
	var peers, files []string
	for range controllerCount {
		c.controllerAddrs = append(c.controllerAddrs, freeAddr(c.tb))
		peers = append(peers, freeAddr(c.tb))
	}
	for i := range controllerCount {
		text := c.memberSettings(i, peers) + fmt.Sprintf("[external]\ncloud = %q\nstate = %q\n", cloud, state) + c.factsSettings()
		file := filepath.Join(dir, fmt.Sprintf("n%d.toml", i))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			c.tb.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// memberSettings returns the part of controller i's settings that names the controller itself and its
// peers.
func (c *cluster) memberSettings(i int, peers []string) string {
	zones := []string{"x", "y", "z"}
	var s strings.Builder
	fmt.Fprintf(&s, "host_name = \"n%d\"\nsite = %q\nserve_on = %q\ncluster_listen = %q\n", i, zones[i], c.controllerAddrs[i], peers[i])
	for k := range controllerCount {
		if k != i {
			fmt.Fprintf(&s, "[[members]]\nhost_name = \"n%d\"\nsite = %q\naddr = %q\n", k, zones[k], peers[k])
		}
	}
	return s.String()
}

// factsSettings returns the part of the settings that describes the deployment.
func (c *cluster) factsSettings() string {
	d := c.deployment
	var s strings.Builder
	fmt.Fprintf(&s, "[facts]\nsize = %d\nzones = [\"x\", \"y\", \"z\"]\ntime_bound_ms = 25.0\n", controllerCount)
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
`, d.HeartbeatIntervalS, d.LeaseS, d.CancelTimeoutS, d.StateLimits.RPS, d.StateLimits.WriteRPS, d.StateLimits.ValueKB, d.StateLimits.TxnOps)
	return s.String()
}

// runPeriodically calls f in a goroutine at the given interval until the cluster stops.
func (c *cluster) runPeriodically(interval time.Duration, f func()) {
	c.running.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(interval):
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

// sendRequest sends a request to a controller. Status 0 means that there was no response.
func (c *cluster) sendRequest(node int, method, path string, body []byte) (status int, responseBody []byte) {
	req, err := http.NewRequest(method, "http://"+c.controllerAddrs[node]+path, bytes.NewReader(body))
	if err != nil {
		c.tb.Error(err)
		return 0, nil
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, responseBody
}

// simulateUser submits a job until it is accepted, and then queries it until the cluster stops.
func (c *cluster) simulateUser(class *simulator.JobClass, n int) {
	c.mu.Lock()
	job, runTime := class.NewJob(n, c.random)
	c.mu.Unlock()
	c.server.WithLock(func(env *simulator.Environment) {
		env.Jobs[job.UID] = &simulator.Job{Spec: job, RunTime: runTime, DoneTasks: map[int]bool{}}
	})
	body := simulator.Submission(&job)
	accepted := false
	c.runPeriodically(time.Second, func() {
		if !accepted {
			status, _ := c.sendRequest(c.randomBelow(controllerCount), "POST", "/v2/runs", body)
			accepted = status == 200 || status == 201
			return
		}
		time.Sleep(4 * time.Second)
		c.sendRequest(c.randomBelow(controllerCount), "GET", "/v2/runs/"+job.UID, nil)
	})
}
