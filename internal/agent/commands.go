package agent

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/statecache"
)

// AttemptID identifies an attempt of a task in commands and heartbeats.
type AttemptID struct {
	Task    string
	Attempt uint64
}

// AttemptIDOf returns the ID of the attempt of a placed task of a job.
func AttemptIDOf(task *statecache.PlacedTask, j *statecache.Job) AttemptID {
	return AttemptID{Task: task.TaskName(j), Attempt: task.Placement.Attempt}
}

// Command returns a command that applies the action to the attempt.
func (a AttemptID) Command(action api.CommandAction) api.Command {
	return api.Command{Action: action, Task: a.Task, Attempt: a.Attempt}
}

// StopCommand returns the command that stops an attempt of a task. Its grace period leaves time to
// save the progress if the job saves on stop, and is zero otherwise.
func (r *Registry) StopCommand(j *statecache.Job, attempt AttemptID) api.Command {
	graceS := 0.0
	if j.SavesOnStop() {
		graceS = j.Record.Spec.SaveDurationS * 2
		if j.IsGang() {
			graceS += r.node.Settings.GangPeerTimeout().Seconds() // each task waits for the saves of all others
		}
	}
	command := attempt.Command(api.Stop)
	command.GraceS = &graceS
	return command
}

// StopCancelledTasks returns the commands that stop the tasks of cancelled jobs on a machine, for
// a controller that may not act as a leader. Such a controller may have missed newer commits, but a
// cancellation is never reverted, and the tasks of a cancelled job must end in time.
func (r *Registry) StopCancelledTasks(worker *Agent, heartbeat *api.Heartbeat, now time.Time) []api.Command {
	commands := NewCommandSet(worker, heartbeat, now)
	phases := reportedPhases(heartbeat)
	for _, task := range r.cache.Placements[heartbeat.Host] {
		j := r.cache.Jobs[task.UID]
		if j == nil || !j.IsCancelled() {
			continue
		}
		attempt := AttemptIDOf(task, j)
		if phase, reported := phases[attempt]; reported && phase != api.TaskEnded {
			commands.AddStop(r.StopCommand(j, attempt), StopRemoved, false)
		}
	}
	commands.SelectStops()
	return commands.Commands()
}

// reportedPhases returns the phases of the attempts in a heartbeat.
func reportedPhases(heartbeat *api.Heartbeat) map[AttemptID]api.TaskPhase {
	phases := make(map[AttemptID]api.TaskPhase, len(heartbeat.Tasks))
	for _, task := range heartbeat.Tasks {
		phases[AttemptID{Task: task.Task, Attempt: task.Attempt}] = task.Phase
	}
	return phases
}
