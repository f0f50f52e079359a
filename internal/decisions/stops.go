package decisions

import (
	"context"
	"log/slog"

	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// stopWrites is how many changes are waited for to stop tasks, and one is enough.
const (
	stopWrites    = 2
	minStopWrites = 1
)

// stopsPlan is tasks that have to leave for others.
type stopsPlan struct {
	editedRecords
	tasks []string                 // by name
	rest  []*statecache.PlacedTask // for the next transaction
}

// stopTasks marks tasks that have to leave for others that can't be placed in the same
// transaction: a gang, whose room comes from several machines, or one whose victims are
// recorded in more places than it takes. The room that is being left is kept for them
// by the order of the plans.
func (l *Loop) stopTasks(ctx context.Context, tasks []*statecache.PlacedTask) {
	for len(tasks) > 0 {
		if _, ok := l.prepare(ctx, stopWrites, minStopWrites, store.PriorityDecision); !ok {
			return
		}
		state := l.guard.Lock()
		plan := planStops(state, tasks)
		l.guard.Unlock()
		if plan.transaction == nil {
			return
		}
		if l.commit(ctx, forStops, plan.transaction, store.PriorityDecision) != committed {
			return // planned anew
		}
		l.node.Log.LogAttrs(ctx, slog.LevelInfo, "tasks stopped for others", preemptedAttributes(plan.tasks)...)
		tasks = plan.rest
	}
}

// planStops marks tasks to leave, as many as a transaction takes.
func planStops(s *state.State, tasks []*statecache.PlacedTask) stopsPlan {
	var plan stopsPlan
	e := s.Schema.NewRecordEditor()
	for i, task := range tasks {
		j := s.Cache.Jobs[task.UID]
		if !s.Scheduler.CanStop(j, task) {
			continue
		}
		if cost := e.StopCost(j, task); cost > 0 && e.IsFull(cost, 0) {
			plan.rest = tasks[i:]
			break
		}
		e.StopTask(j, task)
		plan.tasks = append(plan.tasks, task.TaskName(j))
	}
	plan.editedRecords = finishEdit(e)
	return plan
}

// preemptedAttributes returns the log's attributes of tasks that have to leave, one for each.
func preemptedAttributes(tasks []string) []slog.Attr {
	attributes := make([]slog.Attr, 0, len(tasks))
	for _, task := range tasks {
		attributes = append(attributes, slog.String("preempts", task))
	}
	return attributes
}
