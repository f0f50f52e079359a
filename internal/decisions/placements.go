package decisions

import (
	"context"
	"log/slog"
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/scheduler"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

const (
	// planIntervals is for how many decision intervals a plan's placements are committed. What came
	// meanwhile may be more urgent than the rest: with few changes a second a long plan took many
	// seconds.
	planIntervals = 4
	// minPlacementWrites is how many changes a placement takes at least as a rule: the job's main
	// record, its task range and the shard's capacity record.
	minPlacementWrites = 3
)

// placementPlan is what one plan of the scheduler places.
type placementPlan struct {
	placements []capacity.Placement
	gangs      []*scheduler.GangClaim
	stops      []*statecache.PlacedTask // tasks that have to leave
}

// placeTasks commits what one plan places: own placements, and claims on peers'
// room by conditional write on their shards' capacity records; and with them the
// stops of the tasks that have to leave for some. What comes together goes into
// one transaction, so that a job whose tasks go to several shards is written once.
func (l *Loop) placeTasks(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	began := l.node.Now()
	plan := planPlacements(state, began)
	l.guard.Unlock()
	for _, claim := range plan.gangs { // few, and what waits for them waits as a whole
		l.commitGangClaim(ctx, claim)
	}
	stopAlone, ok := l.commitPlacements(ctx, plan.placements, began)
	if !ok {
		return false
	}
	l.stopTasks(ctx, append(plan.stops, stopAlone...))
	l.reclaimQuota(ctx)
	return false
}

// planPlacements plans if there are tasks to place; the rentals rest on the same plan.
func planPlacements(s *state.State, now time.Time) placementPlan {
	if !s.Scheduler.HasPendingTasks() {
		return placementPlan{}
	}
	p := s.Scheduler.Plan(now)
	s.Scheduler.CachePlan(p, now)
	return placementPlan{placements: p.Placements, gangs: p.Gangs, stops: p.GangVictims}
}

// commitPlacements commits placements of a plan that was made when it began. It returns the tasks
// that have to leave for placements but don't fit into one transaction with them, and false if
// nothing may be decided now.
func (l *Loop) commitPlacements(
	ctx context.Context, placements []capacity.Placement, began time.Time,
) (stopAlone []*statecache.PlacedTask, ok bool) {
	for conflicts := 0; len(placements) > 0 && conflicts < maxConflicts; {
		if l.node.Now().Sub(began) > planIntervals*l.node.Settings.DecisionInterval() {
			l.wake.Notify()
			break
		}
		// Every placement in a shard changes the shard's record.
		changes := min(scheduler.CountJobs(placements)+len(l.node.Shards), l.node.Settings.LowestLimits().TxnOps)
		available, ready := l.prepare(ctx, changes, minPlacementWrites, store.PriorityDecision)
		if !ready {
			return nil, false
		}
		state := l.guard.Lock()
		result := state.Scheduler.PlacementTransaction(placements, available, l.node.Now())
		l.guard.Unlock()
		stopAlone = append(stopAlone, result.StopSeparately...)
		if result.Transaction == nil {
			break
		}
		switch l.commit(ctx, forPlacements, result.Transaction, store.PriorityDecision) {
		case committed:
			placements, conflicts = result.Remaining, 0
			l.logPlaced(ctx, result.Placed)
			l.placeNewGangs(ctx)
		case rejected: // what lost against another write is tried again on what there is now
			conflicts++
		case outcomeUnknown:
			return nil, false
		}
	}
	return stopAlone, true
}

// logPlaced logs the tasks that a committed transaction placed.
func (l *Loop) logPlaced(ctx context.Context, placed []scheduler.PlacementLog) {
	for i := range placed {
		l.node.Log.LogAttrs(ctx, slog.LevelInfo, "task placed", placed[i].Attrs()...)
	}
}
