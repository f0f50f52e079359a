package scheduler

import (
	"violetturn/internal/recovery"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// zoneConstraint follows which zones the tasks of a job are or will be in, and which zones that
// leaves to the others: for jobs whose tasks go to one zone together, and jobs that are spread
// over zones. A job of several task ranges is spread task range by task range: they are of even
// size, so that half of each is half of all.
type zoneConstraint struct {
	job       *statecache.Job
	zone      string                  // of a job whose tasks go together; "": not chosen yet
	tasks     map[int]map[string]int  // placed and planned tasks, by spread group and zone
	admission *zonestate.JobAdmission // to zones that are down or recovering; nil: all are open
}

// zoneConstraintOf returns the constraint of a job as it is placed now; admission says what work
// below production may take of zones that are down or recovering.
func (s *Scheduler) zoneConstraintOf(job *statecache.Job, admission *recovery.Admission) *zoneConstraint {
	constraint := &zoneConstraint{
		job:       job,
		zone:      job.Record.Zone,
		tasks:     map[int]map[string]int{},
		admission: s.zones.AdmissionForJob(job, admission),
	}
	if job.IsGang() && job.CountPlaced() == 0 {
		constraint.zone = "" // nothing binds its next attempt
	}
	if !job.Record.Spec.Spread {
		return constraint
	}
	for index, taskRange := range job.Ranges {
		for _, placement := range taskRange.Record.Placements {
			if machine := s.cache.Machines[placement.Host]; machine != nil {
				constraint.count(index, machine.Zone)
			}
		}
	}
	return constraint
}

// add notes that a task of a task range is planned in a zone.
func (c *zoneConstraint) add(rangeIndex int, zone string) {
	c.count(rangeIndex, zone)
	c.admission.RecordAdmitted(zone)
}

// count notes that a task of a task range is in a zone.
func (c *zoneConstraint) count(rangeIndex int, zone string) {
	if c.job.Record.Spec.Together && c.zone == "" {
		c.zone = zone
	}
	group, _ := c.job.Record.SpreadGroup(rangeIndex)
	if c.tasks[group] == nil {
		c.tasks[group] = map[string]int{}
	}
	c.tasks[group][zone]++
}

// allows reports whether a task of a task range may go to a zone.
func (c *zoneConstraint) allows(rangeIndex int, zone string) bool {
	spec := &c.job.Record.Spec
	if !c.admission.Admits(zone) {
		return false
	}
	if spec.Together && c.zone != "" && c.zone != zone {
		return false
	}
	if !spec.Spread {
		return true
	}
	group, size := c.job.Record.SpreadGroup(rangeIndex)
	return c.tasks[group][zone] < (size+1)/2
}
