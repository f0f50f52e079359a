package job

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// A task range's record stays within a value of the state service even with every
// task placed and the numbers large, and reads back the same.
func TestTaskRangeRecordFits(t *testing.T) {
	for _, kb := range []float64{1, 4, 16, 64} {
		t.Run(fmt.Sprintf("%g KiB", kb), func(t *testing.T) {
			n := TaskRangeSize(kb)
			if n%2 != 0 {
				t.Errorf("ranges of %d can't be spread by halves", n)
			}
			tasks := (*TaskRange)(nil).Copy()
			tasks.LastAttempt = 1 << 30
			placeAll(tasks, n)
			raw := api.MustMarshal(tasks)
			if len(raw) > int(kb*1024) {
				t.Errorf("record of %d tasks has %d bytes", n, len(raw))
			}
			back, err := ParseTaskRange(raw)
			if err != nil || cmp.Diff(tasks, back) != "" {
				t.Errorf("reads back as %v, %v", back, err)
			}
		})
	}
}

// placeAll places n tasks with long names of hosts and has them leave again.
func placeAll(tasks *TaskRange, n int) {
	for i := range n {
		tasks.Place(i, fmt.Sprintf("i-%012d", i), 1<<20)
		tasks.Placements[i].Stopping = true
	}
}

// A job whose tasks are kept in its main record never outgrows a value, however
// its tasks are placed.
func TestInlineRecordFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kb := float64(rapid.IntRange(1, 16).Draw(t, "kb"))
		r := &Record{
			Spec: api.Job{
				UID:   "run-000001",
				Tasks: rapid.IntRange(1, 300).Draw(t, "tasks"),
				Image: string(make([]byte, rapid.IntRange(0, 500).Draw(t, "image"))),
			},
			Shard:      "node-0",
			AcceptedMS: 1 << 41,
		}
		r.ChooseLayout(kb, len(api.MustMarshal(r)), false)
		if !r.Inline {
			return
		}
		r.Zone, r.Cancelled, r.FinishedRanges = "zone-of-some-length", true, []int{0, 1}
		r.InlineRange = (*TaskRange)(nil).Copy()
		r.InlineRange.LastAttempt, r.InlineRange.ErrorStreak = 1<<40, 1<<20
		placeAll(r.InlineRange, r.Spec.Tasks)
		if raw := api.MustMarshal(r); len(raw) > int(kb*1024) {
			t.Fatalf("%d bytes of %g KiB with %d tasks", len(raw), kb, r.Spec.Tasks)
		}
	})
}
