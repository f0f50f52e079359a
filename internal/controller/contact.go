package controller

import (
	"context"
	"time"

	"violetturn/internal/shard"
)

// workerContact is what a node knows of whether its workers reach it. One that loses
// nothing but its workers keeps its lease and with it its shards, while the leases of
// all its workers run out: so it says that it is mute, hands its shards to peers in
// the orderly way and takes none until a worker has answered it.
type workerContact struct {
	lastHeard    time.Time // when a worker was last heard
	silentSteps  int       // steps of the lease in a row without hearing one
	unreachable  bool
	hearsWorkers bool // some worker is heard
}

// minSilent is after how many steps of its lease without a sign of any worker a node is
// mute (one that stood still itself first hears again), and how many machines have
// to be silent: one or two are as likely lost themselves, and each change of owner
// starts the wait for the end of their leases anew.
const minSilent = 3

// workersReach reports whether a node lives and is reached by workers.
func (l *leadershipTable) workersReach(node string) bool {
	n := l.cache.nodes[node].record
	return n != nil && !n.WorkersUnreachable
}

// checkWorkerContact judges whether workers reach this node, and reports whether it should leave
// its shards to others: only when another is heard, or it may as well be the workers,
// and their shards would go round. It returns the addresses of workers to be asked whether
// they hear this node.
func (reg *agentRegistry) checkWorkerContact(now time.Time) (leave bool, probes []string) {
	h := &reg.leadership.contact
	if h.unreachable {
		probes = reg.probeTargets()
	} else if round := reg.node.settings.HeartbeatInterval() * 5 / 4; now.Sub(h.lastHeard) <= round { // who reports at all has done so in that time
		h.silentSteps = 0
	} else if h.silentSteps++; h.silentSteps >= minSilent {
		if h.hearsWorkers = false; reg.countExpectedAgents(now) >= minSilent {
			h.unreachable = true
			reg.node.log.Info("no heartbeat reaches this controller", "last_heard", h.lastHeard)
		}
	}
	if !h.unreachable {
		return false, probes
	}
	for _, x := range reg.node.shards {
		if n := reg.cache.nodes[x].record; x != reg.node.settings.HostName && n != nil && n.HearsWorkers {
			return true, probes
		}
	}
	return false, probes
}

// countExpectedAgents counts the machines of own shards that should be heard: those that were,
// and those that had tasks long before.
func (reg *agentRegistry) countExpectedAgents(now time.Time) int {
	n := 0
	for host, m := range reg.cache.machines {
		if reg.leadership.of(m.Shard) == nil {
			continue
		}
		s := reg.of(host, reg.leadership.byShard[m.Shard])
		if !s.Terminated && !s.LeaseExpired &&
			(s.Fenced || len(reg.cache.placements[host]) > 0 && now.Sub(s.CreatedAt) > reg.node.settings.HeartbeatInterval()) {
			n++
		}
	}
	return n
}

// probeTargets returns the addresses of some machines of the home shard, those with tasks
// first. Without any there is nobody to be heard, and the contact counts as made.
func (reg *agentRegistry) probeTargets() []string {
	const maxProbes = 4
	var addresses []string
	for pass := range 2 {
		for host, m := range reg.cache.machines {
			if m.Shard == reg.node.settings.HostName && m.Addr != "" && (len(reg.cache.placements[host]) > 0) == (pass == 0) && len(addresses) < maxProbes {
				addresses = append(addresses, m.Addr)
			}
		}
	}
	if len(addresses) == 0 {
		reg.leadership.contact = workerContact{lastHeard: reg.node.now()}
	}
	return addresses
}

// probeWorkers asks workers whether they hear this node, each in a goroutine of its own that
// ends with the answer or the client's deadline.
func (c *Controller) probeWorkers(ctx context.Context, addresses []string) {
	for _, addr := range addresses {
		c.runAsync(func() {
			if _, err := c.workers.Status(ctx, addr); err != nil {
				return
			}
			state := c.guard.Lock()
			state.leadership.noteWorkerHeard(c.node.now())
			c.guard.Unlock()
		})
	}
}

// noteWorkerHeard notes that workers reach this node.
func (l *leadershipTable) noteWorkerHeard(now time.Time) {
	if l.contact.unreachable {
		l.node.log.Info("heartbeats reach this controller again")
	}
	l.contact = workerContact{lastHeard: now, hearsWorkers: true}
}

// nodeRecord is what this node says of itself.
func (l *leadershipTable) nodeRecord() shard.LeaderRecord {
	return shard.LeaderRecord{
		Node:               l.node.settings.HostName,
		Incarnation:        l.node.incarnation,
		WorkersUnreachable: l.contact.unreachable,
		HearsWorkers:       l.contact.hearsWorkers,
		SchemaVersion:      schemaVersion,
		Features:           l.node.features.Names(),
	}
}
