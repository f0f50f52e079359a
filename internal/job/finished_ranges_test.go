package job

import (
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// Finished task ranges are counted right in whatever order they finish, also by the record
// that is read back.
func TestFinishRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Record{Spec: api.Job{Tasks: rapid.IntRange(1, 300).Draw(t, "tasks")}, RangeSize: rapid.IntRange(1, 40).Draw(t, "range size")}
		order := rapid.Permutation(firstNumbers(r.RangeCount())).Draw(t, "order")
		tasks := 0
		for i, n := range order {
			if r.Complete() || r.RangeFinished(n) {
				t.Fatal("too early")
			}
			r.FinishRange(n)
			tasks += r.RangeLen(n)
			if !r.RangeFinished(n) || r.FinishedTasks() != tasks || r.Complete() != (i == len(order)-1) {
				t.Fatalf("%v after %v", r.FinishedRanges, order[:i+1])
			}
			var err error
			if r, err = ParseRecord(api.MustMarshal(r)); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// firstNumbers returns 0 to n-1.
func firstNumbers(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
