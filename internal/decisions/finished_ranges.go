package decisions

import (
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
)

// finishRange marks a task range of an array, all of whose tasks are done, as finished in the main
// record. It returns false, and the range keeps its record, if the main record would become too large:
// one with many finished ranges far apart from each other does. Such ranges are finished once all tasks
// of the job are done.
func finishRange(editor *schema.Editor, j *statecache.Job, index int) bool {
	record := editor.Records[j.Record.Spec.UID]
	if record == nil {
		record = j.Record
	}
	finished := record.Copy()
	finished.FinishRange(index)
	if len(finished.FinishedRanges) > len(record.FinishedRanges) && !editor.MayGrowTo(finished) {
		return false
	}
	editor.Record(j).FinishedRanges = finished.FinishedRanges
	return true
}

// isDoneArray reports whether all tasks of an array are done, but some of its task ranges are not
// marked as finished.
func isDoneArray(j *statecache.Job) bool {
	r := j.Record
	return r.Spec.Kind == api.Array && !r.Cancelled && !r.Inline && !r.Frozen && len(r.FinishedRanges) > 0 &&
		j.CountPlaced() == 0 && len(j.PendingTasks()) == 0 && !r.Complete()
}

// finishDoneArray finishes as many task ranges of an array, all of whose tasks are done, as fit into
// the transaction, and archives the job with the last one.
func finishDoneArray(s *state.State, editor *schema.Editor, j *statecache.Job) {
	s.Leadership.RequireLeadership(editor.Txn, j.Record.Shard)
	record := j.Record
	for n := range j.Record.RangeCount() {
		if record.RangeFinished(n) {
			continue
		}
		if editor.IsFull(1+archiveWrites, 0, j) {
			return
		}
		if finishRange(editor, j, n) {
			editor.DeleteRange(j, n)
			record = editor.Record(j)
		}
	}
	if record.Complete() {
		editor.Archive(j, job.FinalState{Phase: api.JobDone, Done: j.Record.Spec.Tasks})
	}
}
