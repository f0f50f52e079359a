package scheduler

import (
	"testing"
	"time"

	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// A job whose tasks fail is tried again within a lease, however often they did:
// it must not wait so long that it counts as starved.
func TestBackOffIsBounded(t *testing.T) {
	info := testNode(t)
	s := New(Deps{Node: info})
	now := time.Unix(1_800_000_000, 0)
	const uid = "job-1"
	j := &statecache.Job{Record: &job.Record{}, Ranges: map[int]statecache.Versioned[job.TaskRange]{}}
	for failures := 1; failures < 40; failures++ {
		j.Ranges[0] = statecache.Versioned[job.TaskRange]{
			Record: &job.TaskRange{ErrorStreak: failures, Placements: map[int]*job.Placement{}},
		}
		if !s.isBackingOff(&queueEntry{job: j, uid: uid}, now) {
			t.Fatalf("does not wait after %d failures", failures)
		}
		if wait := s.backoffs[uid].retryAt.Sub(now); wait > info.Settings.WorkerLease() || wait <= 0 {
			t.Fatalf("waits %v after %d failures", wait, failures)
		}
	}
}

// The pause doubles with each new failure, passes, and is forgotten once a job has no failures.
func TestBackoffTable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const first, longest = time.Second, 9 * time.Second
	table := backoffTable{}
	for i, want := range []time.Duration{first, 2 * first, 4 * first, 8 * first, longest, longest} {
		failures := i + 1
		if !table.isWaiting("a", failures, now, first, longest) {
			t.Errorf("%d failures: does not wait", failures)
		}
		if got := table["a"].retryAt.Sub(now); got != want {
			t.Errorf("%d failures: waits %v, not %v", failures, got, want)
		}
		later := now.Add(want)
		if table.isWaiting("a", failures, later, first, longest) {
			t.Errorf("%d failures: still waits after %v", failures, want)
		}
	}
	if table.isWaiting("a", 0, now, first, longest) || len(table) != 0 {
		t.Errorf("a job without failures waits or is remembered: %v", table)
	}
	table.isWaiting("a", 1, now, first, longest)
	table.isWaiting("b", 1, now, first, longest)
	table.dropExcept(func(uid string) bool { return uid == "b" })
	if _, kept := table["b"]; !kept || len(table) != 1 {
		t.Errorf("not only the job that is kept is remembered: %v", table)
	}
}
