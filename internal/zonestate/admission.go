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

// JobAdmission is what a job below production may use of zones that are down or recovering. A nil
// JobAdmission admits everything.
type JobAdmission struct {
	admission    *recovery.Admission
	machineShare float64 // share of a machine that one of its tasks uses
}

// Admits reports whether a task of the job may be placed in a zone.
func (a *JobAdmission) Admits(zone string) bool {
	return a == nil || a.admission.Admits(zone, a.machineShare)
}

// RecordAdmitted records that a task of the job is placed in a zone.
func (a *JobAdmission) RecordAdmitted(zone string) {
	if a != nil {
		a.admission.RecordAdmitted(zone, a.machineShare)
	}
}

// CopyAdmission returns a copy of the admission, so that a caller can try placements.
func (a *JobAdmission) CopyAdmission() *recovery.Admission {
	if a == nil {
		return nil
	}
	return a.admission.Copy()
}

// AdmissionForJob returns what a job may use, or nil if nothing restricts it.
func (z *Zones) AdmissionForJob(job *statecache.Job, admission *recovery.Admission) *JobAdmission {
	return z.AdmissionForSpec(&job.Record.Spec, admission)
}

// AdmissionForSpec is AdmissionForJob for a job of which only the spec is given.
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

// Admission returns what work below production may use of zones that are down or recovering. It is
// nil if no zone is, if there is no production work, or if the feature is off.
func (z *Zones) Admission(now time.Time) *recovery.Admission {
	if len(z.cache.Zones) == 0 || !z.schema.FeatureEnabled(features.ZoneRecoveryName) {
		return nil
	}
	zones := map[string]*recovery.Zone{}
	for id := range z.cache.Zones {
		name := statecache.ZoneOfID(id)
		if record := z.RestrictedZoneRecord(name, now); record != nil {
			zones[name] = z.recoveryZone(name, record, now)
		}
	}
	if len(zones) == 0 {
		return nil
	}
	z.countUsedMachines(zones)
	return recovery.NewAdmission(zones, z.productionTaskSizes(zones), z.catalog.MachineSizes())
}

// recoveryZone returns the state of a restricted zone as package recovery requires it.
func (z *Zones) recoveryZone(name string, record *zonehealth.Record, now time.Time) *recovery.Zone {
	zone := &recovery.Zone{
		SlowStartShare:    record.AdmissionShare(now, z.limits()),
		MachinesBefore:    float64(record.MachinesBeforeFailure),
		ReservableShare:   1,
		WaitingProduction: z.waitingProduction(name, record),
	}
	settings := &z.node.Features.ZoneRecovery
	stateAge := now.Sub(time.UnixMilli(record.SinceMS)).Seconds()
	if record.State == zonehealth.Recovering && stateAge >= settings.ProgressAfter*z.node.Settings.WorkerLease().Seconds() {
		zone.ReservableShare = 1 - settings.ProgressShare
	}
	return zone
}

// waitingProduction returns the production tasks that wait for lost machines of a zone. Those of
// shards that this controller leads come from its last observation, those of peers' shards from the
// record.
func (z *Zones) waitingProduction(zone string, record *zonehealth.Record) []zonehealth.Demand {
	var waiting []zonehealth.Demand
	ownObservations := z.observations[zone]
	for shardName, observation := range record.Observations {
		if _, observed := ownObservations[shardName]; !observed || !z.leadership.Leads(shardName) {
			waiting = append(waiting, observation.WaitingProduction...)
		}
	}
	for shardName, observation := range ownObservations {
		if z.leadership.Leads(shardName) {
			waiting = append(waiting, observation.WaitingProduction...)
		}
	}
	return waiting
}

// countUsedMachines counts the machines that work below production has used in each zone since the
// zone's state began. Tasks that were placed before and kept running are not counted.
func (z *Zones) countUsedMachines(zones map[string]*recovery.Zone) {
	sizes := z.catalog.MachineSizes()
	for host, tasks := range z.cache.Placements {
		machine := z.cache.Machines[host]
		if machine == nil || zones[machine.Zone] == nil {
			continue
		}
		stateSince := time.UnixMilli(z.cache.Zones[statecache.ZoneID(machine.Zone)].Record.SinceMS)
		for _, task := range tasks {
			job := z.cache.Jobs[task.UID]
			if job == nil || isProduction(&job.Record.Spec) {
				continue
			}
			if !job.PlacedAt(task).Before(stateSince) {
				zones[machine.Zone].UsedMachines += recovery.MachineShare(statecache.ResourcesOf(&job.Record.Spec), sizes)
			}
		}
	}
}

// productionTaskSizes returns the distinct sizes of production tasks.
func (z *Zones) productionTaskSizes(zones map[string]*recovery.Zone) []sched.Resources {
	var sizes []sched.Resources
	addSize := func(size sched.Resources) {
		if !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
	}
	for _, job := range z.cache.Jobs {
		if isProduction(&job.Record.Spec) && !job.Record.Cancelled {
			addSize(statecache.ResourcesOf(&job.Record.Spec))
		}
	}
	for _, zone := range zones {
		for _, demand := range zone.WaitingProduction {
			addSize(demand.Need)
		}
	}
	return sizes
}
