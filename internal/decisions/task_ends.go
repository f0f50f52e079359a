package decisions

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// taskEndsPlan is a planned transaction that records the ends of task attempts.
type taskEndsPlan struct {
	recordsPlan
	doneJobs []string // IDs of the jobs that this transaction completes
	more     bool     // not all ended attempts fit into the transaction
}

// commitTaskEnds commits one transaction that records ended attempts, and reports whether there is
// more to commit. The capacity that the attempts free appears in a shard's capacity record when that
// record is next written.
func (l *Loop) commitTaskEnds(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	plan := planTaskEnds(state, now)
	l.guard.Unlock()
	for _, uid := range plan.doneJobs {
		l.node.Log.Info("job done", "job", uid)
	}
	if plan.transaction == nil {
		return plan.recordTooLarge
	}
	return l.commit(ctx, purposeTaskEnds, plan.transaction, store.PriorityDecision).isKnown() && plan.more
}

// planTaskEnds plans a transaction with the ended attempts of as many task ranges as fit into it.
// It skips gangs, whose task ends UpdateGangs commits.
func planTaskEnds(s *state.State, now time.Time) taskEndsPlan {
	var plan taskEndsPlan
	editor := s.Schema.NewRecordEditor()
	s.Leadership.RequireLeaderships(editor.Txn)
	ends := s.Agents.EndedTasks(now)
	for _, id := range slices.SortedFunc(maps.Keys(ends), compareRangeIDs) {
		j := s.Cache.Jobs[id.UID]
		if j.Record.Spec.Kind == api.Gang || s.Schema.TasksBlocked(j) || !s.Scheduler.ShouldCommitEnds(id, ends[id], now) {
			continue
		}
		if editor.IsFull(taskEndsCost(j), 0, j) {
			plan.more = true
			break
		}
		if addTaskEnds(editor, j, id, ends[id]) {
			plan.doneJobs = append(plan.doneJobs, id.UID)
		}
	}
	plan.recordsPlan = newRecordsPlan(editor)
	return plan
}

// compareRangeIDs orders task ranges by job, then by index. A transaction that can't hold all ranges
// then holds all ranges of the first jobs in this order, and may complete those jobs.
func compareRangeIDs(a, b schema.RangeID) int {
	return cmp.Or(cmp.Compare(a.UID, b.UID), cmp.Compare(a.Index, b.Index))
}

// taskEndsCost returns the maximum number of writes that it takes to record the ends in a task range.
func taskEndsCost(j *statecache.Job) int {
	if j.Record.Inline {
		return 2 // the main record and the final state
	}
	return 3 // these two and the record of the task range
}

// addTaskEnds adds the ends of attempts in one task range to a transaction. If all tasks of the range
// are then done, it finishes the range (see finishRange); if this completes the job, it archives the job and returns
// true. Only arrays that are not cancelled are completed in this way.
func addTaskEnds(editor *schema.Editor, j *statecache.Job, id schema.RangeID, ends []agent.EndedTask) (jobDone bool) {
	spec := &j.Record.Spec
	taskRange := editor.TaskRange(j, id.Index)
	for _, ended := range ends {
		taskRange.EndAttempt(ended.Task.Index, ended.Attempt.Attempt, ended.Attempt.Done && spec.Kind == api.Array, ended.Attempt.Failed)
	}
	if spec.Kind != api.Array || j.Record.Cancelled || taskRange.DoneCount() < j.Record.RangeLen(id.Index) {
		return false
	}
	if !finishRange(editor, j, id.Index) {
		return false
	}
	editor.DeletedRanges[id] = true
	if !editor.Record(j).Complete() {
		return false
	}
	editor.Archive(j, job.FinalState{Phase: api.JobDone, Done: spec.Tasks})
	return true
}
