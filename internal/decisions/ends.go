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

// endsPlan is ended attempts to be committed.
type endsPlan struct {
	editedRecords
	doneJobs []string // jobs whose last tasks these are
	more     bool     // the rest goes into the next transaction
}

// commitEnds commits ended attempts. The room they free shows in the shards'
// records with the next write of those.
func (l *Loop) commitEnds(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	plan := planEnds(state, now)
	l.guard.Unlock()
	for _, uid := range plan.doneJobs {
		l.node.Log.Info("job done", "job", uid)
	}
	if plan.transaction == nil {
		return plan.outgrown
	}
	return l.commit(ctx, forEnds, plan.transaction, store.PriorityDecision).settled() && plan.more
}

// planEnds collects ended attempts of all kinds of jobs but gangs, as many as a transaction takes.
func planEnds(s *state.State, now time.Time) endsPlan {
	var plan endsPlan
	e := s.Schema.NewRecordEditor()
	s.Leadership.RequireLeaderships(e.Txn)
	ends := s.Agents.EndedTasks(now)
	for _, id := range slices.SortedFunc(maps.Keys(ends), compareRanges) {
		j := s.Cache.Jobs[id.UID]
		if j.Record.Spec.Kind == api.Gang || s.Schema.TasksBlocked(j) || !s.Scheduler.ShouldCommitEnds(id, ends[id], now) {
			continue
		}
		if e.IsFull(endsCost(j), 0) {
			plan.more = true
			break
		}
		if addEnds(e, j, id, ends[id]) {
			plan.doneJobs = append(plan.doneJobs, id.UID)
		}
	}
	plan.editedRecords = finishEdit(e)
	return plan
}

// compareRanges orders task ranges by job, so that jobs come first that may be complete.
func compareRanges(a, b schema.RangeID) int {
	return cmp.Or(cmp.Compare(a.UID, b.UID), cmp.Compare(a.Index, b.Index))
}

// endsCost is how many changes the ends of a task range take at most.
func endsCost(j *statecache.Job) int {
	if j.Record.Inline {
		return 2 // main record and final state
	}
	return 3 // the task range as well
}

// addEnds adds the ends of attempts in one task range to a transaction. It reports whether the job
// is done with them.
func addEnds(e *schema.Editor, j *statecache.Job, id schema.RangeID, ends []agent.EndedTask) (done bool) {
	spec := &j.Record.Spec
	taskRange := e.TaskRange(j, id.Index)
	for _, end := range ends {
		taskRange.EndAttempt(end.Task.Index, end.Attempt.Attempt, end.Attempt.Done && spec.Kind == api.Array, end.Attempt.Failed)
	}
	if spec.Kind != api.Array || j.Record.Cancelled || taskRange.DoneCount() < j.Record.RangeLen(id.Index) {
		return false
	}
	record := e.Record(j)
	record.FinishRange(id.Index)
	e.DeletedRanges[id] = true
	if !record.Complete() {
		return false
	}
	e.Archive(j, job.FinalState{Phase: api.JobDone, Done: spec.Tasks})
	return true
}
