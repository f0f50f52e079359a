package simulator

import (
	"slices"
	"time"

	"violetturn/internal/api"
)

// gangProgress is how a job's tasks run that start together.
type gangProgress struct {
	saved time.Duration // progress that is safe
	runs  map[uint64]*gangAttempt
	last  uint64 // the highest attempt whose tasks were launched
}

// gangAttempt is an attempt whose tasks have all started.
type gangAttempt struct {
	since      time.Time     // when
	from       time.Duration // with what progress
	broken     time.Time     // when a task of it went, or stopped being executed; zero: none did
	stopped    time.Time     // when the first task was told to stop and save
	toldToStop map[int]bool
	ended      bool
	cause      string // why
}

// gangTasks returns the tasks of an attempt that are on machines.
func (w *World) gangTasks(uid string, try uint64) (tasks []*Task, on []*Worker) {
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if t.uid == uid && t.attempt == try && t.phase != api.Ended {
				tasks, on = append(tasks, t), append(on, x)
			}
		}
	}
	return tasks, on
}

// tickGangs lets the tasks of gangs find each other, run, and notice who is gone.
func (w *World) tickGangs() {
	for _, uid := range slices.Sorted(func(yield func(string) bool) {
		for u := range w.Jobs {
			if !yield(u) {
				return
			}
		}
	}) {
		if j := w.Jobs[uid]; j.Spec.Kind == api.Gang {
			for try := uint64(1); try <= j.gang.last; try++ {
				w.tickGangAttempt(j, try)
			}
		}
	}
}

func (w *World) tickGangAttempt(j *Job, try uint64) {
	tasks, on := w.gangTasks(j.Spec.UID, try)
	if len(tasks) == 0 {
		return
	}
	if j.gang.runs == nil {
		j.gang.runs = map[uint64]*gangAttempt{}
	}
	run := j.gang.runs[try]
	if run == nil {
		w.gather(j, try, tasks, on)
		return
	}
	if run.ended {
		// A machine that forgot its tasks with its lease may start them once more under
		// the same number, when a leader that can't know it takes them for never started.
		for i, t := range tasks { // one that stood still goes on, and sees that it is over
			if t.phase == api.Running && !on[i].Hung {
				t.phase, t.cause = api.Ended, run.cause
			}
		}
		w.gather(j, try, tasks, on)
		return
	}
	stop := w.Now
	if !run.broken.IsZero() {
		stop = run.broken
	}
	if !run.stopped.IsZero() && run.stopped.Before(stop) {
		stop = run.stopped
	}
	progress := run.from + stop.Sub(run.since)
	fall := func() time.Duration { // to the last checkpoint
		if j.Spec.CheckpointS <= 0 {
			return j.gang.saved
		}
		b := time.Duration(j.Spec.CheckpointS * float64(time.Second))
		return max(j.gang.saved, progress/b*b)
	}
	end := func(cause string, saved bool) {
		run.ended, run.cause = true, cause
		for i, t := range tasks {
			if !on[i].Hung {
				t.phase, t.cause, t.saved = api.Ended, cause, saved
			}
		}
	}
	alive := 0
	for i := range tasks {
		if !on[i].Hung {
			alive++
		}
	}
	if run.broken.IsZero() && (alive < j.Spec.Tasks) {
		run.broken = w.Now
	}
	switch {
	case !run.broken.IsZero():
		if w.Now.Sub(run.broken) >= w.GangPeer {
			j.gang.saved = fall()
			end(api.CausePeerLost, false)
		}
	case !run.stopped.IsZero():
		if len(run.toldToStop) == j.Spec.Tasks {
			if w.Now.Sub(run.stopped) >= time.Duration(j.Spec.SaveS*float64(time.Second)) {
				j.gang.saved = max(j.gang.saved, progress)
				end(api.CauseStopped, true)
			}
		} else if w.Now.Sub(run.stopped) >= w.GangPeer {
			j.gang.saved = fall()
			end(api.CausePeerLost, false)
		}
	case progress >= j.RunTime:
		for i := range j.Spec.Tasks {
			j.Done[i] = true
			if w.OnTaskDone != nil {
				w.OnTaskDone(j.Spec.UID)
			}
		}
		end(api.CauseDone, false)
	}
}

// gather lets an attempt start when all its tasks have their images.
func (w *World) gather(j *Job, try uint64, tasks []*Task, on []*Worker) {
	ready := map[int]bool{}
	for i, t := range tasks {
		if t.phase == api.Gathering && !on[i].Hung {
			ready[t.index] = true
		}
	}
	if len(ready) == j.Spec.Tasks {
		for _, t := range tasks {
			if t.phase == api.Gathering {
				t.phase, t.since = api.Running, w.Now
			}
		}
		j.gang.runs[try] = &gangAttempt{since: w.Now, from: j.gang.saved, toldToStop: map[int]bool{}}
		if len(j.Done) == j.Spec.Tasks { // the result is kept
			j.gang.runs[try].from = j.RunTime
		}
		return
	}
	for i, t := range tasks {
		if t.phase == api.Gathering && !on[i].Hung && w.Now.Sub(t.since) >= w.GangWait {
			t.phase, t.cause = api.Ended, api.CauseGangIncomplete
		}
	}
}

// stopGangTask tells a task of a gang to stop.
func (x *Worker) stopGangTask(t *Task, leeway *float64) {
	j := t.job
	run := j.gang.runs[t.attempt]
	if run == nil || run.ended || t.phase != api.Running {
		t.phase, t.cause = api.Ended, api.CauseStopped
		return
	}
	if j.Spec.CheckpointS > 0 && leeway != nil && *leeway >= j.Spec.SaveS && run.broken.IsZero() {
		if run.stopped.IsZero() {
			run.stopped = x.w.Now
		}
		if x.w.Now.Sub(run.stopped) <= x.w.GangPeer {
			run.toldToStop[t.index] = true
		}
		return
	}
	t.phase, t.cause = api.Ended, api.CauseStopped
}

// launchGangTask checks the launch of a task of a gang: a lower attempt than one that was
// launched before, or one beside another that is still there, mixes two attempts up.
func (w *World) launchGangTask(j *Job, i int, try uint64) {
	name := api.TaskName(j.Spec.UID, i)
	if try < j.gang.last {
		w.Violate("attempts", "%s starts as attempt %d after %d", name, try, j.gang.last)
	}
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if t.uid == j.Spec.UID && t.attempt != try && t.phase != api.Ended {
				w.Violate("attempts", "%s starts as attempt %d beside attempt %d of task %d on %s", name, try, t.attempt, t.index, x.Host)
			}
		}
	}
	j.gang.last = max(j.gang.last, try)
}
