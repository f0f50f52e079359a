package capacity

import (
	"maps"
	"time"

	"violetturn/internal/leadership"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// After how many decision intervals an own shard's capacity record may be written again by
// itself, and after how many if that only offers more room while own jobs wait for it.
const (
	refreshIntervals       = 6
	refreshIntervalsOfMore = 24
)

// capacityUpdate is an own shard's capacity record as it is to be.
type capacityUpdate struct {
	free   shard.FreeCapacity         // before it is cut to what the record takes
	use    map[string]sched.Resources // by limited team
	shares map[string]sched.Resources // of quotas that are returned, by team
}

// RefreshTransaction returns a transaction that brings the capacity record of an own shard up to
// date whose machines or their room have changed, and returns what it holds of quotas beyond its
// need; nil if none is due. Placements write these records anyway, so this is done at
// intervals. tasksWait says whether tasks of own jobs wait for room.
func (a *Accounting) RefreshTransaction(now time.Time, tasksWait func() bool) *statecache.Transaction {
	for _, name := range a.leadership.Shards() {
		record := a.cache.Capacities[name].Record
		led := a.leadership.InForce(name)
		if led == nil || record == nil || !a.catalog.IsLoaded() {
			continue
		}
		sinceLast := led.CapacityRecordAge(now)
		if sinceLast < refreshIntervals*a.node.Settings.DecisionInterval() {
			continue
		}
		update := a.newCapacityUpdate(name, now)
		if a.isRecorded(update, record, led, now) {
			continue
		}
		// More room than the record says is news for peers only, and while own jobs wait
		// for room they use it first: that is offered less often, and so is another choice of
		// machines where not all can be named. Less room is recorded at once.
		lately := sinceLast < refreshIntervalsOfMore*a.node.Settings.DecisionInterval()
		if len(update.shares) == 0 && lately && tasksWait() && stillOffered(update.free, record.Free) {
			continue
		}
		led.MarkCapacityRecorded(now)
		return a.updateTransaction(name, update)
	}
	return nil
}

// newCapacityUpdate works out an own shard's capacity record from what is placed there.
func (a *Accounting) newCapacityUpdate(shardName string, now time.Time) capacityUpdate {
	update := capacityUpdate{
		free:   a.freeCapacity(shardName, now),
		use:    a.QuotaUseOf(shardName),
		shares: map[string]sched.Resources{},
	}
	for _, team := range a.node.Settings.Facts.Teams {
		held := a.QuotaShares(team.Name, shardName)
		use := update.use[team.Name]
		if !team.HasLimit() || !sched.HoldsExcessQuota(QuotaLimitOf(team), held.HeldByOthers, held.Held, use) {
			continue
		}
		if less, ok := sched.QuotaShare(QuotaLimitOf(team), held.HeldByOthers, use); ok {
			update.shares[team.Name] = less
		}
	}
	return update
}

// isRecorded reports whether a shard's capacity record says all that an update would write.
func (a *Accounting) isRecorded(update capacityUpdate, record *shard.CapacityRecord, led *leadership.Leadership, now time.Time) bool {
	free := update.free
	if len(record.Free) < len(free) { // as it would be recorded
		free = maps.Clone(free)
		a.trimCapacity(free, update.use, now)
	}
	if !maps.Equal(free, record.Free) || !maps.Equal(update.use, record.QuotaUse) || len(update.shares) > 0 {
		return false
	}
	return !record.PredecessorMayAnswer || !now.After(led.PredecessorAnswersUntil)
}

// updateTransaction writes an own shard's capacity record and returns as many teams' quotas as a
// transaction takes.
func (a *Accounting) updateTransaction(shardName string, update capacityUpdate) *statecache.Transaction {
	for team := range update.shares {
		if len(update.shares) < a.schema.TransactionLimits().TxnOps {
			break
		}
		delete(update.shares, team)
	}
	t := statecache.NewTransaction()
	a.leadership.RequireLeadership(t, shardName)
	a.putCapacityRecord(t, shardName, update.free, update.use)
	a.putQuotaShares(t, map[string]map[string]sched.Resources{shardName: update.shares})
	return t
}

// freeCapacity returns the free room of an own shard's machines as its capacity record offers it.
func (a *Accounting) freeCapacity(shardName string, now time.Time) shard.FreeCapacity {
	free := shard.FreeCapacity{}
	for host, room := range a.room.freeInShard(shardName, now) {
		free[host] = room.Rounded()
	}
	return free
}

// stillOffered reports whether every machine that is offered has the room that it is offered
// with.
func stillOffered(now, offered shard.FreeCapacity) bool {
	for host, room := range offered {
		if has, ok := now[host]; !ok || !has.Fits(room) {
			return false
		}
	}
	return true
}
