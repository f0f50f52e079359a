package job

import (
	"testing"

	"pgregory.net/rapid"
)

// drawTaskRanges returns a job's record with finished task ranges marked, and its task ranges
// after some placements and ends.
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

// A record split into smaller task ranges says of each task what it said before, and a
// later attempt's number is above all earlier ones.
func TestSplitKeepsTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, ranges := drawTaskRanges(t)
		old := r.Copy()
		size := r.SplitSize(float64(rapid.IntRange(1, 4).Draw(t, "new kb")))
		if size%2 != 0 || r.RangeSize%size != 0 {
			t.Fatalf("ranges of %d into %d", r.RangeSize, size)
		}
		r.Split(size)
		if r.Complete() != old.Complete() || r.FinishedTasks() != old.FinishedTasks() {
			t.Fatalf("finished %v of %d, were %v of %d", r.FinishedRanges, r.RangeSize, old.FinishedRanges, old.RangeSize)
		}
		for task := range r.Spec.Tasks {
			n, was := task/size, task/old.RangeSize
			if r.RangeFinished(n) != old.RangeFinished(was) {
				t.Fatalf("task %d is finished %t, was %t", task, r.RangeFinished(n), old.RangeFinished(was))
			}
			before := ranges[was]
			after := before.Slice(n*size-was*old.RangeSize, r.RangeLen(n))
			i, j := task%size, task%old.RangeSize
			if after.Done(i) != before.Done(j) || (after.PlacementOf(i) == nil) != (before.PlacementOf(j) == nil) {
				t.Fatalf("task %d has changed", task)
			}
			if after != nil && after.LastAttempt < before.LastAttempt {
				t.Fatal("numbers fall")
			}
		}
	})
}

// Where task ranges were split, a zone's share of a spread job is counted as before the split.
func TestSpreadGroup(t *testing.T) {
	for _, x := range []struct {
		name         string
		record       Record
		rangeIndex   int
		group, tasks int
	}{
		{"first of whole ranges", Record{RangeSize: 8}, 0, 0, 8},
		{"last, a short one", Record{RangeSize: 8}, 2, 2, 4},
		{"split, second half of the first group", Record{RangeSize: 4, SpreadRangeSize: 8}, 1, 0, 8},
		{"split, the short group", Record{RangeSize: 4, SpreadRangeSize: 8}, 4, 2, 4},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.record.Spec.Tasks = 20
			if group, tasks := x.record.SpreadGroup(x.rangeIndex); group != x.group || tasks != x.tasks {
				t.Errorf("group %d of %d tasks, not %d of %d", group, tasks, x.group, x.tasks)
			}
		})
	}
}
