package decisions

import (
	"context"
	"maps"
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/commands"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/storesync"
	"violetturn/internal/timing"
)

// Loop commits what jobs and heartbeats call for.
type Loop struct {
	node         *node.Info
	guard        *state.Guard
	services     *external.Services
	sync         *storesync.Sync
	commands     *commands.Sender
	wake         notify.Signal // there is something to decide
	gangAccepted notify.Signal // a gang has been accepted
}

// Deps is what a decisionLoop rests on.
type Deps struct {
	Node         *node.Info
	Guard        *state.Guard
	Services     *external.Services
	Sync         *storesync.Sync
	Commands     *commands.Sender
	Wake         notify.Signal
	GangAccepted notify.Signal
}

func New(d Deps) *Loop {
	return &Loop{
		node: d.Node, guard: d.Guard, services: d.Services, sync: d.Sync, commands: d.Commands,
		wake: d.Wake, gangAccepted: d.GangAccepted,
	}
}

// DecideLoop commits what reports and jobs call for, one transaction at a time.
// It runs when something has changed and at least twice in a heartbeat interval, and
// leaves some time between: what comes together is committed together, and a
// slow processor has most of its time for reports.
func (d *Loop) DecideLoop(ctx context.Context) {
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
		d.Decide(ctx)
		state := d.guard.Lock()
		spent := state.Scheduler.PlanningTime
		state.Scheduler.PlanningTime = 0
		d.guard.Unlock()
		if !timing.Sleep(ctx, max(d.node.Settings.DecisionInterval(), 3*spent)) {
			return
		}
	}
}

func (d *Loop) Decide(ctx context.Context) {
	// Under load the budget of changes sets the pace: what comes together while
	// it fills goes into few large transactions instead of many small ones.
	if !d.sync.MayActNow() || d.services.Store.AwaitWrites(ctx, min(d.node.Settings.LowestLimits().TxnOps, d.sync.WritesPerSecond()), store.PriorityDecision) < 2 ||
		d.sync.ReadNewest(ctx) != nil {
		return
	}
	steps := []func(context.Context) bool{
		d.updateZones, d.RegisterMachines, d.UpdateGangs, d.commitEnds, d.archiveJobs, d.placeTasks, d.refreshCapacityRecord,
		d.deregisterMachines, d.splitRecords,
	}
	for _, step := range steps {
		for range 16 { // each step commits one transaction at a time
			if !d.sync.MayActNow() || ctx.Err() != nil {
				return
			}
			more := step(ctx)
			d.placeNewGangs(ctx)
			if !more {
				break
			}
		}
	}
	d.commands.RequestHeartbeats(ctx)
}

// refreshCapacityRecord writes an own shard's capacity record when its machines or their room have
// changed, at intervals: placements there write it anyway.
func (d *Loop) refreshCapacityRecord(ctx context.Context) bool {
	now := d.node.Now()
	state := d.guard.Lock()
	for _, p := range state.Leadership.KnownShards() {
		rec := state.Cache.Capacities[p]
		o := state.Leadership.InForce(p)
		if o == nil || rec.Record == nil || len(state.Catalog.MachineTypes) == 0 ||
			o.CapacityRecordAge(now) < 6*d.node.Settings.DecisionInterval() {
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
		if len(shares) == 0 && o.CapacityRecordAge(now) < 24*d.node.Settings.DecisionInterval() && state.Scheduler.HasPendingTasks() &&
			capacity.StillOffered(free, rec.Record.Free) {
			continue
		}
		for name := range shares { // the record and as many teams' as a transaction takes
			if len(shares) < state.Schema.TransactionLimits().TxnOps {
				break
			}
			delete(shares, name)
		}
		o.NoteCapacityRecorded(now)
		t := statecache.NewTransaction()
		state.Leadership.Require(t, p)
		state.Capacity.PutCapacityRecord(t, p, free, use)
		state.Capacity.PutQuotaShares(t, map[string]map[string]sched.Resources{p: shares})
		d.guard.Unlock()
		done, _, _ := d.sync.Commit(ctx, "upkeep", t, store.PriorityDecision)
		return done
	}
	d.guard.Unlock()
	return false
}
