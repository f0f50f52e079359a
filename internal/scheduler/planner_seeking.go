package scheduler

import (
	"cmp"
	"math"
	"slices"

	"violetturn/internal/capacity"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// seekingStage is the working data of the stage that looks for room for what found none: among
// what is being left, and among what may be preempted.
type seekingStage struct {
	openHosts  []*sched.Host // machines with room when all that is leaving has left
	ranking    *sched.Ranking
	preemption *preemption
	swaps      []capacity.Placement // with the tasks that have to leave for them
}

// seekRoom looks for room for what found none, and for better machines for cold starts.
func (p *planner) seekRoom() {
	for _, hosts := range hostsWithRoom(p.hosts, p.smallest) {
		p.seeking.openHosts = append(p.seeking.openHosts, hosts...)
	}
	slices.SortFunc(p.seeking.openHosts, func(a, b *sched.Host) int { return cmp.Compare(a.Name, b.Name) })
	p.seeking.preemption = p.scheduler.newPreemption(p.queue, p.hosts, p.now)
	p.replaceColdStarts()
	for _, job := range p.unplaced {
		p.seekRoomFor(job)
	}
	p.plan.Placements = append(p.plan.Placements, p.seeking.swaps...)
}

// preemptOptions returns machines where a job could take others' room.
func (p *planner) preemptOptions(job *waitingJob) []*preemptOption {
	if !job.searched {
		job.searched = true
		job.options = p.seeking.preemption.search(job.entry, &job.request, 2*job.entry.job.Record.Spec.Tasks+16)
	}
	return job.options
}

// assignOverVictims puts a task of the job on a machine that victims leave.
func (p *planner) assignOverVictims(job *waitingJob, rangeIndex int, chosen victimChoice) {
	host := chosen.host
	for _, victim := range chosen.tasks {
		host.Free = host.Free.Add(statecache.ResourcesOf(&p.scheduler.cache.Jobs[victim.UID].Record.Spec))
	}
	host.Free = host.Free.Sub(job.request.Need)
	job.zones.add(rangeIndex, host.Zone)
}

// replaceColdStarts has a start that would miss its objective for want of its image rather take
// the room of others where the image is, if that loses no more than two fetches; they can
// have the room that was free.
func (p *planner) replaceColdStarts() {
	for _, start := range p.coldStarts {
		placement := &p.plan.Placements[start.index]
		request := start.job.request
		request.RequireImage = true
		request.ZoneAllowed = func(zone string) bool {
			return zone == placement.Host.Zone || start.job.zones.allows(placement.RangeIndex, zone)
		}
		chosen := p.seeking.preemption.choose(p.preemptOptions(start.job), &request, 2*request.ImageFetchS)
		if chosen.found() {
			p.assignOverVictims(start.job, placement.RangeIndex, chosen)
			placement.Host, placement.Victims = chosen.host, chosen.tasks
		}
	}
}

// unassignedTasks returns the tasks of a job that room is looked for: of a gang those that have
// none yet, or all if what was found is not kept.
func (p *planner) unassignedTasks(job *waitingJob) []statecache.TaskIndex {
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

// seekRoomFor looks for room for a job's tasks that were not placed: where others are leaving,
// or else by preemption. What remains is to be rented for.
func (p *planner) seekRoomFor(job *waitingJob) {
	tasks := p.unassignedTasks(job)
	if !job.entry.led {
		p.plan.AllUnmetDemand = append(p.plan.AllUnmetDemand, sched.UnmetDemand{Request: job.request, Count: min(len(tasks), maxUnmet)})
		return
	}
	isGang := p.gangSearches[job] != nil
	var left []statecache.TaskIndex
	var stops []*statecache.PlacedTask
	p.seeking.ranking = sched.NewRanking(p.seeking.ranking, p.seeking.openHosts, &job.request)
	for _, task := range tasks {
		zoneAllowed := func(zone string) bool { return job.zones.allows(task.RangeIndex, zone) }
		if host := p.seeking.ranking.Best(zoneAllowed); host != nil {
			host.Free = host.Free.Sub(job.request.Need)
			job.zones.add(task.RangeIndex, host.Zone)
			continue
		}
		chosen := p.preemptFor(job, zoneAllowed)
		if !chosen.found() {
			left = append(left, task)
			continue
		}
		if isGang {
			stops = append(stops, chosen.tasks...)
		} else {
			swap := job.placementOf(task, chosen.host)
			swap.Victims = chosen.tasks
			p.seeking.swaps = append(p.seeking.swaps, swap)
		}
		p.assignOverVictims(job, task.RangeIndex, chosen)
		p.seeking.ranking.Add(chosen.host) // they may leave more than the task takes
	}
	p.dropFullHosts()
	if len(left) == 0 {
		p.plan.GangVictims = append(p.plan.GangVictims, stops...)
		return
	}
	if isGang {
		left = tasks // nothing is stopped for a gang that would still not be complete
	}
	left = left[:min(len(left), maxUnmet)]
	p.noteUnmet(job, append(left[:len(left):len(left)], p.rentable(job)...))
}

// preemptFor chooses the tasks that lose least by stopping for a task of a job.
func (p *planner) preemptFor(job *waitingJob, zoneAllowed func(zone string) bool) victimChoice {
	request := job.request
	request.ZoneAllowed = zoneAllowed
	return p.seeking.preemption.choose(p.preemptOptions(job), &request, math.Inf(1))
}

// dropFullHosts drops the machines that have no room for any task any more.
func (p *planner) dropFullHosts() {
	full := func(host *sched.Host) bool { return !host.Free.Fits(p.smallest) }
	p.seeking.openHosts = slices.DeleteFunc(p.seeking.openHosts, full)
}
