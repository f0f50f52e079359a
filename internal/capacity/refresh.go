package capacity

import (
	"maps"
	"time"

	"violetturn/internal/leadership"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Minimum number of decision intervals between two refreshes of the capacity record of a shard that
// this controller leads: in general, and while tasks of this controller's jobs wait for capacity
// and the refresh would only offer more of it.
const (
	refreshIntervals               = 6
	refreshIntervalsWhileTasksWait = 24
)

// capacityUpdate is the new content of the capacity record of a shard that this controller leads.
type capacityUpdate struct {
	free          shard.FreeCapacity         // before it is trimmed to the size limit of the record
	quotaUse      map[string]sched.Resources // by limited team
	reducedShares map[string]sched.Resources // shares of quotas after returning what is not needed, by team
}

// RefreshTransaction returns a transaction that updates the capacity record of a shard that this
// controller leads, if the shard's machines or their free capacity have changed, and that returns
// the shard's unneeded quota shares; nil if no refresh is due. Placements write these records
// anyway, so refreshes are only made at intervals. tasksWait reports whether tasks of this
// controller's jobs wait for capacity.
func (a *Accounting) RefreshTransaction(now time.Time, tasksWait func() bool) *statecache.Transaction {
	for _, name := range a.leadership.HeldShards() {
		record := a.cache.Capacities[name].Record
		shardLeadership := a.leadership.InForce(name)
		if shardLeadership == nil || record == nil || !a.catalog.IsLoaded() {
			continue
		}
		sinceLast := shardLeadership.CapacityRecordAge(now)
		if sinceLast < refreshIntervals*a.node.Settings.DecisionInterval() {
			continue
		}
		update := a.newCapacityUpdate(name, now)
		if a.isUpToDate(update, record, shardLeadership, now) {
			continue
		}
		// Additional free capacity matters to peers only, and waiting tasks of this controller's
		// jobs use it first. It is therefore offered less often while tasks wait, as is a different
		// selection of machines where the record cannot contain all. A decrease of capacity is
		// recorded without that delay.
		recent := sinceLast < refreshIntervalsWhileTasksWait*a.node.Settings.DecisionInterval()
		if len(update.reducedShares) == 0 && recent && tasksWait() && offersRemainValid(update.free, record.Free) {
			continue
		}
		shardLeadership.MarkCapacityRecorded(now)
		return a.updateTransaction(name, update)
	}
	return nil
}

// newCapacityUpdate computes the capacity record of a shard that this controller leads from the
// placements on its machines.
func (a *Accounting) newCapacityUpdate(shardName string, now time.Time) capacityUpdate {
	update := capacityUpdate{
		free:          a.offeredCapacity(shardName, now),
		quotaUse:      a.QuotaUseOf(shardName),
		reducedShares: map[string]sched.Resources{},
	}
	for _, team := range a.node.Settings.Facts.Teams {
		held := a.QuotaShares(team.Name, shardName)
		use := update.quotaUse[team.Name]
		if !team.HasLimit() || !sched.HoldsExcessQuota(QuotaLimitOf(team), held.HeldByOthers, held.Held, use) {
			continue
		}
		if share, ok := sched.QuotaShare(QuotaLimitOf(team), held.HeldByOthers, use); ok {
			update.reducedShares[team.Name] = share
		}
	}
	return update
}

// isUpToDate reports whether a shard's capacity record already contains all that an update would
// write.
func (a *Accounting) isUpToDate(update capacityUpdate, record *shard.CapacityRecord,
	shardLeadership *leadership.Leadership, now time.Time,
) bool {
	free := update.free
	if len(record.Free) < len(free) { // compare with what would be recorded
		free = maps.Clone(free)
		a.trimCapacity(free, update.quotaUse, now)
	}
	if !maps.Equal(free, record.Free) || !maps.Equal(update.quotaUse, record.QuotaUse) || len(update.reducedShares) > 0 {
		return false
	}
	return !record.PredecessorMayAnswer || !now.After(shardLeadership.PredecessorAnswersUntil)
}

// updateTransaction returns a transaction that writes a shard's capacity record and as many of the
// reduced quota shares as its limit on writes allows.
func (a *Accounting) updateTransaction(shardName string, update capacityUpdate) *statecache.Transaction {
	for team := range update.reducedShares {
		if len(update.reducedShares) < a.schema.TransactionLimits().TxnOps {
			break
		}
		delete(update.reducedShares, team)
	}
	transaction := statecache.NewTransaction()
	a.leadership.RequireLeadership(transaction, shardName)
	a.putCapacityRecord(transaction, shardName, update.free, update.quotaUse)
	a.putQuotaShares(transaction, map[string]map[string]sched.Resources{shardName: update.reducedShares})
	return transaction
}

// offeredCapacity returns the free capacity of the machines of a shard that this controller leads,
// rounded as in the shard's capacity record.
func (a *Accounting) offeredCapacity(shardName string, now time.Time) shard.FreeCapacity {
	free := shard.FreeCapacity{}
	for host, amount := range a.calculator.freeInShard(shardName, now) {
		free[host] = amount.Rounded()
	}
	return free
}

// offersRemainValid reports whether every offered machine still has at least the capacity that it
// is offered with.
func offersRemainValid(current, offered shard.FreeCapacity) bool {
	for host, amount := range offered {
		if available, ok := current[host]; !ok || !available.Fits(amount) {
			return false
		}
	}
	return true
}
