package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/config"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// placementOf puts a task of a job on a machine.
func placementOf(uid string, t statecache.TaskIndex, host *sched.Host) capacity.Placement {
	return capacity.Placement{UID: uid, RangeIndex: t.RangeIndex, Index: t.Index, Host: host}
}

// Plan is what this node would do now, seen from one state of the replica.
type Plan struct {
	Placements    []capacity.Placement
	Gangs         []*GangClaim             // room for whole gangs
	Stops         []*statecache.PlacedTask // tasks that have to leave for gangs
	Unmet         []sched.UnmetDemand
	AllUnmet      []sched.UnmetDemand // what found no room at once, peers' jobs included
	ReservedHosts map[string]bool     // machines with room that waits for the rest of a gang's
	Remaining     []*sched.Host       // all machines with the room that is left after all that
}

// waitingJob is a job with tasks to place.
type waitingJob struct {
	entry   *QueueEntry
	request sched.TaskRequest
	tasks   []statecache.TaskIndex
	zones   *ZoneConstraint

	deferred []statecache.TaskIndex // of those that found no room, those that room is not sought for in this plan

	options  []*preemptOption // machines where it could take others' room, once searched
	searched bool
}

// coldStart is a placement on a machine without the image that misses its aim.
type coldStart struct {
	job   *waitingJob
	index int // in the plan's placements
}

// planner works out a plan in stages: it selects the waiting jobs, places what there is
// room for, and seeks room for the rest among what is being left and what may be
// preempted. What then still lacks room is to be rented for.
type planner struct {
	scheduler *Scheduler
	now       time.Time
	plan      *Plan
	hosts     []*sched.Host // the machines that can take tasks
	queue     []*QueueEntry
	smallest  sched.Resources // the smallest amounts that any waiting task asks for

	jobs         []*waitingJob
	hostsByShard map[string][]*sched.Host // by shard, those with room for the least
	chooser      *sched.Chooser
	teamUse      map[string]sched.Resources // by limited team, with what the plan adds

	admission *recovery.Admission // to zones that return
	reserved  bool                // their room for production that waits is kept

	coldStarts   []coldStart
	unplaced     []*waitingJob
	gangSearches map[*waitingJob]*gangSearch
	provisioning []*sched.Host // machines on their way, once asked for

	openHosts  []*sched.Host // machines with room when all that is leaving has left
	ranking    *sched.Ranking
	preemption *preemption
	swaps      []capacity.Placement // with the tasks that have to leave for them
}

// Plan places what can be placed, picks what to stop for what can't, and tells
// what then still lacks room.
func (sch *Scheduler) Plan(now time.Time) *Plan {
	began := time.Now()
	defer func() { sch.PlanningTime += time.Since(began) }()
	p := &planner{scheduler: sch, now: now, plan: &Plan{ReservedHosts: map[string]bool{}}, gangSearches: map[*waitingJob]*gangSearch{}}
	if len(sch.catalog.MachineTypes) == 0 || !sch.leadership.MayAct(now) {
		return p.plan
	}
	p.selectJobs()
	p.placeJobs()
	releaseStopping(p.hosts)
	p.plan.Remaining = p.hosts
	if len(p.unplaced) > 0 || len(p.coldStarts) > 0 {
		p.findOpenRoom()
		p.replaceColdStarts()
		for _, l := range p.unplaced {
			p.findRoom(l)
		}
		p.plan.Placements = append(p.plan.Placements, p.swaps...)
	}
	return p.plan
}

// selectJobs lists the jobs with tasks to place, in the order in which they are served.
func (p *planner) selectJobs() {
	p.hosts = p.scheduler.SchedulableHosts(p.now)
	p.admission = p.scheduler.zones.Admission(p.now)
	p.queue = p.scheduler.queue(p.now)
	p.smallest = smallestRequest(p.queue)
	p.hostsByShard = hostsWithRoom(p.hosts, p.smallest) // only those with room: work per task is bounded by them
	p.chooser = sched.NewChooser(p.hostsByShard, p.scheduler.node.Random)
	p.teamUse = map[string]sched.Resources{}
	for _, team := range p.scheduler.node.Settings.Facts.Teams {
		if team.Limited() {
			p.teamUse[team.Name] = p.scheduler.capacity.TeamUse(team.Name)
		}
	}
	for _, q := range p.queue {
		r := &q.Job.Record.Spec
		if q.led && p.scheduler.IsBackingOff(q, p.now) || p.scheduler.schema.IsBlocked(q.Job) || len(q.Job.PendingTasks()) == 0 {
			continue
		}
		ask := statecache.TaskRequestOf(r)
		ask.FetchS = p.scheduler.catalog.FetchSeconds(r)
		// Fetches may be a third slower than told.
		ask.PreferImage = p.scheduler.estimates.WaitingSlack(r.Class, r, 1.5*ask.FetchS) < p.scheduler.node.Settings.HeartbeatInterval().Seconds()
		p.jobs = append(
			p.jobs,
			&waitingJob{entry: q, request: ask, zones: p.scheduler.zoneConstraintOf(q.Job, p.admission), tasks: slices.Clone(q.Job.PendingTasks())},
		)
	}
}

// placeJobs places the jobs, one weight after the other.
func (p *planner) placeJobs() {
	for rest := p.jobs; len(rest) > 0; {
		weight := rest[0].entry.weight
		end := slices.IndexFunc(rest, func(l *waitingJob) bool { return l.entry.weight != weight })
		if end < 0 {
			end = len(rest)
		}
		p.reserveForProduction(rest[:end])
		p.placeSameWeight(rest[:end])
		rest = rest[end:]
	}
}

// reserveForProduction keeps room in zones that return for production tasks that wait for lost
// machines, before the first work below production is placed.
func (p *planner) reserveForProduction(jobs []*waitingJob) {
	below := slices.ContainsFunc(jobs, func(l *waitingJob) bool { return l.entry.Priority > zonestate.ProductionPriority })
	if below && !p.reserved {
		p.reserved = true
		p.admission.Reserve(p.hosts)
	}
}

// placeSameWeight places jobs of one weight. A machine with room goes first to one whose image
// it has: fetches take a good part of the machines' time. One that starves takes what
// there is.
func (p *planner) placeSameWeight(jobs []*waitingJob) {
	for _, l := range jobs { // gangs first: what one task takes here may keep a whole one waiting
		if l.entry.Job.IsGang() {
			p.placeGang(l)
		}
	}
	for _, l := range jobs {
		if !l.entry.Job.IsGang() {
			p.placeTasks(l, !l.entry.starving)
		}
	}
	for _, l := range jobs {
		if !l.entry.Job.IsGang() {
			// Once only: what of a limited team lacks room counts as used, so that a
			// second look would take the limit for reached and rent nothing.
			if !l.entry.starving {
				p.placeTasks(l, false)
			}
			l.limitSearch()
		}
		if len(l.tasks) > 0 {
			p.unplaced = append(p.unplaced, l)
		}
	}
}

// exceedsQuota reports whether a team would use more than its limit.
func exceedsQuota(team config.Team, use sched.Resources) bool {
	const eps = 1e-6 // sums of decimal fractions are not exact
	return team.CPUsMax > 0 && use.CPUs > team.CPUsMax+eps || team.GPUsMax > 0 && use.GPUs > team.GPUsMax+eps
}

// placeTasks puts what it can of a job's tasks on machines, those with its image only or
// any, and leaves the rest.
func (p *planner) placeTasks(l *waitingJob, warm bool) {
	r := &l.entry.Job.Record.Spec
	team, _ := p.scheduler.node.Settings.Team(r.Team)
	ask := l.request
	ask.RequireImage = warm
	p.chooser.Begin(l.entry.Job.Record.Shard, &ask)
	misses := map[int]bool{} // by task range
	missed := false
	rest := l.tasks[:0]
	for i, t := range l.tasks {
		use := p.teamUse[team.Name].Add(ask.Need)
		if exceedsQuota(team, use) {
			if warm {
				rest = append(rest, l.tasks[i:]...)
			}
			break // what is beyond the limit lacks no room
		}
		var h *sched.Host
		if !misses[t.RangeIndex] || !r.Spread && !missed {
			h = p.chooser.Next(func(zone string) bool { return l.zones.Allows(t.RangeIndex, zone) })
		}
		if h != nil {
			p.teamUse[team.Name] = use
			p.assign(l, t, h)
			continue
		}
		misses[t.RangeIndex], missed = true, true
		if rest = append(rest, t); !warm {
			p.teamUse[team.Name] = use
		}
	}
	l.tasks = rest
}

// assign places a task on a machine with room.
func (p *planner) assign(l *waitingJob, t statecache.TaskIndex, h *sched.Host) {
	h.Free = h.Free.Sub(l.request.Need)
	if !h.Free.Fits(p.smallest) {
		p.hostsByShard[h.Shard] = removeHost(p.hostsByShard[h.Shard], h)
	}
	l.zones.Add(t.RangeIndex, h.Zone)
	if l.request.Service {
		h.Services++
	} else {
		h.Arrays++
	}
	if !l.entry.led {
		return // its leader places it; its room is kept for it
	}
	if l.request.PreferImage && !h.Images[l.request.Image] {
		p.coldStarts = append(p.coldStarts, coldStart{l, len(p.plan.Placements)})
	}
	p.plan.Placements = append(p.plan.Placements, placementOf(l.entry.UID, t, h))
}

// placeGang finds machines for all of a gang's tasks, or notes what it found.
func (p *planner) placeGang(l *waitingJob) {
	if team, _ := p.scheduler.node.Settings.Team(l.entry.Job.Record.Spec.Team); team.Limited() {
		use := p.teamUse[team.Name].Add(l.request.Need.Scale(float64(len(l.tasks))))
		if exceedsQuota(team, use) {
			l.tasks = nil // what is beyond the limit lacks no room
			return
		}
		p.teamUse[team.Name] = use
	}
	if p.provisioning == nil {
		p.provisioning = p.scheduler.room.ProvisioningHosts(p.now, true)
	}
	x := p.scheduler.findGangRoom(l, p.hostsByShard, p.hosts, p.provisioning, p.now)
	if sched.CountUnassigned(x.hosts) == 0 {
		if l.entry.led {
			p.plan.Gangs = append(p.plan.Gangs, x.claim())
		}
		l.tasks = nil
		return
	}
	if l.entry.led {
		p.scheduler.noteGangMiss(x, p.now)
	}
	for _, h := range x.hosts {
		if h != nil && x.reserved {
			p.plan.ReservedHosts[h.Name] = true
		}
	}
	p.gangSearches[l] = x
}

// findOpenRoom finds the machines that have room once all that is leaving has left.
func (p *planner) findOpenRoom() {
	for _, hosts := range hostsWithRoom(p.hosts, p.smallest) {
		p.openHosts = append(p.openHosts, hosts...)
	}
	slices.SortFunc(p.openHosts, func(a, b *sched.Host) int { return cmp.Compare(a.Name, b.Name) })
	p.preemption = p.scheduler.newPreemption(p.queue, p.hosts, p.now)
}

// preemptOptions returns machines where a job could take others' room.
func (p *planner) preemptOptions(l *waitingJob) []*preemptOption {
	if !l.searched {
		l.searched = true
		l.options = p.preemption.search(l.entry, &l.request, 2*l.entry.Job.Record.Spec.Tasks+16)
	}
	return l.options
}

// assignOverVictims puts a task of the job on a machine that victims leave.
func (p *planner) assignOverVictims(l *waitingJob, chunk int, victims []*statecache.PlacedTask, h *sched.Host) {
	for _, v := range victims {
		h.Free = h.Free.Add(statecache.ResourcesOf(&p.scheduler.cache.Jobs[v.UID].Record.Spec))
	}
	h.Free = h.Free.Sub(l.request.Need)
	l.zones.Add(chunk, h.Zone)
}

// replaceColdStarts has a start that would miss its aim for want of its image rather take
// the room of others where the image is, if that loses no more than two fetches; they can
// have the room that was free.
func (p *planner) replaceColdStarts() {
	for _, x := range p.coldStarts {
		place := &p.plan.Placements[x.index]
		ask := x.job.request
		ask.RequireImage = true
		ask.ZoneAllowed = func(zone string) bool { return zone == place.Host.Zone || x.job.zones.Allows(place.RangeIndex, zone) }
		if victims, h := p.preemption.victims(p.preemptOptions(x.job), &ask, 2*ask.FetchS); victims != nil {
			p.assignOverVictims(x.job, place.RangeIndex, victims, h)
			place.Host, place.Victims = h, victims
		}
	}
}

// unassignedTasks returns the tasks of a job that room is sought for: of a gang those that have
// none yet, or all if what was found is not kept.
func (p *planner) unassignedTasks(l *waitingJob) []statecache.TaskIndex {
	search := p.gangSearches[l]
	if search == nil {
		return l.tasks
	}
	var tasks []statecache.TaskIndex
	for i, h := range search.hosts {
		if h == nil || !search.reserved {
			tasks = append(tasks, l.tasks[i])
		}
	}
	return tasks
}

// findRoom finds room for a job's tasks that were not placed: where others are leaving,
// or else by preemption. What remains is to be rented for.
func (p *planner) findRoom(l *waitingJob) {
	tasks := p.unassignedTasks(l)
	if !l.entry.led {
		p.plan.AllUnmet = append(p.plan.AllUnmet, sched.UnmetDemand{Request: l.request, Count: min(len(tasks), maxUnmet)})
		return
	}
	gang := p.gangSearches[l] != nil
	var left []statecache.TaskIndex
	var stops []*statecache.PlacedTask
	p.ranking = sched.Rank(p.ranking, p.openHosts, &l.request)
	for _, t := range tasks {
		ask := l.request
		ask.ZoneAllowed = func(zone string) bool { return l.zones.Allows(t.RangeIndex, zone) }
		if h := p.ranking.Best(ask.ZoneAllowed); h != nil {
			h.Free = h.Free.Sub(ask.Need)
			l.zones.Add(t.RangeIndex, h.Zone)
			continue
		}
		victims, h := p.preemption.victims(p.preemptOptions(l), &ask, math.Inf(1))
		if victims == nil {
			left = append(left, t)
			continue
		}
		if gang {
			stops = append(stops, victims...)
		} else {
			swap := placementOf(l.entry.UID, t, h)
			swap.Victims = victims
			p.swaps = append(p.swaps, swap)
		}
		p.assignOverVictims(l, t.RangeIndex, victims, h)
		p.ranking.Add(h) // they may leave more than the task takes
	}
	p.openHosts = slices.DeleteFunc(p.openHosts, func(h *sched.Host) bool { return !h.Free.Fits(p.smallest) })
	if len(left) == 0 {
		p.plan.Stops = append(p.plan.Stops, stops...)
		return
	}
	if gang {
		left = tasks // nobody is stopped for a gang that would still not be complete
	}
	left = left[:min(len(left), maxUnmet)]
	p.noteUnmet(l, append(left[:len(left):len(left)], p.rentable(l)...))
}
