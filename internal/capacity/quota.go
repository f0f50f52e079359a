package capacity

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// HeldQuota is what shards hold of a team's limit.
type HeldQuota struct {
	Held         sched.Resources // by the shard in question
	HeldByOthers sched.Resources // by all others together
}

// QuotaShares returns what a shard holds of a team's limit, and what the others hold.
func (a *Accounting) QuotaShares(team, shardName string) HeldQuota {
	var quota HeldQuota
	record := a.cache.Quotas[statecache.QuotaID(team)].Record
	if record == nil {
		return quota
	}
	for name, held := range record.Held {
		if name == shardName {
			quota.Held = held
		} else {
			quota.HeldByOthers = quota.HeldByOthers.Add(held)
		}
	}
	return quota
}

// QuotaLimitOf returns a team's limit; 0 of a resource is no limit.
func QuotaLimitOf(team config.Team) sched.Resources {
	return sched.Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
}

// quotaGrant is whether a team may use so much in a shard.
type quotaGrant struct {
	granted bool
	grows   bool            // only with a larger share than the shard holds
	share   sched.Resources // that share
}

// quotaGrantFor decides whether a team may use so much in a shard, by the share of its
// limit that the shard holds, or will hold after growing it; with other shards'
// growth in the same transaction. grown are the shares of this shard that the transaction has
// changed so far.
func (c *Claims) quotaGrantFor(teamName, shardName string, use sched.Resources, grown map[string]sched.Resources) quotaGrant {
	a := c.accounts
	team, _ := a.node.Settings.Team(teamName)
	if !team.HasLimit() {
		return quotaGrant{granted: true}
	}
	quota := a.QuotaShares(teamName, shardName)
	for other, claim := range c.byShard {
		if share, ok := claim.shares[teamName]; ok && other != shardName {
			before := a.QuotaShares(teamName, other).Held
			quota.HeldByOthers = quota.HeldByOthers.Add(share).Sub(before)
		}
	}
	if share, ok := grown[teamName]; ok {
		quota.Held = share
	}
	limit := QuotaLimitOf(team)
	if sched.WithinQuota(limit, quota.Held, use) {
		return quotaGrant{granted: true}
	}
	share, ok := sched.QuotaShare(limit, quota.HeldByOthers, use)
	return quotaGrant{granted: ok, grows: true, share: share}
}

// QuotaUseOf sums what limited teams' tasks use in a shard, ended ones that are not
// yet committed as such included: another leader might start them anew.
func (a *Accounting) QuotaUseOf(shardName string) map[string]sched.Resources {
	use := map[string]sched.Resources{}
	if !a.node.Settings.HasTeamLimits() {
		return use
	}
	sum := map[string]sched.Resources{}
	for host, tasks := range a.cache.Placements {
		if machine := a.cache.Machines[host]; machine == nil || machine.Shard != shardName {
			continue
		}
		for _, task := range tasks {
			if job := a.cache.Jobs[task.UID]; job != nil {
				team := job.Record.Spec.Team
				sum[team] = sum[team].Add(statecache.ResourcesOf(&job.Record.Spec))
			}
		}
	}
	for _, team := range a.node.Settings.Facts.Teams {
		if used, ok := sum[team.Name]; ok && team.HasLimit() {
			use[team.Name] = used.Rounded()
		}
	}
	return use
}

// putQuotaShares adds to a transaction what shards hold of teams' limits from now on, by shard
// and team. It goes only with writes of those shards' capacity records.
func (a *Accounting) putQuotaShares(t *statecache.Transaction, shares map[string]map[string]sched.Resources) {
	records := map[string]shard.QuotaRecord{}
	for shardName, byTeam := range shares {
		for team, share := range byTeam {
			record, ok := records[team]
			if !ok {
				record = shard.QuotaRecord{Held: map[string]sched.Resources{}}
				if before := a.cache.Quotas[statecache.QuotaID(team)].Record; before != nil {
					maps.Copy(record.Held, before.Held)
				}
				records[team] = record
			}
			record.Held[shardName] = share.Rounded()
		}
	}
	for team, record := range records {
		t.Require(statecache.QuotaKey(team), a.cache.Quotas[statecache.QuotaID(team)].Version)
		t.Put(statecache.QuotaKey(team), record)
	}
}

// ReclaimTransaction returns a transaction that takes back what shards hold of a team's limit and
// don't use, for a team that had too little for a placement; nil if there is nothing. A gang needs
// all of a limit at once, when the shards hold too little yet to return their surplus by
// themselves. Each shard's record is written with its share, so that no placement there rests on
// the old one.
func (a *Accounting) ReclaimTransaction(now time.Time) *statecache.Transaction {
	claims := a.NewClaims()
	for _, team := range slices.Sorted(maps.Keys(a.quotaShortages)) {
		delete(a.quotaShortages, team)
		a.reclaimShares(claims, team, now)
		if len(claims.byShard) > 0 {
			break // one team at a time
		}
	}
	if len(claims.byShard) == 0 {
		return nil
	}
	t := statecache.NewTransaction()
	claims.Write(t)
	return t
}

// reclaimShares claims the shards that hold more of a team's limit than is used there, as many
// as a transaction takes beside the team's record.
func (a *Accounting) reclaimShares(claims *Claims, team string, now time.Time) {
	for _, name := range a.node.Shards {
		held := a.QuotaShares(team, name).Held
		claim := a.openClaim(name, now)
		full := len(claims.byShard) > 0 && len(claims.byShard) >= a.schema.TransactionLimits().TxnOps-1
		if claim == nil || full {
			continue
		}
		use := claim.use[team]
		if !use.Fits(sched.Resources{CPUs: held.CPUs, GPUs: held.GPUs}) {
			claim.shares[team] = sched.Resources{CPUs: use.CPUs, GPUs: use.GPUs}
			claims.byShard[name] = claim
		}
	}
}

// CountsAgainstQuota reports whether what a gang's tasks use counts against a limit: the room of one
// on a machine whose worker does not answer may still be used, done or not, so its record is kept
// until all have been heard of.
func (a *Accounting) CountsAgainstQuota(job *statecache.Job) bool {
	team, _ := a.node.Settings.Team(job.Record.Spec.Team)
	return team.HasLimit()
}

// TeamUsage returns what a team's tasks use in all, by the shards' capacity records.
func (a *Accounting) TeamUsage(team string) sched.Resources {
	var use sched.Resources
	for _, capacity := range a.cache.Capacities {
		use = use.Add(capacity.Record.QuotaUse[team])
	}
	return use
}
