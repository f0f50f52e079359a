package decisions

import (
	"context"
	"log/slog"

	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// preemptTasks waits, for a bounded time, until the write budget holds preemptionWrites; it
// continues if the budget then holds at least minPreemptionWrites.
const (
	preemptionWrites    = 2
	minPreemptionWrites = 1
)

// preemptionsPlan is a planned transaction that marks tasks to be stopped in favor of others.
type preemptionsPlan struct {
	recordsPlan
	taskNames []string                 // for the log
	remaining []*statecache.PlacedTask // to be marked by the next transaction
}

// preemptTasks marks tasks to be stopped whose capacity is needed by tasks that can't be placed in
// the same transaction: by a gang, which needs capacity on several machines, or by a task whose
// victims are stored in more records than fit into a transaction. The order of the plans reserves
// the freed capacity for them.
func (l *Loop) preemptTasks(ctx context.Context, tasks []*statecache.PlacedTask) {
	for len(tasks) > 0 {
		if _, ok := l.prepareCommit(ctx, preemptionWrites, minPreemptionWrites, store.PriorityDecision); !ok {
			return
		}
		state := l.guard.Lock()
		plan := planPreemptions(state, tasks)
		l.guard.Unlock()
		if plan.transaction == nil {
			return
		}
		if l.commit(ctx, purposePreemptions, plan.transaction, store.PriorityDecision) != committed {
			return // the next plan selects the tasks again
		}
		l.node.Log.LogAttrs(ctx, slog.LevelInfo, "tasks stopped for others", preemptionLogAttrs(plan.taskNames)...)
		tasks = plan.remaining
	}
}

// planPreemptions marks as many tasks to be stopped as fit into a transaction.
func planPreemptions(s *state.State, tasks []*statecache.PlacedTask) preemptionsPlan {
	var plan preemptionsPlan
	editor := s.Schema.NewRecordEditor()
	for i, task := range tasks {
		j := s.Cache.Jobs[task.UID]
		if !s.Scheduler.CanStop(j, task) {
			continue
		}
		if cost := editor.StopCost(j, task); cost > 0 && editor.IsFull(cost, 0, j) {
			plan.remaining = tasks[i:]
			break
		}
		editor.StopTask(j, task)
		plan.taskNames = append(plan.taskNames, task.TaskName(j))
	}
	plan.recordsPlan = newRecordsPlan(editor)
	return plan
}

// preemptionLogAttrs returns one log attribute per preempted task.
func preemptionLogAttrs(taskNames []string) []slog.Attr {
	attributes := make([]slog.Attr, 0, len(taskNames))
	for _, task := range taskNames {
		attributes = append(attributes, slog.String("preempts", task))
	}
	return attributes
}
