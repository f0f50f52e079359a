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
	placementKey string // see statecache.PlacementKey
	placed       *statecache.PlacedTask
	job          *statecache.Job
	attempt      agent.AttemptID
	mustStop     bool // the task must be stopped
}

// resources returns the resources that the task uses.
func (t committedTask) resources() sched.Resources { return statecache.ResourcesOf(&t.job.Record.Spec) }

// comparison compares the tasks that are committed for a machine with the tasks that its worker
// reported, and collects the commands that resolve the differences. It keeps no commands between
// heartbeats, so a lost response costs no more than one heartbeat interval.
//
// An attempt is considered ended only by the heartbeat itself, never by the response to a direct
// command. A worker has only one heartbeat in flight, so a heartbeat shows the effect of the
// responses to all earlier ones; the response to a direct command does not.
type comparison struct {
	reconciler *Reconciler
	heartbeat  *api.Heartbeat
	worker     *agent.Agent
	now        time.Time

	reported      map[agent.AttemptID]*api.TaskState
	committed     map[agent.AttemptID]bool // attempts that are committed for the machine
	launches      []committedTask          // committed tasks that are to be launched
	tasksStopping bool                     // at least one task is being stopped
	spaceExpected bool                     // a replica started so recently that space is reserved for its end
	free          sched.Resources          // free capacity for launches in this response
	capacityKnown bool                     // free is valid: the catalog has the machine type
	commands      *agent.CommandSet
}

// CommandsFor returns the commands for a worker whose heartbeat was accepted.
func (r *Reconciler) CommandsFor(heartbeat *api.Heartbeat, worker *agent.Agent, now time.Time) []api.Command {
	if !r.leadership.MayAct(now) {
		return r.agents.StopCancelledTasks(worker, heartbeat, now)
	}
	// Tasks that continue to run use their resources until a later heartbeat reports their end.
	// Tasks that are stopped without saving end before the launches in the same response start.
	machineCapacity, machineType := r.catalog.MachineCapacity(heartbeat.MachineType)
	c := &comparison{
		reconciler: r, heartbeat: heartbeat, worker: worker, now: now,
		reported:      map[agent.AttemptID]*api.TaskState{},
		committed:     map[agent.AttemptID]bool{},
		free:          machineCapacity,
		capacityKnown: machineType != nil,
		commands:      agent.NewCommandSet(worker, heartbeat, now),
	}
	c.indexReportedAttempts()
	for placementKey, placed := range r.cache.Placements[heartbeat.Host] {
		if j := r.cache.Jobs[placed.UID]; j != nil {
			c.compareTask(placementKey, placed, j)
		}
	}
	c.removeUncommitted()
	c.commands.SelectStops()
	c.commands.SelectClears(c.relaunchesReportedTask())
	// The capacity of tasks whose stops were left out is not free yet, and stops take precedence over
	// launches in the next response too.
	if !c.commands.Deferred() {
		c.launchTasks()
	} else {
		r.node.Log.Info("commands deferred", logkey.Host(heartbeat.Host), logkey.Commands(len(c.commands.Commands())),
			logkey.Tasks(len(heartbeat.Tasks)), logkey.Bytes(heartbeat.EncodedBytes()))
	}
	return c.commands.Commands()
}

// indexReportedAttempts indexes the reported tasks by attempt.
func (c *comparison) indexReportedAttempts() {
	for i := range c.heartbeat.Tasks {
		task := &c.heartbeat.Tasks[i]
		if !task.Phase.Known() {
			c.reconciler.node.Log.Error("unknown task phase reported", logkey.Host(c.heartbeat.Host), logkey.Phase(task.Phase.String()))
		}
		c.reported[agent.AttemptID{Task: task.Task, Attempt: task.Attempt}] = task
	}
}

// compareTask compares a committed task with the report of its attempt.
func (c *comparison) compareTask(placementKey string, placed *statecache.PlacedTask, j *statecache.Job) {
	task := committedTask{placementKey: placementKey, placed: placed, job: j, attempt: agent.AttemptIDOf(placed, j)}
	task.mustStop = j.MustStop(placed.Placement)
	if !j.IsGang() { // gangs are stopped as a whole or not at all
		task.mustStop = task.mustStop || c.worker.Cordoned || c.reconciler.agents.IsInterruptionDue(c.worker, j)
	}
	c.committed[task.attempt] = true
	if reported := c.reported[task.attempt]; reported != nil {
		delete(c.worker.PendingLaunches, placementKey)
		c.comparePresent(task, reported)
		return
	}
	c.compareAbsent(task)
}

// comparePresent handles a committed task whose attempt the worker reports.
func (c *comparison) comparePresent(task committedTask, reported *api.TaskState) {
	if reported.Phase == api.TaskRunning {
		c.recordFirstRun(task)
	}
	mayEnd := c.reconciler.agents.MayEndBeforeNextHeartbeat(c.worker, task.placementKey, task.attempt, task.job, reported.Phase, c.now)
	if mayEnd {
		c.commands.ReserveEnd()
		c.spaceExpected = c.spaceExpected || task.job.Record.Spec.Kind == api.Service
	}
	_, ended := c.worker.EndedAttempts[task.placementKey]
	switch {
	case reported.Phase == api.TaskEnded:
		if !ended {
			c.recordReportedEnd(task, reported)
		}
	case task.mustStop || ended:
		c.stopTask(task, reported, mayEnd)
	default:
		c.free = c.free.Sub(task.resources())
	}
}

// recordFirstRun records when an attempt was first reported as running.
func (c *comparison) recordFirstRun(task committedTask) {
	attempt := task.attempt
	if c.worker.FirstRuns[task.placementKey].Attempt == attempt.Attempt {
		return
	}
	c.worker.FirstRuns[task.placementKey] = agent.FirstRun{Attempt: attempt.Attempt, At: c.now}
	c.reconciler.node.Log.Info("task running",
		logkey.Task(attempt.Task), logkey.Attempt(attempt.Attempt), logkey.Host(c.heartbeat.Host))
	if task.job.IsGang() {
		c.reconciler.agents.Gangs().Record(task.placed.UID, attempt.Attempt)
	}
}

// stopTask stops a task that is on the machine. A task that is saving already is sent another stop
// command only if its job is cancelled, because that leaves it less time.
// endReserved is true if space for the end of the task is reserved in the next heartbeat.
func (c *comparison) stopTask(task committedTask, reported *api.TaskState, endReserved bool) {
	c.tasksStopping = true
	saving := reported.Phase == api.TaskSaving
	if saving || task.job.SavesOnStop() {
		c.free = c.free.Sub(task.resources())
	}
	if !saving || task.job.IsCancelled() {
		urgency := agent.StopUrgency(task.job.IsCancelled())
		c.commands.AddStop(c.reconciler.agents.StopCommand(task.job, task.attempt), urgency, endReserved)
	}
}

// recordReportedEnd records that a task has ended, and why.
func (c *comparison) recordReportedEnd(task committedTask, reported *api.TaskState) {
	spec, attempt := &task.job.Record.Spec, task.attempt.Attempt
	done := reported.Cause == api.CauseDone
	c.endAttempt(task.placementKey, agent.EndedAttempt{
		Attempt: attempt,
		Done:    done && spec.Kind != api.Service,
		Failed:  reported.Cause == api.CauseError || reported.Cause == api.CauseUnknownTask,
		Reason:  agent.ExitReasonOf(reported.Cause),
	})
	firstRun := c.worker.FirstRuns[task.placementKey]
	if done && firstRun.Attempt == attempt && spec.EstimatedRunS > 0 {
		c.reconciler.estimates.ObserveRuntime(spec.Class, c.now.Sub(firstRun.At).Seconds()/spec.EstimatedRunS)
	}
	c.reconciler.agents.HandleTaskEnd(c.heartbeat.Host, c.worker, task.job, reported)
}

// compareAbsent handles a committed task whose attempt the worker does not report.
func (c *comparison) compareAbsent(task committedTask) {
	placement := task.placed.Placement
	_, ended := c.worker.EndedAttempts[task.placementKey]
	switch {
	case !task.mustStop && !task.job.MayLaunch(placement):
		// The task's gang is not complete yet, so none of its tasks is launched.
	case ended:
	case task.mustStop:
		// The attempt was never launched, or was killed with an earlier agent epoch: this heartbeat
		// was made after any response that launched the attempt, and no later one will launch it.
		c.endAttempt(task.placementKey, agent.EndedAttempt{Attempt: placement.Attempt})
	case c.worker.Unresponsive() || c.ignoresLaunches(task):
		// The attempt is not on the machine, and no response so far will start it: the worker made
		// this heartbeat after it received or stopped waiting for each of them. The end of the
		// attempt lets its task be placed elsewhere, so that a worker that ignores commands does
		// not block it.
		c.markUnresponsive(task)
		c.endAttempt(task.placementKey, agent.EndedAttempt{Attempt: placement.Attempt, Reason: job.ExitRefused})
	case c.reconciler.zones.IsRestartDelayed(c.heartbeat.Host, task.placed, task.job, c.now):
		// The task was lost when its zone failed, and work of higher priority takes precedence. The
		// task keeps its placement, which production work may preempt, and restarts there when the
		// zone's slow start admits its machine: placing all arrays of a zone again would use the
		// writes that the placements of production services need.
	case !c.worker.IsLeaseExpired(c.now, c.reconciler.node.Settings.WorkerLeaseBound()):
		c.launches = append(c.launches, task)
	}
}

// ignoresLaunches reports whether so many responses launched the task, without the worker reporting
// it, that the worker is considered to ignore launches.
func (c *comparison) ignoresLaunches(task committedTask) bool {
	pending := c.worker.PendingLaunches[task.placementKey]
	return pending.Attempt == task.attempt.Attempt && pending.SentResponses >= agent.MaxIgnoredLaunches
}

// markUnresponsive marks the worker as unresponsive, if it is not marked yet.
func (c *comparison) markUnresponsive(task committedTask) {
	if c.worker.Unresponsive() {
		return
	}
	c.worker.BecomeUnresponsive(c.now)
	c.reconciler.node.Log.Info("worker ignores launches", logkey.Host(c.heartbeat.Host),
		logkey.Task(task.attempt.Task), logkey.Launches(c.worker.PendingLaunches[task.placementKey].SentResponses))
}

// endAttempt records that the attempt of the placement with the given key has ended, and triggers
// new decisions.
func (c *comparison) endAttempt(placementKey string, end agent.EndedAttempt) {
	end.EndedAt = c.now
	c.reconciler.agents.RecordAttemptEnd(c.heartbeat.Host, c.worker, placementKey, end)
	c.reconciler.wake.Notify()
}

// removeUncommitted clears or stops reported attempts that are not committed for the machine.
func (c *comparison) removeUncommitted() {
	for attempt, reported := range c.reported {
		if c.committed[attempt] {
			continue
		}
		if reported.Phase == api.TaskEnded {
			c.commands.AddClear(attempt)
			continue
		}
		c.commands.ReserveEnd()
		command := attempt.Command(api.Stop)
		command.GraceS = new(float64) // at once: no job uses what the attempt could save
		c.commands.AddStop(command, agent.StopRemoved, true)
	}
}

// relaunchesReportedTask reports whether a task is to be launched of which the worker still reports
// another attempt. Workers may refuse a task of which they know another attempt.
func (c *comparison) relaunchesReportedTask() bool {
	if len(c.launches) == 0 {
		return false
	}
	tasks := make(map[string]bool, len(c.reported))
	for attempt := range c.reported {
		tasks[attempt.Task] = true
	}
	return slices.ContainsFunc(c.launches, func(task committedTask) bool { return tasks[task.attempt.Task] })
}

// launchTasks launches committed tasks that are not on the machine yet. Launches are the last
// commands, and only tasks that fit the free capacity are launched: a task that replaces another
// one waits until that has finished saving.
func (c *comparison) launchTasks() {
	slices.SortFunc(c.launches, func(a, b committedTask) int { return cmp.Compare(a.placementKey, b.placementKey) })
	for _, task := range c.launches {
		pending := c.worker.PendingLaunches[task.placementKey]
		if pending.Attempt != task.attempt.Attempt {
			pending = agent.PendingLaunch{Attempt: task.attempt.Attempt}
		}
		if c.capacityKnown && !c.free.Fits(task.resources()) {
			c.recordBlockedLaunch(task, pending)
			continue
		}
		switch c.commands.SelectLaunch(task.attempt) {
		case agent.LaunchSelected:
		case agent.MessageFull:
			return // the other launches follow in the next response
		case agent.ReportFull:
			if !c.spaceExpected {
				c.recordBlockedLaunch(task, pending)
			}
			continue
		}
		c.free = c.free.Sub(task.resources())
		pending.SentResponses++
		pending.BlockedHeartbeats = 0
		c.worker.PendingLaunches[task.placementKey] = pending
	}
}

// recordBlockedLaunch counts a launch that did not fit the free capacity, and ends the attempt
// after several in a row. This happens when a peer claims the capacity of a completed task whose
// end is not committed yet, after that capacity was assigned to another task.
func (c *comparison) recordBlockedLaunch(task committedTask, pending agent.PendingLaunch) {
	pending.BlockedHeartbeats++
	if c.tasksStopping {
		pending.BlockedHeartbeats = 0
	}
	c.worker.PendingLaunches[task.placementKey] = pending
	if pending.BlockedHeartbeats >= agent.MaxBlockedHeartbeats {
		c.endAttempt(task.placementKey, agent.EndedAttempt{Attempt: task.attempt.Attempt, Reason: job.ExitRefused})
	}
}
