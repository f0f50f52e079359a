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

func uidsOf(submissions []*Submission) []string {
	var uids []string
	for _, s := range submissions {
		uids = append(uids, s.Record.Spec.UID)
	}
	return uids
}

// A batch has each job once, leaves out those whose users no longer wait, and is no larger than
// asked for; the rest follows in order.
func TestQueueBatches(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var q submissionQueue
	for _, s := range []*Submission{
		newSubmission(t.Context(), "a", api.Array),
		newSubmission(t.Context(), "b", api.Array),
		newSubmission(ended, "c", api.Array),
		newSubmission(t.Context(), "a", api.Array),
		newSubmission(t.Context(), "d", api.Array),
		newSubmission(t.Context(), "e", api.Array),
	} {
		q.add(s)
	}
	for i, want := range [][]string{{"a", "b", "d"}, {"a", "e"}, nil} {
		if got := uidsOf(q.nextBatch(3)); !slices.Equal(got, want) {
			t.Errorf("batch %d: %v, want %v", i, got, want)
		}
		if more, want := q.finishBatch(), i == 0; more != want {
			t.Errorf("after batch %d: more is %t", i, more)
		}
	}
}

// Exactly one of those who add submissions commits, until the queue is empty; a full queue takes
// no more.
func TestQueueIsCommittedByOne(t *testing.T) {
	var q submissionQueue
	for i := range maxWaitingSubmissions {
		added, mustCommit := q.add(newSubmission(t.Context(), "a", api.Array))
		if !added || mustCommit != (i == 0) {
			t.Fatalf("submission %d: added %t, to commit %t", i, added, mustCommit)
		}
	}
	if added, mustCommit := q.add(newSubmission(t.Context(), "b", api.Array)); added || mustCommit {
		t.Errorf("beyond the bound: added %t, to commit %t", added, mustCommit)
	}
	for q.finishBatch() {
		q.nextBatch(1)
	}
	if added, mustCommit := q.add(newSubmission(t.Context(), "b", api.Array)); !added || !mustCommit {
		t.Errorf("to the empty queue: added %t, to commit %t", added, mustCommit)
	}
}

func TestBatchPriority(t *testing.T) {
	arrays := []*Submission{newSubmission(t.Context(), "a", api.Array), newSubmission(t.Context(), "b", api.Service)}
	if got := batchPriority(arrays); got != store.PrioritySubmission {
		t.Errorf("without gangs: %v", got)
	}
	if got := batchPriority(append(arrays, newSubmission(t.Context(), "c", api.Gang))); got != store.PriorityGang {
		t.Errorf("with a gang: %v", got)
	}
}

// A conflict tells which jobs are known: those that live and those that have ended.
func TestSplitKnown(t *testing.T) {
	var batch []*Submission
	for _, uid := range []string{"a", "b", "c", "d"} {
		batch = append(batch, newSubmission(t.Context(), uid, api.Array))
	}
	rest, known := splitByConflicts(batch, []string{statecache.JobKey("b"), statecache.FinalStateKey("d"), statecache.JobKey("z")})
	if got := uidsOf(rest); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("to be tried again: %v", got)
	}
	if got := uidsOf(known); !slices.Equal(got, []string{"b", "d"}) {
		t.Errorf("known: %v", got)
	}
}
