package agent

import (
	"slices"
	"time"

	"violetturn/internal/leadership"
)

// maxProbes limits the number of workers that are probed at a time.
const maxProbes = 4

// CheckWorkerContact checks whether workers reach this controller. releaseAll reports that this
// controller should release all its shards. That requires a peer that has contact with workers:
// otherwise the workers themselves may have failed, and their shards would pass from controller to
// controller. probes are the addresses of workers to be probed; they are returned only while no
// worker reaches this controller.
func (d *DirectCommands) CheckWorkerContact(now time.Time) (releaseAll bool, probes []string) {
	contact := d.registry.leadership.Contact()
	if contact.Unreachable() {
		probes = d.probeTargets(contact)
	} else {
		contact.CheckSilence(now, func() int { return d.registry.countExpectedAgents(now) })
	}
	return contact.Unreachable() && contact.PeerHasContact(), probes
}

// countExpectedAgents counts the machines of the shards that this controller leads from which
// heartbeats are expected: those that have sent one under this term, and those with tasks once
// their agent has existed for longer than a heartbeat interval. Machines that are terminated or
// whose worker's lease has expired are not expected to send any.
func (r *Registry) countExpectedAgents(now time.Time) int {
	expected := 0
	for host, machine := range r.cache.Machines {
		leadership := r.leadership.InForce(machine.Shard)
		if leadership == nil {
			continue
		}
		agent := r.Ensure(host, leadership)
		if agent.Terminated || agent.LeaseExpired {
			continue
		}
		heartbeatDue := len(r.cache.Placements[host]) > 0 && now.Sub(agent.CreatedAt) > r.node.Settings.HeartbeatInterval()
		if agent.Fenced() || heartbeatDue {
			expected++
		}
	}
	return expected
}

// probeTargets returns the addresses of up to maxProbes machines of the home shard, those with tasks
// first. If there are none, no worker could respond, and the contact is reset.
func (d *DirectCommands) probeTargets(contact *leadership.WorkerContact) []string {
	var withTasks, idle []string
	for host, machine := range d.registry.cache.Machines {
		if machine.Shard != d.registry.node.Settings.HostName || machine.Addr == "" {
			continue
		}
		if len(d.registry.cache.Placements[host]) > 0 {
			withTasks = append(withTasks, machine.Addr)
		} else {
			idle = append(idle, machine.Addr)
		}
	}
	targets := slices.Concat(withTasks, idle)
	if len(targets) == 0 {
		contact.Reset(d.registry.node.Now())
	}
	return targets[:min(len(targets), maxProbes)]
}
