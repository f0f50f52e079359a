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
	// maxPlanAgeIntervals limits the age of a plan whose placements are still being committed, in
	// decision intervals. Jobs that arrive in the meantime may be more urgent than the rest of the
	// plan: at a low write rate a long plan took many seconds to commit.
	maxPlanAgeIntervals = 4
	// minPlacementWrites is the number of writes that a placement usually takes: the job's main
	// record, its task range and the shard's capacity record.
	minPlacementWrites = 3
)

// placementPlan holds the placements of one plan of the scheduler.
type placementPlan struct {
	placements  []capacity.Placement
	gangs       []*scheduler.GangClaim
	preemptions []*statecache.PlacedTask // tasks to be stopped
}

// placeTasks commits the placements of one plan and the preemptions that some of them need.
// Placements on machines of peers' shards claim the free capacity there by conditional writes of
// those shards' capacity records. Placements of one plan share transactions, so that a job whose
// tasks go to several shards is written once.
func (l *Loop) placeTasks(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	plannedAt := l.node.Now()
	plan := planPlacements(state, plannedAt)
	l.guard.Unlock()
	for _, claim := range plan.gangs { // few, and a waiting gang delays all of its tasks
		l.commitGangClaim(ctx, claim)
	}
	stopSeparately, ok := l.commitPlacements(ctx, plan.placements, plannedAt)
	if !ok {
		return false
	}
	l.preemptTasks(ctx, append(plan.preemptions, stopSeparately...))
	l.reclaimQuota(ctx)
	return false
}

// planPlacements makes a plan if there are pending tasks. The autoscaler uses the same plan.
func planPlacements(s *state.State, now time.Time) placementPlan {
	if !s.Scheduler.HasPendingTasks() {
		return placementPlan{}
	}
	plan := s.Scheduler.Plan(now)
	s.Scheduler.CachePlan(plan, now)
	return placementPlan{placements: plan.Placements, gangs: plan.GangClaims, preemptions: plan.GangVictims}
}

// commitPlacements commits the placements of a plan made at plannedAt. It returns the tasks to be
// preempted that don't fit into one transaction with the placement that needs their capacity, and
// false if nothing may be committed now.
func (l *Loop) commitPlacements(
	ctx context.Context, placements []capacity.Placement, plannedAt time.Time,
) (stopSeparately []*statecache.PlacedTask, ok bool) {
	for conflicts := 0; len(placements) > 0 && conflicts < maxConsecutiveConflicts; {
		if l.node.Now().Sub(plannedAt) > maxPlanAgeIntervals*l.node.Settings.DecisionInterval() {
			l.wake.Notify()
			break
		}
		// Each placement in a shard changes the shard's capacity record.
		writes := min(scheduler.CountJobs(placements)+len(l.node.Shards), l.node.Settings.LowestLimits().TxnOps)
		available, ready := l.prepareCommit(ctx, writes, minPlacementWrites, store.PriorityDecision)
		if !ready {
			return nil, false
		}
		state := l.guard.Lock()
		result := state.Scheduler.PlacementTransaction(placements, available, l.node.Now())
		l.guard.Unlock()
		stopSeparately = append(stopSeparately, result.StopSeparately...)
		if result.Transaction == nil {
			break
		}
		switch l.commit(ctx, purposePlacements, result.Transaction, store.PriorityDecision) {
		case committed:
			placements, conflicts = result.Remaining, 0
			l.logPlacements(ctx, result.Placed)
			l.placeWaitingGangs(ctx)
		case rejected: // after a conflict the placements are checked against the current state and tried again
			conflicts++
		case outcomeUnknown:
			return nil, false
		}
	}
	return stopSeparately, true
}

// logPlacements logs the tasks that a committed transaction placed.
func (l *Loop) logPlacements(ctx context.Context, placed []scheduler.PlacementLog) {
	for i := range placed {
		l.node.Log.LogAttrs(ctx, slog.LevelInfo, "task placed", placed[i].Attrs()...)
	}
}
