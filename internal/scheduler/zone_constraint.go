package scheduler

import (
	"violetturn/internal/recovery"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// zoneConstraint tracks the zones of the placed and planned tasks of a job, and determines which
// zones its other tasks may use. It keeps the tasks of a single-zone job in one zone, limits how many
// tasks of a spread job are in one zone, and limits the use of zones that are down or recovering. A
// job of several task ranges is spread range by range: the ranges have even sizes, so that half of
// each makes half of all.
type zoneConstraint struct {
	job         *statecache.Job
	boundZone   string                  // of a job whose tasks go to one zone; "": not chosen yet
	tasksByZone map[int]map[string]int  // placed and planned tasks, by spread group and zone
	admission   *zonestate.JobAdmission // limits use of zones that are down or recovering; nil: no limits
}

// zoneConstraintOf returns the constraint of a job with its current placements. The admission
// limits what work below production may use in zones that are down or recovering.
func (s *Scheduler) zoneConstraintOf(job *statecache.Job, admission *recovery.Admission) *zoneConstraint {
	constraint := &zoneConstraint{
		job:         job,
		boundZone:   job.Record.Zone,
		tasksByZone: map[int]map[string]int{},
		admission:   s.zones.AdmissionForJob(job, admission),
	}
	if job.IsGang() && job.CountPlaced() == 0 {
		constraint.boundZone = "" // the next attempt may use any zone
	}
	if !job.Record.Spec.Spread {
		return constraint
	}
	for index, taskRange := range job.Ranges {
		for _, placement := range taskRange.Record.Placements {
			if machine := s.cache.Machines[placement.Host]; machine != nil {
				constraint.countTask(index, machine.Zone)
			}
		}
	}
	return constraint
}

// addTask counts a planned task in a zone and records it as admitted there.
func (c *zoneConstraint) addTask(rangeIndex int, zone string) {
	c.countTask(rangeIndex, zone)
	c.admission.RecordAdmitted(zone)
}

// countTask counts a task of a task range in a zone, and binds a job whose tasks go to one zone to it.
func (c *zoneConstraint) countTask(rangeIndex int, zone string) {
	if c.job.Record.Spec.SingleZone && c.boundZone == "" {
		c.boundZone = zone
	}
	group, _ := c.job.Record.SpreadGroup(rangeIndex)
	if c.tasksByZone[group] == nil {
		c.tasksByZone[group] = map[string]int{}
	}
	c.tasksByZone[group][zone]++
}

// allows reports whether a task of a task range may go to a zone.
func (c *zoneConstraint) allows(rangeIndex int, zone string) bool {
	spec := &c.job.Record.Spec
	if !c.admission.Admits(zone) {
		return false
	}
	if spec.SingleZone && c.boundZone != "" && c.boundZone != zone {
		return false
	}
	if !spec.Spread {
		return true
	}
	group, size := c.job.Record.SpreadGroup(rangeIndex)
	return c.tasksByZone[group][zone] < (size+1)/2
}
