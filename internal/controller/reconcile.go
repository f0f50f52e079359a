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

// pendingLaunch is an attempt to be launched.
type pendingLaunch struct {
	key     string
	attempt attemptID
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
	reconciler *heartbeatReconciler
	heartbeat  *api.Heartbeat
	agent      *shard.Agent
	now        time.Time

	reported      map[attemptID]*api.TaskState
	desired       map[attemptID]bool // committed for the machine
	launches      []pendingLaunch
	stopping      bool // some task is on its way out
	free          sched.Resources
	capacityKnown bool // free is known
	commands      []api.Command
}

// commandsFor returns the commands for a worker that has just reported.
func (rec *heartbeatReconciler) commandsFor(r *api.Heartbeat, s *shard.Agent, now time.Time) []api.Command {
	if !rec.leadership.mayAct(now) {
		return rec.agents.stopCancelledTasks(r.Host)
	}
	// What runs on takes its room until a later heartbeat shows its end; what is
	// stopped without saving leaves before the starts in the same answer.
	size, machineType := rec.catalog.machineCapacity(r.MachineType)
	x := &reconciliation{reconciler: rec, heartbeat: r, agent: s, now: now, reported: map[attemptID]*api.TaskState{}, desired: map[attemptID]bool{},
		free: size, capacityKnown: machineType != nil, commands: []api.Command{}}
	x.readHeartbeat()
	for id, pl := range rec.cache.placements[r.Host] {
		if j := rec.cache.jobs[pl.uid]; j != nil {
			x.reconcileTask(id, pl, j)
		}
	}
	x.removeUnwanted()
	x.launchDesired()
	return x.commands
}

// stopCancelledTasks returns the commands that stop the tasks of cancelled jobs on a machine: what
// is committed may have changed where this node can't see it, but a cancelled job stays
// cancelled, and its tasks have to go in time.
func (reg *agentRegistry) stopCancelledTasks(host string) []api.Command {
	commands := []api.Command{}
	for _, pl := range reg.cache.placements[host] {
		if j := reg.cache.jobs[pl.uid]; j != nil && j.isCancelled() {
			commands = append(commands, reg.stopCommand(j, attemptOf(pl, j)))
		}
	}
	return commands
}

// readHeartbeat lists the reported attempts.
func (x *reconciliation) readHeartbeat() {
	for i := range x.heartbeat.Tasks {
		t := &x.heartbeat.Tasks[i]
		if !api.KnownPhase(t.Phase) {
			x.reconciler.node.log.Error("unknown task phase reported", "host", x.heartbeat.Host, "phase", t.Phase)
		}
		x.reported[attemptID{task: t.Task, attempt: t.Attempt}] = t
	}
}

// reconcileTask compares one committed task with what was reported of it.
func (x *reconciliation) reconcileTask(id string, pl *placedTask, j *liveJob) {
	a := attemptOf(pl, j)
	x.desired[a] = true
	stop := j.mustStop(pl.placement)
	if !isGang(j) { // a gang is stopped as a whole, or else goes on
		stop = stop || x.agent.Cordoned || x.reconciler.agents.interruptionIsDue(x.agent, j)
	}
	if state := x.reported[a]; state != nil {
		delete(x.agent.PendingLaunches, id)
		x.reconcilePresent(id, pl, j, state, stop)
		return
	}
	x.reconcileAbsent(id, pl, j, stop)
}

// reconcilePresent deals with a committed task that is on the machine.
func (x *reconciliation) reconcilePresent(id string, pl *placedTask, j *liveJob, state *api.TaskState, stop bool) {
	s, a := x.agent, attemptID{task: state.Task, attempt: state.Attempt}
	_, released := s.EndedAttempts[id]
	if state.Phase == api.Running && s.FirstRuns[id].Attempt != a.attempt {
		s.FirstRuns[id] = shard.FirstRun{Attempt: a.attempt, At: x.now}
		x.reconciler.node.log.Info("task running", "task", a.task, "attempt", a.attempt, "host", x.heartbeat.Host)
		if isGang(j) {
			x.reconciler.agents.runningGangs[pl.uid] = a.attempt
		}
	}
	switch {
	case state.Phase == api.Ended:
		if !released {
			x.noteEnd(id, pl, j, state)
		}
	case stop || released:
		x.stopping = true
		if state.Phase == api.Saving || savesOnStop(j) {
			x.free = x.free.Sub(resourcesOf(&j.record.Spec))
		}
		if state.Phase != api.Saving || j.isCancelled() {
			x.commands = append(x.commands, x.reconciler.agents.stopCommand(j, a))
		}
	default:
		x.free = x.free.Sub(resourcesOf(&j.record.Spec))
	}
}

// noteEnd notes that a task has ended, and why.
func (x *reconciliation) noteEnd(id string, pl *placedTask, j *liveJob, state *api.TaskState) {
	spec := &j.record.Spec
	done := state.Cause == api.CauseDone
	failed := state.Cause == api.CauseError || state.Cause == api.CauseUnknown
	x.endAttempt(
		id,
		shard.EndedAttempt{
			Attempt: pl.placement.Attempt,
			Done:    done && spec.Kind != api.Service,
			Failed:  failed,
			Reason:  exitReasonOf(state.Cause),
		},
	)
	if started := x.agent.FirstRuns[id]; done && started.Attempt == pl.placement.Attempt && spec.EstimateS > 0 {
		x.reconciler.estimates.observeRuntime(spec.Class, x.now.Sub(started.At).Seconds()/spec.EstimateS)
	}
	x.reconciler.agents.noteTaskEnd(x.heartbeat.Host, x.agent, j, pl, state)
}

// reconcileAbsent deals with a committed task that is not on the machine.
func (x *reconciliation) reconcileAbsent(id string, pl *placedTask, j *liveJob, stop bool) {
	s, try := x.agent, pl.placement.Attempt
	_, released := s.EndedAttempts[id]
	unheard := s.PendingLaunches[id].Attempt == try && s.PendingLaunches[id].Answers >= maxUnheardAnswers
	switch {
	case !stop && !j.mayLaunch(pl.placement):
		// Held for a gang that is not complete: nothing is started yet.
	case released:
	case stop:
		// Never launched, or gone with an earlier session: this heartbeat was
		// made after any answer of ours that launched it, and no later one will.
		x.endAttempt(id, shard.EndedAttempt{Attempt: try})
	case s.Unresponsive || unheard:
		// It is not there, and no answer given so far will start it: this
		// report was made after the worker took in or gave up on each of
		// them. A worker that does not hear must not keep its tasks waiting.
		if !s.Unresponsive {
			s.Unresponsive = true
			s.RaiseToken(x.now)
			x.reconciler.node.log.Info(
				"worker ignores launches",
				"host",
				x.heartbeat.Host,
				"task",
				pl.taskName(j),
				"launches",
				s.PendingLaunches[id].Answers,
			)
		}
		x.endAttempt(id, shard.EndedAttempt{Attempt: try, Reason: job.ExitRefused})
	case x.reconciler.zones.isHeldBack(x.heartbeat.Host, pl, j, x.now):
		// It went with its zone, and what needs its room more goes first. It keeps its
		// place, which production may take, and starts there when its turn comes: to place
		// a zone's arrays anew would take the changes that the readers' placements need.
	case !s.IsLeaseExpired(x.now, x.reconciler.node.settings.WorkerLeaseBound()):
		x.launches = append(x.launches, pendingLaunch{id, attemptOf(pl, j), resourcesOf(&j.record.Spec)})
	}
}

// endAttempt notes that an attempt is over.
func (x *reconciliation) endAttempt(id string, r shard.EndedAttempt) {
	r.EndedAt = x.now
	x.reconciler.agents.noteEnd(x.heartbeat.Host, x.agent, id, r)
	x.reconciler.wake.notify()
}

// removeUnwanted clears or stops what was reported and is not committed.
func (x *reconciliation) removeUnwanted() {
	for a, state := range x.reported {
		switch {
		case x.desired[a]:
		case state.Phase == api.Ended:
			x.commands = append(x.commands, api.Command{Action: api.Clear, Task: a.task, Attempt: a.attempt})
		default:
			x.commands = append(x.commands, api.Command{Action: api.Stop, Task: a.task, Attempt: a.attempt, GraceS: new(float64)})
		}
	}
}

// launchDesired starts what is committed and not there yet. Starts come last, and only those
// whose room is there: a task that takes another's room waits for one that saves.
func (x *reconciliation) launchDesired() {
	slices.SortFunc(x.launches, func(a, b pendingLaunch) int { return cmp.Compare(a.key, b.key) })
	for _, st := range x.launches {
		sent := x.agent.PendingLaunches[st.key]
		if sent.Attempt != st.attempt.attempt {
			sent = shard.PendingLaunch{Attempt: st.attempt.attempt}
		}
		if x.capacityKnown && !x.free.Fits(st.need) {
			x.noteBlocked(st, sent)
			continue
		}
		x.free = x.free.Sub(st.need)
		sent.Answers, sent.Blocked = sent.Answers+1, 0
		x.agent.PendingLaunches[st.key] = sent
		x.commands = append(x.commands, api.Command{Action: api.Launch, Task: st.attempt.task, Attempt: st.attempt.attempt})
	}
}

// noteBlocked counts that a start had no room. A peer may have taken the room of a task that had
// completed, whose end was not committed yet, when its room was another's already.
func (x *reconciliation) noteBlocked(st pendingLaunch, sent shard.PendingLaunch) {
	if sent.Blocked++; x.stopping {
		sent.Blocked = 0
	}
	if x.agent.PendingLaunches[st.key] = sent; sent.Blocked >= maxUnheardAnswers {
		x.endAttempt(st.key, shard.EndedAttempt{Attempt: st.attempt.attempt, Reason: job.ExitRefused})
	}
}
