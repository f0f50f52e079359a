package agent

import "time"

// CheckWorkerContact judges whether workers reach this node, and reports whether it should leave
// its shards to others: only when another is heard, or it may as well be the workers,
// and their shards would go round. It returns the addresses of workers to be asked whether
// they hear this node.
func (reg *Registry) CheckWorkerContact(now time.Time) (leave bool, probes []string) {
	if reg.leadership.WorkersUnreachable() {
		probes = reg.probeTargets()
	} else {
		reg.leadership.CheckSilence(now, func() int { return reg.countExpectedAgents(now) })
	}
	return reg.leadership.WorkersUnreachable() && reg.leadership.PeerHearsWorkers(), probes
}

// countExpectedAgents counts the machines of own shards that should be heard: those that were,
// and those that had tasks long before.
func (reg *Registry) countExpectedAgents(now time.Time) int {
	n := 0
	for host, m := range reg.cache.Machines {
		if !reg.leadership.Leads(m.Shard) {
			continue
		}
		s := reg.Of(host, reg.leadership.InForce(m.Shard))
		if !s.Terminated && !s.LeaseExpired &&
			(s.Fenced() || len(reg.cache.Placements[host]) > 0 && now.Sub(s.CreatedAt) > reg.node.Settings.HeartbeatInterval()) {
			n++
		}
	}
	return n
}

// probeTargets returns the addresses of some machines of the home shard, those with tasks
// first. Without any there is nobody to be heard, and the contact counts as made.
func (reg *Registry) probeTargets() []string {
	const maxProbes = 4
	var addresses []string
	for pass := range 2 {
		for host, m := range reg.cache.Machines {
			if m.Shard == reg.node.Settings.HostName && m.Addr != "" && (len(reg.cache.Placements[host]) > 0) == (pass == 0) && len(addresses) < maxProbes {
				addresses = append(addresses, m.Addr)
			}
		}
	}
	if len(addresses) == 0 {
		reg.leadership.ResetWorkerContact(reg.node.Now())
	}
	return addresses
}
