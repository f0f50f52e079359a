package zonestate

import (
	"slices"
	"testing"

	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

// Sizes that most tasks have come first, and equal numbers have one order whoever lists them: a
// zone's record is written only when it changes. A record keeps a few sizes.
func TestSortedDemand(t *testing.T) {
	size := func(cpus float64) zonehealth.Demand {
		return zonehealth.Demand{Need: sched.Resources{CPUs: cpus, MemGB: 1}}
	}
	counts := map[float64]int{1: 2, 2: 5, 3: 2, 4: 1, 5: 1, 6: 1, 7: 1, 8: 1, 9: 1, 10: 1}
	tasks := map[zonehealth.Demand]int{}
	for cpus, count := range counts {
		tasks[size(cpus)] = count
	}
	var want []zonehealth.Demand
	for _, cpus := range []float64{2, 1, 3, 4, 5, 6, 7, 8} {
		demand := size(cpus)
		demand.Tasks = counts[cpus]
		want = append(want, demand)
	}
	for range 20 { // the order of a map differs from run to run
		if got := sortedDemand(tasks); !slices.Equal(got, want) {
			t.Fatalf("%v, not %v", got, want)
		}
	}
}

// Nothing restricts a job without an admission.
func TestNoAdmissionAdmitsAll(t *testing.T) {
	var none *JobAdmission
	none.RecordAdmitted("x")
	if !none.Admits("x") {
		t.Error("a zone is closed")
	}
	if none.CopyAdmission() != nil {
		t.Error("a trial restricts")
	}
}
