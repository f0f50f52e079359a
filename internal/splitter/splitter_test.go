package splitter

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// unlimitedWrites is a budget of changes that never runs out.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// fixture is the splitter of node n0, which leads the only shard. Values may have 2 KiB.
type fixture struct {
	*Splitter
	now     time.Time
	version uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &config.Settings{HostName: "n0"}
	settings.Facts.Size = 1
	settings.Facts.Workers = config.WorkerTimes{ReportS: 1, LeaseS: 9, CancelS: 40}
	settings.Facts.State.StateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 2, TxnOps: 4}
	f := &fixture{now: time.Unix(1_800_000_000, 0)}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return f.now }
	cache := statecache.New(info.Log)
	forms := schema.New(info, cache, unlimitedWrites{})
	table := leadership.NewTable(info, cache, forms)
	f.Splitter = New(info, cache, forms, table)
	version := f.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: 1})
	table.Begin("n0", &leadership.Leadership{Term: 1, Version: version})
	return f
}

// apply has the cache take in a record and returns its version.
func (f *fixture) apply(key string, value any) uint64 {
	f.version++
	f.cache.Apply(key, api.MustMarshal(value), f.version)
	return f.version
}

// commit has the cache take in a transaction.
func (f *fixture) commit(t *statecache.Transaction) {
	f.version++
	f.cache.ApplyCommitted(t, f.version)
}

// addJob adds an array of 64 tasks in ranges of 32, each of which has a record of its own and its
// first task placed.
func (f *fixture) addJob(uid string) {
	record := &job.Record{
		Spec:  api.Job{UID: uid, Kind: api.Array, Tasks: 64},
		Shard: "n0", AcceptedMS: f.now.UnixMilli(), RangeSize: 32,
	}
	f.apply(statecache.JobKey(uid), record)
	for index := range 2 {
		tasks := &job.TaskRange{Placements: map[int]*job.Placement{0: {Host: fmt.Sprintf("h%d", index), Attempt: 1}}}
		f.apply(statecache.TaskRangeKey(uid, 0, index), tasks)
	}
}

// split carries out the steps of a job's split and returns the number of them.
func (f *fixture) split(t *testing.T, uid string, size int) (steps int) {
	t.Helper()
	for {
		step := f.NextStep()
		if step == nil || step.Transaction == nil {
			t.Fatalf("step %d: nothing to do", steps)
		}
		if step.UID != uid || step.RangeSize != size {
			t.Fatalf("step %d: job %s, ranges of %d, want %d", steps, step.UID, step.RangeSize, size)
		}
		if n := step.Transaction.Changes(); n == 0 || n > f.schema.TransactionLimits().TxnOps {
			t.Fatalf("step %d: %d changes", steps, n)
		}
		f.commit(step.Transaction)
		if steps == 0 && !f.cache.Jobs[uid].Record.Frozen {
			t.Fatal("not frozen first")
		}
		steps++
		if step.Last {
			return steps
		}
	}
}

// A split is: frozen, copied in as many transactions as it takes, and then in force with every
// task where it was.
func TestSplitInSteps(t *testing.T) {
	const uid = "run-000001"
	f := newFixture(t)
	f.addJob(uid)
	f.schema.RequestSplit(f.cache.Jobs[uid])
	size := f.cache.Jobs[uid].Record.SplitSize(2)
	steps := f.split(t, uid, size)
	j := f.cache.Jobs[uid]
	if j.Record.Frozen || j.Record.Generation != 1 || j.Record.RangeSize != size || len(j.Ranges) != 64/size {
		t.Fatalf("after %d steps: %+v with %d task ranges", steps, j.Record, len(j.Ranges))
	}
	for index, host := range map[int]string{0: "h0", 32 / size: "h1"} {
		if p := j.Ranges[index].Record.PlacementOf(0); p == nil || p.Host != host {
			t.Errorf("task range %d: %v, want a task on %s", index, p, host)
		}
	}
	if f.NextStep() != nil {
		t.Error("there is more to split")
	}
}

// What a split leaves behind is garbage, and nothing else is.
func TestGarbageOfSplit(t *testing.T) {
	const uid = "run-000001"
	f := newFixture(t)
	f.addJob(uid)
	f.schema.RequestSplit(f.cache.Jobs[uid])
	f.split(t, uid, f.cache.Jobs[uid].Record.SplitSize(2))
	garbage := f.GarbageTransaction()
	if garbage == nil || garbage.Changes() != 2 {
		t.Fatalf("garbage: %v", garbage)
	}
	keys := slices.Sorted(slices.Values(garbage.Keys()))
	if want := []string{statecache.TaskRangeKey(uid, 0, 0), statecache.TaskRangeKey(uid, 0, 1)}; !slices.Equal(keys, want) {
		t.Errorf("garbage: %v, want %v", keys, want)
	}
	f.commit(garbage)
	if again := f.GarbageTransaction(); again != nil {
		t.Errorf("garbage after it was collected: %v", again.Keys())
	}
}

// A job that can't be made smaller is left alone, and its request is dropped.
func TestSplitOfSmallestRanges(t *testing.T) {
	const uid = "run-000001"
	f := newFixture(t)
	f.apply(statecache.JobKey(uid), &job.Record{
		Spec: api.Job{UID: uid, Kind: api.Array, Tasks: 4}, Shard: "n0", AcceptedMS: 1, RangeSize: 2,
	})
	f.schema.RequestSplit(f.cache.Jobs[uid])
	step := f.NextStep()
	if step == nil || step.Transaction != nil || step.UID != uid {
		t.Fatalf("step: %+v", step)
	}
	if next := f.NextStep(); next != nil {
		t.Errorf("it is tried again: %+v", next)
	}
}

// Records of a job that is over are garbage; those of a split under way are not.
func TestGarbage(t *testing.T) {
	for _, x := range []struct {
		name       string
		record     *job.Record // nil: the job is over
		generation int
		garbage    bool
	}{
		{"job is over", nil, 0, true},
		{"in force", &job.Record{RangeSize: 32}, 0, false},
		{"of the split under way", &job.Record{RangeSize: 32}, 1, false},
		{"of an earlier generation", &job.Record{RangeSize: 32, Generation: 2}, 1, true},
		{"tasks inside the main record", &job.Record{RangeSize: 32, Inline: true}, 0, true},
		{"split under way, tasks inside the main record", &job.Record{RangeSize: 32, Inline: true}, 1, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			const uid = "run-000001"
			f := newFixture(t)
			if x.record != nil {
				x.record.Spec, x.record.Shard = api.Job{UID: uid, Kind: api.Array, Tasks: 64}, "n0"
				f.apply(statecache.JobKey(uid), x.record)
			}
			f.apply(statecache.TaskRangeKey(uid, x.generation, 0), &job.TaskRange{})
			if got := f.GarbageTransaction() != nil; got != x.garbage {
				t.Errorf("garbage: %t, want %t", got, x.garbage)
			}
		})
	}
}

// Garbage is collected a quarter of a lease apart.
func TestGarbageIsDue(t *testing.T) {
	f := newFixture(t)
	if !f.IsGarbageCollectionDue(f.now) {
		t.Error("not due at first")
	}
	f.RecordGarbageCollection(f.now)
	quarter := f.node.Settings.WorkerLease() / 4
	if f.IsGarbageCollectionDue(f.now.Add(quarter - 1)) {
		t.Error("due too early")
	}
	if !f.IsGarbageCollectionDue(f.now.Add(quarter)) {
		t.Error("not due in time")
	}
}
