package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// piece is one attempt of a task on a machine, as workers report it.
type piece struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Phase string `json:"phase"`
	Cause string `json:"cause,omitempty"`
	Saved bool   `json:"saved,omitempty"`

	job   *job
	since time.Time // when the phase began
	until time.Time // of a save
}

// onMachine reports whether the rules count the task as being on its machine.
func (p *piece) onMachine() bool { return p.Phase == "running" || p.Phase == "saving" }

// report is a worker's report.
type report struct {
	Host    string  `json:"host"`
	Addr    string  `json:"addr"`
	Build   string  `json:"build"`
	Site    string  `json:"site"`
	Loaners bool    `json:"loaners"`
	Tenure  uint64  `json:"tenure"`
	Tick    uint64  `json:"tick"`
	Baton   uint64  `json:"baton"`
	Pieces  []piece `json:"pieces"`
}

// order is one command.
type order struct {
	Verb   string   `json:"verb"`
	Piece  string   `json:"piece"`
	Try    uint64   `json:"try"`
	Leeway *float64 `json:"leewayS"`
}

// orders is the answer to a report, or a direct command.
type orders struct {
	Baton   uint64  `json:"baton"`
	Tenure  uint64  `json:"tenure"`
	Orders  []order `json:"orders"`
	Steward string  `json:"steward"`
}

// worker is a machine with its worker.
type worker struct {
	host, addr, zone            string
	spot                        bool
	rentedBy                    string    // the controller
	rentedAt, bootedAt, endedAt time.Time // endedAt is guarded by the cloud
	world                       *world
	listener                    net.Listener

	mu           sync.Mutex
	gone         bool // the machine has ended
	tenure, tick uint64
	baton        uint64
	pieces       []*piece
	images       map[string]bool
	answered     time.Time // when the last answered report was sent, or the session began
	node         int       // index of the controller that it reports to
	changed      bool      // a report is due before its time
	batonToldAt  time.Time // when a higher token last counted as a change
}

// kill ends the machine and all on it.
func (w *worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.gone = true
	for _, p := range w.pieces {
		w.leave(p, "machine gone")
	}
	w.pieces = nil
	if w.listener != nil {
		_ = w.listener.Close()
	}
}

// leave records that a task has left the machine. The caller holds mu.
func (w *worker) leave(p *piece, why string) {
	if p.onMachine() {
		w.world.jobs.left(p.Piece, w.host)
		w.world.record.note("run: %s try %d leaves %s: %s", p.Piece, p.Try, w.host, why)
	}
}

// advance moves tasks and the lease on. The caller holds mu.
func (w *worker) advance(now time.Time) {
	if now.Sub(w.answered) > w.world.workerLease {
		for _, p := range w.pieces {
			w.leave(p, "lease expired")
		}
		w.pieces, w.answered, w.changed = nil, now, true
		w.tenure++
		w.world.record.note("worker: %s begins session %d", w.host, w.tenure)
		return
	}
	for _, p := range w.pieces {
		w.advancePiece(p, now)
	}
}

// advancePiece moves one task on. The caller holds mu.
func (w *worker) advancePiece(p *piece, now time.Time) {
	switch p.Phase {
	case "pulling":
		if !w.images[p.job.Bundle] && now.Sub(p.since) < p.job.pull {
			return
		}
		w.images[p.job.Bundle] = true
		p.Phase, p.since, w.changed = "running", now, true
		w.world.jobs.started(p.Piece, w)
		w.world.record.note("run: %s try %d starts on %s in %s", p.Piece, p.Try, w.host, w.zone)
		switch {
		case p.job.fails:
			w.finish(p, "error")
		case w.world.jobs.isDone(p.Piece):
			w.finish(p, "done")
		}
	case "running":
		if p.job.runs > 0 && now.Sub(p.since) >= p.job.runs {
			w.world.jobs.finished(p.Piece)
			w.finish(p, "done")
		}
	case "saving":
		if now.After(p.until) {
			p.Saved = true
			w.finish(p, "stopped")
		}
	}
}

// finish ends a task. The caller holds mu.
func (w *worker) finish(p *piece, cause string) {
	w.leave(p, cause)
	p.Phase, p.Cause, w.changed = "ended", cause, true
}

// makeReport returns the worker's next report. The caller holds mu.
func (w *worker) makeReport() report {
	w.tick++
	r := report{
		Host: w.host, Addr: w.addr, Build: w.world.cloud.kind.label, Site: w.zone, Loaners: w.spot,
		Tenure: w.tenure, Tick: w.tick, Baton: w.baton, Pieces: []piece{},
	}
	for _, p := range w.pieces {
		r.Pieces = append(r.Pieces, *p)
	}
	return r
}

// raise stores a higher token, which counts as a change at most once in half of the lease. The caller
// holds mu.
func (w *worker) raise(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		if now := time.Now(); now.Sub(w.batonToldAt) > w.world.workerLease/2 {
			w.batonToldAt, w.changed = now, true
		}
	}
}

// execute carries out commands in order. The caller holds mu.
func (w *worker) execute(list []order) {
	for _, o := range list {
		i := slices.IndexFunc(w.pieces, func(p *piece) bool { return p.Piece == o.Piece && p.Try == o.Try })
		switch {
		case o.Verb == "launch" && i < 0:
			w.launch(o)
		case o.Verb == "halt" && i >= 0:
			w.halt(w.pieces[i], o.Leeway)
		case o.Verb == "clear" && i >= 0 && w.pieces[i].Phase == "ended":
			w.pieces = slices.Delete(w.pieces, i, i+1)
			w.changed = true
		}
	}
}

// launch starts a task, or refuses to. The caller holds mu.
func (w *worker) launch(o order) {
	uid, number, _ := strings.Cut(o.Piece, "/")
	index, err := strconv.Atoi(number)
	p := &piece{Piece: o.Piece, Try: o.Try, Phase: "pulling", since: time.Now()}
	w.pieces, w.changed = append(w.pieces, p), true
	p.job = w.world.jobs.find(uid)
	w.world.record.note("worker: %s is told to launch %s try %d", w.host, o.Piece, o.Try)
	if p.job == nil || err != nil || index < 0 || index >= p.job.Pieces {
		p.Phase, p.Cause = "ended", "unknown"
		w.world.record.note("worker: %s refuses %s: unknown", w.host, o.Piece)
		return
	}
	others := w.pieces[:len(w.pieces)-1]
	switch {
	case slices.ContainsFunc(others, func(o *piece) bool { return o.Piece == p.Piece && o.Phase != "ended" }):
		p.Phase, p.Cause = "ended", "busy"
	case !w.fits(p.job, others):
		p.Phase, p.Cause = "ended", "no_room"
	case w.images[p.job.Bundle]:
		w.advancePiece(p, p.since) // it starts at once
	}
}

// fits reports whether a task of a job fits on the machine beside other tasks. The caller holds mu.
func (w *worker) fits(j *job, others []*piece) bool {
	kind := w.world.cloud.kind
	cpus, gpus, mem := kind.cpus, kind.gpus, kind.memGB
	for _, other := range others {
		if other.Phase != "ended" {
			cpus, gpus, mem = cpus-other.job.CPUs, gpus-other.job.GPUs, mem-other.job.MemGB
		}
	}
	const rounding = 1e-6
	return j.CPUs <= cpus+rounding && j.GPUs <= gpus+rounding && j.MemGB <= mem+rounding
}

// hasRoom reports whether the machine is up and has room for a task of a job.
func (w *worker) hasRoom(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tenure > 0 && !w.gone && w.fits(j, w.pieces)
}

// halt stops a task. The caller holds mu.
func (w *worker) halt(p *piece, leeway *float64) {
	given := 0.0
	if leeway != nil {
		given = *leeway
	}
	switch {
	case p.Phase == "ended", p.Phase == "saving" && given > 0:
	case p.Phase == "running" && p.job.BookmarkS > 0 && given >= p.job.StowS:
		p.Phase, p.until, w.changed = "saving", time.Now().Add(time.Duration(p.job.StowS*float64(time.Second))), true
	default:
		w.finish(p, "stopped")
	}
}

// serveCommands answers POST /commands.
func (w *worker) serveCommands(rw http.ResponseWriter, r *http.Request) {
	var o orders
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Baton == 0 || o.Tenure == 0 {
		reply(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusConflict
	if o.Baton >= w.baton && o.Tenure == w.tenure {
		status = http.StatusOK
		w.raise(o.Baton)
		w.execute(o.Orders)
	}
	reply(rw, status, w.makeReport())
}

// serveShow answers GET /show.
func (w *worker) serveShow(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply(rw, http.StatusOK, w.makeReport())
}
