package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/node"
	"violetturn/internal/statecache"
)

// WorkerContact is what this node knows of whether its workers reach it. It guards against a
// node that loses nothing but its workers: it would keep its lease and with it its shards, while
// the leases of all its workers run out. So it says in its record that workers don't reach it,
// releases its shards to peers in the orderly way, and acquires none until a worker has answered
// it. The lock of internal/state guards it.
type WorkerContact struct {
	node  *node.Info
	cache *statecache.Cache
	contactState
}

// contactState is what a worker's heartbeat ends and begins anew.
type contactState struct {
	lastHeard    time.Time // when a worker was last heard
	silentSteps  int       // steps of the lease in a row without hearing one
	unreachable  bool      // enough workers that should be heard were not, for enough steps
	hearsWorkers bool      // some worker is heard
}

// MinSilentCount is after how many steps of its lease without a sign of any worker a node counts as
// unreachable (one that was suspended itself first hears again), and how many machines have
// to be silent: one or two are as likely lost themselves, and each change of the leader
// starts the wait for the end of their leases anew.
const MinSilentCount = 3

// RecordContact notes that workers reach this node.
func (c *WorkerContact) RecordContact(now time.Time) {
	if c.unreachable {
		c.node.Log.Info("heartbeats reach this controller again")
	}
	c.contactState = contactState{lastHeard: now, hearsWorkers: true}
}

// Reset counts the contact as made: there is no worker that could be heard.
func (c *WorkerContact) Reset(now time.Time) { c.contactState = contactState{lastHeard: now} }

// Unreachable reports whether no worker reaches this node although some should.
func (c *WorkerContact) Unreachable() bool { return c.unreachable }

// HasContactSince reports whether workers reach this node and one was heard at the given time or later.
func (c *WorkerContact) HasContactSince(since time.Time) bool {
	return !c.unreachable && !c.lastHeard.Before(since)
}

// CheckSilence judges with a step of the lease whether workers reach this node.
// countExpected returns how many workers should be heard; it is called only when that matters.
func (c *WorkerContact) CheckSilence(now time.Time, countExpected func() int) {
	round := c.node.Settings.HeartbeatInterval() * 5 / 4 // whoever sends heartbeats at all has done so in that time
	if now.Sub(c.lastHeard) <= round {
		c.silentSteps = 0
		return
	}
	c.silentSteps++
	if c.silentSteps < MinSilentCount {
		return
	}
	c.hearsWorkers = false
	if countExpected() >= MinSilentCount {
		c.unreachable = true
		c.node.Log.Info("no heartbeat reaches this controller", logkey.LastHeard(c.lastHeard))
	}
}

// PeerHasContact reports whether another living controller says that it hears workers.
func (c *WorkerContact) PeerHasContact() bool {
	for _, controller := range c.node.Shards {
		record := c.cache.Nodes[controller].Record
		if controller != c.node.Settings.HostName && record != nil && record.HasWorkerContact {
			return true
		}
	}
	return false
}

// reachedByWorkers reports whether a node lives and workers reach it.
func reachedByWorkers(cache *statecache.Cache, node string) bool {
	record := cache.Nodes[node].Record
	return record != nil && !record.WorkersUnreachable
}
