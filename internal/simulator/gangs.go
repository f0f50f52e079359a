package simulator

import (
	"slices"
	"time"

	"violetturn/internal/api"
)

// gang is how a job's tasks run that start together.
type gang struct {
	saved time.Duration // progress that is safe
	runs  map[uint64]*gangRun
	last  uint64 // the highest attempt whose tasks were launched
}

// gangRun is an attempt whose tasks have all started.
type gangRun struct {
	since   time.Time     // when
	from    time.Duration // with what progress
	broken  time.Time     // when a task of it went, or stopped being executed; zero: none did
	stopped time.Time     // when the first task was told to stop and save
	told    map[int]bool
	over    bool
	cause   string // why
}

// mates gives the tasks of an attempt that are on machines.
func (w *World) mates(uid string, try uint64) (tasks []*Task, on []*Worker) {
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if t.uid == uid && t.try == try && t.phase != api.Ended {
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
		if j := w.Jobs[uid]; j.Run.Kind == api.Gang {
			for try := uint64(1); try <= j.gang.last; try++ {
				w.tickAttempt(j, try)
			}
		}
	}
}

func (w *World) tickAttempt(j *Job, try uint64) {
	tasks, on := w.mates(j.Run.UID, try)
	if len(tasks) == 0 {
		return
	}
	if j.gang.runs == nil {
		j.gang.runs = map[uint64]*gangRun{}
	}
	run := j.gang.runs[try]
	if run == nil {
		w.gather(j, try, tasks, on)
		return
	}
	if run.over {
		// A machine that forgot its tasks with its lease may start them once more under
		// the same number, when an owner that can't know it takes them for never started.
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
		if j.Run.CheckpointS <= 0 {
			return j.gang.saved
		}
		b := time.Duration(j.Run.CheckpointS * float64(time.Second))
		return max(j.gang.saved, progress/b*b)
	}
	end := func(cause string, saved bool) {
		run.over, run.cause = true, cause
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
	if run.broken.IsZero() && (alive < j.Run.Tasks) {
		run.broken = w.Now
	}
	switch {
	case !run.broken.IsZero():
		if w.Now.Sub(run.broken) >= w.GangPeer {
			j.gang.saved = fall()
			end(api.CauseMates, false)
		}
	case !run.stopped.IsZero():
		if len(run.told) == j.Run.Tasks {
			if w.Now.Sub(run.stopped) >= time.Duration(j.Run.SaveS*float64(time.Second)) {
				j.gang.saved = max(j.gang.saved, progress)
				end(api.CauseStopped, true)
			}
		} else if w.Now.Sub(run.stopped) >= w.GangPeer {
			j.gang.saved = fall()
			end(api.CauseMates, false)
		}
	case progress >= j.RunTime:
		for i := range j.Run.Tasks {
			j.Done[i] = true
			if w.AtEnd != nil {
				w.AtEnd(j.Run.UID)
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
	if len(ready) == j.Run.Tasks {
		for _, t := range tasks {
			if t.phase == api.Gathering {
				t.phase, t.since = api.Running, w.Now
			}
		}
		j.gang.runs[try] = &gangRun{since: w.Now, from: j.gang.saved, told: map[int]bool{}}
		if len(j.Done) == j.Run.Tasks { // the result is kept
			j.gang.runs[try].from = j.RunTime
		}
		return
	}
	for i, t := range tasks {
		if t.phase == api.Gathering && !on[i].Hung && w.Now.Sub(t.since) >= w.GangWait {
			t.phase, t.cause = api.Ended, api.CauseAlone
		}
	}
}

// haltMate tells a task of a gang to stop.
func (x *Worker) haltMate(t *Task, leeway *float64) {
	j := t.job
	run := j.gang.runs[t.try]
	if run == nil || run.over || t.phase != api.Running {
		t.phase, t.cause = api.Ended, api.CauseStopped
		return
	}
	if j.Run.CheckpointS > 0 && leeway != nil && *leeway >= j.Run.SaveS && run.broken.IsZero() {
		if run.stopped.IsZero() {
			run.stopped = x.w.Now
		}
		if x.w.Now.Sub(run.stopped) <= x.w.GangPeer {
			run.told[t.index] = true
		}
		return
	}
	t.phase, t.cause = api.Ended, api.CauseStopped
}

// launchMate checks the launch of a task of a gang: a lower attempt than one that was
// launched before, or one beside another that is still there, mixes two attempts up.
func (w *World) launchMate(j *Job, i int, try uint64) {
	name := api.TaskName(j.Run.UID, i)
	if try < j.gang.last {
		w.Break("attempts", "%s starts as attempt %d after %d", name, try, j.gang.last)
	}
	for _, x := range w.Cloud.Workers() {
		for _, t := range x.Tasks {
			if t.uid == j.Run.UID && t.try != try && t.phase != api.Ended {
				w.Break("attempts", "%s starts as attempt %d beside attempt %d of task %d on %s", name, try, t.try, t.index, x.Host)
			}
		}
	}
	j.gang.last = max(j.gang.last, try)
}
