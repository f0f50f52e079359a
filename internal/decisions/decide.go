package decisions

import (
	"context"
	"time"

	"violetturn/internal/commands"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/state"
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
		spent := state.Scheduler.ResetPlanningTime()
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
	state := d.guard.Lock()
	t := state.Capacity.RefreshTransaction(d.node.Now(), state.Scheduler.HasPendingTasks)
	d.guard.Unlock()
	if t == nil {
		return false
	}
	done, _, _ := d.sync.Commit(ctx, "upkeep", t, store.PriorityDecision)
	return done
}
