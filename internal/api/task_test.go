package api

import (
	"testing"

	"pgregory.net/rapid"
)

// SplitTaskName returns the job and the number from which TaskName built a name, and rejects
// strings that are not names of tasks.
func TestTaskNameRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, MaxTasks-1).Draw(t, "i")
		uid, index, ok := SplitTaskName(TaskName("run-000001", i))
		if !ok || uid != "run-000001" || index != i {
			t.Fatalf("got job %q, task %d, ok %t, want job %q, task %d, true", uid, index, ok, "run-000001", i)
		}
	})
	for _, s := range []string{"", "run-1", "run-1/", "run-1/x", "run-1/-1", "run-1/100000"} {
		if _, _, ok := SplitTaskName(s); ok {
			t.Errorf("%q is accepted as the name of a task, want it rejected", s)
		}
	}
}
