package agent

import (
	"time"

	"violetturn/internal/shard"
)

// MachineState is what a leader sees of a machine.
type MachineState int

const (
	MachineIgnored MachineState = iota // it boots, or is going back
	MachineUnclear                     // not heard of yet under this owner
	MachineUp
	MachineLost
)

// ObservedState returns what a leader sees of a machine.
func (reg *Registry) ObservedState(host string, m *shard.Machine, s *Agent, now time.Time) MachineState {
	patience := 2 * reg.node.Settings.HeartbeatInterval() // who reports at all has done so
	switch {
	case s.Terminated, s.Cordoned && now.Sub(s.LastSeen) > patience:
		return MachineIgnored
	case s.Fenced() && s.Unresponsive():
		return MachineLost
	case s.Fenced() && now.Sub(s.LastSeen) <= patience:
		return MachineUp
	case s.Fenced():
		return MachineLost
	}
	// Never heard under this term. One that has tasks was up before.
	_, machineType := reg.catalog.MachineCapacity(m.MachineType)
	age := float64(now.UnixMilli()-m.RegisteredMS) / 1000
	boots := len(reg.cache.Placements[host]) == 0 && (machineType == nil || age <= 2*machineType.BootS || reg.Provisioning[host])
	switch {
	case boots:
		return MachineIgnored
	case now.Sub(s.CreatedAt) <= patience:
		return MachineUnclear
	}
	return MachineLost
}
