package recovery

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

var machine = sched.Resources{CPUs: 12, GPUs: 2, MemGB: 96}

// Whatever work below production asks for, it never takes more than the window of a zone,
// and a trial on a copy takes nothing.
func TestSlowStartShareBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := &Zone{
			SlowStartShare: rapid.Float64Range(0, 1.2).Draw(t, "window"),
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
				trial.Admit("x", share)
			}
			if !a.Admits("y", share) {
				t.Fatal("another zone is restricted")
			}
			if a.Admits("x", share) {
				a.Admit("x", share)
			}
		}
		if z.SlowStartShare < 1 && z.Taken > z.SlowStartShare*z.MachinesBefore+1e-6 {
			t.Fatalf("%g of %g machines taken in a window of %g", z.Taken, z.MachinesBefore, z.SlowStartShare)
		}
	})
}

// Room is kept for as many production tasks as there is room for, no machine gives more
// than it has, and a share of the machines is left alone.
func TestReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []*sched.Host
		slots := 0
		n := rapid.IntRange(0, 20).Draw(t, "machines")
		for i := range n {
			gpus := float64(rapid.IntRange(0, 2).Draw(t, "free"))
			hosts = append(hosts, &sched.Host{
				Name: fmt.Sprintf("i-%06d", i), Zone: "x", MachineType: "m", Cap: machine,
				Free: sched.Resources{CPUs: 6 * gpus, GPUs: gpus, MemGB: 48 * gpus},
			})
			slots += int(gpus)
		}
		other := &sched.Host{Name: "i-9", Zone: "y", MachineType: "m", Cap: machine, Free: machine}
		tasks := rapid.IntRange(0, 60).Draw(t, "tasks")
		keep := rapid.SampledFrom([]float64{1, 0.5}).Draw(t, "keep")
		z := &Zone{
			MachinesBefore:  float64(n),
			ReservableShare: keep,
			Waiting:         []zonehealth.Demand{{Need: [3]float64{4, 1, 29}, Tasks: tasks}},
		}
		a := NewAdmission(map[string]*Zone{"x": z}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, []sched.Resources{machine})
		kept := a.Reserve(append(hosts, other))
		if keep == 1 && kept != min(tasks, slots) {
			t.Fatalf("room kept for %d tasks of %d, there is some for %d", kept, tasks, slots)
		}
		left := 0
		for _, h := range hosts {
			if h.Free.CPUs < 0 || h.Free.GPUs < 0 || h.Free.MemGB < 0 {
				t.Fatalf("%s has %v left", h.Name, h.Free)
			}
			left += int(h.Free.GPUs)
		}
		if left != slots-kept || other.Free != machine {
			t.Fatalf("%d of %d left with %d kept; another zone's machine has %v", left, slots, kept, other.Free)
		}
	})
}

// Work on machines that production does not fit competes for nothing.
func TestCompetes(t *testing.T) {
	small := sched.Resources{CPUs: 8, MemGB: 32}
	types := []sched.Resources{machine, small}
	a := NewAdmission(map[string]*Zone{"x": {}}, []sched.Resources{{CPUs: 4, GPUs: 1, MemGB: 29}}, types)
	need := sched.Resources{CPUs: 2, MemGB: 12}
	if !a.Competes(need, func(int) bool { return true }) {
		t.Error("work on machines with accelerators competes for nothing")
	}
	if a.Competes(need, func(i int) bool { return i == 1 }) {
		t.Error("work on machines without accelerators competes")
	}
	if NewAdmission(map[string]*Zone{"x": {}}, nil, types) != nil || NewAdmission(nil, []sched.Resources{need}, types) != nil {
		t.Error("there is an admission with nothing to protect, or no zone restricted")
	}
	var none *Admission
	if !none.Admits("x", 1) || none.Competes(need, nil) || none.Reserve(nil) != 0 {
		t.Error("no admission restricts")
	}
}
