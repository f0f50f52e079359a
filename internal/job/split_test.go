package job

import (
	"testing"

	"pgregory.net/rapid"
)

// drawTaskRanges returns a job's main record, and its task ranges by index after a random number of
// placements, some of whose tasks are done.
func drawTaskRanges(t *rapid.T) (*Record, map[int]*TaskRange) {
	r := &Record{RangeSize: TaskRangeSize(float64(rapid.IntRange(1, 32).Draw(t, "kb")))}
	r.Spec.Tasks = rapid.IntRange(1, 3*r.RangeSize).Draw(t, "tasks")
	ranges := map[int]*TaskRange{}
	for range rapid.IntRange(0, 30).Draw(t, "events") {
		task := rapid.IntRange(0, r.Spec.Tasks-1).Draw(t, "task")
		n, i := task/r.RangeSize, task%r.RangeSize
		if ranges[n] == nil {
			ranges[n] = (*TaskRange)(nil).Copy()
		}
		if ranges[n].Done(i) || ranges[n].Placements[i] != nil {
			continue
		}
		if attempt := ranges[n].Place(i, "h", 1); rapid.Bool().Draw(t, "done") {
			ranges[n].EndAttempt(i, attempt, true, false)
		}
	}
	for n := range r.RangeCount() {
		if ranges[n].DoneCount() == r.RangeLen(n) {
			r.FinishRange(n)
		}
	}
	return r, ranges
}

// A split into smaller task ranges preserves the state of each task, and the last attempt number of
// a smaller range isn't below that of the range before.
func TestSplitPreservesTaskStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, ranges := drawTaskRanges(t)
		old := r.Copy()
		size := r.SplitSize(float64(rapid.IntRange(1, 4).Draw(t, "new kb")))
		if size%2 != 0 || r.RangeSize%size != 0 {
			t.Fatalf("SplitSize() = %d, want an even divisor of %d", size, r.RangeSize)
		}
		r.Split(size)
		if r.Complete() != old.Complete() || r.FinishedTasks() != old.FinishedTasks() {
			t.Fatalf("after the split: Complete() = %t, FinishedTasks() = %d, ranges %v of size %d; want %t and %d, as for %v of size %d",
				r.Complete(), r.FinishedTasks(), r.FinishedRanges, r.RangeSize,
				old.Complete(), old.FinishedTasks(), old.FinishedRanges, old.RangeSize)
		}
		for task := range r.Spec.Tasks {
			n, oldRange := task/size, task/old.RangeSize
			if r.RangeFinished(n) != old.RangeFinished(oldRange) {
				t.Fatalf("range of task %d finished: %t after the split, want %t", task, r.RangeFinished(n), old.RangeFinished(oldRange))
			}
			before := ranges[oldRange]
			after := before.Slice(n*size-oldRange*old.RangeSize, r.RangeLen(n))
			i, j := task%size, task%old.RangeSize
			if after.Done(i) != before.Done(j) || (after.PlacementOf(i) == nil) != (before.PlacementOf(j) == nil) {
				t.Fatalf("task %d after the split: done %t, placement %v; want as before: done %t, placement %v",
					task, after.Done(i), after.PlacementOf(i), before.Done(j), before.PlacementOf(j))
			}
			if after != nil && after.LastAttempt < before.LastAttempt {
				t.Fatalf("LastAttempt of range %d after the split = %d, want at least %d", n, after.LastAttempt, before.LastAttempt)
			}
		}
	})
}

// After a split, the groups of a spread job of which at most half may be in one zone are those of
// before the split.
func TestSpreadGroupUnchangedBySplit(t *testing.T) {
	for _, test := range []struct {
		name         string
		record       Record
		rangeIndex   int
		group, tasks int
	}{
		{"not split, first range", Record{RangeSize: 8}, 0, 0, 8},
		{"not split, shorter last range", Record{RangeSize: 8}, 2, 2, 4},
		{"split, second range of the first group", Record{RangeSize: 4, SpreadRangeSize: 8}, 1, 0, 8},
		{"split, shorter last group", Record{RangeSize: 4, SpreadRangeSize: 8}, 4, 2, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.record.Spec.Tasks = 20
			if group, tasks := test.record.SpreadGroup(test.rangeIndex); group != test.group || tasks != test.tasks {
				t.Errorf("SpreadGroup(%d) = %d, %d tasks, want %d, %d tasks", test.rangeIndex, group, tasks, test.group, test.tasks)
			}
		})
	}
}
