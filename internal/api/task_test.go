package api

import (
	"testing"

	"pgregory.net/rapid"
)

// A task's name gives its job and number back, and nothing else is taken for a name.
func TestTaskNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, MaxTasks-1).Draw(t, "i")
		uid, n, ok := SplitTaskName(TaskName("run-000001", i))
		if !ok || uid != "run-000001" || n != i {
			t.Fatal(uid, n, ok)
		}
	})
	for _, s := range []string{"", "run-1", "run-1/", "run-1/x", "run-1/-1", "run-1/100000"} {
		if _, _, ok := SplitTaskName(s); ok {
			t.Errorf("%q is taken", s)
		}
	}
}
