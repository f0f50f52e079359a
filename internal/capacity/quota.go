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

// HeldQuota contains the shares of a team's quota that one shard and all other shards hold.
type HeldQuota struct {
	Held         sched.Resources // by the shard
	HeldByOthers sched.Resources // sum over all other shards
}

// QuotaShares returns the share of a team's quota that a shard holds, and the sum of the other
// shards' shares.
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

// QuotaLimitOf returns a team's limit; a resource of 0 is unlimited.
func QuotaLimitOf(team config.Team) sched.Resources {
	return sched.Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
}

// quotaGrant is the decision whether a team may use an amount of resources in a shard.
type quotaGrant struct {
	granted    bool
	growsShare bool            // the shard needs a larger share than it holds
	share      sched.Resources // the larger share, if granted
}

// quotaGrantFor decides whether a team's usage in a shard may be quotaUse. It is granted if the
// share that the shard holds covers it, or if the share can grow to cover it while the other shards
// keep theirs, including their growth in the same transaction. changedShares are the shares of this
// shard that the transaction has changed so far.
func (c *Claims) quotaGrantFor(teamName, shardName string, quotaUse sched.Resources, changedShares map[string]sched.Resources) quotaGrant {
	a := c.accounting
	team, _ := a.node.Settings.Team(teamName)
	if !team.HasLimit() {
		return quotaGrant{granted: true}
	}
	quota := a.QuotaShares(teamName, shardName)
	for other, claim := range c.byShard {
		if share, ok := claim.changedShares[teamName]; ok && other != shardName {
			committed := a.QuotaShares(teamName, other).Held
			quota.HeldByOthers = quota.HeldByOthers.Add(share).Sub(committed)
		}
	}
	if share, ok := changedShares[teamName]; ok {
		quota.Held = share
	}
	limit := QuotaLimitOf(team)
	if sched.WithinQuota(limit, quota.Held, quotaUse) {
		return quotaGrant{granted: true}
	}
	share, ok := sched.QuotaShare(limit, quota.HeldByOthers, quotaUse)
	return quotaGrant{granted: ok, growsShare: true, share: share}
}

// QuotaUseOf returns the usage of limited teams in a shard. It includes tasks that have ended but
// are not committed as ended yet, because another leader might start them again.
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
			use[team.Name] = used.RoundedUp()
		}
	}
	return use
}

// putQuotaShares adds the writes of changed quota shares, by shard and team, to a transaction. The
// transaction must also write the capacity records of those shards.
func (a *Accounting) putQuotaShares(transaction *statecache.Transaction, sharesByShard map[string]map[string]sched.Resources) {
	records := map[string]shard.QuotaRecord{}
	for shardName, byTeam := range sharesByShard {
		for team, share := range byTeam {
			record, ok := records[team]
			if !ok {
				record = shard.QuotaRecord{Held: map[string]sched.Resources{}}
				if committed := a.cache.Quotas[statecache.QuotaID(team)].Record; committed != nil {
					maps.Copy(record.Held, committed.Held)
				}
				records[team] = record
			}
			record.Held[shardName] = share.RoundedUp()
		}
	}
	for team, record := range records {
		transaction.Require(statecache.QuotaKey(team), a.cache.Quotas[statecache.QuotaID(team)].Version)
		transaction.Put(statecache.QuotaKey(team), record)
	}
}

// ReclaimTransaction returns a transaction that reduces the quota shares of shards to what is used
// there, for a team whose quota did not suffice for a placement; nil if there is no unused share.
// It is needed because a gang may need its team's whole limit at once, while each shard's unused
// share is too small for the shard to return it on its own. The transaction writes each shard's
// capacity record together with its share, so that no concurrent placement there relies on the old
// share.
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
	transaction := statecache.NewTransaction()
	claims.Write(transaction)
	return transaction
}

// reclaimShares adds the shards that hold more of a team's quota than is used there to the claims,
// up to the number of records that a transaction can write besides the team's quota record.
func (a *Accounting) reclaimShares(claims *Claims, team string, now time.Time) {
	for _, name := range a.node.Shards {
		held := a.QuotaShares(team, name).Held
		claim := a.openClaim(name, now)
		full := len(claims.byShard) > 0 && len(claims.byShard) >= a.schema.TransactionLimits().TxnOps-1
		if claim == nil || full {
			continue
		}
		use := claim.quotaUse[team]
		if !use.Fits(sched.Resources{CPUs: held.CPUs, GPUs: held.GPUs}) {
			claim.changedShares[team] = sched.Resources{CPUs: use.CPUs, GPUs: use.GPUs}
			claims.byShard[name] = claim
		}
	}
}

// CountsAgainstQuota reports whether the tasks of a gang count against a quota. If so, the gang's
// record is kept until the ends of all its tasks have been received, because even after the gang
// has finished, a task on a machine whose worker does not respond may still use its resources.
func (a *Accounting) CountsAgainstQuota(job *statecache.Job) bool {
	team, _ := a.node.Settings.Team(job.Record.Spec.Team)
	return team.HasLimit()
}

// TeamUsage returns the total usage of a team according to the shards' capacity records.
func (a *Accounting) TeamUsage(team string) sched.Resources {
	var use sched.Resources
	for _, capacity := range a.cache.Capacities {
		use = use.Add(capacity.Record.QuotaUse[team])
	}
	return use
}
