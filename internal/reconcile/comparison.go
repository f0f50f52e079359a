package reconcile

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/logkey"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// committedTask is a task that is committed for the worker's machine.
type committedTask struct {
	key     string // of its placement
	placed  *statecache.PlacedTask
	job     *statecache.Job
	attempt agent.AttemptID
	stop    bool // it has to leave the machine
}

// resources is the room that the task takes.
func (t committedTask) resources() sched.Resources { return statecache.ResourcesOf(&t.job.Record.Spec) }

// comparison compares what is committed for a machine with what its worker reported,
// and collects the commands that make up the difference. Nothing is remembered between
// heartbeats, so a lost answer costs a round and no more.
//
// What it decides to be over rests on the heartbeat itself, never on the answer to
// a direct command: a worker has one heartbeat in flight, so a heartbeat shows what
// became of the answers to those before, which a command's answer does not.
type comparison struct {
	reconciler *Reconciler
	heartbeat  *api.Heartbeat
	worker     *agent.Agent
	now        time.Time

	reported      map[agent.AttemptID]*api.TaskState
	desired       map[agent.AttemptID]bool // committed for the machine
	launches      []committedTask          // those of them to be launched
	stopping      bool                     // some task is on its way out
	free          sched.Resources          // room for launches in this answer
	capacityKnown bool                     // free is known
	commands      []api.Command
}

// CommandsFor returns the commands for a worker whose heartbeat was accepted.
func (r *Reconciler) CommandsFor(heartbeat *api.Heartbeat, worker *agent.Agent, now time.Time) []api.Command {
	if !r.leadership.MayAct(now) {
		return r.agents.StopCancelledTasks(heartbeat.Host)
	}
	// What runs on takes its room until a later heartbeat shows its end; what is
	// stopped without saving leaves before the launches in the same answer.
	size, machineType := r.catalog.MachineCapacity(heartbeat.MachineType)
	c := &comparison{
		reconciler: r, heartbeat: heartbeat, worker: worker, now: now,
		reported:      map[agent.AttemptID]*api.TaskState{},
		desired:       map[agent.AttemptID]bool{},
		free:          size,
		capacityKnown: machineType != nil,
		commands:      []api.Command{},
	}
	c.readHeartbeat()
	for key, placed := range r.cache.Placements[heartbeat.Host] {
		if j := r.cache.Jobs[placed.UID]; j != nil {
			c.compareTask(key, placed, j)
		}
	}
	c.removeUnwanted()
	c.launchDesired()
	return c.commands
}

// readHeartbeat lists the reported attempts.
func (c *comparison) readHeartbeat() {
	for i := range c.heartbeat.Tasks {
		task := &c.heartbeat.Tasks[i]
		if !task.Phase.Known() {
			c.reconciler.node.Log.Error("unknown task phase reported", logkey.Host(c.heartbeat.Host), logkey.Phase(task.Phase.String()))
		}
		c.reported[agent.AttemptID{Task: task.Task, Attempt: task.Attempt}] = task
	}
}

// compareTask compares one committed task with what was reported of it.
func (c *comparison) compareTask(key string, placed *statecache.PlacedTask, j *statecache.Job) {
	task := committedTask{key: key, placed: placed, job: j, attempt: agent.AttemptIDOf(placed, j)}
	task.stop = j.MustStop(placed.Placement)
	if !j.IsGang() { // a gang is stopped as a whole, or else goes on
		task.stop = task.stop || c.worker.Cordoned || c.reconciler.agents.IsInterruptionDue(c.worker, j)
	}
	c.desired[task.attempt] = true
	if reported := c.reported[task.attempt]; reported != nil {
		delete(c.worker.PendingLaunches, key)
		c.comparePresent(task, reported)
		return
	}
	c.compareAbsent(task)
}

// comparePresent deals with a committed task that is on the machine.
func (c *comparison) comparePresent(task committedTask, reported *api.TaskState) {
	if reported.Phase == api.TaskRunning {
		c.noteRunning(task)
	}
	_, over := c.worker.EndedAttempts[task.key]
	switch {
	case reported.Phase == api.TaskEnded:
		if !over {
			c.noteEnd(task, reported)
		}
	case task.stop || over:
		c.stopTask(task, reported)
	default:
		c.free = c.free.Sub(task.resources())
	}
}

// noteRunning notes when an attempt was first seen running.
func (c *comparison) noteRunning(task committedTask) {
	attempt := task.attempt
	if c.worker.FirstRuns[task.key].Attempt == attempt.Attempt {
		return
	}
	c.worker.FirstRuns[task.key] = agent.FirstRun{Attempt: attempt.Attempt, At: c.now}
	c.reconciler.node.Log.Info("task running",
		logkey.Task(attempt.Task), logkey.Attempt(attempt.Attempt), logkey.Host(c.heartbeat.Host))
	if task.job.IsGang() {
		c.reconciler.agents.Gangs().Record(task.placed.UID, attempt.Attempt)
	}
}

// stopTask stops a task that is on the machine. One that is saving already is told again only if
// its job is cancelled, which leaves it less time.
func (c *comparison) stopTask(task committedTask, reported *api.TaskState) {
	c.stopping = true
	saving := reported.Phase == api.TaskSaving
	if saving || task.job.SavesOnStop() {
		c.free = c.free.Sub(task.resources())
	}
	if !saving || task.job.IsCancelled() {
		c.commands = append(c.commands, c.reconciler.agents.StopCommand(task.job, task.attempt))
	}
}

// noteEnd notes that a task has ended, and why.
func (c *comparison) noteEnd(task committedTask, reported *api.TaskState) {
	spec, attempt := &task.job.Record.Spec, task.attempt.Attempt
	done := reported.Cause == api.CauseDone
	c.endAttempt(task.key, agent.EndedAttempt{
		Attempt: attempt,
		Done:    done && spec.Kind != api.Service,
		Failed:  reported.Cause == api.CauseError || reported.Cause == api.CauseUnknown,
		Reason:  agent.ExitReasonOf(reported.Cause),
	})
	started := c.worker.FirstRuns[task.key]
	if done && started.Attempt == attempt && spec.EstimateS > 0 {
		c.reconciler.estimates.ObserveRuntime(spec.Class, c.now.Sub(started.At).Seconds()/spec.EstimateS)
	}
	c.reconciler.agents.HandleTaskEnd(c.heartbeat.Host, c.worker, task.job, reported)
}

// compareAbsent deals with a committed task that is not on the machine.
func (c *comparison) compareAbsent(task committedTask) {
	placement := task.placed.Placement
	_, over := c.worker.EndedAttempts[task.key]
	switch {
	case !task.stop && !task.job.MayLaunch(placement):
		// Held for a gang that is not complete: nothing is started yet.
	case over:
	case task.stop:
		// Never launched, or killed with an earlier agent epoch: this heartbeat was
		// made after any answer of ours that launched it, and no later one will.
		c.endAttempt(task.key, agent.EndedAttempt{Attempt: placement.Attempt})
	case c.worker.Unresponsive() || c.ignoresLaunches(task):
		// It is not there, and no answer given so far will start it: this
		// heartbeat was made after the worker took in or gave up on each of
		// them. A worker that does not obey must not keep its tasks waiting.
		c.noteIgnoredLaunches(task)
		c.endAttempt(task.key, agent.EndedAttempt{Attempt: placement.Attempt, Reason: job.ExitRefused})
	case c.reconciler.zones.IsRestartDelayed(c.heartbeat.Host, task.placed, task.job, c.now):
		// It went with its zone, and what needs its room more goes first. It keeps its
		// place, which production may take, and starts there when its turn comes: to place
		// a zone's arrays anew would take the changes that the readers' placements need.
	case !c.worker.IsLeaseExpired(c.now, c.reconciler.node.Settings.WorkerLeaseBound()):
		c.launches = append(c.launches, task)
	}
}

// ignoresLaunches reports whether a launch was answered so often without being seen that the
// worker ignores it.
func (c *comparison) ignoresLaunches(task committedTask) bool {
	pending := c.worker.PendingLaunches[task.key]
	return pending.Attempt == task.attempt.Attempt && pending.SentAnswers >= agent.MaxUnacknowledgedAnswers
}

// noteIgnoredLaunches notes that the worker does not obey, if that was not known.
func (c *comparison) noteIgnoredLaunches(task committedTask) {
	if c.worker.Unresponsive() {
		return
	}
	c.worker.BecomeUnresponsive(c.now)
	c.reconciler.node.Log.Info("worker ignores launches", logkey.Host(c.heartbeat.Host),
		logkey.Task(task.attempt.Task), logkey.Launches(c.worker.PendingLaunches[task.key].SentAnswers))
}

// endAttempt notes that the attempt of the placement with the key is over.
func (c *comparison) endAttempt(key string, end agent.EndedAttempt) {
	end.EndedAt = c.now
	c.reconciler.agents.RecordAttemptEnd(c.heartbeat.Host, c.worker, key, end)
	c.reconciler.wake.Notify()
}

// removeUnwanted clears or stops what was reported and is not committed.
func (c *comparison) removeUnwanted() {
	for attempt, reported := range c.reported {
		if c.desired[attempt] {
			continue
		}
		command := attempt.Command(api.Clear)
		if reported.Phase != api.TaskEnded {
			command = attempt.Command(api.Stop)
			command.GraceS = new(float64) // at once: nobody waits for what it could save
		}
		c.commands = append(c.commands, command)
	}
}

// launchDesired launches what is committed and not there yet. Launches come last, and only those
// whose room is there: a task that takes another's room waits for one that saves.
func (c *comparison) launchDesired() {
	slices.SortFunc(c.launches, func(a, b committedTask) int { return cmp.Compare(a.key, b.key) })
	for _, task := range c.launches {
		pending := c.worker.PendingLaunches[task.key]
		if pending.Attempt != task.attempt.Attempt {
			pending = agent.PendingLaunch{Attempt: task.attempt.Attempt}
		}
		if c.capacityKnown && !c.free.Fits(task.resources()) {
			c.noteBlocked(task, pending)
			continue
		}
		c.free = c.free.Sub(task.resources())
		pending.SentAnswers++
		pending.BlockedHeartbeats = 0
		c.worker.PendingLaunches[task.key] = pending
		c.commands = append(c.commands, task.attempt.Command(api.Launch))
	}
}

// noteBlocked counts that a launch had no room. A peer may have taken the room of a task that had
// completed, whose end was not committed yet, when its room was another's already.
func (c *comparison) noteBlocked(task committedTask, pending agent.PendingLaunch) {
	pending.BlockedHeartbeats++
	if c.stopping {
		pending.BlockedHeartbeats = 0
	}
	c.worker.PendingLaunches[task.key] = pending
	if pending.BlockedHeartbeats >= agent.MaxUnacknowledgedAnswers {
		c.endAttempt(task.key, agent.EndedAttempt{Attempt: task.attempt.Attempt, Reason: job.ExitRefused})
	}
}
