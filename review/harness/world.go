package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the deployment, those of the small one of the brief unless a comment says otherwise.
const (
	nodeCount      = 3
	reportInterval = 1500 * time.Millisecond
	reportTimeout  = 4 * time.Second
	workerLease    = 10 * time.Second
	cancelTime     = 40 * time.Second
	listLag        = 3 * time.Second
	stateRPS       = 120
	stateWriteRPS  = 25
	stateValueKB   = 4
	stateTxnOps    = 8
	stateLatency   = 2 * time.Millisecond
	cloudRPS       = 8
	restartDelay   = 8 * time.Second
)

// zones are the zones, and nodeZones those of the nodes.
var (
	zones     = []string{"muscat-a", "sohar-b"}
	nodeZones = []string{"muscat-a", "sohar-b", "muscat-a"}
)

// machineBuild returns the only machine type. It boots faster than that of the brief, which keeps a
// case short.
func machineBuild() build {
	return build{
		Label: "falaj-gpu12", CPUs: 12, GPUs: 2, MemGB: 96, LocalGB: 90, PullGBPerS: 0.5,
		Price: 5.97, MarketPrice: 2.15, StartupS: 2, Sites: zones,
	}
}

// world is the deployment with all its stand-ins.
type world struct {
	record  *record
	trouble bool
	dir     string // temporary folder of the settings and logs
	state   *stateService
	cloud   *cloudService
	nodes   []*node
	cloudAt string
	stateAt string
	rooms   map[string]int // machines that the cloud has, by zone
	next    atomic.Int64

	mu         sync.Mutex
	jobs       map[string]*job
	violations []string
	longest    int // longest line in a response to a worker
}

// newWorld starts the stand-ins and the controllers.
func newWorld(r *record, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "violetturn-review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, trouble: trouble, dir: dir, state: newStateService(), jobs: map[string]*job{}, rooms: map[string]int{}}
	w.cloud = newCloudService(w)
	if w.cloudAt, err = serve(w.cloud.handler()); err != nil {
		return nil, err
	}
	if w.stateAt, err = serve(w.state.handler()); err != nil {
		return nil, err
	}
	for i := range nodeCount {
		n, err := newNode(w, i)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.state.tick()
		}
	}()
	for _, n := range w.nodes {
		if err := n.writeSettings(); err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			w.stop()
			return nil, err
		}
	}
	return w, nil
}

// stop ends the controllers and removes the temporary folder.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// listenLoopback listens on a free loopback port.
func listenLoopback() (addr string, l net.Listener, err error) {
	l, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	return l.Addr().String(), l, nil
}

// reservePort returns a loopback address whose port is free. The port is below those that the system
// gives to outgoing connections, so that it stays free until a controller listens on it.
func reservePort() (string, error) {
	const lowest, count, tries = 15_000, 15_000, 100
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(count)))
		if err != nil {
			continue
		}
		addr := l.Addr().String()
		return addr, l.Close()
	}
	return "", errors.New("no free port")
}

// serve serves HTTP on a free loopback port and returns its address.
func serve(h http.Handler) (string, error) {
	addr, l, err := listenLoopback()
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return addr, nil
}

// room returns how many machines the cloud has in a zone.
func (w *world) room(site string) int { return w.rooms[site] }

// nextNode returns the nodes in turn.
func (w *world) nextNode() int { return int(w.next.Add(1)) % nodeCount }

// nodeNamed returns the node with a name, -1 if there is none.
func (w *world) nodeNamed(name string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
}

// job returns a submitted job.
func (w *world) job(uid string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[uid]
}

// broken records that a rule was broken.
func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	if len(w.violations) <= 20 {
		w.record.note("RULE", "%s", text)
	}
}

// brokenRules returns what was recorded by broken.
func (w *world) brokenRules() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// checkLine checks the length of the line in a response to a worker, and records the longest.
func (w *world) checkLine(v *worker, text []byte) {
	if len(text) > maxBody {
		w.broken("a line in a response to %s has %d bytes", v.UID, len(text))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(text) > w.longest {
		w.longest = len(text)
		w.record.note(v.UID, "longest response so far: %d bytes", len(text))
	}
}

// started checks the rules on a task that has just got its image.
func (w *world) started(v *worker, t *task) {
	w.record.note(v.UID, "%s try %d starts", t.name(), t.try)
	for _, other := range w.cloud.workers() {
		if other != v && other.has(t) {
			w.broken("ran_twice: %s starts on %s while it is on %s", t.name(), v.UID, other.UID)
		}
	}
	if at := t.job.cancelledAt(); !at.IsZero() && time.Since(at) > cancelTime {
		w.broken("ran_cancelled: %s starts on %s", t.name(), v.UID)
	}
}

// has reports whether a task is on the machine, in whichever attempt.
func (v *worker) has(t *task) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.tasks, func(o *task) bool { return o.onMachine() && o.job == t.job && o.index == t.index })
}

// await waits until a condition holds, and returns an error if it does not in time.
func await(what string, limit time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("in vain: " + what)
}
