package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// maintainLeaderships registers this node, takes shards without a leader and hands shards
// back to their home controllers.
func (c *Controller) maintainLeaderships(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	if !c.loaded {
		c.mu.Unlock()
		return
	}
	c.dropLostLeaderships()
	sharers, sharersChanged := c.updateRateSharing(now)
	unreachable, probes := c.checkWorkerContact(now)
	registration := c.registration()
	c.notePeersReachable(now)
	tending := c.planLeadershipChanges(now, unreachable)
	c.mu.Unlock()
	if sharersChanged {
		c.store.SetControllers(sharers)
	}
	c.probeWorkers(ctx, probes)
	if registration != nil {
		if _, _, err := c.commit(ctx, "node", registration, store.PriorityLease); errors.Is(err, store.ErrNoLease) {
			return
		}
	}
	for _, p := range tending.release {
		c.releaseShard(ctx, p)
	}
	for _, p := range tending.acquire {
		c.acquireShard(ctx, p, tending.leaderVersions[p])
	}
}

// dropLostLeaderships forgets the shards that the replica shows as somebody else's. Call with the
// lock held.
func (c *Controller) dropLostLeaderships() {
	for p, o := range c.leaderships {
		v, ok := c.replica.leaders[p]
		ours := ok && v.record.Incarnation == c.incarnation && v.record.Node == c.cfg.HostName
		if !ours && (!ok || v.version > o.version) {
			c.log.Info("shard lost", "shard", p, "term", o.term)
			c.dropLeadership(p)
		}
	}
}

// registration returns the transaction that has this node's record tell what is so now; nil
// if it does. Call with the lock held.
func (c *Controller) registration() *transaction {
	me := c.cfg.HostName
	n, self := c.replica.nodes[me].record, c.nodeRecord()
	mark := c.replica.capabilities[me].record
	marked := mark != nil && mark.SchemaVersion >= schemaVersion && slices.Equal(mark.Features, self.Features)
	if marked && n != nil && n.Incarnation == c.incarnation && n.WorkersUnreachable == self.WorkersUnreachable &&
		n.HearsWorkers == self.HearsWorkers {
		return nil
	}
	t := newTransaction()
	t.put(nodePrefix+me, self)
	t.leases[nodePrefix+me] = c.leaseID
	if !marked {
		t.put(capabilityPrefix+me, shard.CapabilityRecord{SchemaVersion: schemaVersion, Features: self.Features})
	}
	return t
}

// notePeersReachable notes since when each node lives and is reached by workers. Call with the
// lock held.
func (c *Controller) notePeersReachable(now time.Time) {
	for _, x := range c.shards {
		if !c.workersReach(x) {
			delete(c.peerReachableSince, x)
		} else if _, ok := c.peerReachableSince[x]; !ok {
			c.peerReachableSince[x] = now
		}
	}
}

// leadershipChanges is what is to be done with shards.
type leadershipChanges struct {
	acquire, release []string
	leaderVersions   map[string]uint64 // versions of the leaders' keys that this rests on
}

// planLeadershipChanges returns which shards this node takes now and which it hands to others. Call with
// the lock held.
func (c *Controller) planLeadershipChanges(now time.Time, unreachable bool) leadershipChanges {
	x := leadershipChanges{leaderVersions: map[string]uint64{}}
	for _, p := range c.shards {
		v, owned := c.replica.leaders[p]
		x.leaderVersions[p] = v.version
		if owned {
			delete(c.leaderlessSince, p)
			if c.mustReacquire(p, v.record, unreachable) {
				x.acquire = append(x.acquire, p)
			} else if c.mustRelease(p, now, unreachable) {
				x.release = append(x.release, p)
			}
			continue
		}
		if _, ok := c.leaderlessSince[p]; !ok {
			c.leaderlessSince[p] = now
		}
		if !unreachable && now.Sub(c.leaderlessSince[p]) >= c.takeoverDelay(p) {
			x.acquire = append(x.acquire, p)
		}
	}
	return x
}

// mustReacquire reports whether this node takes a shard anew that has a leader. Call with the lock
// held.
func (c *Controller) mustReacquire(p string, owner *shard.LeaderRecord, unreachable bool) bool {
	o := c.leaderships[p]
	if owner.Node == c.cfg.HostName && (owner.Incarnation != c.incarnation || o == nil) && !unreachable {
		// Our own earlier life, which is over, or a take whose answer was
		// lost: the key is ours and nobody else would ever act on it.
		return true
	}
	return o != nil && o.needsNewTerm
}

// mustRelease reports whether this node hands a shard to others: all if no worker reaches it, one
// whose release is in doubt again until it shows, and a peer's own when that peer has been
// up for a while. Call with the lock held.
func (c *Controller) mustRelease(p string, now time.Time, unreachable bool) bool {
	o := c.leaderships[p]
	switch {
	case o == nil:
		return false
	case unreachable, o.releasing:
		return true
	case p == c.cfg.HostName:
		return false
	}
	up, ok := c.peerReachableSince[p]
	return ok && now.Sub(up) > c.cfg.ControllerLeaseTTL()/2 && !c.isDowngraded(p)
}

// updateRateSharing divides the state service's rates among the controllers that live: one
// that is left alone has all of them. One that is not there counts until it has been
// away for a lease's time: at the start, and when all come back, none has registered
// yet, and to take all for oneself would have the others refused. Call with the lock
// held.
func (c *Controller) updateRateSharing(now time.Time) (sharers int, changed bool) {
	n := 0
	for _, x := range c.shards {
		if x == c.cfg.HostName || c.replica.nodes[x].record != nil {
			delete(c.peerAbsentSince, x)
		} else if _, ok := c.peerAbsentSince[x]; !ok {
			c.peerAbsentSince[x] = now
		}
		if since, ok := c.peerAbsentSince[x]; !ok || now.Sub(since) < c.cfg.ControllerLeaseTTL() {
			n++
		}
	}
	if n == c.rateSharers {
		return n, false
	}
	c.log.Info("rate share changed", "controllers", n, "before", c.rateSharers)
	c.rateSharers = n
	return n, true
}

// takeoverDelay is how long this node waits before it takes a shard without a leader: the
// home controller goes first, then the others that live, in a ring order that
// spreads several shards over several nodes. Call with the lock held.
func (c *Controller) takeoverDelay(p string) time.Duration {
	if p == c.cfg.HostName {
		return 0
	}
	wait := time.Duration(0)
	step := c.cfg.ControllerLeaseTTL() / 8
	if c.workersReach(p) || c.replica.capacities[p].record == nil {
		wait = 8 * step // it lives, or is only now being started, and should come for it
	}
	start := 0
	for i, x := range c.shards {
		if x == p {
			start = i
		}
	}
	for k := 1; k < len(c.shards); k++ {
		x := c.shards[(start+k)%len(c.shards)]
		if x == c.cfg.HostName {
			break
		}
		if c.workersReach(x) {
			wait += step
		}
	}
	return wait
}
