package job

import (
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// Finished task ranges are counted correctly in whatever order they finish, also after the record
// was encoded and decoded.
func TestFinishRangeCountsTasksInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Record{Spec: api.Job{Tasks: rapid.IntRange(1, 300).Draw(t, "tasks")}, RangeSize: rapid.IntRange(1, 40).Draw(t, "range size")}
		order := rapid.Permutation(numbersBelow(r.RangeCount())).Draw(t, "order")
		tasks := 0
		for i, n := range order {
			if r.Complete() || r.RangeFinished(n) {
				t.Fatalf("before FinishRange(%d): Complete() = %t, RangeFinished(%d) = %t, want both false",
					n, r.Complete(), n, r.RangeFinished(n))
			}
			r.FinishRange(n)
			tasks += r.RangeLen(n)
			if !r.RangeFinished(n) || r.FinishedTasks() != tasks || r.Complete() != (i == len(order)-1) {
				t.Fatalf("after FinishRange of %v: %v, RangeFinished(%d) = %t, FinishedTasks() = %d, Complete() = %t, want true, %d, %t",
					order[:i+1], r.FinishedRanges, n, r.RangeFinished(n), r.FinishedTasks(), r.Complete(), tasks, i == len(order)-1)
			}
			var err error
			if r, err = ParseRecord(api.MustMarshal(r)); err != nil {
				t.Fatalf("ParseRecord: %v", err)
			}
		}
	})
}

// numbersBelow returns the numbers from 0 to n-1.
func numbersBelow(n int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}
