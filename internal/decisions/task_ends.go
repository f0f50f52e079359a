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

// taskEndsPlan is a planned transaction that records ended attempts.
type taskEndsPlan struct {
	recordsPlan
	doneJobs []string // jobs that are done with this transaction
	more     bool     // not all ended attempts fit into the transaction
}

// commitTaskEnds commits ended attempts. The capacity that they free appears in a shard's capacity
// record when that record is next written.
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

// planTaskEnds collects as many ended attempts as fit into a transaction, of all kinds of jobs
// except gangs.
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
		if editor.IsFull(taskEndsCost(j), 0) {
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

// compareRangeIDs orders task ranges by job, then by index. If a transaction can't hold all ranges,
// it holds all of the first jobs, which may be complete with it.
func compareRangeIDs(a, b schema.RangeID) int {
	return cmp.Or(cmp.Compare(a.UID, b.UID), cmp.Compare(a.Index, b.Index))
}

// taskEndsCost returns the maximum number of writes that recording the ends in a task range takes.
func taskEndsCost(j *statecache.Job) int {
	if j.Record.Inline {
		return 2 // the main record and the final state
	}
	return 3 // the record of the task range as well
}

// addTaskEnds adds the ends of attempts in one task range to a transaction. It reports whether the
// job is done with them.
func addTaskEnds(editor *schema.Editor, j *statecache.Job, id schema.RangeID, ends []agent.EndedTask) (jobDone bool) {
	spec := &j.Record.Spec
	taskRange := editor.TaskRange(j, id.Index)
	for _, ended := range ends {
		taskRange.EndAttempt(ended.Task.Index, ended.Attempt.Attempt, ended.Attempt.Done && spec.Kind == api.Array, ended.Attempt.Failed)
	}
	if spec.Kind != api.Array || j.Record.Cancelled || taskRange.DoneCount() < j.Record.RangeLen(id.Index) {
		return false
	}
	record := editor.Record(j)
	record.FinishRange(id.Index)
	editor.DeletedRanges[id] = true
	if !record.Complete() {
		return false
	}
	editor.Archive(j, job.FinalState{Phase: api.JobDone, Done: spec.Tasks})
	return true
}
