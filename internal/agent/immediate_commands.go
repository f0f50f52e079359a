package agent

import "violetturn/internal/api"

// immediateBatch is the commands for a worker that need not wait for its next heartbeat,
// since they may be carried out at any later time.
type immediateBatch struct {
	commands []api.Command
	stops    bool // some of them stop tasks
	launches bool // there are launches besides, which have to wait for the heartbeat
}

// immediateCommands returns the commands for a worker that need not wait for its next heartbeat.
func (d *DirectCommands) immediateCommands(host string, agent *Agent) immediateBatch {
	immediate := immediateBatch{commands: []api.Command{}}
	reported := map[AttemptID]api.TaskPhase{} // phases of the attempts that the worker has
	for _, task := range agent.Heartbeat.Tasks {
		reported[AttemptID{Task: task.Task, Attempt: task.Attempt}] = task.Phase
	}
	for _, task := range d.registry.cache.Placements[host] {
		j := d.registry.cache.Jobs[task.UID]
		if j == nil {
			continue
		}
		attempt := AttemptIDOf(task, j)
		phase, present := reported[attempt]
		delete(reported, attempt)
		switch {
		case !present:
			immediate.launches = immediate.launches || j.MayLaunch(task.Placement)
		case j.MustStop(task.Placement) && phase != api.TaskSaving && phase != api.TaskEnded:
			immediate.commands = append(immediate.commands, d.registry.StopCommand(j, attempt))
			immediate.stops = true
		}
	}
	for attempt, phase := range reported { // those that are not committed
		if phase == api.TaskEnded {
			immediate.commands = append(immediate.commands, attempt.Command(api.Clear))
		}
	}
	return immediate
}
