package simulator

import (
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/numeric"
)

// execute carries out commands. It ignores commands that do not apply to the current state of their
// task.
func (w *Worker) execute(commands []api.Command) {
	for _, command := range commands {
		uid, index, ok := api.SplitTaskName(command.Task)
		if !ok {
			w.env.RecordViolation(RuleCommands, "command with invalid task name %q", command.Task)
			continue
		}
		pos := slices.IndexFunc(w.Tasks, func(t *Task) bool { return t.uid == uid && t.index == index && t.attempt == command.Attempt })
		switch {
		case command.Action == api.Launch && pos < 0:
			w.launch(uid, index, command.Attempt)
		case command.Action == api.Stop && pos >= 0 && w.Tasks[pos].phase != api.TaskEnded:
			w.stop(w.Tasks[pos], command.GraceS)
		case command.Action == api.Clear && pos >= 0 && w.Tasks[pos].phase == api.TaskEnded:
			w.Tasks = slices.Delete(w.Tasks, pos, pos+1)
		}
	}
}

// stop stops a task that has not ended. A running task with checkpoints saves its progress first if
// the grace period is long enough.
func (w *Worker) stop(t *Task, graceS *float64) {
	spec := &t.job.Spec
	if spec.Kind == api.Gang {
		w.stopGangTask(t, graceS)
		return
	}
	if t.phase == api.TaskRunning && spec.CheckpointIntervalS > 0 && graceS != nil && *graceS >= spec.SaveDurationS {
		t.phase, t.saveUntil = api.TaskSaving, w.env.Now.Add(numeric.Duration(spec.SaveDurationS))
	} else if t.phase != api.TaskSaving || graceS == nil || *graceS == 0 {
		t.end(api.CauseStopped)
	}
}

// launch starts an attempt of a task. The attempt ends at once if the machine lacks free capacity
// or already has an unfinished attempt of the task.
func (w *Worker) launch(uid string, index int, attempt uint64) {
	j := w.env.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		w.env.RecordViolation(RuleCommands, "launch of a task that does not exist, job %s", uid)
		return
	}
	if !j.CancelConfirmed.IsZero() {
		w.env.LaunchesAfterCancel++
	}
	if j.Spec.Kind == api.Gang {
		w.env.checkGangLaunch(j, index, attempt)
	}
	t := &Task{uid: uid, job: j, index: index, attempt: attempt, phase: api.TaskFetching, phaseStartedAt: w.env.Now}
	freeCPUs, freeGPUs := w.FreeCapacity()
	switch {
	case slices.ContainsFunc(w.Tasks, func(o *Task) bool { return o.phase != api.TaskEnded && o.uid == uid && o.index == index }):
		t.end(api.CauseBusy)
	case j.Spec.GPUs > freeGPUs+roundingTolerance || j.Spec.CPUs > freeCPUs+roundingTolerance:
		t.end(api.CauseInsufficientResources)
	}
	w.Tasks = append(w.Tasks, t)
}
