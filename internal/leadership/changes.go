package leadership

import (
	"slices"
	"time"

	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Registration returns the transaction that has this node's record tell what is so now; nil
// if it does.
func (l *Table) Registration() *statecache.Transaction {
	me := l.node.Settings.HostName
	n, self := l.cache.Nodes[me].Record, l.nodeRecord()
	mark := l.cache.Capabilities[me].Record
	marked := mark != nil && mark.SchemaVersion >= schema.Version && slices.Equal(mark.Features, self.Features)
	if marked && n != nil && n.Incarnation == l.node.Incarnation && n.WorkersUnreachable == self.WorkersUnreachable &&
		n.HearsWorkers == self.HearsWorkers {
		return nil
	}
	t := statecache.NewTransaction()
	t.PutWithLease(statecache.NodeKey(me), self, l.LeaseID)
	if !marked {
		t.Put(statecache.CapabilityKey(me), shard.CapabilityRecord{SchemaVersion: schema.Version, Features: self.Features})
	}
	return t
}

// NotePeersReachable notes since when each node lives and is reached by workers.
func (l *Table) NotePeersReachable(now time.Time) {
	for _, x := range l.node.Shards {
		if !l.workersReach(x) {
			delete(l.peerReachableSince, x)
		} else if _, ok := l.peerReachableSince[x]; !ok {
			l.peerReachableSince[x] = now
		}
	}
}

// Changes is what is to be done with shards.
type Changes struct {
	Acquire, Release []string
	LeaderVersions   map[string]uint64 // versions of the leaders' keys that this rests on
}

// PlanChanges returns which shards this node takes now and which it hands to others.
func (l *Table) PlanChanges(now time.Time, unreachable bool) Changes {
	x := Changes{LeaderVersions: map[string]uint64{}}
	for _, p := range l.node.Shards {
		v, owned := l.cache.Leaders[p]
		x.LeaderVersions[p] = v.Version
		if owned {
			delete(l.leaderlessSince, p)
			if l.mustReacquire(p, v.Record, unreachable) {
				x.Acquire = append(x.Acquire, p)
			} else if l.mustRelease(p, now, unreachable) {
				x.Release = append(x.Release, p)
			}
			continue
		}
		if _, ok := l.leaderlessSince[p]; !ok {
			l.leaderlessSince[p] = now
		}
		if !unreachable && now.Sub(l.leaderlessSince[p]) >= l.takeoverDelay(p) {
			x.Acquire = append(x.Acquire, p)
		}
	}
	return x
}

// mustReacquire reports whether this node takes a shard anew that has a leader.
func (l *Table) mustReacquire(p string, owner *shard.LeaderRecord, unreachable bool) bool {
	o := l.ByShard[p]
	if owner.Node == l.node.Settings.HostName && (owner.Incarnation != l.node.Incarnation || o == nil) && !unreachable {
		// Our own earlier life, which is over, or a take whose answer was
		// lost: the key is ours and nobody else would ever act on it.
		return true
	}
	return o != nil && o.NeedsNewTerm
}

// mustRelease reports whether this node hands a shard to others: all if no worker reaches it, one
// whose release is in doubt again until it shows, and a peer's own when that peer has been
// up for a while.
func (l *Table) mustRelease(p string, now time.Time, unreachable bool) bool {
	o := l.ByShard[p]
	switch {
	case o == nil:
		return false
	case unreachable, o.Releasing:
		return true
	case p == l.node.Settings.HostName:
		return false
	}
	up, ok := l.peerReachableSince[p]
	return ok && now.Sub(up) > l.node.Settings.ControllerLeaseTTL()/2 && !l.schema.IsDowngraded(p)
}

// UpdateRateSharing divides the state service's rates among the controllers that live: one
// that is left alone has all of them. One that is not there counts until it has been
// away for a lease's time: at the start, and when all come back, none has registered
// yet, and to take all for oneself would have the others refused.
func (l *Table) UpdateRateSharing(now time.Time) (sharers int, changed bool) {
	n := 0
	for _, x := range l.node.Shards {
		if x == l.node.Settings.HostName || l.cache.Nodes[x].Record != nil {
			delete(l.peerAbsentSince, x)
		} else if _, ok := l.peerAbsentSince[x]; !ok {
			l.peerAbsentSince[x] = now
		}
		if since, ok := l.peerAbsentSince[x]; !ok || now.Sub(since) < l.node.Settings.ControllerLeaseTTL() {
			n++
		}
	}
	if n == l.RateSharers {
		return n, false
	}
	l.node.Log.Info("rate share changed", "controllers", n, "before", l.RateSharers)
	l.RateSharers = n
	return n, true
}

// takeoverDelay is how long this node waits before it takes a shard without a leader: the
// home controller goes first, then the others that live, in a ring order that
// spreads several shards over several nodes.
func (l *Table) takeoverDelay(p string) time.Duration {
	if p == l.node.Settings.HostName {
		return 0
	}
	wait := time.Duration(0)
	step := l.node.Settings.ControllerLeaseTTL() / 8
	if l.workersReach(p) || l.cache.Capacities[p].Record == nil {
		wait = 8 * step // it lives, or is only now being started, and should come for it
	}
	start := 0
	for i, x := range l.node.Shards {
		if x == p {
			start = i
		}
	}
	for k := 1; k < len(l.node.Shards); k++ {
		x := l.node.Shards[(start+k)%len(l.node.Shards)]
		if x == l.node.Settings.HostName {
			break
		}
		if l.workersReach(x) {
			wait += step
		}
	}
	return wait
}
