package recovery

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

var machine = sched.Resources{CPUs: 12, GPUs: 2, MemGB: 96}

// Whatever work below production asks for, it never takes more than the slow start of a zone allows,
// and a trial on a copy takes nothing.
func TestSlowStartShareBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := &Zone{
			SlowStartShare: rapid.Float64Range(0, 1.2).Draw(t, "share"),
			MachinesBefore: float64(rapid.IntRange(0, 40).Draw(t, "machines")),
		}
		a := NewAdmission(map[string]*Zone{"x": z}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, []sched.Resources{machine})
		for range rapid.IntRange(0, 60).Draw(t, "tasks") {
			need := sched.Resources{
				CPUs: float64(rapid.IntRange(1, 12).Draw(t, "cpus")),
				GPUs: float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
			}
			share := MachineShare(need, []sched.Resources{machine})
			if trial := a.Copy(); trial.Admits("x", share) {
				trial.RecordAdmitted("x", share)
			}
			if !a.Admits("y", share) {
				t.Fatal("another zone is restricted")
			}
			if a.Admits("x", share) {
				a.RecordAdmitted("x", share)
			}
		}
		if z.SlowStartShare < 1 && z.UsedMachines > z.SlowStartShare*z.MachinesBefore+1e-6 {
			t.Fatalf("%g of %g machines taken with a share of %g", z.UsedMachines, z.MachinesBefore, z.SlowStartShare)
		}
	})
}

// Room is reserved for as many production tasks as there is room for, no machine gives more
// than it has, and a share of the machines is left alone.
func TestReserve(t *testing.T) {
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
		z := &Zone{
			MachinesBefore:    float64(n),
			ReservableShare:   reservable,
			WaitingProduction: []zonehealth.Demand{{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Tasks: tasks}},
		}
		a := NewAdmission(map[string]*Zone{"x": z}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, []sched.Resources{machine})
		reserved := a.Reserve(append(hosts, other))
		if reservable == 1 && reserved != min(tasks, slots) {
			t.Fatalf("room reserved for %d tasks of %d, there is some for %d", reserved, tasks, slots)
		}
		left := 0
		for _, h := range hosts {
			if h.Free.CPUs < 0 || h.Free.GPUs < 0 || h.Free.MemGB < 0 {
				t.Fatalf("%s has %v left", h.Name, h.Free)
			}
			left += int(h.Free.GPUs)
		}
		if left != slots-reserved || other.Free != machine {
			t.Fatalf("%d of %d left with %d reserved; another zone's machine has %v", left, slots, reserved, other.Free)
		}
	})
}

// Work on machines that production does not fit competes for nothing.
func TestCompetes(t *testing.T) {
	small := sched.Resources{CPUs: 8, MemGB: 32}
	types := []sched.Resources{machine, small}
	a := NewAdmission(map[string]*Zone{"x": {}}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, types)
	need := sched.Resources{CPUs: 2, MemGB: 12}
	if !a.CompetesWithProduction(need, func(int) bool { return true }) {
		t.Error("work on machines with accelerators competes for nothing")
	}
	if a.CompetesWithProduction(need, func(i int) bool { return i == 1 }) {
		t.Error("work on machines without accelerators competes")
	}
	if NewAdmission(map[string]*Zone{"x": {}}, nil, types) != nil || NewAdmission(nil, []sched.Resources{need}, types) != nil {
		t.Error("there is an admission with nothing to protect, or no zone restricted")
	}
	var none *Admission
	if !none.Admits("x", 1) || none.CompetesWithProduction(need, nil) || none.Reserve(nil) != 0 {
		t.Error("no admission restricts")
	}
}
