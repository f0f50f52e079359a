package agent

import (
	"time"

	"violetturn/internal/shard"
)

// MachineState is what the leader of a machine's shard observes of it.
type MachineState int

// What a leader observes of a machine.
const (
	MachineIgnored MachineState = iota // it boots, or is going back
	MachineUnclear                     // not heard of yet under this leader
	MachineHealthy                     // it sends heartbeats and obeys
	MachineLost                        // it should send heartbeats or obey, and does not
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

// ObservedState returns what this node, the leader of a machine's shard, observes of the machine.
func (r *Registry) ObservedState(host string, machine *shard.Machine, agent *Agent, now time.Time) MachineState {
	patience := 2 * r.node.Settings.HeartbeatInterval() // whoever sends heartbeats at all has done so
	silent := now.Sub(agent.LastSeen) > patience
	switch {
	case agent.Terminated, agent.Cordoned && silent:
		return MachineIgnored
	case agent.Unresponsive(), agent.Fenced() && silent:
		return MachineLost
	case agent.Fenced():
		return MachineHealthy
	case r.mayBoot(host, machine, now):
		return MachineIgnored
	case now.Sub(agent.CreatedAt) <= patience:
		return MachineUnclear
	}
	return MachineLost
}

// mayBoot reports whether a machine that was not heard of under this term may still be starting.
// One that has tasks was up before.
func (r *Registry) mayBoot(host string, machine *shard.Machine, now time.Time) bool {
	if len(r.cache.Placements[host]) > 0 {
		return false
	}
	_, machineType := r.catalog.MachineCapacity(machine.MachineType)
	age := float64(now.UnixMilli()-machine.RegisteredMS) / 1000
	return machineType == nil || age <= 2*machineType.BootS || r.listing.IsStarting(host)
}
