package simulator

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
)

// gangProgress is the progress of a job whose tasks start together.
type gangProgress struct {
	saved       time.Duration // progress that is safe
	attempts    map[uint64]*gangAttempt
	lastAttempt uint64 // the highest number whose tasks were launched
}

// gangAttempt is an attempt whose tasks have all started.
type gangAttempt struct {
	startedAt       time.Time
	initialProgress time.Duration
	brokenAt        time.Time    // when a task of it was lost, or stopped being executed; zero: none was
	stopRequestedAt time.Time    // when the first task was told to stop and save; zero: none was
	stopping        map[int]bool // the tasks that were told so
	ended           bool
	cause           api.ExitCause // of the end
}

// placedTask is a task with the worker that it is on.
type placedTask struct {
	*Task
	worker *Worker
}

// gangTasks returns the tasks of an attempt that are on machines.
func (w *Environment) gangTasks(uid string, attempt uint64) []placedTask {
	var tasks []placedTask
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if t.uid == uid && t.attempt == attempt && t.phase != api.TaskEnded {
				tasks = append(tasks, placedTask{t, x})
			}
		}
	}
	return tasks
}

// tickGangs lets the tasks of gangs find each other, run, and notice who is lost.
func (w *Environment) tickGangs() {
	for _, uid := range slices.Sorted(maps.Keys(w.Jobs)) {
		j := w.Jobs[uid]
		if j.Spec.Kind != api.Gang {
			continue
		}
		for attempt := uint64(1); attempt <= j.gang.lastAttempt; attempt++ {
			w.tickGangAttempt(j, attempt)
		}
	}
}

// tickGangAttempt advances one attempt of a gang.
func (w *Environment) tickGangAttempt(j *Job, number uint64) {
	tasks := w.gangTasks(j.Spec.UID, number)
	if len(tasks) == 0 {
		return
	}
	if j.gang.attempts == nil {
		j.gang.attempts = map[uint64]*gangAttempt{}
	}
	attempt := j.gang.attempts[number]
	switch {
	case attempt == nil:
		w.gather(j, number, tasks)
	case attempt.ended:
		// A machine that lost its tasks with its lease may start them once more under
		// the same number, when a leader that can't know it takes them for never started.
		attempt.endRunning(tasks)
		w.gather(j, number, tasks)
	default:
		w.runAttempt(j, attempt, tasks)
	}
}

// gather lets an attempt start when all its tasks have their images, and ends the tasks that
// have waited too long for the others.
func (w *Environment) gather(j *Job, number uint64, tasks []placedTask) {
	ready := map[int]bool{}
	for _, t := range tasks {
		if t.phase == api.TaskGathering && !t.worker.Hung {
			ready[t.index] = true
		}
	}
	if len(ready) == j.Spec.Tasks {
		w.startAttempt(j, number, tasks)
		return
	}
	for _, t := range tasks {
		if t.phase == api.TaskGathering && !t.worker.Hung && w.Now.Sub(t.since) >= w.GangStartTimeout {
			t.end(api.CauseGangIncomplete)
		}
	}
}

// startAttempt lets the gathered tasks of an attempt run, from the progress that is safe.
func (w *Environment) startAttempt(j *Job, number uint64, tasks []placedTask) {
	for _, t := range tasks {
		if t.phase == api.TaskGathering {
			t.phase, t.since = api.TaskRunning, w.Now
		}
	}
	progress := j.gang.saved
	if len(j.DoneTasks) == j.Spec.Tasks { // the result is kept
		progress = j.RunTime
	}
	j.gang.attempts[number] = &gangAttempt{startedAt: w.Now, initialProgress: progress, stopping: map[int]bool{}}
}

// runAttempt advances an attempt that has started and not ended.
func (w *Environment) runAttempt(j *Job, attempt *gangAttempt, tasks []placedTask) {
	progress := attempt.progress(w.Now)
	if attempt.brokenAt.IsZero() && responsive(tasks) < j.Spec.Tasks {
		attempt.brokenAt = w.Now
	}
	switch {
	case !attempt.brokenAt.IsZero():
		if w.Now.Sub(attempt.brokenAt) >= w.PeerLossTimeout {
			j.gang.saved = j.lastCheckpoint(progress)
			attempt.end(tasks, api.CausePeerLost, false)
		}
	case !attempt.stopRequestedAt.IsZero():
		w.stopAttempt(j, attempt, tasks, progress)
	case progress >= j.RunTime:
		for i := range j.Spec.Tasks {
			w.taskDone(j, i)
		}
		attempt.end(tasks, api.CauseDone, false)
	}
}

// stopAttempt ends an attempt that was told to stop: with its progress saved once all tasks
// were told and had their time, or as broken if some were not told in time.
func (w *Environment) stopAttempt(j *Job, attempt *gangAttempt, tasks []placedTask, progress time.Duration) {
	stopping := w.Now.Sub(attempt.stopRequestedAt)
	allTold := len(attempt.stopping) == j.Spec.Tasks
	switch {
	case allTold && stopping >= seconds(j.Spec.SaveDurationS):
		j.gang.saved = max(j.gang.saved, progress)
		attempt.end(tasks, api.CauseStopped, true)
	case !allTold && stopping >= w.PeerLossTimeout:
		j.gang.saved = j.lastCheckpoint(progress)
		attempt.end(tasks, api.CausePeerLost, false)
	}
}

// progress returns how far the attempt has come. It makes none once it is broken or stops.
func (a *gangAttempt) progress(now time.Time) time.Duration {
	until := now
	if !a.brokenAt.IsZero() {
		until = a.brokenAt
	}
	if !a.stopRequestedAt.IsZero() && a.stopRequestedAt.Before(until) {
		until = a.stopRequestedAt
	}
	return a.initialProgress + until.Sub(a.startedAt)
}

// end ends the attempt, and those of its tasks whose workers execute anything.
func (a *gangAttempt) end(tasks []placedTask, cause api.ExitCause, saved bool) {
	a.ended, a.cause = true, cause
	for _, t := range tasks {
		if !t.worker.Hung {
			t.end(cause)
			t.saved = saved
		}
	}
}

// endRunning ends the tasks of an ended attempt that still run: their workers were hung when
// it ended.
func (a *gangAttempt) endRunning(tasks []placedTask) {
	for _, t := range tasks {
		if t.phase == api.TaskRunning && !t.worker.Hung {
			t.end(a.cause)
		}
	}
}

// responsive returns the number of tasks whose workers execute anything.
func responsive(tasks []placedTask) int {
	n := 0
	for _, t := range tasks {
		if !t.worker.Hung {
			n++
		}
	}
	return n
}

// lastCheckpoint returns the progress that a broken attempt leaves.
func (j *Job) lastCheckpoint(progress time.Duration) time.Duration {
	if j.Spec.CheckpointIntervalS <= 0 {
		return j.gang.saved
	}
	interval := seconds(j.Spec.CheckpointIntervalS)
	return max(j.gang.saved, progress/interval*interval)
}

// stopGangTask tells a task of a gang to stop. The gang saves its progress if it can and the
// grace is enough; then its tasks end together.
func (x *Worker) stopGangTask(t *Task, graceS *float64) {
	j := t.job
	attempt := j.gang.attempts[t.attempt]
	if attempt == nil || attempt.ended || t.phase != api.TaskRunning {
		t.end(api.CauseStopped)
		return
	}
	canSave := j.Spec.CheckpointIntervalS > 0 && graceS != nil && *graceS >= j.Spec.SaveDurationS && attempt.brokenAt.IsZero()
	if !canSave {
		t.end(api.CauseStopped)
		return
	}
	if attempt.stopRequestedAt.IsZero() {
		attempt.stopRequestedAt = x.w.Now
	}
	if x.w.Now.Sub(attempt.stopRequestedAt) <= x.w.PeerLossTimeout {
		attempt.stopping[t.index] = true
	}
}

// launchGangTask checks the launch of a task of a gang: a lower attempt than one that was
// launched before, or one beside another that is still there, mixes two attempts up.
func (w *Environment) launchGangTask(j *Job, index int, attempt uint64) {
	name := api.TaskName(j.Spec.UID, index)
	if attempt < j.gang.lastAttempt {
		w.RecordViolation(RuleGangAttempts, "%s starts as attempt %d after %d", name, attempt, j.gang.lastAttempt)
	}
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if t.uid == j.Spec.UID && t.attempt != attempt && t.phase != api.TaskEnded {
				w.RecordViolation(RuleGangAttempts, "%s starts as attempt %d beside attempt %d of task %d on %s",
					name, attempt, t.attempt, t.index, x.Host)
			}
		}
	}
	j.gang.lastAttempt = max(j.gang.lastAttempt, attempt)
}
