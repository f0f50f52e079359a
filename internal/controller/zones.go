package controller

import "violetturn/internal/recovery"

// zoneConstraint follows where the tasks of a job are or will be, for jobs that are to
// go together or be spread. A job of several task ranges is spread task range by
// task range: task ranges are of even size, so that half of each is half of all.
type zoneConstraint struct {
	job         *liveJob
	zone        string // of a job that goes together
	tasksByZone map[int]map[string]int
	admission   *jobAdmission // of zones that return, for work below production; nil: all are open
}

// zoneConstraintOf returns the zones of a job; admission tells what it may take of those that return.
func (sch *schedulerState) zoneConstraintOf(j *liveJob, admission *recovery.Admission) *zoneConstraint {
	z := &zoneConstraint{job: j, zone: j.record.Zone, tasksByZone: map[int]map[string]int{}, admission: sch.zones.admissionOf(j, admission)}
	if isGang(j) && j.countPlaced() == 0 {
		z.zone = "" // nothing binds its next attempt
	}
	if j.record.Spec.Spread {
		for n, ch := range j.ranges {
			for _, p := range ch.record.Placements {
				if h := sch.cache.machines[p.Host]; h != nil {
					z.count(n, h.Zone)
				}
			}
		}
	}
	return z
}

// add notes that a task of a task range goes to a zone.
func (z *zoneConstraint) add(chunk int, zone string) {
	z.count(chunk, zone)
	z.admission.admit(zone)
}

// count notes that a task of a task range is in a zone.
func (z *zoneConstraint) count(chunk int, zone string) {
	if z.job.record.Spec.Together && z.zone == "" {
		z.zone = zone
	}
	g, _ := z.job.record.SpreadGroup(chunk)
	if z.tasksByZone[g] == nil {
		z.tasksByZone[g] = map[string]int{}
	}
	z.tasksByZone[g][zone]++
}

// allows reports whether a task of a task range may go to a zone.
func (z *zoneConstraint) allows(chunk int, zone string) bool {
	r := &z.job.record.Spec
	if !z.admission.admits(zone) {
		return false
	}
	if r.Together && z.zone != "" && z.zone != zone {
		return false
	}
	g, n := z.job.record.SpreadGroup(chunk)
	return !r.Spread || z.tasksByZone[g][zone] < (n+1)/2
}
