package zonestate

import (
	"slices"
	"time"

	"violetturn/internal/recovery"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// IsRestartDelayed reports whether a task that was lost with its zone must not restart in place yet:
// it is below production and was placed before the zone went down, and its machine is not admitted
// yet. The caller checks that the task does not run on its machine any more. If all such tasks
// restarted at once, they would fill the zone before production work whose machines have not
// returned. Gangs are exempt: a gang ends and restarts as a whole by its own rules.
func (z *Zones) IsRestartDelayed(host string, task *statecache.PlacedTask, job *statecache.Job, now time.Time) bool {
	machine := z.cache.Machines[host]
	if len(z.cache.Zones) == 0 || machine == nil || job.IsGang() {
		return false
	}
	record := z.RestrictedZoneRecord(machine.Zone, now)
	if record == nil || isProduction(&job.Record.Spec) {
		return false
	}
	return job.PlacedAt(task).Before(time.UnixMilli(record.LastFailedMS)) && !z.admittedHosts[host]
}

// AdmittedMachines returns the machines of restricted zones on which tasks may restart in place, out
// of the given healthy machines, by zone. In each zone that is the current share of the slow start, or
// what the waiting production work leaves if that is less. Machines are admitted in the order of their
// names, so that another leader admits the same ones.
func (z *Zones) AdmittedMachines(healthyHosts map[string][]string, now time.Time) map[string]bool {
	admitted := map[string]bool{}
	for zone, hosts := range healthyHosts {
		record := z.RestrictedZoneRecord(zone, now)
		if record == nil {
			continue
		}
		share := z.admittedShare(zone, record, len(hosts), now)
		slices.Sort(hosts)
		for _, host := range hosts[:int(share*float64(len(hosts)))] {
			admitted[host] = true
		}
	}
	return admitted
}

// admittedShare returns the share of a zone's healthy machines on which tasks may restart.
func (z *Zones) admittedShare(zone string, record *zonehealth.Record, healthyCount int, now time.Time) float64 {
	sizes := z.catalog.MachineSizes()
	neededMachines := 0.0 // machines that the waiting production work needs
	for _, demand := range z.waitingProduction(zone, record) {
		neededMachines += float64(demand.Tasks) * recovery.MachineShare(demand.Need, sizes)
	}
	healthyMachines := float64(max(record.TotalObservation().Healthy, healthyCount))
	return min(record.AdmissionShare(now, z.limits()), max(healthyMachines-neededMachines, 0)/healthyMachines, 1)
}
