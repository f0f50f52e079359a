package capacity

import (
	"maps"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Placement is a task and the machine on which to place it.
type Placement struct {
	UID        string
	RangeIndex int
	Index      int // within the task range
	Host       *sched.Host

	Victims []*statecache.PlacedTask // tasks on the machine that are to be preempted for the task
}

// shardClaim is a shard's free capacity and quota usage after a transaction.
type shardClaim struct {
	free          shard.FreeCapacity
	reportBytes   map[string]float64         // claimed space in workers' heartbeats, by machine
	quotaUse      map[string]sched.Resources // by limited team
	changedShares map[string]sched.Resources // quota shares that the transaction changes, by team
}

// openClaim returns a claim on a shard with no capacity claimed yet; nil if the shard has no
// leader. The free capacity of a shard that this controller leads is computed from its current
// state, that of a peer's shard is read from its capacity record.
func (a *Accounting) openClaim(shardName string, now time.Time) *shardClaim {
	record := a.cache.Capacities[shardName].Record
	if record == nil || a.cache.Leaders[shardName].Record == nil {
		return nil
	}
	claim := &shardClaim{changedShares: map[string]sched.Resources{}, reportBytes: map[string]float64{}}
	if a.leadership.Leads(shardName) {
		claim.free = a.offeredCapacity(shardName, now)
		claim.quotaUse = a.QuotaUseOf(shardName)
		return claim
	}
	claim.free = shard.FreeCapacity{}
	maps.Copy(claim.free, record.Free)
	claim.quotaUse = map[string]sched.Resources{}
	maps.Copy(claim.quotaUse, record.QuotaUse)
	return claim
}

// Claims contains the claims that one transaction makes on the free capacity and quotas of shards.
type Claims struct {
	accounting *Accounting
	byShard    map[string]*shardClaim
	writes     int // number of capacity and quota records to write
}

// NewClaims returns empty claims for one transaction.
func (a *Accounting) NewClaims() *Claims {
	return &Claims{accounting: a, byShard: map[string]*shardClaim{}}
}

// Writes returns the number of capacity and quota records that the claims write.
func (c *Claims) Writes() int { return c.writes }

// PendingClaim is a placement that was checked against the current free capacity and quota. It
// claims nothing until Apply is called.
type PendingClaim struct {
	claims   *Claims
	job      *statecache.Job
	host     string
	need     sched.Resources
	preempts bool // other tasks are preempted for it; the machine's free capacity is unknown until they have ended

	shard      string
	claim      *shardClaim
	opensShard bool // the claims do not include the shard yet
	grant      quotaGrant
	quotaUse   sched.Resources // the team's usage in the shard, including the task
	free       sched.Resources // of the machine before the claim; unset if the claim preempts
}

// Job returns the job of the placement.
func (p *PendingClaim) Job() *statecache.Job { return p.job }

// Writes returns the number of additional capacity and quota records that the claim writes.
func (p *PendingClaim) Writes() int {
	writes := 0
	if p.opensShard {
		writes++
	}
	if p.grant.growsShare {
		writes++
	}
	return writes
}

// Check checks a placement against the current state, which may be newer than the plan that the
// placement comes from. It returns nil if the job's state, the free capacity or the team's quota
// does not allow the placement.
func (c *Claims) Check(placement Placement, now time.Time) *PendingClaim {
	a := c.accounting
	job := a.placeableJob(placement)
	if job == nil {
		return nil
	}
	pending := &PendingClaim{
		claims:   c,
		job:      job,
		host:     placement.Host.Name,
		need:     statecache.ResourcesOf(&job.Record.Spec),
		preempts: len(placement.Victims) > 0,
		shard:    placement.Host.Shard,
		claim:    c.byShard[placement.Host.Shard],
	}
	if pending.claim == nil {
		pending.claim, pending.opensShard = a.openClaim(pending.shard, now), true
		if pending.claim == nil {
			return nil
		}
	}
	if !pending.preempts {
		free, offered := pending.claim.free[pending.host]
		free.ReportBytes = a.calculator.FreeReportBytes(pending.host) - pending.claim.reportBytes[pending.host]
		pending.free = free
		if !offered || !pending.free.Fits(pending.need) {
			return nil
		}
	}
	team := job.Record.Spec.Team
	pending.quotaUse = pending.claim.quotaUse[team].Add(pending.need)
	pending.grant = c.quotaGrantFor(team, pending.shard, pending.quotaUse, pending.claim.changedShares)
	if !pending.grant.granted {
		a.quotaShortages[team] = true
		return nil
	}
	return pending
}

// placeableJob returns the job of a placement if this controller may place the task now, else nil.
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

// Apply adds the placement to the claims.
func (p *PendingClaim) Apply() {
	if p.opensShard {
		p.claims.byShard[p.shard] = p.claim
		p.claims.writes++
	}
	teamName := p.job.Record.Spec.Team
	if team, _ := p.claims.accounting.node.Settings.Team(teamName); team.HasLimit() {
		p.claim.quotaUse[teamName] = p.quotaUse.RoundedUp()
		if p.grant.growsShare {
			p.claim.changedShares[teamName] = p.grant.share
			p.claims.writes++
		}
	}
	if p.preempts {
		delete(p.claim.free, p.host) // its leader offers the capacity that is free once the preempted tasks have ended
	} else {
		p.claim.free[p.host] = p.free.Sub(p.need).Rounded()
	}
	p.claim.reportBytes[p.host] += p.need.ReportBytes
}

// Write adds the shards' capacity records and the changed quota shares to a transaction.
func (c *Claims) Write(transaction *statecache.Transaction) {
	sharesByShard := map[string]map[string]sched.Resources{}
	for name, claim := range c.byShard {
		c.accounting.putCapacityRecord(transaction, name, claim.free, claim.quotaUse)
		sharesByShard[name] = claim.changedShares
	}
	c.accounting.putQuotaShares(transaction, sharesByShard)
}
