package zonestate

import (
	"slices"
	"time"

	"violetturn/internal/recovery"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// IsRestartDelayed reports whether a task below production that its machine no longer has, and that
// was lost when its zone went down, does not start again in place yet. All at once they would
// fill the zone ahead of production work whose machines have not returned. A gang is one
// whole: it ends and starts anew by its own rules.
func (z *Zones) IsRestartDelayed(host string, task *statecache.PlacedTask, job *statecache.Job, now time.Time) bool {
	machine := z.cache.Machines[host]
	if len(z.cache.Zones) == 0 || machine == nil || job.IsGang() {
		return false
	}
	record := z.RestrictedZoneRecord(machine.Zone, now)
	if record == nil || isProduction(&job.Record.Spec) {
		return false
	}
	return job.PlacedAtMS(task) < record.LastFailedMS && !z.admitted[host]
}

// AdmittedMachines returns on which machines of recovering zones tasks start again in place, of
// those that are up, by zone: as large a share as the slow start has come to, less what the
// production work that waits there needs. They are admitted in the order of their names, so that
// another leader has the same.
func (z *Zones) AdmittedMachines(up map[string][]string, now time.Time) map[string]bool {
	admitted := map[string]bool{}
	for zone, hosts := range up {
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

// admittedShare returns on which share of a zone's machines that are up tasks start again.
func (z *Zones) admittedShare(zone string, record *zonehealth.Record, up int, now time.Time) float64 {
	sizes := z.catalog.MachineSizes()
	needed := 0.0 // machines, by the production work that waits
	for _, demand := range z.waitingProduction(zone, record) {
		needed += float64(demand.Tasks) * recovery.MachineShare(demand.Need, sizes)
	}
	all := float64(max(record.TotalObservation().Healthy, up))
	return min(record.AdmissionShare(now, z.limits()), max(all-needed, 0)/all, 1)
}
