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

// Planner decides which shards this node acquires and releases, by what the table and the replica
// tell and by how long that has been so. The lock of internal/state guards it.
type Planner struct {
	table *Table

	leaderlessSince    map[string]time.Time // shards without a leader, since when
	peerReachableSince map[string]time.Time // living controllers that workers reach, since when
}

func newPlanner(table *Table) *Planner {
	return &Planner{
		table:              table,
		leaderlessSince:    map[string]time.Time{},
		peerReachableSince: map[string]time.Time{},
	}
}

// notePeersReachable notes since when each node lives and is reached by workers.
func (p *Planner) notePeersReachable(now time.Time) {
	for _, controller := range p.table.node.Shards {
		if !reachedByWorkers(p.table.cache, controller) {
			delete(p.peerReachableSince, controller)
		} else if _, found := p.peerReachableSince[controller]; !found {
			p.peerReachableSince[controller] = now
		}
	}
}

// Plan returns which shards this node acquires and which it releases now. leave says that
// no worker reaches it, so that others should lead: it releases all and acquires none.
func (p *Planner) Plan(now time.Time, leave bool) Changes {
	p.notePeersReachable(now)
	var changes Changes
	for _, shard := range p.table.node.Shards {
		leader, led := p.table.cache.Leaders[shard]
		acquisition := Acquisition{Shard: shard, LeaderVersion: leader.Version}
		switch {
		case !led:
			if p.leaderless(shard, now) >= p.takeoverDelay(shard) && !leave {
				changes.Acquire = append(changes.Acquire, acquisition)
			}
			continue
		case p.mustReacquire(shard, leader.Record, leave):
			changes.Acquire = append(changes.Acquire, acquisition)
		case p.mustRelease(shard, now, leave):
			changes.Release = append(changes.Release, shard)
		}
		delete(p.leaderlessSince, shard)
	}
	return changes
}

// leaderless notes that a shard has no leader and returns for how long.
func (p *Planner) leaderless(shard string, now time.Time) time.Duration {
	if _, found := p.leaderlessSince[shard]; !found {
		p.leaderlessSince[shard] = now
	}
	return now.Sub(p.leaderlessSince[shard])
}

// mustReacquire reports whether this node acquires a shard anew that has a leader.
func (p *Planner) mustReacquire(shard string, leader *shard.LeaderRecord, leave bool) bool {
	leadership := p.table.byShard[shard]
	ours := leader.Node == p.table.node.Settings.HostName
	known := leadership != nil && p.table.isOwnLife(leader.Node, leader.Incarnation)
	if ours && !known && !leave {
		// Of our own earlier life, which is over, or of an acquisition whose answer was
		// lost: the key is ours and nobody else would ever act on it.
		return true
	}
	return leadership != nil && leadership.needsNewTerm
}

// mustRelease reports whether this node releases a shard: each if others should lead, one
// whose release is in doubt again until it shows, and a peer's own when that peer has been
// up for a while.
func (p *Planner) mustRelease(shard string, now time.Time, leave bool) bool {
	leadership := p.table.byShard[shard]
	switch {
	case leadership == nil:
		return false
	case leave, leadership.releasing:
		return true
	case shard == p.table.node.Settings.HostName:
		return false
	}
	reachable, found := p.peerReachableSince[shard]
	return found && now.Sub(reachable) > p.table.node.Settings.ControllerLeaseTTL()/2 && !p.table.schema.IsDowngraded(shard)
}

// takeoverDelay returns how long this node waits before it acquires a shard without a leader: the
// home controller goes first, then the others that live, in a ring order that
// spreads several shards over several nodes.
func (p *Planner) takeoverDelay(shard string) time.Duration {
	me := p.table.node.Settings.HostName
	if shard == me {
		return 0
	}
	const stepsOfLease = 8 // a turn is this part of a lease's time, and the home controller has a whole one
	step := p.table.node.Settings.ControllerLeaseTTL() / stepsOfLease
	wait := time.Duration(0)
	if reachedByWorkers(p.table.cache, shard) || p.table.cache.Capacities[shard].Record == nil {
		wait = stepsOfLease * step // its home controller lives, or is only now being started, and should acquire it
	}
	shards := p.table.node.Shards
	home := max(slices.Index(shards, shard), 0)
	for offset := 1; offset < len(shards); offset++ {
		controller := shards[(home+offset)%len(shards)]
		if controller == me {
			break
		}
		if reachedByWorkers(p.table.cache, controller) {
			wait += step
		}
	}
	return wait
}
