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

// zonesPlan is a planned transaction that updates zone records.
type zonesPlan struct {
	transaction    *statecache.Transaction
	changedRecords map[string]zonehealth.Record // by zone
}

// updateZones evaluates the health of the zones once per heartbeat interval and commits the
// changes. It writes only zone records. Each write requires the version of the record that the
// evaluation used and this controller's leadership of its shards, so that the write of a delayed or
// replaced leader is rejected.
func (l *Loop) updateZones(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	if !state.Zones.IsObservationDue(now) {
		l.guard.Unlock()
		return false
	}
	plan := planZones(state, now)
	l.guard.Unlock()
	if len(plan.changedRecords) == 0 {
		return false
	}
	if l.commit(ctx, purposeZones, plan.transaction, store.PriorityDecision) == committed {
		l.logZoneChanges(plan.changedRecords)
		l.wake.Notify()
	}
	return false
}

// planZones evaluates the health of the zones and updates the records of those that have changed, as
// many as fit into a transaction.
func planZones(s *state.State, now time.Time) zonesPlan {
	s.Zones.Update(now)
	plan := zonesPlan{transaction: statecache.NewTransaction(), changedRecords: map[string]zonehealth.Record{}}
	for _, zone := range s.Zones.ObservedZones() {
		next, ok := s.Zones.Evaluate(zone, now)
		if !ok || plan.transaction.Writes() >= s.Schema.TransactionLimits().TxnOps {
			continue
		}
		key := statecache.ZoneKey(zone)
		plan.transaction.Require(key, s.Cache.Zones[statecache.ZoneID(zone)].Version)
		plan.transaction.Put(key, next)
		plan.changedRecords[zone] = next
	}
	s.Leadership.RequireLeaderships(plan.transaction)
	return plan
}

// logZoneChanges logs the committed zone records.
func (l *Loop) logZoneChanges(records map[string]zonehealth.Record) {
	for _, zone := range slices.Sorted(maps.Keys(records)) {
		record := records[zone]
		total := record.TotalObservation()
		l.node.Log.Info(
			"zone",
			"zone", zone,
			"state", record.State,
			"transitions", record.Transitions,
			"up", total.Healthy,
			"lost", total.Lost,
			"unknown", total.Unclear,
			"waiting", record.HasWaitingProduction(),
			"slow_start_share", record.SlowStartShare,
		)
	}
}
