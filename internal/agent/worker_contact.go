package agent

import (
	"slices"
	"time"
)

// maxProbes bounds the workers that are asked at a time whether they hear this node.
const maxProbes = 4

// CheckWorkerContact judges whether workers reach this node. leave reports that it should leave
// its shards to others: only when another is heard, for it may as well be the workers that are
// lost, and their shards would go round. probes are the addresses of workers to be asked whether
// they hear this node.
func (r *Registry) CheckWorkerContact(now time.Time) (leave bool, probes []string) {
	if r.leadership.WorkersUnreachable() {
		probes = r.probeTargets()
	} else {
		r.leadership.CheckSilence(now, func() int { return r.countExpectedAgents(now) })
	}
	return r.leadership.WorkersUnreachable() && r.leadership.PeerHearsWorkers(), probes
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
func (r *Registry) probeTargets() []string {
	var withTasks, idle []string
	for host, machine := range r.cache.Machines {
		if machine.Shard != r.node.Settings.HostName || machine.Addr == "" {
			continue
		}
		if len(r.cache.Placements[host]) > 0 {
			withTasks = append(withTasks, machine.Addr)
		} else {
			idle = append(idle, machine.Addr)
		}
	}
	targets := slices.Concat(withTasks, idle)
	if len(targets) == 0 {
		r.leadership.ResetWorkerContact(r.node.Now())
	}
	return targets[:min(len(targets), maxProbes)]
}
