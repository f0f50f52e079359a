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

// JobAdmission is what a job below production may take of zones that are down or recovering. A
// nil one admits everything.
type JobAdmission struct {
	admission    *recovery.Admission
	machineShare float64 // of a machine that one of its tasks takes
}

// Admits reports whether a task of the job may go to a zone.
func (a *JobAdmission) Admits(zone string) bool {
	return a == nil || a.admission.Admits(zone, a.machineShare)
}

// RecordAdmitted counts a task of the job that goes to a zone.
func (a *JobAdmission) RecordAdmitted(zone string) {
	if a != nil {
		a.admission.RecordAdmitted(zone, a.machineShare)
	}
}

// CopyAdmission returns an admission to try things on.
func (a *JobAdmission) CopyAdmission() *recovery.Admission {
	if a == nil {
		return nil
	}
	return a.admission.Copy()
}

// AdmissionForJob returns what a job may take; nil if nothing restricts it.
func (z *Zones) AdmissionForJob(job *statecache.Job, admission *recovery.Admission) *JobAdmission {
	return z.AdmissionForSpec(&job.Record.Spec, admission)
}

// AdmissionForSpec is AdmissionForJob for a job that is only described.
func (z *Zones) AdmissionForSpec(spec *api.Job, admission *recovery.Admission) *JobAdmission {
	if admission == nil || isProduction(spec) {
		return nil
	}
	size := statecache.ResourcesOf(spec)
	types := z.catalog.MachineTypes()
	allowed := func(i int) bool {
		return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, types[i].Name)
	}
	if !admission.CompetesWithProduction(size, allowed) {
		return nil
	}
	return &JobAdmission{admission: admission, machineShare: recovery.MachineShare(size, z.catalog.MachineSizes())}
}

// Admission returns what work below production may take of zones that are down or recovering;
// nil if none is, or the feature is off.
func (z *Zones) Admission(now time.Time) *recovery.Admission {
	if len(z.cache.Zones) == 0 || !z.schema.FeatureEnabled(features.ZoneRecoveryName) {
		return nil
	}
	zones := map[string]*recovery.Zone{}
	for id := range z.cache.Zones {
		name := statecache.ZoneOfID(id)
		if record := z.RestrictedZoneRecord(name, now); record != nil {
			zones[name] = z.recoveryOf(name, record, now)
		}
	}
	if len(zones) == 0 {
		return nil
	}
	z.countAdmitted(zones)
	return recovery.NewAdmission(zones, z.protectedSizes(zones), z.catalog.MachineSizes())
}

// recoveryOf returns how far the recovery of a zone is.
func (z *Zones) recoveryOf(name string, record *zonehealth.Record, now time.Time) *recovery.Zone {
	zone := &recovery.Zone{
		SlowStartShare:    record.AdmissionShare(now, z.limits()),
		MachinesBefore:    float64(record.MachinesBeforeFailure),
		ReservableShare:   1,
		WaitingProduction: z.waitingProduction(name, record),
	}
	settings := &z.node.Features.ZoneRecovery
	lasted := now.Sub(time.UnixMilli(record.SinceMS)).Seconds()
	if record.State == zonehealth.Recovering && lasted >= settings.ProgressAfter*z.node.Settings.WorkerLease().Seconds() {
		zone.ReservableShare = 1 - settings.ProgressShare
	}
	return zone
}

// waitingProduction returns the production tasks that wait for lost machines of a zone: of own
// shards as last observed, of peers' as they recorded.
func (z *Zones) waitingProduction(zone string, record *zonehealth.Record) []zonehealth.Demand {
	var waiting []zonehealth.Demand
	own := z.observations[zone]
	for shardName, observation := range record.Observations {
		if _, observed := own[shardName]; !observed || !z.leadership.Leads(shardName) {
			waiting = append(waiting, observation.WaitingProduction...)
		}
	}
	for shardName, observation := range own {
		if z.leadership.Leads(shardName) {
			waiting = append(waiting, observation.WaitingProduction...)
		}
	}
	return waiting
}

// countAdmitted counts what work below production has taken of zones since they came back.
// What was placed before and went on is not counted.
func (z *Zones) countAdmitted(zones map[string]*recovery.Zone) {
	sizes := z.catalog.MachineSizes()
	for host, tasks := range z.cache.Placements {
		machine := z.cache.Machines[host]
		if machine == nil || zones[machine.Zone] == nil {
			continue
		}
		since := z.cache.Zones[statecache.ZoneID(machine.Zone)].Record.SinceMS
		for _, task := range tasks {
			job := z.cache.Jobs[task.UID]
			if job == nil || isProduction(&job.Record.Spec) {
				continue
			}
			if job.PlacedAtMS(task) >= since {
				zones[machine.Zone].UsedMachines += recovery.MachineShare(statecache.ResourcesOf(&job.Record.Spec), sizes)
			}
		}
	}
}

// protectedSizes returns the sizes of production tasks.
func (z *Zones) protectedSizes(zones map[string]*recovery.Zone) []sched.Resources {
	var sizes []sched.Resources
	add := func(size sched.Resources) {
		if !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
	}
	for _, job := range z.cache.Jobs {
		if isProduction(&job.Record.Spec) && !job.Record.Cancelled {
			add(statecache.ResourcesOf(&job.Record.Spec))
		}
	}
	for _, zone := range zones {
		for _, demand := range zone.WaitingProduction {
			add(demand.Need)
		}
	}
	return sizes
}
