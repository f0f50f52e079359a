package agent

import "violetturn/internal/api"

// immediateBatch holds the commands for a worker that can be sent before its next heartbeat,
// since they are safe to carry out at any later time.
type immediateBatch struct {
	commands    []api.Command
	hasStops    bool // some of the commands stop tasks
	hasLaunches bool // the machine also has tasks to launch, which must wait for the heartbeat
}

// immediateCommands returns the commands for a worker that can be sent before its next heartbeat.
func (d *DirectCommands) immediateCommands(host string, agent *Agent) immediateBatch {
	immediate := immediateBatch{commands: []api.Command{}}
	reported := map[AttemptID]api.TaskPhase{} // phases of the attempts in the newest heartbeat
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
			immediate.hasLaunches = immediate.hasLaunches || j.MayLaunch(task.Placement)
		case j.MustStop(task.Placement) && phase != api.TaskSaving && phase != api.TaskEnded:
			immediate.commands = append(immediate.commands, d.registry.StopCommand(j, attempt))
			immediate.hasStops = true
		}
	}
	for attempt, phase := range reported { // attempts that are not committed
		if phase == api.TaskEnded {
			immediate.commands = append(immediate.commands, attempt.Command(api.Clear))
		}
	}
	return immediate
}
