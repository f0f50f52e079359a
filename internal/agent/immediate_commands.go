package agent

import (
	"time"

	"violetturn/internal/api"
)

// immediateBatch holds the commands for a worker that can be sent before its next heartbeat,
// since they are safe to carry out at any later time.
type immediateBatch struct {
	commands    *CommandSet
	hasStops    bool // some of the commands stop tasks
	hasLaunches bool // the machine also has tasks to launch, which must wait for the heartbeat
}

// immediateCommands returns the commands for a worker that can be sent before its next heartbeat.
func (d *DirectCommands) immediateCommands(host string, agent *Agent, now time.Time) immediateBatch {
	immediate := immediateBatch{commands: NewCommandSet(agent, agent.Heartbeat, now)}
	reported := reportedPhases(agent.Heartbeat)
	for placementKey, task := range d.registry.cache.Placements[host] {
		j := d.registry.cache.Jobs[task.UID]
		if j == nil {
			continue
		}
		attempt := AttemptIDOf(task, j)
		phase, present := reported[attempt]
		delete(reported, attempt)
		if !present {
			immediate.hasLaunches = immediate.hasLaunches || j.MayLaunch(task.Placement)
			continue
		}
		mayEnd := d.registry.MayEndBeforeNextHeartbeat(agent, placementKey, attempt, j, phase, now)
		if mayEnd {
			immediate.commands.ReserveEnd()
		}
		if j.MustStop(task.Placement) && phase != api.TaskSaving && phase != api.TaskEnded {
			immediate.commands.AddStop(d.registry.StopCommand(j, attempt), StopUrgency(j.IsCancelled()), mayEnd)
		}
	}
	for attempt, phase := range reported { // attempts that are not committed
		if phase == api.TaskEnded {
			immediate.commands.AddClear(attempt)
		} else {
			immediate.commands.ReserveEnd()
		}
	}
	immediate.hasStops = immediate.commands.SelectStops()
	return immediate
}
