package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is the settings of a case.
type deployment struct {
	nodeZones                []string // zone of each controller
	zones                    []string
	teams                    string // TOML
	reportS, leaseS, cancelS float64
	state                    stateLimits
	cloudRPS, listLagS       float64
	cores, memoryMB          float64
	sockets                  int
	machine                  machineType
}

// qurum returns the settings of the small deployment qurum-claims, with machines that are up soon.
func qurum() deployment {
	return deployment{
		nodeZones: []string{"muscat-a", "sohar-b", "muscat-a"},
		zones:     []string{"muscat-a", "sohar-b"},
		teams:     teamTable("claims-core", 0) + teamTable("risk-desk", 0) + teamTable("payouts", 0),
		reportS:   1.5, leaseS: 10, cancelS: 40,
		state:    stateLimits{rps: 120, writeRPS: 25, valueKB: 4, txnOps: 8},
		cloudRPS: 8, listLagS: 3, cores: 0.144, memoryMB: 98, sockets: 900,
		machine: machineType{
			label: "falaj-gpu12", cpus: 12, gpus: 2, memGB: 96, price: 5.97, spotPrice: 2.15, startupS: 40, boots: time.Second,
		},
	}
}

// teamTable returns the settings of a team with a limit of GPUs; 0: none.
func teamTable(name string, maxGPUs float64) string {
	return fmt.Sprintf("[[facts.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = %.1f\n", name, maxGPUs)
}

// controller is one controller and its process.
type controller struct {
	name, zone, serveOn, cluster, settings string

	state   *proxy            // its way to the state service
	toPeers map[string]*proxy // its ways to the other controllers, by name
	cloud   string            // the cloud's address for it

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	killed  bool // the case ended the process
	failed  bool // a process ended by itself
}

// world is a running deployment.
type world struct {
	deployment
	record       *recorder
	dir          string
	stateService *stateService
	cloud        *cloudService
	jobs         *jobTable
	controllers  []*controller
	userClient   *http.Client
	workerClient *http.Client
	workerLease  time.Duration
	reportEvery  time.Duration
	logs         *os.File
}

// newWorld starts the stand-ins and writes the settings files, without starting a controller.
func newWorld(d deployment, dir string, record *recorder) (*world, error) {
	w := &world{
		deployment: d, record: record, dir: dir,
		stateService: newStateService(d.state, record),
		cloud:        newCloudService(d.machine, d.zones, time.Duration(d.listLagS*float64(time.Second)), record),
		jobs:         newJobTable(record),
		userClient:   &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
		workerClient: &http.Client{Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
		workerLease:  time.Duration(d.leaseS * float64(time.Second)),
		reportEvery:  time.Duration(d.reportS * float64(time.Second)),
	}
	w.cloud.boot = w.startWorker
	var err error
	if w.logs, err = os.Create(filepath.Join(dir, "controllers.log")); err != nil {
		return nil, err
	}
	for i, zone := range d.nodeZones {
		c := &controller{name: fmt.Sprintf("kotva-%d", i), zone: zone, toPeers: map[string]*proxy{}}
		for _, addr := range []*string{&c.serveOn, &c.cluster} {
			if *addr, err = freeAddr(); err != nil {
				return nil, err
			}
		}
		w.controllers = append(w.controllers, c)
	}
	for _, c := range w.controllers {
		if err := w.connect(c); err != nil {
			return nil, err
		}
		c.settings = filepath.Join(dir, c.name+".toml")
		if err := os.WriteFile(c.settings, []byte(w.settingsOf(c)), 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// connect gives a controller addresses of its own for the state service, the cloud and its peers.
func (w *world) connect(c *controller) error {
	stateAddr, err := serve(w.stateService.handlerFor(c.name))
	if err != nil {
		return err
	}
	if c.state, err = newProxy(stateAddr); err != nil {
		return err
	}
	if c.cloud, err = serve(w.cloud.handlerFor(c.name)); err != nil {
		return err
	}
	for _, other := range w.controllers {
		if other == c {
			continue
		}
		if c.toPeers[other.name], err = newProxy(other.cluster); err != nil {
			return err
		}
	}
	return nil
}

// cutFromStateAndPeers begins or ends a cut of a controller from the state service and the other
// controllers. Users, workers and the cloud are not cut off.
func (w *world) cutFromStateAndPeers(c *controller, cut bool) {
	c.state.setCut(cut)
	for _, other := range w.controllers {
		if other != c {
			c.toPeers[other.name].setCut(cut)
			other.toPeers[c.name].setCut(cut)
		}
	}
}

// serve serves HTTP on a free loopback address until the process ends.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// Ports of the controllers. They are below those that the system gives to other listeners, so that
// nobody takes the port of a controller that is down.
const firstPort, lastPort = 20000, 32000

// freeAddr returns a loopback address with a free port for a controller.
func freeAddr() (string, error) {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return "", err
		}
	}
}

// settingsOf returns the settings file of a controller.
func (w *world) settingsOf(c *controller) string {
	var s strings.Builder
	fmt.Fprintf(&s, "host_name = %q\nsite = %q\nserve_on = %q\ncluster_listen = %q\n", c.name, c.zone, c.serveOn, c.cluster)
	for _, other := range w.controllers {
		if other != c {
			fmt.Fprintf(&s, "[[members]]\nhost_name = %q\nsite = %q\naddr = %q\n", other.name, other.zone, c.toPeers[other.name].addr)
		}
	}
	fmt.Fprintf(&s, "[external]\ncloud = %q\nstate = %q\n", c.cloud, c.state.addr)
	fmt.Fprintf(&s, "[facts]\nsize = %d\nzones = [%q, %q]\ntime_bound_ms = 100.0\n", len(w.controllers), w.zones[0], w.zones[1])
	s.WriteString(w.teams)
	fmt.Fprintf(&s, "[facts.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = %g\n",
		w.reportS, w.leaseS, w.cancelS)
	fmt.Fprintf(&s, "[facts.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n",
		w.state.rps, w.state.writeRPS, w.state.valueKB, w.state.txnOps)
	fmt.Fprintf(&s, "[facts.cloud]\nrps = %g\nlist_lag_s = %g\n", w.cloudRPS, w.listLagS)
	fmt.Fprintf(&s, "[facts.machine_limits]\ncores = %g\nmemory_mb = %g\nmax_sockets = %d\n", w.cores, w.memoryMB, w.sockets)
	return s.String()
}

// start starts the process of a controller with the command of the deploy file.
func (w *world) start(c *controller) error {
	p := exec.Command("target/violetturn", "--config", c.settings)
	p.Stderr = w.logs
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	c.process, c.exited, c.killed = p, exited, false
	c.mu.Unlock()
	w.record.note("controller: %s started", c.name)
	go func() {
		_ = p.Wait()
		w.record.note("controller: %s ended", c.name)
		c.mu.Lock()
		c.failed = c.failed || !c.killed
		c.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to a controller's process.
func (w *world) signal(c *controller, sig syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		w.record.note("controller: %s gets %v", c.name, sig)
		c.killed = c.killed || sig == syscall.SIGKILL
		_ = c.process.Process.Signal(sig)
	}
}

// allServed reports whether no controller's process ended by itself, for instance because its port was
// in use.
func (w *world) allServed() bool {
	return !slices.ContainsFunc(w.controllers, func(c *controller) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.failed
	})
}

// end kills the processes of all controllers and waits for their end.
func (w *world) end() {
	for _, c := range w.controllers {
		w.signal(c, syscall.SIGKILL)
		c.mu.Lock()
		exited := c.exited
		c.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
}

// indexOf returns the index of a controller; -1 if there is none of the name.
func (w *world) indexOf(name string) int {
	for i, c := range w.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

// answer is a controller's answer to a user; status 0: none.
type answer struct {
	status  int
	UID     string `json:"uid"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ask sends a user's request to a controller.
func (w *world) ask(node int, method, path string, body any, timeout time.Duration) answer {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body) // a job can always be encoded
	}
	client := *w.userClient
	client.Timeout = timeout
	request, err := http.NewRequest(method, "http://"+w.controllers[node].serveOn+path, bytes.NewReader(raw))
	if err != nil {
		return answer{}
	}
	response, err := client.Do(request)
	var a answer
	if err == nil {
		a.status = response.StatusCode
		raw, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			a.status = 0
		}
		_ = json.Unmarshal(raw, &a) // an answer without a job leaves the fields empty
	}
	w.record.note("user: %s %s at %s: %d %s done %d running %d",
		method, path, w.controllers[node].name, a.status, a.Phase, a.Done, a.Running)
	return a
}

// submit submits a job at one controller after the other until it is accepted, as a user does, and
// reports whether it was.
func (w *world) submit(j *job, node int) bool {
	w.jobs.add(j)
	for begun := time.Now(); time.Since(begun) < 60*time.Second; time.Sleep(time.Second) {
		a := w.ask(node, http.MethodPost, "/v2/runs", j, 5*time.Second)
		if a.status == 200 || a.status == 201 {
			return true
		}
		if a.status == 400 || a.status == 422 {
			return false
		}
		node = (node + 1) % len(w.controllers)
	}
	return false
}

// poll asks for the state of a job.
func (w *world) poll(node int, uid string) answer {
	return w.ask(node, http.MethodGet, "/v2/runs/"+uid, nil, 2*time.Second)
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
