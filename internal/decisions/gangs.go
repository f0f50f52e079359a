package decisions

import (
	"context"
	"maps"
	"slices"

	"violetturn/internal/agent"
	"violetturn/internal/scheduler"
	"violetturn/internal/store"
)

// UpdateGangs commits what became of gangs: ends of their tasks, which decide about all
// of them, orderly stops, claims that are given up.
func (d *Loop) UpdateGangs(ctx context.Context) bool {
	now := d.node.Now()
	state := d.guard.Lock()
	if len(state.Cache.Gangs) == 0 {
		d.guard.Unlock()
		return false
	}
	byJob := map[string][]agent.EndedTask{}
	for k, ends := range state.Scheduler.EndedGangAttempts(now) {
		byJob[k.UID] = append(byJob[k.UID], ends...)
	}
	e := state.Schema.NewRecordEditor()
	state.Leadership.RequireAll(e.Txn)
	more := false
	var said [][]any
	for _, uid := range slices.Sorted(maps.Keys(state.Cache.Gangs)) {
		j := state.Cache.Jobs[uid]
		if state.Schema.IsBlocked(j) || j.Record.Gang == nil {
			continue
		}
		if e.IsFull(2, 0) {
			more = true
			break
		}
		before := *j.Record.Gang
		if state.Scheduler.UpdateGang(e, j, byJob[uid], now) {
			after := e.Records[uid]
			line := []any{"job", uid, "attempt", before.Attempt, "phase_before", before.Phase(j.CountPlaced())}
			if after != nil {
				line = append(line, "ended", after.Gang.Ended, "stopping", after.Gang.Stopping)
			} else {
				line = append(line, "done", true)
			}
			said = append(said, append(line, "ends", len(byJob[uid]), "placed", j.CountPlaced()))
		}
	}
	n := e.Changes
	t := e.Transaction()
	d.guard.Unlock()
	if n == 0 || e.Outgrown {
		return e.Outgrown
	}
	done, _, err := d.sync.Commit(ctx, "gang ends", t, store.PriorityGang)
	if done {
		for _, l := range said {
			d.node.Log.Info("gang", l...)
		}
		d.wake.Notify()
	}
	return more && (done || err == nil)
}

// commitGangClaim commits a gang's claim, in as many steps as it takes.
func (d *Loop) commitGangClaim(ctx context.Context, g *scheduler.GangClaim) {
	for tries := 0; len(g.Placements) > 0 && tries < 3; {
		if d.services.Store.AwaitWrites(ctx, min(scheduler.GangClaimChanges, d.node.Settings.LowestLimits().TxnOps), store.PriorityGang) < 2 || !d.sync.MayActNow() ||
			d.sync.ReadNewest(ctx) != nil {
			return
		}
		state := d.guard.Lock()
		result := state.Scheduler.GangTransaction(g, d.node.Now())
		d.guard.Unlock()
		if result.Transaction == nil {
			return
		}
		done, _, err := d.sync.Commit(ctx, "gangs", result.Transaction, store.PriorityGang)
		switch {
		case done:
			g.Placements, tries = result.Remaining, 0
			d.logPlaced(ctx, result.Placed)
			state = d.guard.Lock()
			state.Scheduler.NoteGangClaimed(g.UID)
			d.guard.Unlock()
		case err == nil:
			tries++
		default:
			return
		}
	}
}

// GangLoop places gangs as they are accepted, beside the decisions that wait for their
// changes. What both write at once is decided by the state service.
func (d *Loop) GangLoop(ctx context.Context) {
	for {
		select {
		case <-d.gangAccepted:
			d.placeNewGangs(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// placeNewGangs places gangs that came while other decisions wait for their changes: all
// tasks of one start with the last, so each second counts as often as it has tasks. One
// that finds no room is not looked at again for a while out of turn.
func (d *Loop) placeNewGangs(ctx context.Context) {
	now := d.node.Now()
	state := d.guard.Lock()
	var claims []*scheduler.GangClaim
	some := false
	reserved := state.Scheduler.WritesReservedForGangs(now)
	for uid := range state.Cache.Gangs {
		j := state.Cache.Jobs[uid]
		if j.Record.Cancelled || !state.Leadership.Leads(j.Record.Shard) || len(j.PendingTasks()) == 0 {
			continue
		}
		if state.Scheduler.LookOutOfTurn(uid, now, 8*d.node.Settings.DecisionInterval()) {
			some = true
		}
	}
	if some && state.Leadership.MayAct(now) {
		claims = state.Scheduler.Plan(now).Gangs
	}
	d.guard.Unlock()
	d.services.Store.ReserveForGangs(reserved)
	for _, g := range claims {
		d.commitGangClaim(ctx, g)
	}
}
