package job

import (
	"encoding/json"
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
		c := (*TaskRange)(nil).Copy()
		c.LastAttempt = 1 << 30
		n := TaskRangeSize(kb)
		if n%2 != 0 {
			t.Errorf("%g KiB: odd chunks of %d can't be scattered by halves", kb, n)
		}
		for i := range n {
			c.Place(i, fmt.Sprintf("i-%012d", i), 1<<20)
			c.Placements[i].Stopping = true
		}
		raw := api.JSON(c)
		if len(raw) > int(kb*1024) {
			t.Errorf("%g KiB: record of %d tasks has %d bytes", kb, n, len(raw))
		}
		d, err := ParseTaskRange(raw)
		if err != nil || cmp.Diff(c, d) != "" {
			t.Errorf("reads back as %v, %v", d, err)
		}
	}
}

// A job whose tasks are kept in its main record never outgrows a value, however
// its tasks are placed.
func TestInlineRecordFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kb := float64(rapid.IntRange(1, 16).Draw(t, "kb"))
		m := &Record{
			Spec: api.Job{
				UID:   "run-000001",
				Tasks: rapid.IntRange(1, 300).Draw(t, "pieces"),
				Image: string(make([]byte, rapid.IntRange(0, 500).Draw(t, "bundle"))),
			},
			Shard:      "node-0",
			AcceptedMS: 1 << 41,
		}
		m.ChooseLayout(kb, len(api.JSON(m)), false)
		if !m.Inline {
			return
		}
		m.InlineRange, m.Zone, m.Cancelled, m.FinishedRanges = (*TaskRange)(nil).Copy(), "zone-of-some-length", true, []int{0, 1}
		m.InlineRange.LastAttempt, m.InlineRange.Errors = 1<<40, 1<<20
		for i := range m.Spec.Tasks {
			m.InlineRange.Place(i, fmt.Sprintf("i-%012d", i), 1<<20)
			m.InlineRange.Placements[i].Stopping = true
		}
		if raw := api.JSON(m); len(raw) > int(kb*1024) {
			t.Fatalf("%d bytes of %g KiB with %d tasks", len(raw), kb, m.Spec.Tasks)
		}
	})
}

// The task range against a plain model of its tasks.
func TestTaskRangeModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := (*TaskRange)(nil).Copy()
		done := map[int]bool{}
		on := map[int]uint64{}
		last := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				i := rapid.IntRange(0, 40).Draw(t, "task")
				if done[i] || on[i] != 0 {
					t.Skip()
				}
				on[i] = c.Place(i, "h", 0)
				if on[i] <= last {
					t.Fatal("attempt numbers must rise")
				}
				last = on[i]
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, 40).Draw(t, "task")
				try := rapid.Uint64Range(1, 50).Draw(t, "try")
				ok := rapid.Bool().Draw(t, "done")
				was := on[i] != 0 && on[i] == try
				if c.EndAttempt(i, try, ok, !ok) != was {
					t.Fatal("an end of another attempt counts, or this one's does not")
				}
				if was {
					delete(on, i)
					done[i] = ok
				}
			},
			"reread": func(t *rapid.T) {
				d, err := ParseTaskRange(api.JSON(c))
				if err != nil {
					t.Fatal(err)
				}
				c = d.Copy()
			},
			"": func(t *rapid.T) {
				n := 0
				for i := range 41 {
					if c.Done(i) != done[i] {
						t.Fatalf("task %d done: %t", i, done[i])
					}
					if done[i] {
						n++
					}
				}
				if n != c.DoneCount() || len(on) != len(c.Placements) {
					t.Fatal("counts")
				}
			},
		})
	})
}

// Finished task ranges are counted right in whatever order they finish, and the
// record of a job of 100,000 tasks stays small.
func TestFinishRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Record{Spec: api.Job{Tasks: rapid.IntRange(1, 300).Draw(t, "pieces")}, RangeSize: rapid.IntRange(1, 40).Draw(t, "chunk")}
		order := rapid.Permutation(seq(m.RangeCount())).Draw(t, "order")
		tasks := 0
		for k, n := range order {
			if m.Complete() || m.RangeFinished(n) {
				t.Fatal("too early")
			}
			m.FinishRange(n)
			tasks += m.RangeLen(n)
			if !m.RangeFinished(n) || m.FinishedTasks() != tasks || m.Complete() != (k == len(order)-1) {
				t.Fatalf("%v after %v", m.FinishedRanges, order[:k+1])
			}
			raw, _ := json.Marshal(m)
			if m, _ = ParseRecord(raw); m == nil {
				t.Fatal("does not read back")
			}
		}
	})
}

func seq(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
