package job

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// The record of a task range fits into a value of the state service even with every task placed
// and large attempt numbers, and decodes to the same task range.
func TestTaskRangeRecordFitsValueWhenAllPlaced(t *testing.T) {
	for _, kb := range []float64{1, 4, 16, 64} {
		t.Run(fmt.Sprintf("%g KiB", kb), func(t *testing.T) {
			n := TaskRangeSize(kb)
			if n%2 != 0 {
				t.Errorf("TaskRangeSize(%g) = %d, want an even number, for two zones with half of the range each", kb, n)
			}
			tasks := (*TaskRange)(nil).Copy()
			tasks.LastAttempt = 1 << 30
			placeAndStopAll(tasks, n)
			raw := api.MustMarshal(tasks)
			if len(raw) > int(kb*1024) {
				t.Errorf("record of %d tasks has %d bytes, want at most %d", n, len(raw), int(kb*1024))
			}
			decoded, err := ParseTaskRange(raw)
			if err != nil || cmp.Diff(tasks, decoded) != "" {
				t.Errorf("ParseTaskRange() = %v, %v, want %v", decoded, err, tasks)
			}
		})
	}
}

// placeAndStopAll places n tasks on machines with long host names and marks them as stopping.
func placeAndStopAll(tasks *TaskRange, n int) {
	for i := range n {
		tasks.Place(i, fmt.Sprintf("i-%012d", i), 1<<20)
		tasks.Placements[i].Stopping = true
	}
}

// The main record of a job that holds the job's tasks never exceeds the size limit of a value,
// however the tasks are placed.
func TestInlineRecordFitsValueWhenAllPlaced(t *testing.T) {
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
		placeAndStopAll(r.InlineRange, r.Spec.Tasks)
		if raw := api.MustMarshal(r); len(raw) > int(kb*1024) {
			t.Fatalf("record of %d tasks has %d bytes, want at most %g KiB", r.Spec.Tasks, len(raw), kb)
		}
	})
}
