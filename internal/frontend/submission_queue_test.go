package frontend

import (
	"context"
	"slices"
	"testing"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

func newSubmission(ctx context.Context, uid string, kind api.JobKind) *Submission {
	return &Submission{Ctx: ctx, Record: &job.Record{Spec: api.Job{UID: uid, Kind: kind}}}
}

func jobIDs(submissions []*Submission) []string {
	var uids []string
	for _, s := range submissions {
		uids = append(uids, s.Record.Spec.UID)
	}
	return uids
}

// A batch contains at most one submission of each job, none whose user no longer waits, and no more
// than the maximum size. The next batch contains the others in order.
func TestNextBatchTakesEachJobOnceUpToMaxSize(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	var q submissionQueue
	for _, s := range []*Submission{
		newSubmission(t.Context(), "a", api.Array),
		newSubmission(t.Context(), "b", api.Array),
		newSubmission(cancelled, "c", api.Array),
		newSubmission(t.Context(), "a", api.Array),
		newSubmission(t.Context(), "d", api.Array),
		newSubmission(t.Context(), "e", api.Array),
	} {
		q.add(s)
	}
	for i, want := range [][]string{{"a", "b", "d"}, {"a", "e"}, nil} {
		if got := jobIDs(q.nextBatch(3)); !slices.Equal(got, want) {
			t.Errorf("batch %d: got jobs %v, want %v", i, got, want)
		}
		if more, want := q.finishBatch(), i == 0; more != want {
			t.Errorf("after batch %d: more submissions wait: got %t, want %t", i, more, want)
		}
	}
}

// Guards against a batch of large submissions that exceeds the 64 KiB of a transaction: it was refused
// again and again, and its users with it.
func TestNextBatchFitsIntoOneTransaction(t *testing.T) {
	const records, recordBytes = 20, 14 << 10
	var q submissionQueue
	for i := range records {
		s := newSubmission(t.Context(), api.TaskName("a", i), api.Array)
		s.Bytes = recordBytes
		q.add(s)
	}
	total := 0
	for batch := q.nextBatch(records); len(batch) > 0; batch = q.nextBatch(records) {
		if bytes := len(batch) * recordBytes; bytes > statecache.MaxTransactionBytes {
			t.Errorf("batch of %d records has %d bytes, want at most %d", len(batch), bytes, statecache.MaxTransactionBytes)
		}
		total += len(batch)
	}
	if total != records {
		t.Errorf("the batches contain %d submissions, want %d", total, records)
	}
}

// Exactly one caller of add has to commit until the queue is empty. A full queue accepts no more
// submissions.
func TestAddSelectsOneCommitterAndRejectsWhenFull(t *testing.T) {
	var q submissionQueue
	for i := range maxWaitingSubmissions {
		added, mustCommit := q.add(newSubmission(t.Context(), "a", api.Array))
		if !added || mustCommit != (i == 0) {
			t.Fatalf("submission %d: got added %t, mustCommit %t, want true, %t", i, added, mustCommit, i == 0)
		}
	}
	if added, mustCommit := q.add(newSubmission(t.Context(), "b", api.Array)); added || mustCommit {
		t.Errorf("add to a full queue: got added %t, mustCommit %t, want false, false", added, mustCommit)
	}
	for q.finishBatch() {
		q.nextBatch(1)
	}
	if added, mustCommit := q.add(newSubmission(t.Context(), "b", api.Array)); !added || !mustCommit {
		t.Errorf("add to an empty queue: got added %t, mustCommit %t, want true, true", added, mustCommit)
	}
}

func TestBatchPriorityIsGangWhenBatchContainsGang(t *testing.T) {
	arrays := []*Submission{newSubmission(t.Context(), "a", api.Array), newSubmission(t.Context(), "b", api.Service)}
	if got := batchPriority(arrays); got != store.PrioritySubmission {
		t.Errorf("batch without gangs: got priority %v, want %v", got, store.PrioritySubmission)
	}
	if got := batchPriority(append(arrays, newSubmission(t.Context(), "c", api.Gang))); got != store.PriorityGang {
		t.Errorf("batch with a gang: got priority %v, want %v", got, store.PriorityGang)
	}
}

// The conflicting keys show which jobs exist: those with a record, and those with a final state.
func TestSplitByConflictsSeparatesExistingJobs(t *testing.T) {
	var batch []*Submission
	for _, uid := range []string{"a", "b", "c", "d"} {
		batch = append(batch, newSubmission(t.Context(), uid, api.Array))
	}
	unrecorded, existing := splitByConflicts(batch, []string{statecache.JobKey("b"), statecache.FinalStateKey("d"), statecache.JobKey("z")})
	if got := jobIDs(unrecorded); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("to be retried: got jobs %v, want [a c]", got)
	}
	if got := jobIDs(existing); !slices.Equal(got, []string{"b", "d"}) {
		t.Errorf("existing: got jobs %v, want [b d]", got)
	}
}
