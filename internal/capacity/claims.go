package capacity

import (
	"maps"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Placement is a task and the machine that it is to be placed on.
type Placement struct {
	UID        string
	RangeIndex int
	Index      int // within the task range
	Host       *sched.Host

	Victims []*statecache.PlacedTask // tasks that have to leave the machine for it
}

// shardClaim is what a transaction leaves of a shard's room, and what it changes of quotas.
type shardClaim struct {
	free   shard.FreeCapacity
	use    map[string]sched.Resources // by limited team
	shares map[string]sched.Resources // that the transaction changes, by team
}

// openClaim opens a shard for placements: an own one with its room as it is, a
// peer's as its record says; nil if it has no leader.
func (a *Accounting) openClaim(shardName string, now time.Time) *shardClaim {
	record := a.cache.Capacities[shardName].Record
	if record == nil || a.cache.Leaders[shardName].Record == nil {
		return nil
	}
	claim := &shardClaim{shares: map[string]sched.Resources{}}
	if a.leadership.Leads(shardName) {
		claim.free = a.freeCapacity(shardName, now)
		claim.use = a.QuotaUseOf(shardName)
		return claim
	}
	claim.free = shard.FreeCapacity{}
	maps.Copy(claim.free, record.Free)
	claim.use = map[string]sched.Resources{}
	maps.Copy(claim.use, record.QuotaUse)
	return claim
}

// Claims are the shards that a transaction claims room of. It lives for one transaction.
type Claims struct {
	accounts *Accounting
	byShard  map[string]*shardClaim
	changes  int // of capacity and quota records
}

// NewClaims returns the claims of a transaction, none yet.
func (a *Accounting) NewClaims() *Claims {
	return &Claims{accounts: a, byShard: map[string]*shardClaim{}}
}

// Changes returns how many changes of capacity and quota records the claims make.
func (c *Claims) Changes() int { return c.changes }

// PendingClaim is a placement that was checked against what there is. Nothing is claimed before
// Apply is called.
type PendingClaim struct {
	claims   *Claims
	job      *statecache.Job
	host     string
	need     sched.Resources
	replaces bool // tasks leave for it, so that what is free there is not known before they have

	shard     string
	claim     *shardClaim
	opened    bool // the shard was not among the claims before
	quota     quotaGrant
	quotaUse  sched.Resources // of the team in the shard, with the task
	available sched.Resources
}

// Job returns the job of the placement.
func (p *PendingClaim) Job() *statecache.Job { return p.job }

// Changes returns how many changes of capacity and quota records the claim adds.
func (p *PendingClaim) Changes() int {
	changes := 0
	if p.opened {
		changes++
	}
	if p.quota.grows {
		changes++
	}
	return changes
}

// Check checks a placement against what there is now, and returns nil if its job or the room no
// longer allow it: a plan may be older than the state.
func (c *Claims) Check(placement Placement, now time.Time) *PendingClaim {
	a := c.accounts
	job := a.placeableJob(placement)
	if job == nil {
		return nil
	}
	pending := &PendingClaim{
		claims:   c,
		job:      job,
		host:     placement.Host.Name,
		need:     statecache.ResourcesOf(&job.Record.Spec),
		replaces: len(placement.Victims) > 0,
		shard:    placement.Host.Shard,
		claim:    c.byShard[placement.Host.Shard],
	}
	if pending.claim == nil {
		pending.claim, pending.opened = a.openClaim(pending.shard, now), true
		if pending.claim == nil {
			return nil
		}
	}
	if !pending.replaces {
		free, offered := pending.claim.free[pending.host]
		pending.available = free
		if !offered || !pending.available.Fits(pending.need) {
			return nil
		}
	}
	team := job.Record.Spec.Team
	pending.quotaUse = pending.claim.use[team].Add(pending.need)
	pending.quota = c.quotaGrantFor(team, pending.shard, pending.quotaUse, pending.claim.shares)
	if !pending.quota.granted {
		a.quotaShortages[team] = true
		return nil
	}
	return pending
}

// placeableJob returns the job of a placement if this controller may place that task now.
func (a *Accounting) placeableJob(placement Placement) *statecache.Job {
	job := a.cache.Jobs[placement.UID]
	if job == nil || job.Record.Cancelled || job.Record.RangeFinished(placement.RangeIndex) {
		return nil
	}
	if !a.leadership.Leads(job.Record.Shard) || a.schema.TasksBlocked(job) {
		return nil
	}
	taskRange := job.Ranges[placement.RangeIndex].Record
	if taskRange.PlacementOf(placement.Index) != nil || taskRange.Done(placement.Index) {
		return nil
	}
	return job
}

// Apply claims the room.
func (p *PendingClaim) Apply() {
	if p.opened {
		p.claims.byShard[p.shard] = p.claim
		p.claims.changes++
	}
	name := p.job.Record.Spec.Team
	if team, _ := p.claims.accounts.node.Settings.Team(name); team.HasLimit() {
		p.claim.use[name] = p.quotaUse.Rounded()
		if p.quota.grows {
			p.claim.shares[name] = p.quota.share
			p.claims.changes++
		}
	}
	if p.replaces {
		delete(p.claim.free, p.host) // its leader offers what is free when the others have left
	} else {
		p.claim.free[p.host] = p.available.Sub(p.need).Rounded()
	}
}

// Write adds the shards' capacity records and shares to a transaction.
func (c *Claims) Write(t *statecache.Transaction) {
	shares := map[string]map[string]sched.Resources{}
	for name, claim := range c.byShard {
		c.accounts.putCapacityRecord(t, name, claim.free, claim.use)
		shares[name] = claim.shares
	}
	c.accounts.putQuotaShares(t, shares)
}
