package scheduler

import (
	"testing"

	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// A spread job whose records were split still has at most half of its tasks in a zone. The smaller
// task ranges must be counted together, since one of them may have all its tasks in one zone. Counted
// separately, they would allow too many tasks in a zone.
func TestZoneConstraintKeepsSplitJobSpread(t *testing.T) {
	record := &job.Record{RangeSize: 8}
	record.Spec.Tasks, record.Spec.Spread = 8, true
	taskRange := (*job.TaskRange)(nil).Copy()
	j := &statecache.Job{Record: record, Ranges: map[int]statecache.Versioned[job.TaskRange]{0: {Record: taskRange}}}
	constraint := &zoneConstraint{job: j, tasksByZone: map[int]map[string]int{}}
	for range 4 {
		constraint.addTask(0, "x")
	}
	if constraint.allows(0, "x") {
		t.Fatal("zone x is allowed for another task although it has 4 of the 8 tasks, want at most half in a zone")
	}
	record.Split(2)
	constraint = &zoneConstraint{job: j, tasksByZone: map[int]map[string]int{}}
	for _, rangeIndex := range []int{0, 0, 1, 1} {
		constraint.addTask(rangeIndex, "x")
	}
	for rangeIndex := range 4 {
		if x, y := constraint.allows(rangeIndex, "x"), constraint.allows(rangeIndex, "y"); x || !y {
			t.Fatalf("task range %d of the split job: zones allowed are x %t, y %t; want x false, y true", rangeIndex, x, y)
		}
	}
	if !j.RecordCoversTasks() {
		t.Fatal("RecordCoversTasks() = false for a split spread job, want true: a late transaction could use outdated counts")
	}
}
