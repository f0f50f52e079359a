package zonestate

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/features"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// JobAdmission is what a job below production may take of zones that return. A nil one lets
// everything in.
type JobAdmission struct {
	admission    *recovery.Admission
	machineShare float64 // of a machine that one of its tasks takes
}

func (g *JobAdmission) Admits(zone string) bool {
	return g == nil || g.admission.Admits(zone, g.machineShare)
}

func (g *JobAdmission) Admit(zone string) {
	if g != nil {
		g.admission.Admit(zone, g.machineShare)
	}
}

// Trial returns an admission to try things on.
func (g *JobAdmission) Trial() *recovery.Admission {
	if g == nil {
		return nil
	}
	return g.admission.Copy()
}

// AdmissionOf returns the gate of a job; nil if nothing restricts it.
func (zs *Zones) AdmissionOf(j *statecache.Job, admission *recovery.Admission) *JobAdmission {
	return zs.AdmissionOfSpec(&j.Record.Spec, admission)
}

// AdmissionOfSpec is the same for a job that is only described.
func (zs *Zones) AdmissionOfSpec(spec *api.Job, admission *recovery.Admission) *JobAdmission {
	if admission == nil {
		return nil
	}
	if priority, _ := api.PriorityOf(spec.Priority); priority == ProductionPriority {
		return nil
	}
	size := statecache.ResourcesOf(spec)
	allowed := func(i int) bool {
		return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, zs.catalog.MachineTypes[i].Name)
	}
	if !admission.Competes(size, allowed) {
		return nil
	}
	return &JobAdmission{admission, recovery.MachineShare(size, zs.catalog.MachineSizes())}
}

// Admission returns what work below production may take of zones that are down or recovering;
// nil if none is, or the feature is off. It follows from what all controllers replicate, so
// that all of them, whoever owns the machines, act alike.
func (zs *Zones) Admission(now time.Time) *recovery.Admission {
	if len(zs.cache.Zones) == 0 || !zs.schema.FeatureEnabled(features.ZoneRecoveryName) {
		return nil
	}
	limits := zs.zoneLimits()
	zones := map[string]*recovery.Zone{}
	for id := range zs.cache.Zones {
		r := zs.RestrictedZone(statecache.ZoneOfID(id), now)
		if r == nil {
			continue
		}
		lasted := now.Sub(time.UnixMilli(r.SinceMS))
		z := &recovery.Zone{SlowStartShare: r.AdmissionShare(now, limits), MachinesBefore: float64(r.MachinesBefore), ReservableShare: 1}
		if r.State == zonehealth.Recovering && lasted.Seconds() >= zs.node.Features.ZoneRecovery.ProgressAfter*zs.node.Settings.WorkerLease().Seconds() {
			z.ReservableShare = 1 - zs.node.Features.ZoneRecovery.ProgressShare
		}
		z.Waiting = zs.waitingProduction(statecache.ZoneOfID(id), r)
		zones[statecache.ZoneOfID(id)] = z
	}
	if len(zones) == 0 {
		return nil
	}
	zs.countAdmitted(zones)
	return recovery.NewAdmission(zones, zs.protectedSizes(zones), zs.catalog.MachineSizes())
}

// waitingProduction returns the production tasks that wait for lost machines of a zone: of own shards
// as last seen, of peers' as they told.
func (zs *Zones) waitingProduction(zone string, r *zonehealth.Record) []zonehealth.Demand {
	var needs []zonehealth.Demand
	own := zs.View.Observations[zone]
	for p, s := range r.Observations {
		if _, led := own[p]; !led || !zs.leadership.Leads(p) {
			needs = append(needs, s.Waiting...)
		}
	}
	for p, s := range own {
		if zs.leadership.Leads(p) {
			needs = append(needs, s.Waiting...)
		}
	}
	return needs
}

// countAdmitted counts what work below production has taken of zones since they came back.
// What was placed before and went on is not counted.
func (zs *Zones) countAdmitted(zones map[string]*recovery.Zone) {
	types := zs.catalog.MachineSizes()
	for host, on := range zs.cache.Placements {
		m := zs.cache.Machines[host]
		if m == nil || zones[m.Zone] == nil {
			continue
		}
		since := zs.cache.Zones[statecache.ZoneID(m.Zone)].Record.SinceMS
		for _, pl := range on {
			j := zs.cache.Jobs[pl.UID]
			if j == nil {
				continue
			}
			priority, _ := api.PriorityOf(j.Record.Spec.Priority)
			if priority != ProductionPriority && j.PlacedAtMS(pl) >= since {
				zones[m.Zone].Taken += recovery.MachineShare(statecache.ResourcesOf(&j.Record.Spec), types)
			}
		}
	}
}

// IsHeldBack reports whether a task below production that its machine no longer has, and that
// went when its zone went down, does not start again in place yet. All at once they would
// fill the zone ahead of production work whose machines have not returned. A gang is one
// whole: it ends and starts anew by its own rules.
func (zs *Zones) IsHeldBack(host string, pl *statecache.PlacedTask, j *statecache.Job, now time.Time) bool {
	m := zs.cache.Machines[host]
	if len(zs.cache.Zones) == 0 || m == nil || j.IsGang() {
		return false
	}
	priority, _ := api.PriorityOf(j.Record.Spec.Priority)
	r := zs.RestrictedZone(m.Zone, now)
	return r != nil && priority != ProductionPriority && j.PlacedAtMS(pl) < r.FailedMS && !zs.View.AdmittedMachines[host]
}

// AdmittedMachines tells on which machines of returning zones tasks start again in place: as large
// a share of those that are up as the slow start has come to, less what the production work
// that waits there needs. They open in the order of their names, so that another leader has
// the same.
func (zs *Zones) AdmittedMachines(up map[string][]string, now time.Time) map[string]bool {
	open := map[string]bool{}
	types := zs.catalog.MachineSizes()
	for zone, hosts := range up {
		r := zs.RestrictedZone(zone, now)
		if r == nil {
			continue
		}
		needed := 0.0 // machines
		for _, d := range zs.waitingProduction(zone, r) {
			size := sched.Resources{CPUs: d.Need[0], GPUs: d.Need[1], MemGB: d.Need[2]}
			needed += float64(d.Tasks) * recovery.MachineShare(size, types)
		}
		all := float64(max(r.Sum().Up, len(hosts)))
		share := min(r.AdmissionShare(now, zs.zoneLimits()), max(all-needed, 0)/all, 1)
		slices.Sort(hosts)
		for _, host := range hosts[:int(share*float64(len(hosts)))] {
			open[host] = true
		}
	}
	return open
}

// RestrictedZone returns the record of a zone that is down or recovering; nil if it is not, or the
// feature is off. It ends also if nobody can write that it does.
func (zs *Zones) RestrictedZone(zone string, now time.Time) *zonehealth.Record {
	r := zs.cache.Zones[statecache.ZoneID(zone)].Record
	if r == nil || !r.Restricts() || !zs.schema.FeatureEnabled(features.ZoneRecoveryName) {
		return nil
	}
	if now.Sub(time.UnixMilli(r.SinceMS)) >= zs.zoneLimits().Longest {
		return nil
	}
	return r
}

// protectedSizes returns the sizes of production tasks.
func (zs *Zones) protectedSizes(zones map[string]*recovery.Zone) []sched.Resources {
	var out []sched.Resources
	note := func(size sched.Resources) {
		if !slices.Contains(out, size) {
			out = append(out, size)
		}
	}
	for _, j := range zs.cache.Jobs {
		if priority, _ := api.PriorityOf(j.Record.Spec.Priority); priority == ProductionPriority && !j.Record.Cancelled {
			note(statecache.ResourcesOf(&j.Record.Spec))
		}
	}
	for _, z := range zones {
		for _, d := range z.Waiting {
			note(sched.Resources{CPUs: d.Need[0], GPUs: d.Need[1], MemGB: d.Need[2]})
		}
	}
	return out
}
