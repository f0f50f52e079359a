package decisions

import (
	"context"
	"log/slog"

	"violetturn/internal/capacity"
	"violetturn/internal/scheduler"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// placeTasks commits what one plan places: own placements, and claims on peers'
// room by conditional write on their shards' capacity records; and with them the
// marks of the tasks that have to leave for some. What comes together goes into
// one transaction, so that a job whose tasks go to several shards is written once.
func (d *Loop) placeTasks(ctx context.Context) bool {
	state := d.guard.Lock()
	var todo []capacity.Placement
	var gangs []*scheduler.GangClaim
	var marks []*statecache.PlacedTask
	began := d.node.Now()
	if state.Scheduler.HasPendingTasks() {
		p := state.Scheduler.Plan(began)
		state.Scheduler.RememberPlan(p, began)
		todo, gangs, marks = p.Placements, p.Gangs, p.Stops
	}
	d.guard.Unlock()
	for _, g := range gangs { // few, and what waits for them waits as a whole
		d.commitGangClaim(ctx, g)
	}
	for tries := 0; len(todo) > 0 && tries < 3; {
		if d.node.Now().Sub(began) > 4*d.node.Settings.DecisionInterval() {
			// What came meanwhile may be more urgent than the rest of this plan: with
			// few changes a second a long one took many seconds.
			d.wake.Notify()
			break
		}
		// Every placement in a shard changes its record. Looking at the newest
		// one first costs a request, being beaten by a conflicting write costs all changes.
		room := d.services.Store.AwaitWrites(ctx, min(scheduler.CountJobs(todo)+len(d.node.Shards), d.node.Settings.LowestLimits().TxnOps), store.PriorityDecision)
		if room < 3 || !d.sync.MayActNow() || d.sync.ReadNewest(ctx) != nil {
			return false
		}
		state = d.guard.Lock()
		result := state.Scheduler.PlacementTransaction(todo, room, d.node.Now())
		d.guard.Unlock()
		marks = append(marks, result.StopAlone...)
		if result.Transaction == nil {
			break
		}
		done, _, err := d.sync.Commit(ctx, "places", result.Transaction, store.PriorityDecision)
		switch {
		case done:
			todo, tries = result.Remaining, 0
			d.logPlaced(ctx, result.Placed)
			d.placeNewGangs(ctx)
		case err == nil: // beaten by a conflicting write: what lost is tried again on what there is now
			tries++
		default:
			return false
		}
	}
	d.stopTasks(ctx, marks)
	d.reclaimQuota(ctx)
	return false
}

// logPlaced logs the tasks that a committed transaction placed.
func (d *Loop) logPlaced(ctx context.Context, placed []scheduler.PlacementLog) {
	for i := range placed {
		d.node.Log.LogAttrs(ctx, slog.LevelInfo, "task placed", placed[i].Attrs()...)
	}
}

// reclaimQuota takes back what shards hold of teams' limits and don't use, for teams
// that had too little for a placement.
func (d *Loop) reclaimQuota(ctx context.Context) {
	state := d.guard.Lock()
	t := state.Capacity.ReclaimTransaction(d.node.Now())
	d.guard.Unlock()
	if t == nil || !d.sync.MayActNow() {
		return
	}
	if done, _, _ := d.sync.Commit(ctx, "shares", t, store.PriorityDecision); done {
		d.wake.Notify()
	}
}

// stopTasks marks tasks that have to leave for others that can't be placed in the same
// transaction: a gang, whose room comes from several machines, or one whose victims are
// recorded in more places than it takes. The room that is being left is kept for them
// by the order of the plans.
func (d *Loop) stopTasks(ctx context.Context, marks []*statecache.PlacedTask) {
	for len(marks) > 0 {
		if d.services.Store.AwaitWrites(ctx, 2, store.PriorityDecision) < 1 || !d.sync.MayActNow() || d.sync.ReadNewest(ctx) != nil {
			return
		}
		state := d.guard.Lock()
		e := state.Schema.NewRecordEditor()
		var rest []*statecache.PlacedTask
		var line []any
		for i, v := range marks {
			k := state.Cache.Jobs[v.UID]
			if !state.Scheduler.CanStop(k, v) {
				continue
			}
			if more := e.StopCost(k, v); more > 0 && e.IsFull(more, 0) {
				rest = marks[i:]
				break
			}
			e.StopTask(k, v)
			line = append(line, "preempts", v.TaskName(k))
		}
		n := e.Changes
		t := e.Transaction()
		d.guard.Unlock()
		if n == 0 || e.Outgrown {
			return
		}
		if done, _, _ := d.sync.Commit(ctx, "marks", t, store.PriorityDecision); !done {
			return // planned anew
		}
		d.node.Log.Info("tasks stopped for others", line...)
		marks = rest
	}
}
