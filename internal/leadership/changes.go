package leadership

import (
	"slices"
	"time"

	"violetturn/internal/shard"
)

// Acquisition is a shard to be acquired, if its leader's key has not changed since.
type Acquisition struct {
	Shard         string
	LeaderVersion uint64 // of the leader's key; 0: there is none
}

// Changes is which shards this node acquires and releases now.
type Changes struct {
	Acquire []Acquisition
	Release []string
}

// NotePeersReachable notes since when each node lives and is reached by workers.
func (t *Table) NotePeersReachable(now time.Time) {
	for _, controller := range t.node.Shards {
		if !t.reachedByWorkers(controller) {
			delete(t.peerReachableSince, controller)
		} else if _, found := t.peerReachableSince[controller]; !found {
			t.peerReachableSince[controller] = now
		}
	}
}

// PlanChanges returns which shards this node acquires and which it releases now. leave says that
// no worker reaches it, so that others should lead: it releases all and acquires none.
func (t *Table) PlanChanges(now time.Time, leave bool) Changes {
	var changes Changes
	for _, shard := range t.node.Shards {
		leader, led := t.cache.Leaders[shard]
		acquisition := Acquisition{Shard: shard, LeaderVersion: leader.Version}
		switch {
		case !led:
			if t.leaderless(shard, now) >= t.takeoverDelay(shard) && !leave {
				changes.Acquire = append(changes.Acquire, acquisition)
			}
			continue
		case t.mustReacquire(shard, leader.Record, leave):
			changes.Acquire = append(changes.Acquire, acquisition)
		case t.mustRelease(shard, now, leave):
			changes.Release = append(changes.Release, shard)
		}
		delete(t.leaderlessSince, shard)
	}
	return changes
}

// leaderless notes that a shard has no leader and returns for how long.
func (t *Table) leaderless(shard string, now time.Time) time.Duration {
	if _, found := t.leaderlessSince[shard]; !found {
		t.leaderlessSince[shard] = now
	}
	return now.Sub(t.leaderlessSince[shard])
}

// mustReacquire reports whether this node acquires a shard anew that has a leader.
func (t *Table) mustReacquire(shard string, leader *shard.LeaderRecord, leave bool) bool {
	leadership := t.byShard[shard]
	if leader.Node == t.node.Settings.HostName && (!t.isOwnLife(leader.Node, leader.Incarnation) || leadership == nil) && !leave {
		// Of our own earlier life, which is over, or of an acquisition whose answer was
		// lost: the key is ours and nobody else would ever act on it.
		return true
	}
	return leadership != nil && leadership.needsNewTerm
}

// mustRelease reports whether this node releases a shard: each if others should lead, one
// whose release is in doubt again until it shows, and a peer's own when that peer has been
// up for a while.
func (t *Table) mustRelease(shard string, now time.Time, leave bool) bool {
	leadership := t.byShard[shard]
	switch {
	case leadership == nil:
		return false
	case leave, leadership.releasing:
		return true
	case shard == t.node.Settings.HostName:
		return false
	}
	reachable, found := t.peerReachableSince[shard]
	return found && now.Sub(reachable) > t.node.Settings.ControllerLeaseTTL()/2 && !t.schema.IsDowngraded(shard)
}

// takeoverDelay returns how long this node waits before it acquires a shard without a leader: the
// home controller goes first, then the others that live, in a ring order that
// spreads several shards over several nodes.
func (t *Table) takeoverDelay(shard string) time.Duration {
	me := t.node.Settings.HostName
	if shard == me {
		return 0
	}
	const stepsOfLease = 8 // a turn is this part of a lease's time, and the home controller has a whole one
	step := t.node.Settings.ControllerLeaseTTL() / stepsOfLease
	wait := time.Duration(0)
	if t.reachedByWorkers(shard) || t.cache.Capacities[shard].Record == nil {
		wait = stepsOfLease * step // its home controller lives, or is only now being started, and should acquire it
	}
	shards := t.node.Shards
	home := max(slices.Index(shards, shard), 0)
	for offset := 1; offset < len(shards); offset++ {
		controller := shards[(home+offset)%len(shards)]
		if controller == me {
			break
		}
		if t.reachedByWorkers(controller) {
			wait += step
		}
	}
	return wait
}
