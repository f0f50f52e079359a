package scheduler

import (
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// maxReclaimTasks bounds the tasks of one job for which a plan tries to reclaim capacity, since
// each is compared with many machines. Machines are rented for deferred tasks, those beyond the
// bound, as well.
const maxReclaimTasks = 256

// maxRentalsAhead is how many machines one run of the autoscaler may rent. Beyond the deferred tasks
// that fit on the provisioning machines, this many count as unmet demand.
const maxRentalsAhead = config.CloudCallsPerRun * cloud.MaxMachinesPerRental

// deferExcessTasks defers the unplaced tasks beyond maxReclaimTasks.
func (w *waitingJob) deferExcessTasks() {
	if len(w.tasks) > maxReclaimTasks {
		w.tasks, w.deferred = w.tasks[:maxReclaimTasks], w.tasks[maxReclaimTasks:]
	}
}

// deferredTasksToRentFor returns as many deferred tasks as fit on the provisioning machines, and up
// to maxRentalsAhead more. Without the latter, the first tasks of a large job in an empty cluster
// would fill the provisioning machines, and no more would be rented until those have booted.
func (p *planner) deferredTasksToRentFor(job *waitingJob) []statecache.TaskIndex {
	if len(job.deferred) <= maxRentalsAhead {
		return job.deferred
	}
	expected := sched.CountFits(p.scheduler.capacityCalculator.ProvisioningHosts(p.now, false), &job.request, len(job.deferred))
	return job.deferred[:min(len(job.deferred), expected+maxRentalsAhead)]
}

// recordUnmetDemand adds tasks without capacity to the plan's unmet demand. The caller that rents
// machines assigns the tasks to zones one by one: ZoneAllowed reports whether the next task may go to
// a zone, given the zones of those before it.
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
