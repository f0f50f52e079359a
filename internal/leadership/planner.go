package leadership

import (
	"slices"
	"time"

	"violetturn/internal/shard"
)

// Acquisition is a shard to be acquired, provided that its leader's key has not changed since.
type Acquisition struct {
	Shard         string
	LeaderVersion uint64 // version of the leader's key; 0 if there is none
}

// Plan lists the shards that this controller acquires and releases now.
type Plan struct {
	Acquire []Acquisition
	Release []string
}

// Planner decides which shards this controller acquires and releases, based on the table, the cache
// and how long the present state of shards and controllers has lasted. The lock of internal/state
// guards it.
type Planner struct {
	table *Table

	leaderlessSince    map[string]time.Time // since when shards have had no leader
	peerReachableSince map[string]time.Time // since when controllers have been running and reached by workers
}

func newPlanner(table *Table) *Planner {
	return &Planner{
		table:              table,
		leaderlessSince:    map[string]time.Time{},
		peerReachableSince: map[string]time.Time{},
	}
}

// trackReachablePeers records since when each controller has been running and reached by workers.
func (p *Planner) trackReachablePeers(now time.Time) {
	for _, controller := range p.table.node.Shards {
		if !reachedByWorkers(p.table.cache, controller) {
			delete(p.peerReachableSince, controller)
		} else if _, found := p.peerReachableSince[controller]; !found {
			p.peerReachableSince[controller] = now
		}
	}
}

// Plan returns which shards this controller acquires and which it releases now. releaseAll means
// that no worker reaches this controller, so that others should lead: it releases all shards and
// acquires none.
func (p *Planner) Plan(now time.Time, releaseAll bool) Plan {
	p.trackReachablePeers(now)
	var plan Plan
	for _, shard := range p.table.node.Shards {
		leader, hasLeader := p.table.cache.Leaders[shard]
		acquisition := Acquisition{Shard: shard, LeaderVersion: leader.Version}
		switch {
		case !hasLeader:
			if p.leaderlessDuration(shard, now) >= p.acquisitionDelay(shard) && !releaseAll {
				plan.Acquire = append(plan.Acquire, acquisition)
			}
			continue
		case p.mustReacquire(shard, leader.Record, releaseAll):
			plan.Acquire = append(plan.Acquire, acquisition)
		case p.mustRelease(shard, now, releaseAll):
			plan.Release = append(plan.Release, shard)
		}
		delete(p.leaderlessSince, shard)
	}
	return plan
}

// leaderlessDuration records that a shard has no leader, and returns for how long that has been
// so.
func (p *Planner) leaderlessDuration(shard string, now time.Time) time.Duration {
	if _, found := p.leaderlessSince[shard]; !found {
		p.leaderlessSince[shard] = now
	}
	return now.Sub(p.leaderlessSince[shard])
}

// mustReacquire reports whether this controller must acquire a shard again although the shard has a
// leader.
func (p *Planner) mustReacquire(shard string, leader *shard.LeaderRecord, releaseAll bool) bool {
	leadership := p.table.byShard[shard]
	isOurs := leader.Node == p.table.node.Settings.HostName
	isHeld := leadership != nil && p.table.isOwnIncarnation(leader.Node, leader.Incarnation)
	if isOurs && !isHeld && !releaseAll {
		// The key was written by an earlier incarnation of this controller, or by an acquisition
		// whose response was lost. No peer would ever act on the key.
		return true
	}
	return leadership != nil && leadership.needsNewTerm
}

// mustRelease reports whether this controller must release a shard: any shard if releaseAll is set,
// a shard whose earlier release has an unknown outcome, until the cache shows the outcome, and a
// peer's home shard once workers have reached that peer for a while, unless the peer was
// downgraded.
func (p *Planner) mustRelease(shard string, now time.Time, releaseAll bool) bool {
	leadership := p.table.byShard[shard]
	switch {
	case leadership == nil:
		return false
	case releaseAll, leadership.releasing:
		return true
	case shard == p.table.node.Settings.HostName:
		return false
	}
	reachableSince, found := p.peerReachableSince[shard]
	return found && now.Sub(reachableSince) > p.table.node.Settings.ControllerLeaseTTL()/2 && !p.table.schema.IsDowngraded(shard)
}

// acquisitionDelay returns how long this controller waits before it acquires a shard without a
// leader. The home controller goes first, then the others that are running and reached by workers,
// in a ring order that spreads several shards over several controllers.
func (p *Planner) acquisitionDelay(shard string) time.Duration {
	self := p.table.node.Settings.HostName
	if shard == self {
		return 0
	}
	const delayStepsPerLease = 8 // each such controller earlier in the ring adds one step, the home controller a whole lease time
	delayStep := p.table.node.Settings.ControllerLeaseTTL() / delayStepsPerLease
	delay := time.Duration(0)
	if reachedByWorkers(p.table.cache, shard) || p.table.cache.Capacities[shard].Record == nil {
		delay = delayStepsPerLease * delayStep // its home controller is running or starting for the first time, and should acquire it
	}
	shards := p.table.node.Shards
	homeIndex := max(slices.Index(shards, shard), 0)
	for offset := 1; offset < len(shards); offset++ {
		controller := shards[(homeIndex+offset)%len(shards)]
		if controller == self {
			break
		}
		if reachedByWorkers(p.table.cache, controller) {
			delay += delayStep
		}
	}
	return delay
}
