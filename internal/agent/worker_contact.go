package agent

import (
	"slices"
	"time"

	"violetturn/internal/leadership"
)

// maxProbes bounds the workers that are asked at a time whether they hear this node.
const maxProbes = 4

// CheckWorkerContact judges whether workers reach this node. leave reports that it should leave
// its shards to others: only when another is heard, for it may as well be the workers that are
// lost, and their shards would go round. probes are the addresses of workers to be asked whether
// they hear this node.
func (d *DirectCommands) CheckWorkerContact(now time.Time) (leave bool, probes []string) {
	contact := d.registry.leadership.Contact()
	if contact.Unreachable() {
		probes = d.probeTargets(contact)
	} else {
		contact.CheckSilence(now, func() int { return d.registry.countExpectedAgents(now) })
	}
	return contact.Unreachable() && contact.PeerHasContact(), probes
}

// countExpectedAgents counts the machines of the shards that this node leads that should be heard:
// those that were, and those that had tasks long before.
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
		hadTasks := len(r.cache.Placements[host]) > 0 && now.Sub(agent.CreatedAt) > r.node.Settings.HeartbeatInterval()
		if agent.Fenced() || hadTasks {
			expected++
		}
	}
	return expected
}

// probeTargets returns the addresses of some machines of the home shard, those with tasks
// first. Without any there is nobody to be heard, and the contact counts as made.
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
