package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// node is one controller.
type node struct {
	world   *world
	index   int
	name    string
	serveOn string
	cluster string // its address for the other controllers
	process *exec.Cmd
	exited  chan struct{}
	killed  atomic.Bool // the harness ends the process
	endedAt time.Time   // when its end was first noticed
}

// newNode reserves the addresses of a controller.
func newNode(w *world, index int) (*node, error) {
	n := &node{world: w, index: index, name: fmt.Sprintf("kotva-%d", index)}
	for _, addr := range []*string{&n.serveOn, &n.cluster} {
		free, err := reservePort()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	return n, nil
}

// settingsPath returns the path of the controller's settings file.
func (n *node) settingsPath() string { return filepath.Join(n.world.dir, n.name+".toml") }

// writeSettings writes the controller's settings file.
func (n *node) writeSettings() error {
	var s strings.Builder
	fmt.Fprintf(&s, "host_name = %q\nsite = %q\nserve_on = %q\ncluster_listen = %q\n", n.name, nodeZones[n.index], n.serveOn, n.cluster)
	for _, m := range n.world.nodes {
		if m != n {
			fmt.Fprintf(&s, "[[members]]\nhost_name = %q\nsite = %q\naddr = %q\n", m.name, nodeZones[m.index], m.cluster)
		}
	}
	fmt.Fprintf(&s, "[external]\ncloud = %q\nstate = %q\n", n.world.cloudAt, n.world.stateAt)
	fmt.Fprintf(&s, "[facts]\nsize = %d\nzones = [%q, %q]\ntime_bound_ms = 100.0\n", nodeCount, zones[0], zones[1])
	for _, team := range []string{"claims-core", "risk-desk", "payouts", "wadi-audit"} {
		fmt.Fprintf(&s, "[[facts.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n", team)
	}
	s.WriteString("[[facts.objectives]]\nkind = \"wait\"\nclass = \"receipt-reader\"\nwithin_s = 10.0\nshare = 0.8\n")
	s.WriteString("[[facts.objectives]]\nkind = \"finished\"\nclass = \"fraud-rescore\"\nwithin_s = 180.0\nshare = 0.88\n")
	fmt.Fprintf(&s, "[facts.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = %g\n",
		reportInterval.Seconds(), workerLease.Seconds(), cancelTime.Seconds())
	fmt.Fprintf(&s, "[facts.state]\nrps = %d.0\nwrite_rps = %d.0\nvalue_kb = %d.0\ntxn_ops = %d\n",
		stateRPS, stateWriteRPS, stateValueKB, stateTxnOps)
	fmt.Fprintf(&s, "[facts.cloud]\nrps = %d.0\nlist_lag_s = %g\n", cloudRPS, listLag.Seconds())
	s.WriteString("[facts.machine_limits]\ncores = 0.144\nmemory_mb = 98.0\nmax_sockets = 900\n")
	return os.WriteFile(n.settingsPath(), []byte(s.String()), 0o600)
}

// runCommand returns the program and the arguments of `run` in the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("deploy/service.toml has no run command")
}

// start starts the controller's process and waits until it answers.
func (n *node) start() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(command[0], append(command[1:], n.settingsPath())...)
	n.process.Stderr = log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	n.killed.Store(false)
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		n.world.record.note(n.name, "process ended: %v", p.ProcessState)
		if !n.killed.Load() {
			n.world.broken("%s ended by itself: %v", n.name, p.ProcessState)
		}
		close(exited)
	}(n.process, n.exited)
	n.world.record.note(n.name, "process started")
	client := &http.Client{Timeout: time.Second}
	return await(n.name+" answers", 15*time.Second, func() bool {
		resp, err := client.Get("http://" + n.serveOn + "/healthz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
}

// kill ends the controller's process without a signal that it could handle.
func (n *node) kill() {
	if n.process == nil || n.process.Process == nil {
		return
	}
	n.killed.Store(true)
	_ = n.process.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// restartAfterEnd starts the controller's process again if it ended by itself restartDelay ago.
func (n *node) restartAfterEnd() {
	select {
	case <-n.exited:
	default:
		return
	}
	if n.endedAt.IsZero() {
		n.endedAt = time.Now()
	}
	if time.Since(n.endedAt) < restartDelay {
		return
	}
	n.endedAt = time.Time{}
	if err := n.start(); err != nil {
		n.world.record.note(n.name, "not started: %v", err)
	}
}

// isRunning reports whether the controller's process runs.
func (n *node) isRunning() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}
