package agent

import (
	"violetturn/internal/api"
	"violetturn/internal/statecache"
)

// AttemptID names an attempt of a task on the wire.
type AttemptID struct {
	Task    string
	Attempt uint64
}

// AttemptIDOf names the attempt of a placed task of a job.
func AttemptIDOf(task *statecache.PlacedTask, j *statecache.Job) AttemptID {
	return AttemptID{Task: task.TaskName(j), Attempt: task.Placement.Attempt}
}

// Command returns the command with the action for the attempt.
func (a AttemptID) Command(action api.CommandAction) api.Command {
	return api.Command{Action: action, Task: a.Task, Attempt: a.Attempt}
}

// StopCommand returns the command that stops a task, with time to save if it can and that is
// worth it.
func (r *Registry) StopCommand(j *statecache.Job, attempt AttemptID) api.Command {
	graceS := 0.0
	if j.SavesOnStop() {
		graceS = j.Record.Spec.SaveS * 2
		if j.IsGang() {
			graceS += r.node.Settings.GangPeerTimeout().Seconds() // each waits for all others' saves
		}
	}
	command := attempt.Command(api.Stop)
	command.GraceS = &graceS
	return command
}

// StopCancelledTasks returns the commands that stop the tasks of cancelled jobs on a machine, for
// a node that may not act as a leader: what is committed may have changed where it can't see that,
// but a cancelled job stays cancelled, and its tasks have to be gone in time.
func (r *Registry) StopCancelledTasks(host string) []api.Command {
	commands := []api.Command{}
	for _, task := range r.cache.Placements[host] {
		if j := r.cache.Jobs[task.UID]; j != nil && j.IsCancelled() {
			commands = append(commands, r.StopCommand(j, AttemptIDOf(task, j)))
		}
	}
	return commands
}
