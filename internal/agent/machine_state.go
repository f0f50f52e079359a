package agent

import (
	"time"

	"violetturn/internal/shard"
)

// MachineState is the state of a machine as observed by the leader of its shard.
type MachineState int

// The states of a machine.
const (
	MachineIgnored MachineState = iota // the machine is booting, terminated, or cordoned and silent
	MachineUnclear                     // no heartbeat has been received under this leader, and too little time has passed to tell
	MachineHealthy                     // the machine sends heartbeats, and its worker carries out commands
	MachineLost                        // the machine should send heartbeats and carry out commands, but does not
)

// String returns the state's name.
func (s MachineState) String() string {
	switch s {
	case MachineIgnored:
		return "ignored"
	case MachineUnclear:
		return "unclear"
	case MachineHealthy:
		return "up"
	case MachineLost:
		return "lost"
	}
	return "unknown"
}

// ObservedState returns the state of a machine as observed by this controller, the leader of the
// machine's shard.
func (r *Registry) ObservedState(host string, machine *shard.Machine, agent *Agent, now time.Time) MachineState {
	silenceLimit := 2 * r.node.Settings.HeartbeatInterval() // every worker that sends heartbeats has sent one within this time
	silent := now.Sub(agent.LastSeen) > silenceLimit
	switch {
	case agent.Terminated, agent.Cordoned && silent:
		return MachineIgnored
	case agent.Unresponsive(), agent.Fenced() && silent:
		return MachineLost
	case agent.Fenced():
		return MachineHealthy
	case r.mayBeBooting(host, machine, now):
		return MachineIgnored
	case now.Sub(agent.CreatedAt) <= silenceLimit:
		return MachineUnclear
	}
	return MachineLost
}

// mayBeBooting reports whether a machine that has sent no heartbeat under this term may still be
// booting. A machine with tasks has already booted.
func (r *Registry) mayBeBooting(host string, machine *shard.Machine, now time.Time) bool {
	if len(r.cache.Placements[host]) > 0 {
		return false
	}
	_, machineType := r.catalog.MachineCapacity(machine.MachineType)
	return machineType == nil || machine.Age(now).Seconds() <= 2*machineType.BootS || r.listing.IsStarting(host)
}
