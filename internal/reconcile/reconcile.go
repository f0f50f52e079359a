package reconcile

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// pendingLaunch is an attempt to be launched.
type pendingLaunch struct {
	key     string
	attempt agent.AttemptID
	need    sched.Resources
}

// reconciliation compares what is committed for a machine with what its worker reported,
// and collects the commands that make up the difference. Nothing is remembered between
// reports, so a lost answer costs a round and no more.
//
// What it decides to be over rests on the heartbeat itself, never on the answer to
// a direct command: a worker has one report in flight, so a heartbeat shows what
// became of the answers to those before, which a command's answer does not.
type reconciliation struct {
	reconciler *Reconciler
	heartbeat  *api.Heartbeat
	agent      *agent.Agent
	now        time.Time

	reported      map[agent.AttemptID]*api.TaskState
	desired       map[agent.AttemptID]bool // committed for the machine
	launches      []pendingLaunch
	stopping      bool // some task is on its way out
	free          sched.Resources
	capacityKnown bool // free is known
	commands      []api.Command
}

// CommandsFor returns the commands for a worker that has just reported.
func (rec *Reconciler) CommandsFor(r *api.Heartbeat, s *agent.Agent, now time.Time) []api.Command {
	if !rec.leadership.MayAct(now) {
		return rec.agents.StopCancelledTasks(r.Host)
	}
	// What runs on takes its room until a later heartbeat shows its end; what is
	// stopped without saving leaves before the starts in the same answer.
	size, machineType := rec.catalog.MachineCapacity(r.MachineType)
	x := &reconciliation{reconciler: rec, heartbeat: r, agent: s, now: now, reported: map[agent.AttemptID]*api.TaskState{}, desired: map[agent.AttemptID]bool{},
		free: size, capacityKnown: machineType != nil, commands: []api.Command{}}
	x.readHeartbeat()
	for id, pl := range rec.cache.Placements[r.Host] {
		if j := rec.cache.Jobs[pl.UID]; j != nil {
			x.reconcileTask(id, pl, j)
		}
	}
	x.removeUnwanted()
	x.launchDesired()
	return x.commands
}

// readHeartbeat lists the reported attempts.
func (x *reconciliation) readHeartbeat() {
	for i := range x.heartbeat.Tasks {
		t := &x.heartbeat.Tasks[i]
		if !t.Phase.Known() {
			x.reconciler.node.Log.Error("unknown task phase reported", "host", x.heartbeat.Host, "phase", t.Phase)
		}
		x.reported[agent.AttemptID{Task: t.Task, Attempt: t.Attempt}] = t
	}
}

// reconcileTask compares one committed task with what was reported of it.
func (x *reconciliation) reconcileTask(id string, pl *statecache.PlacedTask, j *statecache.Job) {
	a := agent.AttemptOf(pl, j)
	x.desired[a] = true
	stop := j.MustStop(pl.Placement)
	if !j.IsGang() { // a gang is stopped as a whole, or else goes on
		stop = stop || x.agent.Cordoned || x.reconciler.agents.InterruptionIsDue(x.agent, j)
	}
	if state := x.reported[a]; state != nil {
		delete(x.agent.PendingLaunches, id)
		x.reconcilePresent(id, pl, j, state, stop)
		return
	}
	x.reconcileAbsent(id, pl, j, stop)
}

// reconcilePresent deals with a committed task that is on the machine.
func (x *reconciliation) reconcilePresent(id string, pl *statecache.PlacedTask, j *statecache.Job, state *api.TaskState, stop bool) {
	s, a := x.agent, agent.AttemptID{Task: state.Task, Attempt: state.Attempt}
	_, released := s.EndedAttempts[id]
	if state.Phase == api.TaskRunning && s.FirstRuns[id].Attempt != a.Attempt {
		s.FirstRuns[id] = agent.FirstRun{Attempt: a.Attempt, At: x.now}
		x.reconciler.node.Log.Info("task running", "task", a.Task, "attempt", a.Attempt, "host", x.heartbeat.Host)
		if j.IsGang() {
			x.reconciler.agents.RunningGangs[pl.UID] = a.Attempt
		}
	}
	switch {
	case state.Phase == api.TaskEnded:
		if !released {
			x.noteEnd(id, pl, j, state)
		}
	case stop || released:
		x.stopping = true
		if state.Phase == api.TaskSaving || j.SavesOnStop() {
			x.free = x.free.Sub(statecache.ResourcesOf(&j.Record.Spec))
		}
		if state.Phase != api.TaskSaving || j.IsCancelled() {
			x.commands = append(x.commands, x.reconciler.agents.StopCommand(j, a))
		}
	default:
		x.free = x.free.Sub(statecache.ResourcesOf(&j.Record.Spec))
	}
}

// noteEnd notes that a task has ended, and why.
func (x *reconciliation) noteEnd(id string, pl *statecache.PlacedTask, j *statecache.Job, state *api.TaskState) {
	spec := &j.Record.Spec
	done := state.Cause == api.CauseDone
	failed := state.Cause == api.CauseError || state.Cause == api.CauseUnknown
	x.endAttempt(
		id,
		agent.EndedAttempt{
			Attempt: pl.Placement.Attempt,
			Done:    done && spec.Kind != api.Service,
			Failed:  failed,
			Reason:  agent.ExitReasonOf(state.Cause),
		},
	)
	if started := x.agent.FirstRuns[id]; done && started.Attempt == pl.Placement.Attempt && spec.EstimateS > 0 {
		x.reconciler.estimates.ObserveRuntime(spec.Class, x.now.Sub(started.At).Seconds()/spec.EstimateS)
	}
	x.reconciler.agents.NoteTaskEnd(x.heartbeat.Host, x.agent, j, pl, state)
}

// reconcileAbsent deals with a committed task that is not on the machine.
func (x *reconciliation) reconcileAbsent(id string, pl *statecache.PlacedTask, j *statecache.Job, stop bool) {
	s, try := x.agent, pl.Placement.Attempt
	_, released := s.EndedAttempts[id]
	unheard := s.PendingLaunches[id].Attempt == try && s.PendingLaunches[id].Answers >= agent.MaxUnheardAnswers
	switch {
	case !stop && !j.MayLaunch(pl.Placement):
		// Held for a gang that is not complete: nothing is started yet.
	case released:
	case stop:
		// Never launched, or gone with an earlier session: this heartbeat was
		// made after any answer of ours that launched it, and no later one will.
		x.endAttempt(id, agent.EndedAttempt{Attempt: try})
	case s.Unresponsive() || unheard:
		// It is not there, and no answer given so far will start it: this
		// report was made after the worker took in or gave up on each of
		// them. A worker that does not hear must not keep its tasks waiting.
		if !s.Unresponsive() {
			s.BecomeUnresponsive(x.now)
			x.reconciler.node.Log.Info(
				"worker ignores launches",
				"host",
				x.heartbeat.Host,
				"task",
				pl.TaskName(j),
				"launches",
				s.PendingLaunches[id].Answers,
			)
		}
		x.endAttempt(id, agent.EndedAttempt{Attempt: try, Reason: job.ExitRefused})
	case x.reconciler.zones.IsHeldBack(x.heartbeat.Host, pl, j, x.now):
		// It went with its zone, and what needs its room more goes first. It keeps its
		// place, which production may take, and starts there when its turn comes: to place
		// a zone's arrays anew would take the changes that the readers' placements need.
	case !s.IsLeaseExpired(x.now, x.reconciler.node.Settings.WorkerLeaseBound()):
		x.launches = append(x.launches, pendingLaunch{id, agent.AttemptOf(pl, j), statecache.ResourcesOf(&j.Record.Spec)})
	}
}

// endAttempt notes that an attempt is over.
func (x *reconciliation) endAttempt(id string, r agent.EndedAttempt) {
	r.EndedAt = x.now
	x.reconciler.agents.NoteEnd(x.heartbeat.Host, x.agent, id, r)
	x.reconciler.wake.Notify()
}

// removeUnwanted clears or stops what was reported and is not committed.
func (x *reconciliation) removeUnwanted() {
	for a, state := range x.reported {
		switch {
		case x.desired[a]:
		case state.Phase == api.TaskEnded:
			x.commands = append(x.commands, api.Command{Action: api.Clear, Task: a.Task, Attempt: a.Attempt})
		default:
			x.commands = append(x.commands, api.Command{Action: api.Stop, Task: a.Task, Attempt: a.Attempt, GraceS: new(float64)})
		}
	}
}

// launchDesired starts what is committed and not there yet. Starts come last, and only those
// whose room is there: a task that takes another's room waits for one that saves.
func (x *reconciliation) launchDesired() {
	slices.SortFunc(x.launches, func(a, b pendingLaunch) int { return cmp.Compare(a.key, b.key) })
	for _, st := range x.launches {
		sent := x.agent.PendingLaunches[st.key]
		if sent.Attempt != st.attempt.Attempt {
			sent = agent.PendingLaunch{Attempt: st.attempt.Attempt}
		}
		if x.capacityKnown && !x.free.Fits(st.need) {
			x.noteBlocked(st, sent)
			continue
		}
		x.free = x.free.Sub(st.need)
		sent.Answers, sent.Blocked = sent.Answers+1, 0
		x.agent.PendingLaunches[st.key] = sent
		x.commands = append(x.commands, api.Command{Action: api.Launch, Task: st.attempt.Task, Attempt: st.attempt.Attempt})
	}
}

// noteBlocked counts that a start had no room. A peer may have taken the room of a task that had
// completed, whose end was not committed yet, when its room was another's already.
func (x *reconciliation) noteBlocked(st pendingLaunch, sent agent.PendingLaunch) {
	if sent.Blocked++; x.stopping {
		sent.Blocked = 0
	}
	if x.agent.PendingLaunches[st.key] = sent; sent.Blocked >= agent.MaxUnheardAnswers {
		x.endAttempt(st.key, agent.EndedAttempt{Attempt: st.attempt.Attempt, Reason: job.ExitRefused})
	}
}
