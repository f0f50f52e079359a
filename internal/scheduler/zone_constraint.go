package scheduler

import (
	"violetturn/internal/recovery"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// ZoneConstraint follows where the tasks of a job are or will be, for jobs that are to
// go together or be spread. A job of several task ranges is spread task range by
// task range: task ranges are of even size, so that half of each is half of all.
type ZoneConstraint struct {
	Job         *statecache.Job
	zone        string // of a job that goes together
	TasksByZone map[int]map[string]int
	admission   *zonestate.JobAdmission // of zones that return, for work below production; nil: all are open
}

// zoneConstraintOf returns the zones of a job; admission tells what it may take of those that return.
func (sch *Scheduler) zoneConstraintOf(j *statecache.Job, admission *recovery.Admission) *ZoneConstraint {
	z := &ZoneConstraint{Job: j, zone: j.Record.Zone, TasksByZone: map[int]map[string]int{}, admission: sch.zones.AdmissionOf(j, admission)}
	if j.IsGang() && j.CountPlaced() == 0 {
		z.zone = "" // nothing binds its next attempt
	}
	if j.Record.Spec.Spread {
		for n, ch := range j.Ranges {
			for _, p := range ch.Record.Placements {
				if h := sch.cache.Machines[p.Host]; h != nil {
					z.count(n, h.Zone)
				}
			}
		}
	}
	return z
}

// Add notes that a task of a task range goes to a zone.
func (z *ZoneConstraint) Add(chunk int, zone string) {
	z.count(chunk, zone)
	z.admission.Admit(zone)
}

// count notes that a task of a task range is in a zone.
func (z *ZoneConstraint) count(chunk int, zone string) {
	if z.Job.Record.Spec.Together && z.zone == "" {
		z.zone = zone
	}
	g, _ := z.Job.Record.SpreadGroup(chunk)
	if z.TasksByZone[g] == nil {
		z.TasksByZone[g] = map[string]int{}
	}
	z.TasksByZone[g][zone]++
}

// Allows reports whether a task of a task range may go to a zone.
func (z *ZoneConstraint) Allows(chunk int, zone string) bool {
	r := &z.Job.Record.Spec
	if !z.admission.Admits(zone) {
		return false
	}
	if r.Together && z.zone != "" && z.zone != zone {
		return false
	}
	g, n := z.Job.Record.SpreadGroup(chunk)
	return !r.Spread || z.TasksByZone[g][zone] < (n+1)/2
}
