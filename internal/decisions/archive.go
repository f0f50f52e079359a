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

// archiveWrites is the number of writes that archiving a job takes besides its task ranges:
// deleting its main record and creating its final state.
const archiveWrites = 2

// archiveJobs replaces the records of finished jobs (cancelled jobs and gangs that are done) by
// their final states, once none of their tasks is on a machine.
func (l *Loop) archiveJobs(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	plan := planArchive(state)
	l.guard.Unlock()
	if plan.transaction == nil {
		return plan.recordTooLarge
	}
	return l.commit(ctx, purposeArchive, plan.transaction, store.PriorityDecision) == committed
}

// planArchive plans one transaction that archives as many jobs as fit into it, and completes arrays
// whose tasks are all done. A job with many task
// ranges takes several transactions.
func planArchive(s *state.State) recordsPlan {
	editor := s.Schema.NewRecordEditor()
	for _, j := range s.Cache.Jobs {
		if isDoneArray(j) && s.Leadership.Leads(j.Record.Shard) && !editor.IsFull(archiveWrites, 0, j) {
			finishDoneArray(s, editor, j)
			continue
		}
		finished := j.Record.Cancelled || isDoneGang(j)
		if !finished || !s.Leadership.Leads(j.Record.Shard) || editor.IsFull(archiveWrites, 0) {
			continue
		}
		finalState, ready := finalStateOf(s, j)
		if !ready {
			continue
		}
		s.Leadership.RequireLeadership(editor.Txn, j.Record.Shard)
		// No task can be placed in the meantime: that would require the job not to be cancelled.
		if deleteRanges(editor, j) && !editor.IsFull(archiveWrites, 0) {
			editor.Archive(j, finalState)
		}
	}
	return newRecordsPlan(editor)
}

// isDoneGang reports whether a job is a gang all of whose tasks are done.
func isDoneGang(j *statecache.Job) bool { return j.Record.Gang != nil && j.Record.Gang.Done }

// finalStateOf returns the final state of a finished job. The job is not ready to be archived while
// any of its tasks is on a machine, except for a done gang whose resources count against no quota.
func finalStateOf(s *state.State, j *statecache.Job) (finalState job.FinalState, ready bool) {
	placed, done := 0, j.Record.FinishedTasks()
	for n, taskRange := range j.Ranges {
		placed += len(taskRange.Record.Placements)
		if !j.Record.RangeFinished(n) {
			done += taskRange.Record.DoneCount()
		}
	}
	if isDoneGang(j) {
		return job.FinalState{Phase: api.JobDone, Done: j.Record.Spec.Tasks}, placed == 0 || !s.Accounting.CountsAgainstQuota(j)
	}
	return job.FinalState{Phase: api.JobCancelled, Done: done}, placed == 0
}

// deleteRanges deletes the task ranges of a job that are stored in records of their own. It reports
// whether all of them fit into the transaction.
func deleteRanges(editor *schema.Editor, j *statecache.Job) (all bool) {
	if j.Record.Inline {
		return true
	}
	for n := range j.Ranges {
		if editor.IsFull(1, 0) {
			return false
		}
		editor.DeleteRange(j, n)
	}
	return true
}
