package simulator

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/numeric"
)

// gangProgress is the progress of a gang, a job whose tasks start together.
type gangProgress struct {
	saved       time.Duration // progress that the next attempt continues from
	attempts    map[uint64]*gangAttempt
	lastAttempt uint64 // highest attempt number launched so far
}

// gangAttempt is an attempt whose tasks have all started.
type gangAttempt struct {
	startedAt          time.Time
	initialProgress    time.Duration
	peerLostAt         time.Time    // when a task was lost or its worker hung; zero: neither happened
	stopRequestedAt    time.Time    // when the first task received the command to stop and save; zero: none did
	stopRequestedTasks map[int]bool // indexes of the tasks that received it in time
	ended              bool
	cause              api.ExitCause // of the attempt's end
}

// placedTask is a task and the worker that has it.
type placedTask struct {
	*Task
	worker *Worker
}

// gangTasks returns the tasks of an attempt that are on machines and have not ended.
func (e *Environment) gangTasks(uid string, attempt uint64) []placedTask {
	var tasks []placedTask
	for _, worker := range e.Cloud.Workers() {
		for _, t := range worker.Tasks {
			if t.uid == uid && t.attempt == attempt && t.phase != api.TaskEnded {
				tasks = append(tasks, placedTask{t, worker})
			}
		}
	}
	return tasks
}

// tickGangs advances all attempts of all gangs, in the order of their job IDs.
func (e *Environment) tickGangs() {
	for _, uid := range slices.Sorted(maps.Keys(e.Jobs)) {
		j := e.Jobs[uid]
		if j.Spec.Kind != api.Gang {
			continue
		}
		for attempt := uint64(1); attempt <= j.gang.lastAttempt; attempt++ {
			e.tickGangAttempt(j, attempt)
		}
	}
}

// tickGangAttempt advances the attempt of a gang with the given number.
func (e *Environment) tickGangAttempt(j *Job, number uint64) {
	tasks := e.gangTasks(j.Spec.UID, number)
	if len(tasks) == 0 {
		return
	}
	if j.gang.attempts == nil {
		j.gang.attempts = map[uint64]*gangAttempt{}
	}
	attempt := j.gang.attempts[number]
	switch {
	case attempt == nil:
		e.gatherTasks(j, number, tasks)
	case attempt.ended:
		// A worker discards its tasks when its lease expires. A leader that has no record of
		// their start may then launch them again under the same attempt number.
		attempt.endRunning(tasks)
		e.gatherTasks(j, number, tasks)
	default:
		e.advanceAttempt(j, attempt, tasks)
	}
}

// gatherTasks starts an attempt once all its tasks have fetched their images, and ends tasks that
// have waited for the others for GangStartTimeout.
func (e *Environment) gatherTasks(j *Job, number uint64, tasks []placedTask) {
	ready := map[int]bool{}
	for _, t := range tasks {
		if t.phase == api.TaskGathering && !t.worker.Hung {
			ready[t.index] = true
		}
	}
	if len(ready) == j.Spec.Tasks {
		e.startAttempt(j, number, tasks)
		return
	}
	for _, t := range tasks {
		if t.phase == api.TaskGathering && !t.worker.Hung && e.Now.Sub(t.phaseStartedAt) >= e.GangStartTimeout {
			t.end(api.CauseGangIncomplete)
		}
	}
}

// startAttempt sets the gathered tasks of an attempt running, from the saved progress.
func (e *Environment) startAttempt(j *Job, number uint64, tasks []placedTask) {
	for _, t := range tasks {
		if t.phase == api.TaskGathering {
			t.phase, t.phaseStartedAt = api.TaskRunning, e.Now
		}
	}
	progress := j.gang.saved
	if len(j.DoneTasks) == j.Spec.Tasks { // an earlier attempt has completed the job, and its result is kept
		progress = j.RunTime
	}
	j.gang.attempts[number] = &gangAttempt{startedAt: e.Now, initialProgress: progress, stopRequestedTasks: map[int]bool{}}
}

// advanceAttempt advances an attempt that has started but not ended.
func (e *Environment) advanceAttempt(j *Job, attempt *gangAttempt, tasks []placedTask) {
	progress := attempt.progress(e.Now)
	if attempt.peerLostAt.IsZero() && responsiveTaskCount(tasks) < j.Spec.Tasks {
		attempt.peerLostAt = e.Now
	}
	switch {
	case !attempt.peerLostAt.IsZero():
		if e.Now.Sub(attempt.peerLostAt) >= e.PeerLossTimeout {
			j.gang.saved = j.lastCheckpoint(progress)
			attempt.end(tasks, api.CausePeerLost, false)
		}
	case !attempt.stopRequestedAt.IsZero():
		e.advanceStop(j, attempt, tasks, progress)
	case progress >= j.RunTime:
		for i := range j.Spec.Tasks {
			e.taskDone(j, i)
		}
		attempt.end(tasks, api.CauseDone, false)
	}
}

// advanceStop ends an attempt in which at least one task has received a stop command. If all tasks
// have received one, the attempt ends after the time to save, with its progress saved. If some have
// not received one within PeerLossTimeout, it ends as if a task were lost.
func (e *Environment) advanceStop(j *Job, attempt *gangAttempt, tasks []placedTask, progress time.Duration) {
	sinceRequest := e.Now.Sub(attempt.stopRequestedAt)
	allRequested := len(attempt.stopRequestedTasks) == j.Spec.Tasks
	switch {
	case allRequested && sinceRequest >= numeric.Duration(j.Spec.SaveDurationS):
		j.gang.saved = max(j.gang.saved, progress)
		attempt.end(tasks, api.CauseStopped, true)
	case !allRequested && sinceRequest >= e.PeerLossTimeout:
		j.gang.saved = j.lastCheckpoint(progress)
		attempt.end(tasks, api.CausePeerLost, false)
	}
}

// progress returns the attempt's progress, which no longer grows once a task is lost or receives
// a stop command.
func (a *gangAttempt) progress(now time.Time) time.Duration {
	until := now
	if !a.peerLostAt.IsZero() {
		until = a.peerLostAt
	}
	if !a.stopRequestedAt.IsZero() && a.stopRequestedAt.Before(until) {
		until = a.stopRequestedAt
	}
	return a.initialProgress + until.Sub(a.startedAt)
}

// end ends the attempt and its tasks, except tasks on hung workers.
func (a *gangAttempt) end(tasks []placedTask, cause api.ExitCause, saved bool) {
	a.ended, a.cause = true, cause
	for _, t := range tasks {
		if !t.worker.Hung {
			t.end(cause)
			t.saved = saved
		}
	}
}

// endRunning ends the tasks of an ended attempt that are still running because their workers were
// hung when the attempt ended.
func (a *gangAttempt) endRunning(tasks []placedTask) {
	for _, t := range tasks {
		if t.phase == api.TaskRunning && !t.worker.Hung {
			t.end(a.cause)
		}
	}
}

// responsiveTaskCount returns the number of tasks whose workers are not hung.
func responsiveTaskCount(tasks []placedTask) int {
	n := 0
	for _, t := range tasks {
		if !t.worker.Hung {
			n++
		}
	}
	return n
}

// lastCheckpoint returns the saved progress of a gang whose attempt ends without saving: that of
// the attempt's last periodic checkpoint, or what was saved before if that is more.
func (j *Job) lastCheckpoint(progress time.Duration) time.Duration {
	if j.Spec.CheckpointIntervalS <= 0 {
		return j.gang.saved
	}
	interval := max(numeric.Duration(j.Spec.CheckpointIntervalS), 1)
	return max(j.gang.saved, progress/interval*interval)
}

// stopGangTask carries out a stop command for a task of a gang. If the gang saves checkpoints and
// the grace period is long enough, it saves its progress first and its tasks end together.
// Otherwise the task ends at once.
func (w *Worker) stopGangTask(t *Task, graceS *float64) {
	j := t.job
	attempt := j.gang.attempts[t.attempt]
	if attempt == nil || attempt.ended || t.phase != api.TaskRunning {
		t.end(api.CauseStopped)
		return
	}
	canSave := j.Spec.CheckpointIntervalS > 0 && graceS != nil && *graceS >= j.Spec.SaveDurationS && attempt.peerLostAt.IsZero()
	if !canSave {
		t.end(api.CauseStopped)
		return
	}
	if attempt.stopRequestedAt.IsZero() {
		attempt.stopRequestedAt = w.env.Now
	}
	if w.env.Now.Sub(attempt.stopRequestedAt) <= w.env.PeerLossTimeout {
		attempt.stopRequestedTasks[t.index] = true
	}
}

// checkGangLaunch records the launch of a task of a gang. The launch is a violation if a higher
// attempt was launched before, or if tasks of another attempt have not ended.
func (e *Environment) checkGangLaunch(j *Job, index int, attempt uint64) {
	name := api.TaskName(j.Spec.UID, index)
	if attempt < j.gang.lastAttempt {
		e.RecordViolation(RuleGangAttempts, "task %s is launched as attempt %d after attempt %d", name, attempt, j.gang.lastAttempt)
	}
	for _, worker := range e.Cloud.Workers() {
		for _, t := range worker.Tasks {
			if t.uid == j.Spec.UID && t.attempt != attempt && t.phase != api.TaskEnded {
				e.RecordViolation(RuleGangAttempts, "task %s is launched as attempt %d beside attempt %d of task %d on %s",
					name, attempt, t.attempt, t.index, worker.Host)
			}
		}
	}
	j.gang.lastAttempt = max(j.gang.lastAttempt, attempt)
}
