package scheduler

import (
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// maxUnmet bounds the tasks of one job that room is sought for among what others have:
// each is held against many machines. What is beyond is rented for all the same.
const maxUnmet = 256

// maxRentAhead is how many machines a round of rentals may ask for, and as many tasks beyond
// what is coming are looked at.
const maxRentAhead = config.CloudCallsPerRound * cloud.MaxRental

// limitSearch sets the tasks aside that are more than room is sought for.
func (l *waitingJob) limitSearch() {
	if len(l.tasks) > maxUnmet {
		l.tasks, l.deferred = l.tasks[:maxUnmet], l.tasks[maxUnmet:]
	}
}

// rentable returns as many of the tasks set aside as the machines that are coming take, and
// some more to be rented for: or a large job on an empty fleet would have its first tasks
// meet the coming machines, and wait for them to boot before more are rented.
func (p *planner) rentable(l *waitingJob) []statecache.TaskIndex {
	if len(l.deferred) <= maxRentAhead {
		return l.deferred
	}
	coming := sched.CountFits(p.scheduler.room.ProvisioningHosts(p.now, false), &l.request, len(l.deferred))
	return l.deferred[:min(len(l.deferred), coming+maxRentAhead)]
}

// noteUnmet notes tasks that lack room. Who rents for them asks for each in turn, with the
// zones that those before it leave.
func (p *planner) noteUnmet(l *waitingJob, left []statecache.TaskIndex) {
	unmet := sched.UnmetDemand{Request: l.request, Count: len(left)}
	p.plan.AllUnmet = append(p.plan.AllUnmet, unmet)
	next := 0
	unmet.Request.ZoneAllowed = func(zone string) bool { return next >= len(left) || l.zones.Allows(left[next].RangeIndex, zone) }
	unmet.Assigned = func(zone string) {
		l.zones.Add(left[next].RangeIndex, zone)
		next++
	}
	p.plan.Unmet = append(p.plan.Unmet, unmet)
}
