package main

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is the stand-in for the worker of one machine.
type worker struct {
	machineRow
	world  *world
	server *http.Server
	client *http.Client
	ended  chan struct{}

	mu        sync.Mutex
	tenure    uint64
	tick      uint64
	baton     uint64
	tasks     []*task
	images    map[string]time.Time // by image: when it is there
	node      int                  // the node that it reports to
	begunAt   time.Time            // of the session
	renewedAt time.Time            // when the last answered report of the session was sent
	changedAt time.Time            // when something changed that is worth a report
	recallAt  time.Time            // when the cloud takes the machine; zero: no notice
	lapses    int                  // number of sessions that ended because the lease ran out
	unsent    int                  // reports that were not sent because they would be too large
	refusals  map[int]int          // reports by status of the response; 0: no response
}

// task is one attempt of a task on a machine.
type task struct {
	job       *job
	index     int
	try       uint64
	phase     string
	cause     string
	saved     bool
	begunAt   time.Time // of the phase
	saveUntil time.Time
}

// name returns the task's name.
func (t *task) name() string { return t.job.UID + "/" + strconv.Itoa(t.index) }

// onMachine reports whether the rules count the task as being on its machine.
func (t *task) onMachine() bool {
	return t.phase == "running" || t.phase == "saving" || t.phase == "gathering"
}

// newWorker starts the worker of a machine.
func newWorker(w *world, m machineRow, l net.Listener) *worker {
	v := &worker{
		machineRow: m, world: w, ended: make(chan struct{}),
		client: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		tenure: 1, images: map[string]time.Time{}, begunAt: time.Now(), refusals: map[int]int{},
		node: w.nextNode(),
	}
	v.server = &http.Server{Handler: v.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = v.server.Serve(l) }()
	go v.reportLoop()
	go v.runLoop()
	w.record.note(m.UID, "is up at %s", m.Addr)
	return v
}

// end ends the worker with its machine.
func (v *worker) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
	default:
		close(v.ended)
	}
	v.tasks = nil
	_ = v.server.Close()
}

// runLoop advances the tasks and ends the session when the lease has run out.
func (v *worker) runLoop() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-v.ended:
			return
		case now := <-ticker.C:
			for _, t := range v.advance(now) {
				v.world.started(v, t)
			}
		}
	}
}

// advance advances the tasks and returns those that have just got their image.
func (v *worker) advance(now time.Time) (started []*task) {
	v.mu.Lock()
	defer v.mu.Unlock()
	since := v.begunAt
	if v.renewedAt.After(since) {
		since = v.renewedAt
	}
	if now.Sub(since) > workerLease {
		if len(v.tasks) > 0 {
			v.world.record.note(v.UID, "lease ran out in session %d: %d tasks are killed", v.tenure, len(v.tasks))
			v.lapses++
		}
		v.tasks, v.begunAt, v.renewedAt = nil, now, time.Time{}
		v.tenure++
		v.changedAt = now
	}
	for _, t := range v.tasks {
		if v.advanceTask(t, now) {
			started = append(started, t)
		}
	}
	return started
}

// advanceTask advances one task and reports whether it has just got its image.
func (v *worker) advanceTask(t *task, now time.Time) (started bool) {
	switch t.phase {
	case "pulling":
		if now.Before(v.images[t.job.Bundle]) {
			return false
		}
		t.phase, t.begunAt, v.changedAt = "running", now, now
		if t.job.isDone(t.index) {
			v.exit(t, "done")
		}
		return true
	case "running":
		if t.job.Shape == "sweep" && now.Sub(t.begunAt) >= t.job.runTime {
			v.exit(t, "done")
			t.job.setDone(t.index)
		}
	case "saving":
		if now.After(t.saveUntil) {
			t.saved = true
			v.exit(t, "stopped")
		}
	}
	return false
}

// exit ends a task.
func (v *worker) exit(t *task, cause string) {
	t.phase, t.cause, t.begunAt = "ended", cause, time.Now()
	v.changedAt = time.Now()
}

// execute carries out commands in order. The caller holds the lock.
func (v *worker) execute(commands []order) {
	for _, o := range commands {
		i := slices.IndexFunc(v.tasks, func(t *task) bool { return t.name() == o.Piece && t.try == o.Try })
		switch {
		case o.Verb == "launch" && i < 0:
			v.launch(o)
		case o.Verb == "halt" && i >= 0:
			v.halt(v.tasks[i], o)
		case o.Verb == "clear" && i >= 0 && v.tasks[i].phase == "ended":
			v.tasks = slices.Delete(v.tasks, i, i+1)
		}
	}
}

// halt stops a task.
func (v *worker) halt(t *task, o order) {
	leeway := 0.0
	if o.LeewayS != nil {
		leeway = *o.LeewayS
	}
	switch {
	case t.phase == "ended" || t.phase == "saving" && leeway > 0:
	case t.phase == "running" && t.job.BookmarkS > 0 && leeway >= t.job.StowS:
		t.phase, t.saveUntil = "saving", time.Now().Add(time.Duration(t.job.StowS*float64(time.Second)))
	default:
		v.exit(t, "stopped")
	}
	v.changedAt = time.Now()
}

// launch starts a task, or refuses it.
func (v *worker) launch(o order) {
	uid, number, _ := strings.Cut(o.Piece, "/")
	index, err := strconv.Atoi(number)
	j := v.world.job(uid)
	if j == nil || err != nil || index < 0 || index >= j.Pieces {
		v.world.broken("a worker is told to start %q, which nobody submitted", o.Piece)
		return
	}
	t := &task{job: j, index: index, try: o.Try, phase: "pulling", begunAt: time.Now()}
	m := machineBuild()
	cpus, gpus, mem := j.CPUs, j.GPUs, j.MemGB
	busy := false
	for _, other := range v.tasks {
		if other.phase == "ended" {
			continue
		}
		cpus, gpus, mem = cpus+other.job.CPUs, gpus+other.job.GPUs, mem+other.job.MemGB
		busy = busy || other.job == j && other.index == index
	}
	v.tasks = append(v.tasks, t)
	switch {
	case busy:
		v.exit(t, "busy")
	case cpus > m.CPUs+1e-6 || gpus > m.GPUs+1e-6 || mem > m.MemGB+1e-6:
		v.exit(t, "no_room")
	case v.images[j.Bundle].IsZero():
		v.images[j.Bundle] = time.Now().Add(time.Duration(j.SizeGB / m.PullGBPerS * float64(time.Second)))
	}
	v.changedAt = time.Now()
}

// recall gives notice that the cloud takes the machine, and takes it then.
func (v *worker) recall(notice time.Duration) {
	v.mu.Lock()
	v.recallAt, v.changedAt = time.Now().Add(notice), time.Now()
	v.mu.Unlock()
	v.world.record.note("case", "%s is taken back in %v", v.UID, notice)
	time.AfterFunc(notice, func() { v.world.cloud.remove(v.UID) })
}
