package decisions

import (
	"context"
	"maps"
	"slices"

	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

// updateZones looks at the zones once in a heartbeat interval and commits what has changed. It
// changes nothing but zones' records, each on the version that it judged by and on this
// node's leadership of a shard: one that wakes late, or was replaced, is refused.
func (d *Loop) updateZones(ctx context.Context) bool {
	now := d.node.Now()
	state := d.guard.Lock()
	if !state.Zones.ObservationIsDue(now) {
		d.guard.Unlock()
		return false
	}
	state.Zones.Update(now)
	t := statecache.NewTransaction()
	changed := map[string]zonehealth.Record{}
	for _, zone := range state.Zones.Observed() {
		if next, ok := state.Zones.Judge(zone, now); ok && t.Changes() < state.Schema.TransactionLimits().TxnOps {
			t.Require(statecache.ZoneKey(zone), state.Cache.Zones[statecache.ZoneID(zone)].Version)
			t.Put(statecache.ZoneKey(zone), next)
			changed[zone] = next
		}
	}
	state.Leadership.RequireAll(t)
	d.guard.Unlock()
	if len(changed) == 0 {
		return false
	}
	if done, _, _ := d.sync.Commit(ctx, "zones", t, store.PriorityDecision); done {
		d.logZoneChanges(changed)
		d.wake.Notify()
	}
	return false
}

func (d *Loop) logZoneChanges(changed map[string]zonehealth.Record) {
	for _, zone := range slices.Sorted(maps.Keys(changed)) {
		r := changed[zone]
		sum := r.Sum()
		d.node.Log.Info(
			"zone", "zone", zone, "state", r.State, "transitions", r.Transitions, "up", sum.Up, "lost", sum.Lost,
			"unknown", sum.Unclear, "waiting", r.Waiting(), "slow_start_share", r.SlowStartShare,
		)
	}
}
