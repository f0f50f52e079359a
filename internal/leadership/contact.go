package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/node"
	"violetturn/internal/statecache"
)

// WorkerContact records whether workers reach this controller: contact is an accepted heartbeat, or
// a response to a direct command or probe. It guards against a partition that separates a
// controller from its workers only: the controller would keep its lease, and with it its shards,
// while the leases of all its workers expire. Such a controller writes to its node record that
// workers do not reach it. If a peer has contact with workers, the controller also releases its
// shards in an orderly way, and acquires none until it has contact again. The lock of
// internal/state guards it.
type WorkerContact struct {
	node  *node.Info
	cache *statecache.Cache
	contactState
}

// contactState is the part of WorkerContact that each contact with a worker resets.
type contactState struct {
	lastContactAt time.Time // when the last contact with a worker was
	silentChecks  int       // consecutive checks without contact with a worker
	unreachable   bool      // enough workers from which heartbeats were expected were silent, for enough checks
	hasContact    bool      // there is contact with at least one worker
}

const (
	// MinSilentChecks is the number of consecutive checks, one per renewal of its lease, without
	// contact with a worker after which a controller counts as unreachable. A controller that was itself
	// suspended can first receive heartbeats again.
	MinSilentChecks = 3
	// MinSilentMachines is the number of machines that must be silent for that: one or two are as likely
	// to have failed themselves, and each change of the leader restarts the wait for the end of their
	// leases.
	MinSilentMachines = 3
)

// RecordContact records that a worker reached this controller, by a heartbeat or a response.
func (c *WorkerContact) RecordContact(now time.Time) {
	if c.unreachable {
		c.node.Log.Info("heartbeats reach this controller again")
	}
	c.contactState = contactState{lastContactAt: now, hasContact: true}
}

// Reset restarts the checks because there is no worker that could respond.
func (c *WorkerContact) Reset(now time.Time) { c.contactState = contactState{lastContactAt: now} }

// Unreachable reports whether no worker reaches this controller although some are expected to.
func (c *WorkerContact) Unreachable() bool { return c.unreachable }

// HasContactSince reports whether workers reach this controller and the last contact was at the
// given time or later.
func (c *WorkerContact) HasContactSince(since time.Time) bool {
	return !c.unreachable && !c.lastContactAt.Before(since)
}

// CheckSilence checks whether workers reach this controller. It is called once per renewal of the
// lease. countExpected returns how many workers are expected to send heartbeats; it is called only
// after MinSilentChecks checks without contact.
func (c *WorkerContact) CheckSilence(now time.Time, countExpected func() int) {
	maxHeartbeatGap := c.node.Settings.HeartbeatInterval() * 5 / 4 // every worker that sends heartbeats has sent one within this time
	if now.Sub(c.lastContactAt) <= maxHeartbeatGap {
		c.silentChecks = 0
		return
	}
	c.silentChecks++
	if c.silentChecks < MinSilentChecks {
		return
	}
	c.hasContact = false
	if countExpected() >= MinSilentMachines {
		c.unreachable = true
		c.node.Log.Info("no heartbeat reaches this controller", logkey.LastContact(c.lastContactAt))
	}
}

// PeerHasContact reports whether the record of another running controller shows contact with
// workers.
func (c *WorkerContact) PeerHasContact() bool {
	for _, controller := range c.node.Shards {
		record := c.cache.Nodes[controller].Record
		if controller != c.node.Settings.HostName && record != nil && record.HasWorkerContact {
			return true
		}
	}
	return false
}

// reachedByWorkers reports whether a controller is running and reached by workers, according to its
// record.
func reachedByWorkers(cache *statecache.Cache, controller string) bool {
	record := cache.Nodes[controller].Record
	return record != nil && !record.WorkersUnreachable
}
