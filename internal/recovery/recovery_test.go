package recovery

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

var machine = sched.Resources{CPUs: 12, GPUs: 2, MemGB: 96}

// Work below production never uses more of a zone than the slow start allows, and admissions
// recorded in a copy do not count.
func TestAdmissionNeverExceedsSlowStartShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := &Zone{
			SlowStartShare: rapid.Float64Range(0, 1.2).Draw(t, "share"),
			MachinesBefore: float64(rapid.IntRange(0, 40).Draw(t, "machines")),
		}
		admission := NewAdmission(map[string]*Zone{"x": zone}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, []sched.Resources{machine})
		for range rapid.IntRange(0, 60).Draw(t, "tasks") {
			need := sched.Resources{
				CPUs: float64(rapid.IntRange(1, 12).Draw(t, "cpus")),
				GPUs: float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
			}
			share := MachineShare(need, []sched.Resources{machine})
			if admissionCopy := admission.Copy(); admissionCopy.Admits("x", share) {
				admissionCopy.RecordAdmitted("x", share)
			}
			if !admission.Admits("y", share) {
				t.Fatal("Admits() = false for an unrestricted zone, want true")
			}
			if admission.Admits("x", share) {
				admission.RecordAdmitted("x", share)
			}
		}
		if zone.SlowStartShare < 1 && zone.UsedMachines > zone.SlowStartShare*zone.MachinesBefore+1e-6 {
			t.Fatalf("work below production uses %g of %g machines, want at most a share of %g", zone.UsedMachines, zone.MachinesBefore,
				zone.SlowStartShare)
		}
	})
}

// Reserve reserves capacity for as many production tasks as fit, no more on a machine than it has
// free, and nothing on machines of other zones.
func TestReserveStaysWithinFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []*sched.Host
		slots := 0
		n := rapid.IntRange(0, 20).Draw(t, "machines")
		for i := range n {
			gpus := float64(rapid.IntRange(0, 2).Draw(t, "free"))
			hosts = append(hosts, &sched.Host{
				Name: fmt.Sprintf("i-%06d", i), Zone: "x", MachineType: "m", Capacity: machine,
				Free: sched.Resources{CPUs: 6 * gpus, GPUs: gpus, MemGB: 48 * gpus},
			})
			slots += int(gpus)
		}
		other := &sched.Host{Name: "i-9", Zone: "y", MachineType: "m", Capacity: machine, Free: machine}
		tasks := rapid.IntRange(0, 60).Draw(t, "tasks")
		reservable := rapid.SampledFrom([]float64{1, 0.5}).Draw(t, "reservable")
		zone := &Zone{
			MachinesBefore:    float64(n),
			ReservableShare:   reservable,
			WaitingProduction: []zonehealth.Demand{{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Tasks: tasks}},
		}
		admission := NewAdmission(map[string]*Zone{"x": zone}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, []sched.Resources{machine})
		reserved := admission.Reserve(append(hosts, other))
		if reservable == 1 && reserved != min(tasks, slots) {
			t.Fatalf("Reserve() = %d of %d tasks, want %d (capacity for %d)", reserved, tasks, min(tasks, slots), slots)
		}
		left := 0
		for _, h := range hosts {
			if h.Free.CPUs < 0 || h.Free.GPUs < 0 || h.Free.MemGB < 0 {
				t.Fatalf("%s has %v free, want no negative amount", h.Name, h.Free)
			}
			left += int(h.Free.GPUs)
		}
		if left != slots-reserved || other.Free != machine {
			t.Fatalf("%d of %d GPUs left with %d reserved, want %d; machine of another zone has %v free, want %v", left, slots, reserved,
				slots-reserved, other.Free, machine)
		}
	})
}

// Work that can only run on machines too small for production tasks does not compete with
// production. A nil Admission restricts nothing.
func TestCompetesWithProductionOnlyWhereProductionFits(t *testing.T) {
	small := sched.Resources{CPUs: 8, MemGB: 32}
	types := []sched.Resources{machine, small}
	admission := NewAdmission(map[string]*Zone{"x": {}}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, types)
	need := sched.Resources{CPUs: 2, MemGB: 12}
	if !admission.CompetesWithProduction(need, func(int) bool { return true }) {
		t.Error("CompetesWithProduction() = false on a machine type that fits production tasks, want true")
	}
	if admission.CompetesWithProduction(need, func(i int) bool { return i == 1 }) {
		t.Error("CompetesWithProduction() = true on a machine type that fits no production task, want false")
	}
	if NewAdmission(map[string]*Zone{"x": {}}, nil, types) != nil || NewAdmission(nil, []sched.Resources{need}, types) != nil {
		t.Error("NewAdmission() is not nil without production task sizes or without restricted zones, want nil")
	}
	var nilAdmission *Admission
	if !nilAdmission.Admits("x", 1) || nilAdmission.CompetesWithProduction(need, nil) || nilAdmission.Reserve(nil) != 0 {
		t.Error("nil Admission restricts work, want no restriction")
	}
}

// Guards against a plan that never ends, for a recorded number of production tasks that need nothing.
func TestReserveEndsForAnyNumberOfTasks(t *testing.T) {
	for _, tasks := range []int{math.MinInt, 0, math.MaxInt} {
		zone := &Zone{ReservableShare: 1, WaitingProduction: []zonehealth.Demand{{Tasks: tasks}}}
		admission := NewAdmission(map[string]*Zone{"x": zone}, []sched.Resources{{}}, []sched.Resources{machine})
		hosts := []*sched.Host{{Name: "i-1", Zone: "x", Capacity: machine, Free: machine}}
		if reserved := admission.Reserve(hosts); reserved != min(max(tasks, 0), maxReservedTasks) {
			t.Errorf("%d tasks: got %d with a reservation, want at most %d", tasks, reserved, maxReservedTasks)
		}
	}
}
