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

// workersReach reports whether a node lives and is reached by workers. Call with the lock
// held.
func (c *Controller) workersReach(node string) bool {
	n := c.replica.nodes[node].record
	return n != nil && !n.WorkersUnreachable
}

// checkWorkerContact judges whether workers reach this node, and reports whether it should leave
// its shards to others: only when another is heard, or it may as well be the workers,
// and their shards would go round. It returns the addresses of workers to be asked whether
// they hear this node. Call with the lock held.
func (c *Controller) checkWorkerContact(now time.Time) (leave bool, probes []string) {
	h := &c.contact
	if h.unreachable {
		probes = c.probeTargets()
	} else if round := c.cfg.HeartbeatInterval() * 5 / 4; now.Sub(h.lastHeard) <= round { // who reports at all has done so in that time
		h.silentSteps = 0
	} else if h.silentSteps++; h.silentSteps >= minSilent {
		if h.hearsWorkers = false; c.countExpectedAgents(now) >= minSilent {
			h.unreachable = true
			c.log.Info("no heartbeat reaches this controller", "last_heard", h.lastHeard)
		}
	}
	if !h.unreachable {
		return false, probes
	}
	for _, x := range c.shards {
		if n := c.replica.nodes[x].record; x != c.cfg.HostName && n != nil && n.HearsWorkers {
			return true, probes
		}
	}
	return false, probes
}

// countExpectedAgents counts the machines of own shards that should be heard: those that were,
// and those that had tasks long before. Call with the lock held.
func (c *Controller) countExpectedAgents(now time.Time) int {
	n := 0
	for host, m := range c.replica.machines {
		if c.leadershipOf(m.Shard) == nil {
			continue
		}
		s := c.agentOf(host, c.leaderships[m.Shard])
		if !s.Terminated && !s.LeaseExpired &&
			(s.Fenced || len(c.replica.placements[host]) > 0 && now.Sub(s.CreatedAt) > c.cfg.HeartbeatInterval()) {
			n++
		}
	}
	return n
}

// probeTargets returns the addresses of some machines of the home shard, those with tasks
// first. Without any there is nobody to be heard, and the contact counts as made. Call with
// the lock held.
func (c *Controller) probeTargets() []string {
	const maxProbes = 4
	var addresses []string
	for pass := range 2 {
		for host, m := range c.replica.machines {
			if m.Shard == c.cfg.HostName && m.Addr != "" && (len(c.replica.placements[host]) > 0) == (pass == 0) && len(addresses) < maxProbes {
				addresses = append(addresses, m.Addr)
			}
		}
	}
	if len(addresses) == 0 {
		c.contact = workerContact{lastHeard: c.now()}
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
			c.mu.Lock()
			c.noteWorkerHeard(c.now())
			c.mu.Unlock()
		})
	}
}

// noteWorkerHeard notes that workers reach this node. Call with the lock held.
func (c *Controller) noteWorkerHeard(now time.Time) {
	if c.contact.unreachable {
		c.log.Info("heartbeats reach this controller again")
	}
	c.contact = workerContact{lastHeard: now, hearsWorkers: true}
}

// nodeRecord is what this node says of itself. Call with the lock held.
func (c *Controller) nodeRecord() shard.LeaderRecord {
	return shard.LeaderRecord{
		Node:               c.cfg.HostName,
		Incarnation:        c.incarnation,
		WorkersUnreachable: c.contact.unreachable,
		HearsWorkers:       c.contact.hearsWorkers,
		SchemaVersion:      schemaVersion,
		Features:           c.features.Names(),
	}
}
