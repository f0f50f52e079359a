package scheduler

import (
	"cmp"
	"math"
	"slices"

	"violetturn/internal/capacity"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// reclaimStage is the working data of the stage that finds capacity for unplaced tasks: the capacity
// of stopping tasks, and that of tasks that may be preempted.
type reclaimStage struct {
	candidateHosts       []*sched.Host // machines with free capacity once all stopping tasks have ended
	ranking              *sched.Ranking
	preemption           *preemption
	preemptingPlacements []capacity.Placement // placements with victims
}

// reclaimCapacity finds capacity for unplaced tasks, and better machines for cold starts.
func (p *planner) reclaimCapacity() {
	for _, hosts := range hostsWithCapacity(p.hosts, p.smallestRequest) {
		p.reclaimStage.candidateHosts = append(p.reclaimStage.candidateHosts, hosts...)
	}
	slices.SortFunc(p.reclaimStage.candidateHosts, func(a, b *sched.Host) int { return cmp.Compare(a.Name, b.Name) })
	p.reclaimStage.preemption = p.scheduler.newPreemption(p.queue, p.hosts, p.now)
	p.preemptForColdStarts()
	for _, job := range p.unplaced {
		p.reclaimCapacityFor(job)
	}
	p.plan.Placements = append(p.plan.Placements, p.reclaimStage.preemptingPlacements...)
}

// preemptOptions returns the machines where a job could preempt tasks, computed at the first call.
func (p *planner) preemptOptions(job *waitingJob) []*preemptOption {
	if !job.preemptOptionsComputed {
		job.preemptOptionsComputed = true
		job.preemptOptions = p.reclaimStage.preemption.findOptions(job.entry, &job.request, 2*job.entry.job.Record.Spec.Tasks+16)
	}
	return job.preemptOptions
}

// placeInsteadOfVictims places a task of the job on the machine on which its victims free capacity.
func (p *planner) placeInsteadOfVictims(job *waitingJob, rangeIndex int, choice victimChoice) {
	host := choice.host
	for _, victim := range choice.tasks {
		host.Free = host.Free.Add(statecache.ResourcesOf(&p.scheduler.cache.Jobs[victim.UID].Record.Spec))
	}
	host.Free = host.Free.Sub(job.request.Need)
	job.zoneConstraint.addTask(rangeIndex, host.Zone)
}

// preemptForColdStarts moves each cold start to a machine that has the image and preempts tasks
// there, if that costs no more than two image fetches. The victims can restart on the capacity that
// the cold start leaves free.
func (p *planner) preemptForColdStarts() {
	for _, start := range p.coldStarts {
		placement := &p.plan.Placements[start.placementIndex]
		request := start.job.request
		request.RequireImage = true
		request.ZoneAllowed = func(zone string) bool {
			return zone == placement.Host.Zone || start.job.zoneConstraint.allows(placement.RangeIndex, zone)
		}
		choice := p.reclaimStage.preemption.chooseVictims(p.preemptOptions(start.job), &request, 2*request.ImageFetchS)
		if choice.found() {
			p.placeInsteadOfVictims(start.job, placement.RangeIndex, choice)
			placement.Host, placement.Victims = choice.host, choice.tasks
		}
	}
}

// unplacedTasks returns the tasks of a job that need capacity. Of a gang these are the tasks for
// which no machine was found, or all its unplaced tasks if the machines found are not reserved.
func (p *planner) unplacedTasks(job *waitingJob) []statecache.TaskIndex {
	search := p.gangSearches[job]
	if search == nil {
		return job.tasks
	}
	var tasks []statecache.TaskIndex
	for i, host := range search.best.hosts {
		if host == nil || !search.reserved {
			tasks = append(tasks, job.tasks[i])
		}
	}
	return tasks
}

// reclaimCapacityFor finds capacity for the unplaced tasks of a job: that of stopping tasks, or else
// by preemption. The tasks that remain become unmet demand, for which machines are rented.
func (p *planner) reclaimCapacityFor(job *waitingJob) {
	tasks := p.unplacedTasks(job)
	if !job.entry.ledLocally {
		p.plan.AllUnmetDemand = append(p.plan.AllUnmetDemand,
			sched.UnmetDemand{Request: job.request, Count: min(len(tasks), maxReclaimTasks)})
		return
	}
	isGang := p.gangSearches[job] != nil
	var unmetTasks []statecache.TaskIndex
	var victims []*statecache.PlacedTask
	p.reclaimStage.ranking = sched.NewRanking(p.reclaimStage.ranking, p.reclaimStage.candidateHosts, &job.request)
	for _, task := range tasks {
		zoneAllowed := func(zone string) bool { return job.zoneConstraint.allows(task.RangeIndex, zone) }
		if host := p.reclaimStage.ranking.Best(zoneAllowed); host != nil {
			host.Free = host.Free.Sub(job.request.Need)
			job.zoneConstraint.addTask(task.RangeIndex, host.Zone)
			continue
		}
		choice := p.preemptFor(job, zoneAllowed)
		if !choice.found() {
			unmetTasks = append(unmetTasks, task)
			continue
		}
		if isGang {
			victims = append(victims, choice.tasks...)
		} else {
			placement := job.placementOf(task, choice.host)
			placement.Victims = choice.tasks
			p.reclaimStage.preemptingPlacements = append(p.reclaimStage.preemptingPlacements, placement)
		}
		p.placeInsteadOfVictims(job, task.RangeIndex, choice)
		p.reclaimStage.ranking.Add(choice.host) // the victims may free more than the task needs
	}
	p.removeFullHosts()
	if len(unmetTasks) == 0 {
		p.plan.GangVictims = append(p.plan.GangVictims, victims...)
		return
	}
	if isGang {
		unmetTasks = tasks // no task is stopped for a gang that would still be incomplete
	}
	unmetTasks = unmetTasks[:min(len(unmetTasks), maxReclaimTasks)]
	p.recordUnmetDemand(job, append(unmetTasks[:len(unmetTasks):len(unmetTasks)], p.deferredTasksToRentFor(job)...))
}

// preemptFor selects the tasks whose stop for a task of the job loses the least work.
func (p *planner) preemptFor(job *waitingJob, zoneAllowed func(zone string) bool) victimChoice {
	request := job.request
	request.ZoneAllowed = zoneAllowed
	return p.reclaimStage.preemption.chooseVictims(p.preemptOptions(job), &request, math.Inf(1))
}

// removeFullHosts removes the machines that no longer have capacity for any task from
// candidateHosts.
func (p *planner) removeFullHosts() {
	isFull := func(host *sched.Host) bool { return !host.Free.Fits(p.smallestRequest) }
	p.reclaimStage.candidateHosts = slices.DeleteFunc(p.reclaimStage.candidateHosts, isFull)
}
