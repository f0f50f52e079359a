package zonestate

import (
	"slices"
	"testing"

	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

// A zone's record is written only when it changes. The demand list must therefore not depend on map
// order: the most frequent sizes come first, and ties have a fixed order. It is limited to a few
// sizes.
func TestSortedDemandIsDeterministicAndBounded(t *testing.T) {
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
	for range 20 { // map iteration order differs between runs
		if got := sortedDemand(tasks); !slices.Equal(got, want) {
			t.Fatalf("sortedDemand() = %v, want %v", got, want)
		}
	}
}

// A nil JobAdmission restricts nothing.
func TestNilJobAdmissionAdmitsAll(t *testing.T) {
	var nilAdmission *JobAdmission
	nilAdmission.RecordAdmitted("x")
	if !nilAdmission.Admits("x") {
		t.Error("nil JobAdmission.Admits() = false, want true")
	}
	if nilAdmission.CopyAdmission() != nil {
		t.Error("nil JobAdmission.CopyAdmission() is not nil, want nil")
	}
}
