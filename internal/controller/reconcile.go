package controller

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// start is an attempt to be launched.
type start struct {
	id   string
	a    attempt
	need sched.Resources
}

// reconciliation compares what is committed for a machine with what its worker reported,
// and collects the commands that make up the difference. Nothing is remembered between
// reports, so a lost answer costs a round and no more.
//
// What it decides to be over rests on the report itself, never on the answer to
// a direct command: a worker has one report in flight, so a report shows what
// became of the answers to those before, which a command's answer does not.
type reconciliation struct {
	c       *Controller
	report  *api.Report
	session *shard.Session
	now     time.Time

	reported map[attempt]*api.TaskState
	wanted   map[attempt]bool // committed for the machine
	starts   []start
	leaving  bool // some task is on its way out
	free     sched.Resources
	sized    bool // free is known
	commands []api.Command
}

// commandsFor gives the commands for a worker that has just reported. Call with the lock
// held.
func (c *Controller) commandsFor(r *api.Report, s *shard.Session, now time.Time) []api.Command {
	if !c.canAct(now) {
		return c.cancelledOn(r.Host)
	}
	// What runs on takes its room until a later report shows its end; what is
	// stopped without saving leaves before the starts in the same answer.
	size, machineType := c.capOf(r.MachineType)
	x := &reconciliation{c: c, report: r, session: s, now: now, reported: map[attempt]*api.TaskState{}, wanted: map[attempt]bool{},
		free: size, sized: machineType != nil, commands: []api.Command{}}
	x.readReport()
	for id, pl := range c.replica.onHost[r.Host] {
		if j := c.replica.jobs[pl.uid]; j != nil {
			x.settle(id, pl, j)
		}
	}
	x.removeUnwanted()
	x.launch()
	return x.commands
}

// cancelledOn gives the commands that stop the tasks of cancelled jobs on a machine: what
// is committed may have changed where this node can't see it, but a cancelled job stays
// cancelled, and its tasks have to go in time. Call with the lock held.
func (c *Controller) cancelledOn(host string) []api.Command {
	commands := []api.Command{}
	for _, pl := range c.replica.onHost[host] {
		if j := c.replica.jobs[pl.uid]; j != nil && j.gone() {
			commands = append(commands, c.haltOf(j, attempt{pl.name(j), pl.p.Attempt}))
		}
	}
	return commands
}

// readReport lists the reported attempts.
func (x *reconciliation) readReport() {
	for i := range x.report.Tasks {
		t := &x.report.Tasks[i]
		if !api.KnownPhase(t.Phase) {
			x.c.log.Error("a worker gives a phase that is not known", "host", x.report.Host, "phase", t.Phase)
		}
		x.reported[attempt{t.Task, t.Attempt}] = t
	}
}

// settle compares one committed task with what was reported of it.
func (x *reconciliation) settle(id string, pl *placedTask, j *liveJob) {
	a := attempt{pl.name(j), pl.p.Attempt}
	x.wanted[a] = true
	stop := j.leaves(pl.p)
	if !isGang(j) { // a gang is stopped as a whole, or else goes on
		stop = stop || x.session.Drain || x.c.recalled(x.session, j)
	}
	if state := x.reported[a]; state != nil {
		delete(x.session.Sent, id)
		x.settlePresent(id, pl, j, state, stop)
		return
	}
	x.settleAbsent(id, pl, j, stop)
}

// settlePresent deals with a committed task that is on the machine.
func (x *reconciliation) settlePresent(id string, pl *placedTask, j *liveJob, state *api.TaskState, stop bool) {
	s, a := x.session, attempt{state.Task, state.Attempt}
	_, released := s.Releases[id]
	if state.Phase == api.Running && s.Started[id].Try != a.try {
		s.Started[id] = shard.Start{Try: a.try, At: x.now}
		x.c.log.Info("task running", "task", a.name, "try", a.try, "host", x.report.Host)
		if isGang(j) {
			x.c.gang(pl.uid).ran = a.try
		}
	}
	switch {
	case state.Phase == api.Ended:
		if !released {
			x.end(id, pl, j, state)
		}
	case stop || released:
		x.leaving = true
		if state.Phase == api.Saving || saves(j) {
			x.free = x.free.Sub(need(&j.main.Spec))
		}
		if state.Phase != api.Saving || j.gone() {
			x.commands = append(x.commands, x.c.haltOf(j, a))
		}
	default:
		x.free = x.free.Sub(need(&j.main.Spec))
	}
}

// end notes that a task has ended, and why.
func (x *reconciliation) end(id string, pl *placedTask, j *liveJob, state *api.TaskState) {
	spec := &j.main.Spec
	done := state.Cause == api.CauseDone
	failed := state.Cause == api.CauseError || state.Cause == api.CauseUnknown
	x.release(id, shard.Release{Try: pl.p.Attempt, Done: done && spec.Kind != api.Service, Failed: failed, Exit: exitOf(state.Cause)})
	if started := x.session.Started[id]; done && started.Try == pl.p.Attempt && spec.EstimateS > 0 {
		x.c.observe(spec.Class, x.now.Sub(started.At).Seconds()/spec.EstimateS)
	}
	x.c.ended(x.report.Host, x.session, j, pl, state)
}

// settleAbsent deals with a committed task that is not on the machine.
func (x *reconciliation) settleAbsent(id string, pl *placedTask, j *liveJob, stop bool) {
	s, try := x.session, pl.p.Attempt
	_, released := s.Releases[id]
	unheard := s.Sent[id].Try == try && s.Sent[id].N >= mostUnheard
	switch {
	case !stop && !j.starts(pl.p):
		// Held for a gang that is not complete: nothing is started yet.
	case released:
	case stop:
		// Never launched, or gone with an earlier session: this report was
		// made after any answer of ours that launched it, and no later one will.
		x.release(id, shard.Release{Try: try})
	case s.Deaf || unheard:
		// It is not there, and no answer given so far will start it: this
		// report was made after the worker took in or gave up on each of
		// them. A worker that does not hear must not keep its tasks waiting.
		if !s.Deaf {
			s.Deaf = true
			s.Raise(x.now)
			x.c.log.Info("worker does not obey", "host", x.report.Host, "task", pl.name(j), "launches", s.Sent[id].N)
		}
		x.release(id, shard.Release{Try: try, Exit: job.ExitRefused})
	case x.c.heldBack(x.report.Host, pl, j, x.now):
		// It went with its zone, and what needs its room more goes first. It keeps its
		// place, which production may take, and starts there when its turn comes: to place
		// a zone's arrays anew would take the changes that the readers' placements need.
	case !s.Dead(x.now, x.c.cfg.LeaseBound()):
		x.starts = append(x.starts, start{id, attempt{pl.name(j), try}, need(&j.main.Spec)})
	}
}

// release notes that an attempt is over.
func (x *reconciliation) release(id string, r shard.Release) {
	r.At = x.now
	x.c.release(x.report.Host, x.session, id, r)
	x.c.poke()
}

// removeUnwanted clears or stops what was reported and is not committed.
func (x *reconciliation) removeUnwanted() {
	for a, state := range x.reported {
		switch {
		case x.wanted[a]:
		case state.Phase == api.Ended:
			x.commands = append(x.commands, api.Command{Action: api.Clear, Task: a.name, Attempt: a.try})
		default:
			x.commands = append(x.commands, api.Command{Action: api.Stop, Task: a.name, Attempt: a.try, GraceS: new(float64)})
		}
	}
}

// launch starts what is committed and not there yet. Starts come last, and only those
// whose room is there: a task that takes another's room waits for one that saves.
func (x *reconciliation) launch() {
	slices.SortFunc(x.starts, func(a, b start) int { return cmp.Compare(a.id, b.id) })
	for _, st := range x.starts {
		sent := x.session.Sent[st.id]
		if sent.Try != st.a.try {
			sent = shard.Sent{Try: st.a.try}
		}
		if x.sized && !x.free.Fits(st.need) {
			x.block(st, sent)
			continue
		}
		x.free = x.free.Sub(st.need)
		sent.N, sent.Blocked = sent.N+1, 0
		x.session.Sent[st.id] = sent
		x.commands = append(x.commands, api.Command{Action: api.Launch, Task: st.a.name, Attempt: st.a.try})
	}
}

// block counts that a start had no room. A peer may have taken the room of a task that had
// completed, whose end was not committed yet, when its room was another's already.
func (x *reconciliation) block(st start, sent shard.Sent) {
	if sent.Blocked++; x.leaving {
		sent.Blocked = 0
	}
	if x.session.Sent[st.id] = sent; sent.Blocked >= mostUnheard {
		x.release(st.id, shard.Release{Try: st.a.try, Exit: job.ExitRefused})
	}
}
