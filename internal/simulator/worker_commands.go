package simulator

import (
	"slices"

	"violetturn/internal/api"
)

// execute carries out commands.
func (x *Worker) execute(commands []api.Command) {
	for _, o := range commands {
		uid, index, ok := api.SplitTaskName(o.Task)
		if !ok {
			x.w.RecordViolation(RuleCommands, "task %q", o.Task)
			continue
		}
		at := slices.IndexFunc(x.Tasks, func(t *Task) bool { return t.uid == uid && t.index == index && t.attempt == o.Attempt })
		switch {
		case o.Action == api.Launch && at < 0:
			x.launch(uid, index, o.Attempt)
		case o.Action == api.Stop && at >= 0 && x.Tasks[at].phase != api.TaskEnded:
			x.stop(x.Tasks[at], o.GraceS)
		case o.Action == api.Clear && at >= 0 && x.Tasks[at].phase == api.TaskEnded:
			x.Tasks = slices.Delete(x.Tasks, at, at+1)
		}
	}
}

// stop stops a task that has not ended. With enough grace, a running task that can save its
// progress does so first.
func (x *Worker) stop(t *Task, graceS *float64) {
	spec := &t.job.Spec
	if spec.Kind == api.Gang {
		x.stopGangTask(t, graceS)
		return
	}
	if t.phase == api.TaskRunning && spec.CheckpointIntervalS > 0 && graceS != nil && *graceS >= spec.SaveDurationS {
		t.phase, t.saveUntil = api.TaskSaving, x.w.Now.Add(seconds(spec.SaveDurationS))
	} else if t.phase != api.TaskSaving || graceS == nil || *graceS == 0 {
		t.end(api.CauseStopped)
	}
}

// launch begins an attempt of a task. One that finds no room, or the task already there,
// ends at once.
func (x *Worker) launch(uid string, index int, attempt uint64) {
	j := x.w.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		x.w.RecordViolation(RuleCommands, "launch of unknown %s", uid)
		return
	}
	if !j.CancelConfirmed.IsZero() {
		x.w.LaunchesAfterCancel++
	}
	if j.Spec.Kind == api.Gang {
		x.w.launchGangTask(j, index, attempt)
	}
	t := &Task{uid: uid, job: j, index: index, attempt: attempt, phase: api.TaskFetching, since: x.w.Now}
	cpus, gpus := x.FreeCapacity()
	switch {
	case slices.ContainsFunc(x.Tasks, func(o *Task) bool { return o.phase != api.TaskEnded && o.uid == uid && o.index == index }):
		t.end(api.CauseBusy)
	case j.Spec.GPUs > gpus+roundingError || j.Spec.CPUs > cpus+roundingError:
		t.end(api.CauseInsufficientResources)
	}
	x.Tasks = append(x.Tasks, t)
}
