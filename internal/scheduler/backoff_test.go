package scheduler

import (
	"math"
	"testing"
	"time"

	"violetturn/internal/job"
	"violetturn/internal/numeric"
	"violetturn/internal/statecache"
)

// The delay before the next attempt never exceeds the duration of a worker's lease, however many
// failures a job has: with a longer delay the job would count as starving.
func TestBackoffNeverExceedsWorkerLease(t *testing.T) {
	info := testNodeInfo(t)
	s := New(Deps{Node: info})
	now := time.Unix(1_800_000_000, 0)
	const uid = "job-1"
	j := &statecache.Job{Record: &job.Record{}, Ranges: map[int]statecache.Versioned[job.TaskRange]{}}
	for failures := 1; failures < 40; failures++ {
		j.Ranges[0] = statecache.Versioned[job.TaskRange]{
			Record: &job.TaskRange{ErrorStreak: failures, Placements: map[int]*job.Placement{}},
		}
		if !s.isBackingOff(&queueEntry{job: j, uid: uid}, now) {
			t.Fatalf("isBackingOff() = false after %d failures, want true", failures)
		}
		if delay := s.backoffs[uid].retryAt.Sub(now); delay > info.Settings.WorkerLease() || delay <= 0 {
			t.Fatalf("delay after %d failures is %v, want above 0 and at most %v", failures, delay, info.Settings.WorkerLease())
		}
	}
}

// The delay doubles with each further failure, up to the maximum, and the job no longer waits once it
// has passed. The entry is removed once a job has no failures or is not among the jobs to keep.
func TestBackoffTableDoublesDelayAndRemovesEntries(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const initialDelay, maxDelay = time.Second, 9 * time.Second
	table := backoffTable{}
	for i, want := range []time.Duration{initialDelay, 2 * initialDelay, 4 * initialDelay, 8 * initialDelay, maxDelay, maxDelay} {
		failures := i + 1
		if !table.isWaiting("a", failures, now, initialDelay, maxDelay) {
			t.Errorf("%d failures: isWaiting() = false, want true", failures)
		}
		if got := table["a"].retryAt.Sub(now); got != want {
			t.Errorf("%d failures: delay is %v, want %v", failures, got, want)
		}
		later := now.Add(want)
		if table.isWaiting("a", failures, later, initialDelay, maxDelay) {
			t.Errorf("%d failures: isWaiting() = true after the delay of %v, want false", failures, want)
		}
	}
	if table.isWaiting("a", 0, now, initialDelay, maxDelay) || len(table) != 0 {
		t.Errorf("job without failures waits or has an entry: table is %v, want no wait and an empty table", table)
	}
	table.isWaiting("a", 1, now, initialDelay, maxDelay)
	table.isWaiting("b", 1, now, initialDelay, maxDelay)
	table.removeExcept(func(uid string) bool { return uid == "b" })
	if _, exists := table["b"]; !exists || len(table) != 1 {
		t.Errorf("table after removeExcept is %v, want only job b", table)
	}
}

// Guards against a panic by a negative shift, for numbers of failures below zero, and against a delay
// that overflows, so that there is none.
func TestBackoffOfExtremeNumbers(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := backoffTable{}
	for _, failures := range []int{math.MinInt, -5, -3, 0, -1} {
		if table.isWaiting("run-1", failures, now, time.Second, time.Minute) {
			t.Errorf("job with %d failures waits, want it not to", failures)
		}
	}
	for _, failures := range []int{1, 11, math.MaxInt} {
		const longest = numeric.MaxAmount * time.Second
		if table = (backoffTable{}); !table.isWaiting("run-1", failures, now, longest, longest) {
			t.Errorf("job with %d failures does not wait, want it to", failures)
		}
	}
}
