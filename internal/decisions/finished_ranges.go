package decisions

import (
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
)

// minFinishedBounds is the number of bounds of finished task ranges that each main record has space for.
const minFinishedBounds = 4

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
	addsInterval := len(finished.FinishedRanges) > max(len(record.FinishedRanges), minFinishedBounds)
	if !j.Record.Inline && addsInterval && !editor.MayGrowTo(finished) { // an inline job has one range, and is done with it
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
	record, count := editor.Record(j), j.Record.RangeCount()
	for i := range 2 * count { // upwards, and then downwards to join what lies below the first interval
		n := min(i, 2*count-1-i)
		if record.RangeFinished(n) {
			continue
		}
		if editor.IsFull(1+archiveWrites, 0, j) {
			return
		}
		if finishRange(editor, j, n) {
			editor.DeleteRange(j, n)
		}
	}
	if record.Complete() {
		editor.Archive(j, job.FinalState{Phase: api.JobDone, Done: j.Record.Spec.Tasks})
	}
}
