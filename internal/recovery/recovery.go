// Package recovery decides which work may take which room of a zone that was down and is
// recovering. Production work goes first: room is reserved for those of its tasks that wait for
// lost machines, and work below it follows by a slow start. It is pure: the caller gives it
// the state of zones and a view of the machines.
//
// Invariants:
//   - work below production never takes more of a restricted zone than its slow start allows;
//   - work that competes for nothing that production needs is not restricted;
//   - a zone reserves at most its ReservableShare of the free machines, so that nothing waits
//     for ever.
package recovery

import (
	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

// Zone is a zone that is down or recovering.
type Zone struct {
	SlowStartShare    float64             // share of its machines that work below production may have taken since it came back
	MachinesBefore    float64             // machines that it had before it went down
	UsedMachines      float64             // by work below production since it came back, in machines
	WaitingProduction []zonehealth.Demand // production tasks that wait for lost machines there
	ReservableShare   float64             // share of the free machines that may be reserved for those
}

// Admission is what work below production may still take of zones. A nil one restricts
// nothing.
type Admission struct {
	zones        map[string]*Zone
	protected    []sched.Resources // what a task of production work needs, by size
	machineTypes []sched.Resources // sizes of machines that there are
}

// NewAdmission returns an admission; nil if no zone is restricted or there is no production
// work to protect. protected are the sizes of its tasks, machineTypes those of machines.
func NewAdmission(zones map[string]*Zone, protected, machineTypes []sched.Resources) *Admission {
	if len(zones) == 0 || len(protected) == 0 {
		return nil
	}
	return &Admission{zones: zones, protected: protected, machineTypes: machineTypes}
}

// Copy returns an independent admission, for a trial.
func (a *Admission) Copy() *Admission {
	if a == nil {
		return nil
	}
	trial := *a
	trial.zones = make(map[string]*Zone, len(a.zones))
	for name, z := range a.zones {
		own := *z
		trial.zones[name] = &own
	}
	return &trial
}

// CompetesWithProduction reports whether a task of work below production could take what production needs:
// some machine fits both. allowed tells for the index of a machine type whether the task may
// run on it.
func (a *Admission) CompetesWithProduction(need sched.Resources, allowed func(machineType int) bool) bool {
	if a == nil {
		return false
	}
	for i, machine := range a.machineTypes {
		if machine.Fits(need) && allowed(i) && a.fitsProtected(machine) {
			return true
		}
	}
	return false
}

// fitsProtected reports whether a machine fits a task of production work.
func (a *Admission) fitsProtected(machine sched.Resources) bool {
	for _, need := range a.protected {
		if machine.Fits(need) {
			return true
		}
	}
	return false
}

// Admits reports whether work below production may take so much of a zone, in machines.
func (a *Admission) Admits(zone string, machines float64) bool {
	z := a.zone(zone)
	return z == nil || z.SlowStartShare >= 1 || z.UsedMachines+machines <= z.SlowStartShare*z.MachinesBefore+epsilon
}

// epsilon absorbs the rounding of sums of fractions.
const epsilon = 1e-9

// RecordAdmitted counts what work below production takes of a zone, in machines.
func (a *Admission) RecordAdmitted(zone string, machines float64) {
	if z := a.zone(zone); z != nil {
		z.UsedMachines += machines
	}
}

// zone returns a restricted zone, nil if it is not restricted.
func (a *Admission) zone(name string) *Zone {
	if a == nil {
		return nil
	}
	return a.zones[name]
}

// MachineShare returns how much of the smallest machine that fits it a task takes, in machines.
func MachineShare(need sched.Resources, machineTypes []sched.Resources) float64 {
	share := 1.0
	for _, machine := range machineTypes {
		if machine.Fits(need) {
			share = min(share, dominantShare(need, machine))
		}
	}
	return share
}

// dominantShare returns the largest share that a task takes of any resource of a machine.
func dominantShare(need, machine sched.Resources) float64 {
	share := 0.0
	for _, amount := range [...]struct{ need, machine float64 }{
		{need.CPUs, machine.CPUs}, {need.GPUs, machine.GPUs}, {need.MemGB, machine.MemGB},
	} {
		if amount.machine > 0 {
			share = max(share, amount.need/amount.machine)
		}
	}
	return share
}

// Reserve reserves room for production tasks that wait for lost machines: it subtracts their
// needs from the room of the hosts in their zones, in the order in which they would be placed.
// A task that finds no room there reserves none. It returns the number of tasks with room.
func (a *Admission) Reserve(hosts []*sched.Host) (reserved int) {
	if a == nil {
		return 0
	}
	for name, z := range a.zones {
		reserved += z.reserve(name, hosts)
	}
	return reserved
}

func (z *Zone) reserve(name string, hosts []*sched.Host) (reserved int) {
	if len(z.WaitingProduction) == 0 {
		return 0
	}
	var reservable []*sched.Host
	for _, h := range hosts {
		if h.Zone == name {
			reservable = append(reservable, h)
		}
	}
	reservable = reservable[:int(float64(len(reservable))*z.ReservableShare+0.5)]
	for _, d := range z.WaitingProduction {
		request := sched.TaskRequest{Need: d.Need, AllowSpot: d.Spot, Service: true}
		ranking := sched.NewRanking(nil, reservable, &request)
		for range d.Tasks {
			h := ranking.Best(nil)
			if h == nil {
				break
			}
			h.Free = h.Free.Sub(request.Need)
			reserved++
		}
	}
	return reserved
}
