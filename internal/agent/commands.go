package agent

import (
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
func (r *Registry) StopCancelledTasks(host string) []api.Command {
	commands := []api.Command{}
	for _, task := range r.cache.Placements[host] {
		if j := r.cache.Jobs[task.UID]; j != nil && j.IsCancelled() {
			commands = append(commands, r.StopCommand(j, AttemptIDOf(task, j)))
		}
	}
	return commands
}
