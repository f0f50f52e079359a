package scheduler

import (
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// maxReclaimTasks bounds the tasks of one job for which a plan tries to reclaim capacity, since
// each is compared with many machines. Machines are rented for the tasks beyond that too.
const maxReclaimTasks = 256

// maxRentalsAhead is how many machines a round of rentals may request. Beyond the tasks that fit
// on the machines that are booting, this many deferred tasks count as unmet demand.
const maxRentalsAhead = config.CloudCallsPerRun * cloud.MaxMachinesPerRental

// deferExcessTasks defers the unplaced tasks beyond maxReclaimTasks.
func (w *waitingJob) deferExcessTasks() {
	if len(w.tasks) > maxReclaimTasks {
		w.tasks, w.deferred = w.tasks[:maxReclaimTasks], w.tasks[maxReclaimTasks:]
	}
}

// deferredTasksToRentFor returns as many deferred tasks as fit on the machines that are booting,
// and up to maxRentalsAhead more. Without the latter, the first tasks of a large job on an empty
// fleet would fill the booting machines, and no more would be rented until those are up.
func (p *planner) deferredTasksToRentFor(job *waitingJob) []statecache.TaskIndex {
	if len(job.deferred) <= maxRentalsAhead {
		return job.deferred
	}
	expected := sched.CountFits(p.scheduler.freeCapacity.ProvisioningHosts(p.now, false), &job.request, len(job.deferred))
	return job.deferred[:min(len(job.deferred), expected+maxRentalsAhead)]
}

// recordUnmetDemand adds tasks without capacity to the plan. The demand is assigned to zones task
// by task: ZoneAllowed returns which zones the tasks before leave to the next one.
func (p *planner) recordUnmetDemand(job *waitingJob, tasks []statecache.TaskIndex) {
	demand := sched.UnmetDemand{Request: job.request, Count: len(tasks)}
	p.plan.AllUnmetDemand = append(p.plan.AllUnmetDemand, demand)
	next := 0
	demand.Request.ZoneAllowed = func(zone string) bool {
		return next >= len(tasks) || job.zoneConstraint.allows(tasks[next].RangeIndex, zone)
	}
	demand.OnAssigned = func(zone string) {
		job.zoneConstraint.addTask(tasks[next].RangeIndex, zone)
		next++
	}
	p.plan.UnmetDemand = append(p.plan.UnmetDemand, demand)
}
