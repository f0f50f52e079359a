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

// unlimitedWrites is a write budget that is never exhausted.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// fixture is the splitter of controller n0, which leads the only shard. The size limit of a value
// is 2 KiB.
type fixture struct {
	*Splitter
	now     time.Time
	version uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &config.Settings{HostName: "n0"}
	settings.Facts.ControllerCount = 1
	settings.Facts.Workers = config.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 9, CancelTimeoutS: 40}
	settings.Facts.State.StateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 2, TxnOps: 4}
	f := &fixture{now: time.Unix(1_800_000_000, 0)}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return f.now }
	cache := statecache.New(info.Log)
	schemaState := schema.New(info, cache, unlimitedWrites{})
	table := leadership.NewTable(info, cache, schemaState)
	f.Splitter = New(info, cache, schemaState, table)
	version := f.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: 1})
	table.Begin("n0", &leadership.Leadership{Term: 1, Version: version})
	return f
}

// apply writes a record to the cache and returns its version.
func (f *fixture) apply(key string, value any) uint64 {
	f.version++
	f.cache.Apply(key, api.MustMarshal(value), f.version)
	return f.version
}

// commit applies a transaction to the cache.
func (f *fixture) commit(t *statecache.Transaction) {
	f.version++
	f.cache.ApplyCommitted(t, f.version)
}

// addJob adds an array job of 64 tasks in two ranges of 32. Each range is in a separate record and
// has its first task placed.
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

// split runs all steps of a job's split and returns their number.
func (f *fixture) split(t *testing.T, uid string, size int) (steps int) {
	t.Helper()
	for {
		step := f.NextStep()
		if step == nil || step.Transaction == nil {
			t.Fatalf("step %d: NextStep() = %+v, want a transaction", steps, step)
		}
		if step.UID != uid || step.RangeSize != size {
			t.Fatalf("step %d: job %s, ranges of %d tasks, want job %s, ranges of %d", steps, step.UID, step.RangeSize, uid, size)
		}
		if n := step.Transaction.Writes(); n == 0 || n > f.schema.TransactionLimits().TxnOps {
			t.Fatalf("step %d: transaction of %d writes, want 1 to %d", steps, n, f.schema.TransactionLimits().TxnOps)
		}
		f.commit(step.Transaction)
		if steps == 0 && !f.cache.Jobs[uid].Record.Frozen {
			t.Fatal("after the first step the job is not frozen, want it frozen")
		}
		steps++
		if step.Last {
			return steps
		}
	}
}

// A split freezes the job, copies its task ranges in several transactions and then replaces them.
// Every task keeps its placement.
func TestSplitPreservesPlacementsOverSteps(t *testing.T) {
	const uid = "run-000001"
	f := newFixture(t)
	f.addJob(uid)
	f.schema.RequestSplit(f.cache.Jobs[uid])
	size := f.cache.Jobs[uid].Record.SplitSize(2)
	steps := f.split(t, uid, size)
	j := f.cache.Jobs[uid]
	if j.Record.Frozen || j.Record.Generation != 1 || j.Record.RangeSize != size || len(j.Ranges) != 64/size {
		t.Fatalf("after %d steps: %+v with %d task ranges, want generation 1, not frozen, with %d ranges of %d tasks",
			steps, j.Record, len(j.Ranges), 64/size, size)
	}
	for index, host := range map[int]string{0: "h0", 32 / size: "h1"} {
		if p := j.Ranges[index].Record.PlacementOf(0); p == nil || p.Host != host {
			t.Errorf("placement of the first task of range %d: %v, want machine %s", index, p, host)
		}
	}
	if f.NextStep() != nil {
		t.Error("NextStep() after the split is not nil, want nil")
	}
}

// After a split the records of the old task ranges, and no others, are deleted as garbage.
func TestGarbageTransactionDeletesOnlyReplacedRecords(t *testing.T) {
	const uid = "run-000001"
	f := newFixture(t)
	f.addJob(uid)
	f.schema.RequestSplit(f.cache.Jobs[uid])
	f.split(t, uid, f.cache.Jobs[uid].Record.SplitSize(2))
	garbage := f.GarbageTransaction()
	if garbage == nil || garbage.Writes() != 2 {
		t.Fatalf("GarbageTransaction() = %v, want 2 deletions", garbage)
	}
	keys := slices.Sorted(slices.Values(garbage.Keys()))
	if want := []string{statecache.TaskRangeKey(uid, 0, 0), statecache.TaskRangeKey(uid, 0, 1)}; !slices.Equal(keys, want) {
		t.Errorf("keys deleted as garbage: %v, want %v", keys, want)
	}
	f.commit(garbage)
	if again := f.GarbageTransaction(); again != nil {
		t.Errorf("garbage after the collection: %v, want none", again.Keys())
	}
}

// A job whose task ranges already have the smallest size is not split, and the split request is
// cancelled.
func TestNextStepCancelsSplitRequestForSmallestRanges(t *testing.T) {
	const uid = "run-000001"
	f := newFixture(t)
	f.apply(statecache.JobKey(uid), &job.Record{
		Spec: api.Job{UID: uid, Kind: api.Array, Tasks: 4}, Shard: "n0", AcceptedMS: 1, RangeSize: 2,
	})
	f.schema.RequestSplit(f.cache.Jobs[uid])
	step := f.NextStep()
	if step == nil || step.Transaction != nil || step.UID != uid {
		t.Fatalf("NextStep() = %+v, want job %s without a transaction", step, uid)
	}
	if next := f.NextStep(); next != nil {
		t.Errorf("NextStep() after the split request was cancelled = %+v, want nil", next)
	}
}

// Records of a finished job or of an unused generation are garbage; those of a split in progress are
// not.
func TestGarbageTransactionByJobState(t *testing.T) {
	for _, test := range []struct {
		name       string
		record     *job.Record // nil if the job is finished
		generation int
		garbage    bool
	}{
		{"job is finished", nil, 0, true},
		{"current generation", &job.Record{RangeSize: 32}, 0, false},
		{"next generation, split in progress", &job.Record{RangeSize: 32}, 1, false},
		{"earlier generation", &job.Record{RangeSize: 32, Generation: 2}, 1, true},
		{"tasks inside the main record", &job.Record{RangeSize: 32, Inline: true}, 0, true},
		{"next generation, tasks inside the main record", &job.Record{RangeSize: 32, Inline: true}, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			const uid = "run-000001"
			f := newFixture(t)
			if test.record != nil {
				test.record.Spec, test.record.Shard = api.Job{UID: uid, Kind: api.Array, Tasks: 64}, "n0"
				f.apply(statecache.JobKey(uid), test.record)
			}
			f.apply(statecache.TaskRangeKey(uid, test.generation, 0), &job.TaskRange{})
			if got := f.GarbageTransaction() != nil; got != test.garbage {
				t.Errorf("task range of generation %d is garbage: %t, want %t", test.generation, got, test.garbage)
			}
		})
	}
}

// Garbage is collected at intervals of a quarter of a worker's lease.
func TestGarbageCollectionDueEveryQuarterLease(t *testing.T) {
	f := newFixture(t)
	if !f.IsGarbageCollectionDue(f.now) {
		t.Error("IsGarbageCollectionDue() = false before the first collection, want true")
	}
	f.RecordGarbageCollection(f.now)
	quarter := f.node.Settings.WorkerLease() / 4
	if f.IsGarbageCollectionDue(f.now.Add(quarter - 1)) {
		t.Error("IsGarbageCollectionDue() = true before a quarter of a lease has passed, want false")
	}
	if !f.IsGarbageCollectionDue(f.now.Add(quarter)) {
		t.Error("IsGarbageCollectionDue() = false after a quarter of a lease, want true")
	}
}
