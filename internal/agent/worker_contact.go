package agent

import (
	"slices"
	"time"

	"violetturn/internal/leadership"
)

// maxProbes limits the number of workers that are probed at a time.
const maxProbes = 4

// CheckWorkerContact checks whether workers reach this controller. If none does, it returns the
// addresses of workers to be probed. releaseAll is true if no worker reaches this controller but a
// peer has contact with workers; this controller should then release all its shards. Without such a
// peer the workers themselves may have failed, and their shards would pass from controller to
// controller.
func (d *DirectCommands) CheckWorkerContact(now time.Time) (releaseAll bool, probes []string) {
	contact := d.registry.leadership.Contact()
	if contact.Unreachable() {
		probes = d.probeTargets(contact)
	} else {
		contact.CheckSilence(now, func() int { return d.registry.countExpectedAgents(now) })
	}
	return contact.Unreachable() && contact.PeerHasContact(), probes
}

// countExpectedAgents counts the workers from which heartbeats are expected, in the shards that this
// controller leads: workers that have sent one under the leader's current term, and workers with
// tasks once this controller has had an Agent for them for longer than a heartbeat interval. No
// heartbeat is expected from a terminated machine or a worker whose lease has expired.
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

// probeTargets returns the addresses of up to maxProbes workers of the shard whose home controller is
// this one; workers with tasks come first. If there are none, no worker could respond to a probe, and
// the checks of the contact start again.
func (d *DirectCommands) probeTargets(contact *leadership.WorkerContact) []string {
	var withTasks, withoutTasks []string
	for host, machine := range d.registry.cache.Machines {
		if machine.Shard != d.registry.node.Settings.HostName || machine.Addr == "" {
			continue
		}
		if len(d.registry.cache.Placements[host]) > 0 {
			withTasks = append(withTasks, machine.Addr)
		} else {
			withoutTasks = append(withoutTasks, machine.Addr)
		}
	}
	targets := slices.Concat(withTasks, withoutTasks)
	if len(targets) == 0 {
		contact.Reset(d.registry.node.Now())
	}
	return targets[:min(len(targets), maxProbes)]
}
