package decisions

import (
	"context"
	"maps"
	"slices"
	"time"

	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

// zonesPlan is zones' records to be committed.
type zonesPlan struct {
	transaction *statecache.Transaction
	changed     map[string]zonehealth.Record // by zone
}

// updateZones looks at the zones once in a heartbeat interval and commits what has changed. It
// changes nothing but zones' records, each on the version that it judged by and on this
// node's leadership of its shards: one that wakes late, or was replaced, is refused.
func (l *Loop) updateZones(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	if !state.Zones.IsObservationDue(now) {
		l.guard.Unlock()
		return false
	}
	plan := planZones(state, now)
	l.guard.Unlock()
	if len(plan.changed) == 0 {
		return false
	}
	if l.commit(ctx, forZones, plan.transaction, store.PriorityDecision) == committed {
		l.logZoneChanges(plan.changed)
		l.wake.Notify()
	}
	return false
}

// planZones observes the zones, and collects the records of those that have changed, as many as a
// transaction takes.
func planZones(s *state.State, now time.Time) zonesPlan {
	s.Zones.Update(now)
	plan := zonesPlan{transaction: statecache.NewTransaction(), changed: map[string]zonehealth.Record{}}
	for _, zone := range s.Zones.ObservedZones() {
		next, ok := s.Zones.Evaluate(zone, now)
		if !ok || plan.transaction.Changes() >= s.Schema.TransactionLimits().TxnOps {
			continue
		}
		key := statecache.ZoneKey(zone)
		plan.transaction.Require(key, s.Cache.Zones[statecache.ZoneID(zone)].Version)
		plan.transaction.Put(key, next)
		plan.changed[zone] = next
	}
	s.Leadership.RequireLeaderships(plan.transaction)
	return plan
}

// logZoneChanges logs zones' records that were committed.
func (l *Loop) logZoneChanges(changed map[string]zonehealth.Record) {
	for _, zone := range slices.Sorted(maps.Keys(changed)) {
		record := changed[zone]
		sum := record.TotalObservation()
		l.node.Log.Info(
			"zone",
			"zone", zone,
			"state", record.State,
			"transitions", record.Transitions,
			"up", sum.Healthy,
			"lost", sum.Lost,
			"unknown", sum.Unclear,
			"waiting", record.HasWaitingProduction(),
			"slow_start_share", record.SlowStartShare,
		)
	}
}
