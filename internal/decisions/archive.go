package decisions

import (
	"context"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// archiveCost is how many changes the archiving of a job takes besides its task ranges: its main
// record and its final state.
const archiveCost = 2

// archiveJobs replaces the records of jobs that are over by their final states, once none of their
// tasks is on a machine: of cancelled jobs, and of gangs that are done.
func (l *Loop) archiveJobs(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	plan := planArchive(state)
	l.guard.Unlock()
	if plan.transaction == nil {
		return plan.outgrown
	}
	return l.commit(ctx, forArchive, plan.transaction, store.PriorityDecision) == committed
}

// planArchive collects jobs to be archived, as many as a transaction takes. A job of many task
// ranges takes several.
func planArchive(s *state.State) editedRecords {
	e := s.Schema.NewRecordEditor()
	for _, j := range s.Cache.Jobs {
		over := j.Record.Cancelled || isDoneGang(j)
		if !over || !s.Leadership.Leads(j.Record.Shard) || e.IsFull(archiveCost, 0) {
			continue
		}
		final, ready := finalStateOf(s, j)
		if !ready {
			continue
		}
		s.Leadership.RequireLeadership(e.Txn, j.Record.Shard)
		// No start can come between: it would need the job not cancelled.
		if deleteRanges(e, j) && !e.IsFull(archiveCost, 0) {
			e.Archive(j, final)
		}
	}
	return finishEdit(e)
}

// isDoneGang reports whether a job is a gang all of whose tasks are done.
func isDoneGang(j *statecache.Job) bool { return j.Record.Gang != nil && j.Record.Gang.Done }

// finalStateOf returns how a job that is over ended. It is not ready to be archived while tasks
// of it are on machines, except for a done gang whose room no quota counts.
func finalStateOf(s *state.State, j *statecache.Job) (final job.FinalState, ready bool) {
	placed, done := 0, j.Record.FinishedTasks()
	for n, taskRange := range j.Ranges {
		placed += len(taskRange.Record.Placements)
		if !j.Record.RangeFinished(n) {
			done += taskRange.Record.DoneCount()
		}
	}
	if isDoneGang(j) {
		return job.FinalState{Phase: api.JobDone, Done: j.Record.Spec.Tasks}, placed == 0 || !s.Capacity.CountsAgainstQuota(j)
	}
	return job.FinalState{Phase: api.JobCancelled, Done: done}, placed == 0
}

// deleteRanges deletes the task ranges of a job that have records of their own. It reports whether
// the transaction took all.
func deleteRanges(e *schema.Editor, j *statecache.Job) (all bool) {
	if j.Record.Inline {
		return true
	}
	for n := range j.Ranges {
		if e.IsFull(1, 0) {
			return false
		}
		e.DeleteRange(j, n)
	}
	return true
}
