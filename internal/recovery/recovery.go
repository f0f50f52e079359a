// Package recovery decides which work may take which room of a zone that has dropped and
// returns. Production work goes first: room is kept for those of its tasks that wait for
// lost machines, and work below it follows by a slow start. It is pure: who asks gives it
// the state of zones and a view of the machines.
//
// Work that competes for nothing that production needs is not held up, and a share of the
// machines is kept for nobody after a while, so that nothing waits for ever.
package recovery

import (
	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

// Zone is a zone that is down or recovering.
type Zone struct {
	SlowStartShare  float64             // share of its machines that work below production may have taken since it returned
	MachinesBefore  float64             // that it had before
	Taken           float64             // by work below production since it returned, in machines
	Waiting         []zonehealth.Demand // production tasks that wait for lost machines there
	ReservableShare float64             // share of the free machines that may be kept for those
}

// Admission returns what work below production may still take of zones. A nil one lets
// everything in.
type Admission struct {
	zones     map[string]*Zone
	protected []sched.Resources // what a task of production work needs, by size
	types     []sched.Resources // sizes of machines that there are
}

// NewAdmission makes an admission; nil if no zone is restricted or there is no production work to
// protect. protected are the sizes of its tasks, types those of machines.
func NewAdmission(zones map[string]*Zone, protected, types []sched.Resources) *Admission {
	if len(zones) == 0 || len(protected) == 0 {
		return nil
	}
	return &Admission{zones: zones, protected: protected, types: types}
}

// Copy returns an admission of its own to try things on.
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

// Competes reports whether a task of work below production, which may go to machines of some
// sizes, could take what production needs: some machine fits both.
func (a *Admission) Competes(need sched.Resources, allowed func(machine int) bool) bool {
	if a == nil {
		return false
	}
	for i, machine := range a.types {
		if !machine.Fits(need) || !allowed(i) {
			continue
		}
		for _, p := range a.protected {
			if machine.Fits(p) {
				return true
			}
		}
	}
	return false
}

// Admits reports whether work below production may take so much of a machine in a zone.
func (a *Admission) Admits(zone string, machines float64) bool {
	z := a.zone(zone)
	return z == nil || z.SlowStartShare >= 1 || z.Taken+machines <= z.SlowStartShare*z.MachinesBefore+epsilon
}

// epsilon absorbs what sums of fractions are off by.
const epsilon = 1e-9

// Admit counts what such work takes.
func (a *Admission) Admit(zone string, machines float64) {
	if z := a.zone(zone); z != nil {
		z.Taken += machines
	}
}

// Zone returns a restricted zone, nil if it is not.
func (a *Admission) zone(name string) *Zone {
	if a == nil {
		return nil
	}
	return a.zones[name]
}

// MachineShare returns how much of the smallest machine that fits it a task takes, in machines.
func MachineShare(need sched.Resources, types []sched.Resources) float64 {
	share := 1.0
	for _, machine := range types {
		if machine.Fits(need) {
			share = min(share, dominantShare(need, machine))
		}
	}
	return share
}

func dominantShare(need, machine sched.Resources) float64 {
	share := 0.0
	for _, x := range [][2]float64{{need.CPUs, machine.CPUs}, {need.GPUs, machine.GPUs}, {need.MemGB, machine.MemGB}} {
		if x[1] > 0 {
			share = max(share, x[0]/x[1])
		}
	}
	return share
}

// Reserve takes room for production tasks that wait for lost machines off what is free in
// their zones, one machine after the other as the tasks would be placed. What finds no room
// there reserves none: it can't be had. It tells how many tasks have room kept.
func (a *Admission) Reserve(hosts []*sched.Host) (kept int) {
	if a == nil {
		return 0
	}
	for name, z := range a.zones {
		kept += z.reserve(name, hosts)
	}
	return kept
}

func (z *Zone) reserve(name string, hosts []*sched.Host) (kept int) {
	if len(z.Waiting) == 0 {
		return 0
	}
	var free []*sched.Host
	for _, h := range hosts {
		if h.Zone == name {
			free = append(free, h)
		}
	}
	free = free[:int(float64(len(free))*z.ReservableShare+0.5)]
	for _, d := range z.Waiting {
		ask := sched.TaskRequest{
			Need:    sched.Resources{CPUs: d.Need[0], GPUs: d.Need[1], MemGB: d.Need[2]},
			Spot:    d.Spot,
			Service: true,
		}
		ranking := sched.Rank(nil, free, &ask)
		for range d.Tasks {
			h := ranking.Best(nil)
			if h == nil {
				break
			}
			h.Free = h.Free.Sub(ask.Need)
			kept++
		}
	}
	return kept
}
