package scheduler

import (
	"testing"

	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// A spread job whose records were split still has at most half of its tasks in a zone. The smaller
// task ranges must be counted together, since one of them may have all its tasks in one zone; counted
// separately, they would let too many tasks into a zone.
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
		t.Fatal("zone x is allowed for another task though it has 4 of 8, want at most half there")
	}
	record.Split(2)
	constraint = &zoneConstraint{job: j, tasksByZone: map[int]map[string]int{}}
	for _, index := range []int{0, 0, 1, 1} {
		constraint.addTask(index, "x")
	}
	for index := range 4 {
		if x, y := constraint.allows(index, "x"), constraint.allows(index, "y"); x || !y {
			t.Fatalf("task range %d of the split job: zones allowed are x %t, y %t; want x false, y true", index, x, y)
		}
	}
	if !j.RecordCoversTasks() {
		t.Fatal("RecordCoversTasks() = false for a split spread job, want true: a late transaction could use outdated counts")
	}
}
