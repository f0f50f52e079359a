package scheduler

import (
	"slices"

	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// placementStage is the working data of the stage that places tasks on free capacity.
type placementStage struct {
	hostsByShard       map[string][]*sched.Host   // machines with capacity for the smallest request
	selector           *sched.HostSelector        // selects a machine for each task
	teamUsage          map[string]sched.Resources // by team with a limit; includes this plan's placements
	provisioning       []*sched.Host              // machines that are still booting; nil until the first gang needs them
	productionReserved bool                       // whether capacity is reserved for waiting production tasks
}

// newPlacementStage initializes the stage. Only machines with capacity for the smallest request are
// considered, so that the work for each task is bounded by their number.
func (p *planner) newPlacementStage() placementStage {
	s := p.scheduler
	hostsByShard := hostsWithCapacity(p.hosts, p.smallestRequest)
	stage := placementStage{
		hostsByShard: hostsByShard,
		selector:     sched.NewHostSelector(hostsByShard, s.node.Random),
		teamUsage:    map[string]sched.Resources{},
	}
	for _, team := range s.node.Settings.Facts.Teams {
		if team.HasLimit() {
			stage.teamUsage[team.Name] = s.accounting.TeamUsage(team.Name)
		}
	}
	return stage
}

// exceedsQuota reports whether a usage exceeds the team's limit.
func exceedsQuota(team config.Team, usage sched.Resources) bool {
	return team.MaxCPUs > 0 && usage.CPUs > team.MaxCPUs+quotaTolerance || team.MaxGPUs > 0 && usage.GPUs > team.MaxGPUs+quotaTolerance
}

// placeJobs places the jobs, one weight after the other.
func (p *planner) placeJobs() {
	for remaining := p.jobs; len(remaining) > 0; {
		weight := remaining[0].entry.weight
		end := slices.IndexFunc(remaining, func(job *waitingJob) bool { return job.entry.weight != weight })
		if end < 0 {
			end = len(remaining)
		}
		p.reserveForProduction(remaining[:end])
		p.placeSameWeight(remaining[:end])
		remaining = remaining[end:]
	}
}

// reserveForProduction reserves capacity in recovering zones for production tasks that wait for
// lost machines, before the first job below production is placed.
func (p *planner) reserveForProduction(jobs []*waitingJob) {
	isBelowProduction := func(job *waitingJob) bool { return job.entry.priority > zonestate.ProductionPriority }
	if !p.placementStage.productionReserved && slices.ContainsFunc(jobs, isBelowProduction) {
		p.placementStage.productionReserved = true
		p.admission.Reserve(p.hosts)
	}
}

// placeSameWeight places jobs of one weight. Gangs come first, because a single task could take
// the capacity that a whole gang waits for. Then each free machine is offered first to jobs whose
// image it has, since image fetches take a considerable share of the machines' time. The tasks of a
// starving job are placed on any machine at once.
func (p *planner) placeSameWeight(jobs []*waitingJob) {
	for _, job := range jobs {
		if job.entry.job.IsGang() {
			p.placeGang(job)
		}
	}
	for _, job := range jobs {
		if !job.entry.job.IsGang() {
			p.placeTasks(job, !job.entry.starving)
		}
	}
	for _, job := range jobs {
		if !job.entry.job.IsGang() {
			// A job gets only one pass over all machines. That pass adds unplaced tasks to the usage
			// of their team too, so a second pass would find the team's limit exceeded and no machine
			// would be rented.
			if !job.entry.starving {
				p.placeTasks(job, false)
			}
			job.deferExcessTasks()
		}
		if len(job.tasks) > 0 {
			p.unplaced = append(p.unplaced, job)
		}
	}
}

// placeTasks places as many of a job's tasks as fit, either only on machines that have its image or on
// any, and leaves the rest in the job's list. Tasks beyond the team's limit are no unmet demand: the
// pass over all machines removes them from the list.
func (p *planner) placeTasks(job *waitingJob, withImageOnly bool) {
	spec := &job.entry.job.Record.Spec
	team, _ := p.scheduler.node.Settings.Team(spec.Team)
	request := job.request
	request.RequireImage = withImageOnly
	p.placementStage.selector.BeginJob(job.entry.job.Record.Shard, &request)
	anyUnplaced := false
	unplacedRanges := map[int]bool{} // task ranges with a task that did not fit
	remaining := job.tasks[:0]
	for i, task := range job.tasks {
		usage := p.placementStage.teamUsage[team.Name].Add(request.Need)
		if exceedsQuota(team, usage) {
			if withImageOnly {
				remaining = append(remaining, job.tasks[i:]...)
			}
			break
		}
		var host *sched.Host
		if !unplacedRanges[task.RangeIndex] || !spec.Spread && !anyUnplaced {
			host = p.placementStage.selector.NextHost(func(zone string) bool { return job.zoneConstraint.allows(task.RangeIndex, zone) })
		}
		if host != nil {
			p.placementStage.teamUsage[team.Name] = usage
			p.placeTask(job, task, host)
			continue
		}
		unplacedRanges[task.RangeIndex], anyUnplaced = true, true
		remaining = append(remaining, task)
		if !withImageOnly {
			p.placementStage.teamUsage[team.Name] = usage
		}
	}
	job.tasks = remaining
}

// placeTask places a task on a machine with capacity for it. For a task of a peer's job it only
// holds back the capacity, since the leader of the job's shard places the task.
func (p *planner) placeTask(job *waitingJob, task statecache.TaskIndex, host *sched.Host) {
	host.Free = host.Free.Sub(job.request.Need)
	if !host.Free.Fits(p.smallestRequest) {
		byShard := p.placementStage.hostsByShard
		byShard[host.Shard] = removeHost(byShard[host.Shard], host)
	}
	job.zoneConstraint.addTask(task.RangeIndex, host.Zone)
	if job.request.Service {
		host.ServiceTasks++
	} else {
		host.OtherTasks++
	}
	if !job.entry.ledLocally {
		return
	}
	if job.request.PreferImage && !host.Images[job.request.Image] {
		p.coldStarts = append(p.coldStarts, coldStart{job: job, placementIndex: len(p.plan.Placements)})
	}
	p.plan.Placements = append(p.plan.Placements, job.placementOf(task, host))
}

// placeGang finds machines for all unplaced tasks of a gang. If they do not all fit, it keeps the
// search for the reclaim stage. For a peer's gang it only holds back the capacity.
func (p *planner) placeGang(job *waitingJob) {
	if p.gangExceedsQuota(job) {
		job.tasks = nil // tasks beyond the limit are no unmet demand
		return
	}
	if p.placementStage.provisioning == nil {
		p.placementStage.provisioning = p.scheduler.capacityCalculator.ProvisioningHosts(p.now, true)
	}
	search := p.searchGangCapacity(job)
	if search.isComplete() {
		if job.entry.ledLocally {
			p.plan.GangClaims = append(p.plan.GangClaims, search.claim())
		}
		job.tasks = nil
		return
	}
	if job.entry.ledLocally {
		p.recordGangMiss(job)
	}
	if search.reserved {
		for _, host := range search.best.hosts {
			if host != nil {
				p.plan.ReservedHosts[host.Name] = true
			}
		}
	}
	p.gangSearches[job] = search
}

// gangExceedsQuota reports whether the unplaced tasks of a gang together would exceed its team's
// limit. If not, it adds them to the team's usage.
func (p *planner) gangExceedsQuota(job *waitingJob) bool {
	team, _ := p.scheduler.node.Settings.Team(job.entry.job.Record.Spec.Team)
	if !team.HasLimit() {
		return false
	}
	usage := p.placementStage.teamUsage[team.Name].Add(job.request.Need.Scale(float64(len(job.tasks))))
	if exceedsQuota(team, usage) {
		return true
	}
	p.placementStage.teamUsage[team.Name] = usage
	return false
}

// recordGangMiss records that a gang that holds claims did not fit. After too many misses in a row it
// marks the gang's claims for release, as in the paper's Algorithm 2.
func (p *planner) recordGangMiss(waitingGang *waitingJob) {
	s, uid := p.scheduler, waitingGang.entry.uid
	if waitingGang.entry.job.GangPhase() == job.GangReserving && s.gangs.searchState(uid).retry.RecordMiss(p.now) {
		s.gangs.toRelease[uid] = true
		s.wake.Notify()
	}
}
