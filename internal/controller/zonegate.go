package controller

import (
	"net/url"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/features"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
	"violetturn/internal/zonehealth"
)

// jobAdmission is what a job below production may take of zones that return. A nil one lets
// everything in.
type jobAdmission struct {
	admission    *recovery.Admission
	machineShare float64 // of a machine that one of its tasks takes
}

func (g *jobAdmission) admits(zone string) bool {
	return g == nil || g.admission.Admits(zone, g.machineShare)
}

func (g *jobAdmission) admit(zone string) {
	if g != nil {
		g.admission.Admit(zone, g.machineShare)
	}
}

// trial returns an admission to try things on.
func (g *jobAdmission) trial() *recovery.Admission {
	if g == nil {
		return nil
	}
	return g.admission.Copy()
}

// admissionOf returns the gate of a job; nil if nothing restricts it.
func (zs *zoneState) admissionOf(j *liveJob, admission *recovery.Admission) *jobAdmission {
	return zs.admissionOfSpec(&j.record.Spec, admission)
}

// admissionOfSpec is the same for a job that is only described.
func (zs *zoneState) admissionOfSpec(spec *api.Job, admission *recovery.Admission) *jobAdmission {
	if admission == nil {
		return nil
	}
	if priority, _ := api.PriorityOf(spec.Priority); priority == productionPriority {
		return nil
	}
	size := resourcesOf(spec)
	allowed := func(i int) bool {
		return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, zs.catalog.machineTypes[i].Name)
	}
	if !admission.Competes(size, allowed) {
		return nil
	}
	return &jobAdmission{admission, recovery.MachineShare(size, zs.catalog.machineSizes())}
}

// admission returns what work below production may take of zones that are down or recovering;
// nil if none is, or the feature is off. It follows from what all controllers replicate, so
// that all of them, whoever owns the machines, act alike.
func (zs *zoneState) admission(now time.Time) *recovery.Admission {
	if len(zs.cache.zones) == 0 || !zs.schema.featureEnabled(features.ZoneRecoveryName) {
		return nil
	}
	limits := zs.zoneLimits()
	zones := map[string]*recovery.Zone{}
	for id := range zs.cache.zones {
		r := zs.restrictedZone(zoneName(id), now)
		if r == nil {
			continue
		}
		lasted := now.Sub(time.UnixMilli(r.SinceMS))
		z := &recovery.Zone{SlowStartShare: r.AdmissionShare(now, limits), MachinesBefore: float64(r.MachinesBefore), ReservableShare: 1}
		if r.State == zonehealth.Recovering && lasted.Seconds() >= zs.node.features.ZoneRecovery.ProgressAfter*zs.node.settings.WorkerLease().Seconds() {
			z.ReservableShare = 1 - zs.node.features.ZoneRecovery.ProgressShare
		}
		z.Waiting = zs.waitingProduction(zoneName(id), r)
		zones[zoneName(id)] = z
	}
	if len(zones) == 0 {
		return nil
	}
	zs.countAdmitted(zones)
	return recovery.NewAdmission(zones, zs.protectedSizes(zones), zs.catalog.machineSizes())
}

// waitingProduction returns the production tasks that wait for lost machines of a zone: of own shards
// as last seen, of peers' as they told.
func (zs *zoneState) waitingProduction(zone string, r *zonehealth.Record) []zonehealth.Demand {
	var needs []zonehealth.Demand
	own := zs.view.observations[zone]
	for p, s := range r.Observations {
		if _, led := own[p]; !led || zs.leadership.of(p) == nil {
			needs = append(needs, s.Waiting...)
		}
	}
	for p, s := range own {
		if zs.leadership.of(p) != nil {
			needs = append(needs, s.Waiting...)
		}
	}
	return needs
}

// countAdmitted counts what work below production has taken of zones since they came back.
// What was placed before and went on is not counted.
func (zs *zoneState) countAdmitted(zones map[string]*recovery.Zone) {
	types := zs.catalog.machineSizes()
	for host, on := range zs.cache.placements {
		m := zs.cache.machines[host]
		if m == nil || zones[m.Zone] == nil {
			continue
		}
		since := zs.cache.zones[url.PathEscape(m.Zone)].record.SinceMS
		for _, pl := range on {
			j := zs.cache.jobs[pl.uid]
			if j == nil {
				continue
			}
			priority, _ := api.PriorityOf(j.record.Spec.Priority)
			if priority != productionPriority && placedAtMS(j, pl) >= since {
				zones[m.Zone].Taken += recovery.MachineShare(resourcesOf(&j.record.Spec), types)
			}
		}
	}
}

// isHeldBack reports whether a task below production that its machine no longer has, and that
// went when its zone went down, does not start again in place yet. All at once they would
// fill the zone ahead of production work whose machines have not returned. A gang is one
// whole: it ends and starts anew by its own rules.
func (zs *zoneState) isHeldBack(host string, pl *placedTask, j *liveJob, now time.Time) bool {
	m := zs.cache.machines[host]
	if len(zs.cache.zones) == 0 || m == nil || isGang(j) {
		return false
	}
	priority, _ := api.PriorityOf(j.record.Spec.Priority)
	r := zs.restrictedZone(m.Zone, now)
	return r != nil && priority != productionPriority && placedAtMS(j, pl) < r.FailedMS && !zs.view.admittedMachines[host]
}

// admittedMachines tells on which machines of returning zones tasks start again in place: as large
// a share of those that are up as the slow start has come to, less what the production work
// that waits there needs. They open in the order of their names, so that another leader has
// the same.
func (zs *zoneState) admittedMachines(up map[string][]string, now time.Time) map[string]bool {
	open := map[string]bool{}
	types := zs.catalog.machineSizes()
	for zone, hosts := range up {
		r := zs.restrictedZone(zone, now)
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

// restrictedZone returns the record of a zone that is down or recovering; nil if it is not, or the
// feature is off. It ends also if nobody can write that it does.
func (zs *zoneState) restrictedZone(zone string, now time.Time) *zonehealth.Record {
	r := zs.cache.zones[url.PathEscape(zone)].record
	if r == nil || !r.Restricts() || !zs.schema.featureEnabled(features.ZoneRecoveryName) {
		return nil
	}
	if now.Sub(time.UnixMilli(r.SinceMS)) >= zs.zoneLimits().Longest {
		return nil
	}
	return r
}

// placedAtMS is when a task was placed, in milliseconds of the time of day.
func placedAtMS(j *liveJob, pl *placedTask) int64 {
	return j.record.AcceptedMS + pl.placement.PlacedS*1000
}

// protectedSizes returns the sizes of production tasks.
func (zs *zoneState) protectedSizes(zones map[string]*recovery.Zone) []sched.Resources {
	var out []sched.Resources
	note := func(size sched.Resources) {
		if !slices.Contains(out, size) {
			out = append(out, size)
		}
	}
	for _, j := range zs.cache.jobs {
		if priority, _ := api.PriorityOf(j.record.Spec.Priority); priority == productionPriority && !j.record.Cancelled {
			note(resourcesOf(&j.record.Spec))
		}
	}
	for _, z := range zones {
		for _, d := range z.Waiting {
			note(sched.Resources{CPUs: d.Need[0], GPUs: d.Need[1], MemGB: d.Need[2]})
		}
	}
	return out
}
