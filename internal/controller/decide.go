package controller

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

func unmarshal(raw json.RawMessage, v any) error { return json.Unmarshal(raw, v) }

// decideLoop commits what reports and jobs call for, one transaction at a time.
// It runs when something has changed and at least twice in a heartbeat interval, and
// leaves some time between: what comes together is committed together, and a
// slow processor has most of its time for reports.
func (d *decisionLoop) decideLoop(ctx context.Context) {
	for {
		t := time.NewTimer(d.node.Settings.HeartbeatInterval() / 2)
		select {
		case <-d.wake:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
		d.decide(ctx)
		state := d.guard.Lock()
		spent := state.Scheduler.PlanningTime
		state.Scheduler.PlanningTime = 0
		d.guard.Unlock()
		if !sleep(ctx, max(d.node.Settings.DecisionInterval(), 3*spent)) {
			return
		}
	}
}

func (d *decisionLoop) decide(ctx context.Context) {
	// Under load the budget of changes sets the pace: what comes together while
	// it fills goes into few large transactions instead of many small ones.
	if !d.sync.mayActNow() || d.services.store.AwaitWrites(ctx, min(d.node.Settings.LowestLimits().TxnOps, d.sync.writesPerSecond()), store.PriorityDecision) < 2 ||
		d.sync.readNewest(ctx) != nil {
		return
	}
	steps := []func(context.Context) bool{
		d.updateZones, d.registerMachines, d.updateGangs, d.commitEnds, d.archiveJobs, d.placeTasks, d.refreshCapacityRecord,
		d.deregisterMachines, d.splitRecords,
	}
	for _, step := range steps {
		for range 16 { // each step commits one transaction at a time
			if !d.sync.mayActNow() || ctx.Err() != nil {
				return
			}
			more := step(ctx)
			d.placeNewGangs(ctx)
			if !more {
				break
			}
		}
	}
	d.commands.requestHeartbeats(ctx)
}

// writesPerSecond is this controller's share of the changes of a second.
func (y *storeSync) writesPerSecond() int {
	state := y.guard.Lock()
	defer y.guard.Unlock()
	return max(2, int(y.node.Settings.LowestLimits().WriteRPS/float64(state.Leadership.RateSharers)))
}

func (y *storeSync) mayActNow() bool {
	state := y.guard.Lock()
	defer y.guard.Unlock()
	return state.Leadership.MayAct(y.node.Now())
}

// refreshCapacityRecord writes an own shard's capacity record when its machines or their room have
// changed, at intervals: placements there write it anyway.
func (d *decisionLoop) refreshCapacityRecord(ctx context.Context) bool {
	now := d.node.Now()
	state := d.guard.Lock()
	for p, o := range state.Leadership.ByShard {
		rec := state.Cache.Capacities[p]
		if state.Leadership.Of(p) == nil || rec.Record == nil || len(state.Catalog.MachineTypes) == 0 ||
			now.Sub(o.CapacityRecordedAt) < 6*d.node.Settings.DecisionInterval() {
			continue
		}
		free := shard.FreeCapacity{}
		for h, r := range state.Room.FreeInShard(p, now) {
			free[h] = shard.Vec(r)
		}
		use := state.Capacity.QuotaUseOf(p)
		shares := map[string]sched.Resources{}
		for _, team := range d.node.Settings.Facts.Teams {
			held, others := state.Capacity.QuotaShares(team.Name, p)
			if u := shard.Unvec(use[team.Name]); team.Limited() && sched.HoldsExcessQuota(capacity.QuotaLimitOf(team), others, held, u) {
				if less, ok := sched.QuotaShare(capacity.QuotaLimitOf(team), others, u); ok {
					shares[team.Name] = less
				}
			}
		}
		out := free
		if len(rec.Record.Free) < len(free) { // as it would be recorded
			out = maps.Clone(free)
			state.Capacity.TrimCapacity(out, use, now)
		}
		if maps.Equal(out, rec.Record.Free) && maps.Equal(use, rec.Record.QuotaUse) && len(shares) == 0 &&
			(!rec.Record.PredecessorInDoubt || !now.After(o.PredecessorAnswersUntil)) {
			continue
		}
		// More room than the record says is news for peers only, and while own jobs wait
		// for room they take it first: that is told less often, and so is another choice of
		// machines where not all can be named. Less is told at once.
		if len(shares) == 0 && now.Sub(o.CapacityRecordedAt) < 24*d.node.Settings.DecisionInterval() && state.Scheduler.HasPendingTasks() &&
			capacity.StillOffered(free, rec.Record.Free) {
			continue
		}
		for name := range shares { // the record and as many teams' as a transaction takes
			if len(shares) < state.Schema.TransactionLimits().TxnOps {
				break
			}
			delete(shares, name)
		}
		o.CapacityRecordedAt = now
		t := statecache.NewTransaction()
		state.Leadership.Require(t, p)
		state.Capacity.PutCapacityRecord(t, p, free, use)
		state.Capacity.PutQuotaShares(t, map[string]map[string]sched.Resources{p: shares})
		d.guard.Unlock()
		done, _, _ := d.sync.commit(ctx, "upkeep", t, store.PriorityDecision)
		return done
	}
	d.guard.Unlock()
	return false
}
