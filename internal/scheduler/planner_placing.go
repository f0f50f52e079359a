package scheduler

import (
	"slices"

	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// placingStage is the working data of the stage that places tasks where there is room.
type placingStage struct {
	hostsByShard       map[string][]*sched.Host // those with room for the smallest request
	chooser            *sched.HostSelector
	teamUse            map[string]sched.Resources // by limited team, with what the plan adds
	provisioning       []*sched.Host              // machines on their way; nil before a gang asks
	productionReserved bool                       // the room for production work that waits is kept
}

// newPlacingStage begins the stage. Only machines with room are looked at, so that the work for
// each task is bounded by their number.
func (p *planner) newPlacingStage() placingStage {
	s := p.scheduler
	hostsByShard := hostsWithRoom(p.hosts, p.smallest)
	stage := placingStage{
		hostsByShard: hostsByShard,
		chooser:      sched.NewHostSelector(hostsByShard, s.node.Random),
		teamUse:      map[string]sched.Resources{},
	}
	for _, team := range s.node.Settings.Facts.Teams {
		if team.Limited() {
			stage.teamUse[team.Name] = s.accounts.TeamUse(team.Name)
		}
	}
	return stage
}

// exceedsQuota reports whether a team would use more than its limit.
func exceedsQuota(team config.Team, use sched.Resources) bool {
	return team.CPUsMax > 0 && use.CPUs > team.CPUsMax+quotaTolerance || team.GPUsMax > 0 && use.GPUs > team.GPUsMax+quotaTolerance
}

// placeJobs places the jobs, one weight after the other.
func (p *planner) placeJobs() {
	for rest := p.jobs; len(rest) > 0; {
		weight := rest[0].entry.weight
		end := slices.IndexFunc(rest, func(job *waitingJob) bool { return job.entry.weight != weight })
		if end < 0 {
			end = len(rest)
		}
		p.reserveForProduction(rest[:end])
		p.placeSameWeight(rest[:end])
		rest = rest[end:]
	}
}

// reserveForProduction keeps room in recovering zones for production tasks that wait for lost
// machines, before the first work below production is placed.
func (p *planner) reserveForProduction(jobs []*waitingJob) {
	below := func(job *waitingJob) bool { return job.entry.priority > zonestate.ProductionPriority }
	if !p.placing.productionReserved && slices.ContainsFunc(jobs, below) {
		p.placing.productionReserved = true
		p.admission.Reserve(p.hosts)
	}
}

// placeSameWeight places jobs of one weight: gangs first, because what one task takes may keep a
// whole gang waiting. A machine with room goes first to a job whose image it has: fetches take a
// good share of the machines' time. A starving job takes what there is.
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
			// Once only: what of a limited team lacks room counts as used, so that a
			// second look would take the limit for reached and rent nothing.
			if !job.entry.starving {
				p.placeTasks(job, false)
			}
			job.deferExcess()
		}
		if len(job.tasks) > 0 {
			p.unplaced = append(p.unplaced, job)
		}
	}
}

// placeTasks puts what it can of a job's tasks on machines, only on those with its image or
// on any, and leaves the rest. Tasks beyond the team's limit lack no room and are dropped.
func (p *planner) placeTasks(job *waitingJob, withImageOnly bool) {
	spec := &job.entry.job.Record.Spec
	team, _ := p.scheduler.node.Settings.Team(spec.Team)
	request := job.request
	request.RequireImage = withImageOnly
	p.placing.chooser.BeginJob(job.entry.job.Record.Shard, &request)
	missed := false
	missedRanges := map[int]bool{} // task ranges of which one found no room
	rest := job.tasks[:0]
	for i, task := range job.tasks {
		use := p.placing.teamUse[team.Name].Add(request.Need)
		if exceedsQuota(team, use) {
			if withImageOnly {
				rest = append(rest, job.tasks[i:]...)
			}
			break
		}
		var host *sched.Host
		if !missedRanges[task.RangeIndex] || !spec.Spread && !missed {
			host = p.placing.chooser.NextHost(func(zone string) bool { return job.zones.allows(task.RangeIndex, zone) })
		}
		if host != nil {
			p.placing.teamUse[team.Name] = use
			p.assign(job, task, host)
			continue
		}
		missedRanges[task.RangeIndex], missed = true, true
		rest = append(rest, task)
		if !withImageOnly {
			p.placing.teamUse[team.Name] = use
		}
	}
	job.tasks = rest
}

// assign places a task on a machine with room. A task of a peer's job is placed by its leader;
// its room is only kept for it.
func (p *planner) assign(job *waitingJob, task statecache.TaskIndex, host *sched.Host) {
	host.Free = host.Free.Sub(job.request.Need)
	if !host.Free.Fits(p.smallest) {
		byShard := p.placing.hostsByShard
		byShard[host.Shard] = removeHost(byShard[host.Shard], host)
	}
	job.zones.add(task.RangeIndex, host.Zone)
	if job.request.Service {
		host.ServiceTasks++
	} else {
		host.ArrayTasks++
	}
	if !job.entry.led {
		return
	}
	if job.request.PreferImage && !host.Images[job.request.Image] {
		p.coldStarts = append(p.coldStarts, coldStart{job: job, index: len(p.plan.Placements)})
	}
	p.plan.Placements = append(p.plan.Placements, job.placementOf(task, host))
}

// placeGang finds machines for all of a gang's tasks, or notes what it found.
func (p *planner) placeGang(job *waitingJob) {
	if p.gangExceedsQuota(job) {
		job.tasks = nil // what is beyond the limit lacks no room
		return
	}
	if p.placing.provisioning == nil {
		p.placing.provisioning = p.scheduler.room.ProvisioningHosts(p.now, true)
	}
	search := p.searchGangRoom(job)
	if search.isComplete() {
		if job.entry.led {
			p.plan.Gangs = append(p.plan.Gangs, search.claim())
		}
		job.tasks = nil
		return
	}
	if job.entry.led {
		p.noteGangMiss(job)
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

// gangExceedsQuota reports whether all of a gang's tasks together would exceed its team's limit,
// and counts them as used if not.
func (p *planner) gangExceedsQuota(job *waitingJob) bool {
	team, _ := p.scheduler.node.Settings.Team(job.entry.job.Record.Spec.Team)
	if !team.Limited() {
		return false
	}
	use := p.placing.teamUse[team.Name].Add(job.request.Need.Scale(float64(len(job.tasks))))
	if exceedsQuota(team, use) {
		return true
	}
	p.placing.teamUse[team.Name] = use
	return false
}

// noteGangMiss notes that a gang found no room for all its tasks. One that has claimed some
// room releases its claims after too many misses in a row, as in the paper's Algorithm 2.
func (p *planner) noteGangMiss(waiting *waitingJob) {
	s, uid := p.scheduler, waiting.entry.uid
	if waiting.entry.job.GangPhase() == job.GangReserving && s.gangs.search(uid).retry.RecordMiss(p.now) {
		s.gangs.toRelease[uid] = true
		s.wake.Notify()
	}
}
