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
	now := c.node.now()
	state := c.guard.Lock()
	if !state.cache.loaded {
		c.guard.Unlock()
		return
	}
	state.agents.dropLostLeaderships()
	sharers, sharersChanged := state.leadership.updateRateSharing(now)
	unreachable, probes := state.agents.checkWorkerContact(now)
	registration := state.leadership.registration()
	state.leadership.notePeersReachable(now)
	tending := state.leadership.planChanges(now, unreachable)
	c.guard.Unlock()
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

// dropLostLeaderships forgets the shards that the replica shows as somebody else's.
func (reg *agentRegistry) dropLostLeaderships() {
	for p, o := range reg.leadership.byShard {
		v, ok := reg.cache.leaders[p]
		ours := ok && v.record.Incarnation == reg.node.incarnation && v.record.Node == reg.node.settings.HostName
		if !ours && (!ok || v.version > o.version) {
			reg.node.log.Info("shard lost", "shard", p, "term", o.term)
			reg.dropLeadership(p)
		}
	}
}

// registration returns the transaction that has this node's record tell what is so now; nil
// if it does.
func (l *leadershipTable) registration() *transaction {
	me := l.node.settings.HostName
	n, self := l.cache.nodes[me].record, l.nodeRecord()
	mark := l.cache.capabilities[me].record
	marked := mark != nil && mark.SchemaVersion >= schemaVersion && slices.Equal(mark.Features, self.Features)
	if marked && n != nil && n.Incarnation == l.node.incarnation && n.WorkersUnreachable == self.WorkersUnreachable &&
		n.HearsWorkers == self.HearsWorkers {
		return nil
	}
	t := newTransaction()
	t.put(nodePrefix+me, self)
	t.leases[nodePrefix+me] = l.leaseID
	if !marked {
		t.put(capabilityPrefix+me, shard.CapabilityRecord{SchemaVersion: schemaVersion, Features: self.Features})
	}
	return t
}

// notePeersReachable notes since when each node lives and is reached by workers.
func (l *leadershipTable) notePeersReachable(now time.Time) {
	for _, x := range l.node.shards {
		if !l.workersReach(x) {
			delete(l.peerReachableSince, x)
		} else if _, ok := l.peerReachableSince[x]; !ok {
			l.peerReachableSince[x] = now
		}
	}
}

// leadershipChanges is what is to be done with shards.
type leadershipChanges struct {
	acquire, release []string
	leaderVersions   map[string]uint64 // versions of the leaders' keys that this rests on
}

// planChanges returns which shards this node takes now and which it hands to others.
func (l *leadershipTable) planChanges(now time.Time, unreachable bool) leadershipChanges {
	x := leadershipChanges{leaderVersions: map[string]uint64{}}
	for _, p := range l.node.shards {
		v, owned := l.cache.leaders[p]
		x.leaderVersions[p] = v.version
		if owned {
			delete(l.leaderlessSince, p)
			if l.mustReacquire(p, v.record, unreachable) {
				x.acquire = append(x.acquire, p)
			} else if l.mustRelease(p, now, unreachable) {
				x.release = append(x.release, p)
			}
			continue
		}
		if _, ok := l.leaderlessSince[p]; !ok {
			l.leaderlessSince[p] = now
		}
		if !unreachable && now.Sub(l.leaderlessSince[p]) >= l.takeoverDelay(p) {
			x.acquire = append(x.acquire, p)
		}
	}
	return x
}

// mustReacquire reports whether this node takes a shard anew that has a leader.
func (l *leadershipTable) mustReacquire(p string, owner *shard.LeaderRecord, unreachable bool) bool {
	o := l.byShard[p]
	if owner.Node == l.node.settings.HostName && (owner.Incarnation != l.node.incarnation || o == nil) && !unreachable {
		// Our own earlier life, which is over, or a take whose answer was
		// lost: the key is ours and nobody else would ever act on it.
		return true
	}
	return o != nil && o.needsNewTerm
}

// mustRelease reports whether this node hands a shard to others: all if no worker reaches it, one
// whose release is in doubt again until it shows, and a peer's own when that peer has been
// up for a while.
func (l *leadershipTable) mustRelease(p string, now time.Time, unreachable bool) bool {
	o := l.byShard[p]
	switch {
	case o == nil:
		return false
	case unreachable, o.releasing:
		return true
	case p == l.node.settings.HostName:
		return false
	}
	up, ok := l.peerReachableSince[p]
	return ok && now.Sub(up) > l.node.settings.ControllerLeaseTTL()/2 && !l.schema.isDowngraded(p)
}

// updateRateSharing divides the state service's rates among the controllers that live: one
// that is left alone has all of them. One that is not there counts until it has been
// away for a lease's time: at the start, and when all come back, none has registered
// yet, and to take all for oneself would have the others refused.
func (l *leadershipTable) updateRateSharing(now time.Time) (sharers int, changed bool) {
	n := 0
	for _, x := range l.node.shards {
		if x == l.node.settings.HostName || l.cache.nodes[x].record != nil {
			delete(l.peerAbsentSince, x)
		} else if _, ok := l.peerAbsentSince[x]; !ok {
			l.peerAbsentSince[x] = now
		}
		if since, ok := l.peerAbsentSince[x]; !ok || now.Sub(since) < l.node.settings.ControllerLeaseTTL() {
			n++
		}
	}
	if n == l.rateSharers {
		return n, false
	}
	l.node.log.Info("rate share changed", "controllers", n, "before", l.rateSharers)
	l.rateSharers = n
	return n, true
}

// takeoverDelay is how long this node waits before it takes a shard without a leader: the
// home controller goes first, then the others that live, in a ring order that
// spreads several shards over several nodes.
func (l *leadershipTable) takeoverDelay(p string) time.Duration {
	if p == l.node.settings.HostName {
		return 0
	}
	wait := time.Duration(0)
	step := l.node.settings.ControllerLeaseTTL() / 8
	if l.workersReach(p) || l.cache.capacities[p].record == nil {
		wait = 8 * step // it lives, or is only now being started, and should come for it
	}
	start := 0
	for i, x := range l.node.shards {
		if x == p {
			start = i
		}
	}
	for k := 1; k < len(l.node.shards); k++ {
		x := l.node.shards[(start+k)%len(l.node.shards)]
		if x == l.node.settings.HostName {
			break
		}
		if l.workersReach(x) {
			wait += step
		}
	}
	return wait
}
