package scheduler

import (
	"testing"

	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// A spread job that is split keeps half of its tasks out of each zone: its smaller
// task ranges may each have all of their tasks in one, so they are counted together. Counted
// apart they once let too many into a zone.
func TestSplitJobStaysSpread(t *testing.T) {
	record := &job.Record{RangeSize: 8}
	record.Spec.Tasks, record.Spec.Spread = 8, true
	taskRange := (*job.TaskRange)(nil).Copy()
	j := &statecache.Job{Record: record, Ranges: map[int]statecache.Versioned[job.TaskRange]{0: {Record: taskRange}}}
	constraint := &zoneConstraint{job: j, tasks: map[int]map[string]int{}}
	for range 4 {
		constraint.add(0, "x")
	}
	if constraint.allows(0, "x") {
		t.Fatal("more than half in a zone")
	}
	record.Split(2)
	constraint = &zoneConstraint{job: j, tasks: map[int]map[string]int{}}
	for _, index := range []int{0, 0, 1, 1} {
		constraint.add(index, "x")
	}
	for index := range 4 {
		if x, y := constraint.allows(index, "x"), constraint.allows(index, "y"); x || !y {
			t.Fatalf("task range %d of the split job: x %t, y %t", index, x, y)
		}
	}
	if !j.RecordCoversTasks() {
		t.Fatal("a late transaction could place by an old count")
	}
}
