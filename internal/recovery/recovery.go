// Package recovery decides how much of the capacity of a restricted zone (down or recovering) each
// kind of work may use. Production work goes first: capacity is reserved for production tasks that
// wait for lost machines. Other work is admitted by a slow start. The package does no I/O: the caller
// passes in the state of the zones and a view of the machines.
//
// Invariants:
//   - work below production never uses more of a restricted zone than the slow start allows;
//   - work that does not compete with production for machines is not restricted;
//   - reservations use at most ReservableShare of a zone's machines, so that no work waits forever.
package recovery

import (
	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

// Zone is the state of a zone that is down or recovering.
type Zone struct {
	SlowStartShare    float64             // share of MachinesBefore that work below production may use
	MachinesBefore    float64             // number of machines before the zone went down
	UsedMachines      float64             // machines that work below production has used since the zone's state began
	WaitingProduction []zonehealth.Demand // production tasks that wait for lost machines
	ReservableShare   float64             // share of the usable machines that may be reserved for those tasks
}

// Admission tracks how much of the restricted zones work below production may still use. A nil
// Admission restricts nothing.
type Admission struct {
	zones           map[string]*Zone
	productionNeeds []sched.Resources // sizes of production tasks, each once
	machineSizes    []sched.Resources // capacities of the machine types
}

// NewAdmission returns an Admission, or nil if no zone is restricted or there is no production work
// to protect. productionNeeds are the sizes of production tasks, machineSizes the capacities of the
// machine types.
func NewAdmission(zones map[string]*Zone, productionNeeds, machineSizes []sched.Resources) *Admission {
	if len(zones) == 0 || len(productionNeeds) == 0 {
		return nil
	}
	return &Admission{zones: zones, productionNeeds: productionNeeds, machineSizes: machineSizes}
}

// Copy returns an independent copy, so that a caller can try admissions without recording them in a.
func (a *Admission) Copy() *Admission {
	if a == nil {
		return nil
	}
	clone := *a
	clone.zones = make(map[string]*Zone, len(a.zones))
	for name, z := range a.zones {
		zoneCopy := *z
		clone.zones[name] = &zoneCopy
	}
	return &clone
}

// CompetesWithProduction reports whether a task below production could use capacity that production
// needs, that is whether a machine type that is allowed for the task fits both it and a production
// task. allowed reports, by the index of a machine type, whether the task may run on it.
func (a *Admission) CompetesWithProduction(need sched.Resources, allowed func(machineType int) bool) bool {
	if a == nil {
		return false
	}
	for i, machine := range a.machineSizes {
		if machine.Fits(need) && allowed(i) && a.fitsProductionTask(machine) {
			return true
		}
	}
	return false
}

// fitsProductionTask reports whether a machine fits a production task of any size.
func (a *Admission) fitsProductionTask(machine sched.Resources) bool {
	for _, need := range a.productionNeeds {
		if machine.Fits(need) {
			return true
		}
	}
	return false
}

// Admits reports whether work below production may use the given number of machines of a zone.
func (a *Admission) Admits(zone string, machines float64) bool {
	z := a.zone(zone)
	return z == nil || z.SlowStartShare >= 1 || z.UsedMachines+machines <= z.SlowStartShare*z.MachinesBefore+epsilon
}

// epsilon absorbs rounding errors in sums of fractions.
const epsilon = 1e-9

// RecordAdmitted records that work below production uses the given number of machines of a zone.
func (a *Admission) RecordAdmitted(zone string, machines float64) {
	if z := a.zone(zone); z != nil {
		z.UsedMachines += machines
	}
}

// zone returns the state of a restricted zone, or nil if the zone is not restricted.
func (a *Admission) zone(name string) *Zone {
	if a == nil {
		return nil
	}
	return a.zones[name]
}

// MachineShare returns the share of a machine that a task uses: its lowest dominantShare among the
// machine types that fit it, or 1 if none does.
func MachineShare(need sched.Resources, machineSizes []sched.Resources) float64 {
	share := 1.0
	for _, machine := range machineSizes {
		if machine.Fits(need) {
			share = min(share, dominantShare(need, machine))
		}
	}
	return share
}

// dominantShare returns the largest share that a task uses of any resource of a machine.
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

// Reserve reserves capacity for production tasks that wait for lost machines. It subtracts their
// needs from the free capacity of the hosts in their zones, best fit first, and skips tasks that do
// not fit. It returns the number of tasks with a reservation.
func (a *Admission) Reserve(hosts []*sched.Host) (reserved int) {
	if a == nil {
		return 0
	}
	for name, z := range a.zones {
		reserved += z.reserve(name, hosts)
	}
	return reserved
}

// maxReservedTasks bounds the tasks of one size with a reservation. Any number of tasks that need
// nothing fits on a machine.
const maxReservedTasks = 1 << 20

// reserve is Reserve for one zone. It uses the first hosts of the zone, up to ReservableShare.
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
	for _, demand := range z.WaitingProduction {
		request := sched.TaskRequest{Need: demand.Need, AllowSpot: demand.Spot, Service: true}
		ranking := sched.NewRanking(nil, reservable, &request)
		for range min(demand.Tasks, maxReservedTasks) {
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
