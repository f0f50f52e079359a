package scheduler

import (
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// maxUnmet bounds the tasks of one job that room is looked for among what others have:
// each is compared with many machines. Machines are rented for the tasks beyond that too.
const maxUnmet = 256

// maxRentAhead is how many machines a round of rentals may ask for; as many tasks beyond those
// that the coming machines take are counted as unmet.
const maxRentAhead = config.CloudCallsPerRound * cloud.MaxRental

// deferExcess sets the tasks aside that are more than room is looked for.
func (w *waitingJob) deferExcess() {
	if len(w.tasks) > maxUnmet {
		w.tasks, w.deferred = w.tasks[:maxUnmet], w.tasks[maxUnmet:]
	}
}

// rentable returns as many of the tasks set aside as the machines that are coming take, and
// some more to be rented for. Otherwise a large job on an empty fleet would have its first tasks
// meet the coming machines, and wait for them to boot before more are rented.
func (p *planner) rentable(job *waitingJob) []statecache.TaskIndex {
	if len(job.deferred) <= maxRentAhead {
		return job.deferred
	}
	coming := sched.CountFits(p.scheduler.room.ProvisioningHosts(p.now, false), &job.request, len(job.deferred))
	return job.deferred[:min(len(job.deferred), coming+maxRentAhead)]
}

// noteUnmet notes tasks that lack room. Whoever rents for them asks for each in turn, with the
// zones that those before it leave.
func (p *planner) noteUnmet(job *waitingJob, left []statecache.TaskIndex) {
	unmet := sched.UnmetDemand{Request: job.request, Count: len(left)}
	p.plan.AllUnmetDemand = append(p.plan.AllUnmetDemand, unmet)
	next := 0
	unmet.Request.ZoneAllowed = func(zone string) bool {
		return next >= len(left) || job.zones.allows(left[next].RangeIndex, zone)
	}
	unmet.Assigned = func(zone string) {
		job.zones.add(left[next].RangeIndex, zone)
		next++
	}
	p.plan.UnmetDemand = append(p.plan.UnmetDemand, unmet)
}
