package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/estimate"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// mayPreempt reports whether a job may take room from another one, which PROTOCOL lets both a
// higher priority and a guarantee do. Between teams the guarantee decides first: what is
// within one yields to no priority of another team that is beyond its own. Otherwise the one
// would take back by its guarantee what the other took by its priority, again and again.
func mayPreempt(entry *queueEntry, victim *api.Job, victimBeyondGuarantee bool) bool {
	priority := victim.Priority.Level()
	sameTeam := victim.Team == entry.job.Record.Spec.Team
	if priority > entry.priority {
		return sameTeam || entry.withinGuarantee || victimBeyondGuarantee
	}
	return !sameTeam && entry.withinGuarantee && victimBeyondGuarantee
}

// preemption finds tasks to stop for others, within one plan. It looks over the machines
// once for a kind of job, not for each job and each of its tasks. A task that was chosen is a
// candidate no more.
type preemption struct {
	scheduler       *Scheduler
	now             time.Time
	hosts           []*sched.Host
	beyondGuarantee map[string]bool // jobs beyond their teams' guarantees
	chosen          map[*statecache.PlacedTask]bool
	hostsByKind     map[preemptorKind]*victimHosts
	listsOnHost     map[*sched.Host][]*victimHost // of all kinds
}

// preemptorKind is what decides which tasks a job may stop.
type preemptorKind struct {
	priority        int
	withinGuarantee bool
	team            string
}

// victimHosts is where a kind of job may stop tasks.
type victimHosts struct {
	all     []*victimHost
	byImage map[string][]*victimHost // those that have an image, worked out when asked for
}

// victimHost is a machine where stopping tasks would make room.
type victimHost struct {
	host       *sched.Host
	candidates []sched.Victim
	tasks      []*statecache.PlacedTask // by the candidates' Ref
}

// preemptOption is a victimHost as one job sees it: what it would take, which is worked
// out anew only when something has changed on the machine.
type preemptOption struct {
	*victimHost
	hasImage bool // the job's
	selected []sched.Victim
	cost     float64 // seconds of work that are lost

	// The machine when selected was worked out.
	seenFree       sched.Resources
	seenCandidates int
}

// victimChoice is the tasks that are stopped for another one and their machine; its zero value is
// that none were found.
type victimChoice struct {
	tasks []*statecache.PlacedTask
	host  *sched.Host
}

func (c victimChoice) found() bool { return c.tasks != nil }

// best returns what a task would take there, and what that costs.
func (o *preemptOption) best(need sched.Resources) ([]sched.Victim, float64) {
	if o.seenCandidates != len(o.candidates) || o.seenFree != o.host.Free {
		o.seenCandidates, o.seenFree = len(o.candidates), o.host.Free
		o.selected, o.cost = sched.SelectVictims(o.seenFree, need, o.candidates)
	}
	return o.selected, o.cost
}

// newPreemption begins the search for tasks to stop within one plan.
func (s *Scheduler) newPreemption(queue []*queueEntry, hosts []*sched.Host, now time.Time) *preemption {
	p := &preemption{
		scheduler:       s,
		now:             now,
		hosts:           hosts,
		beyondGuarantee: map[string]bool{},
		chosen:          map[*statecache.PlacedTask]bool{},
		hostsByKind:     map[preemptorKind]*victimHosts{},
		listsOnHost:     map[*sched.Host][]*victimHost{},
	}
	for _, entry := range queue {
		p.beyondGuarantee[entry.uid] = !entry.withinGuarantee
	}
	return p
}

// hostsFor finds the machines where a kind of job may stop tasks.
func (p *preemption) hostsFor(entry *queueEntry) *victimHosts {
	kind := preemptorKind{priority: entry.priority, withinGuarantee: entry.withinGuarantee, team: entry.job.Record.Spec.Team}
	found := p.hostsByKind[kind]
	if found != nil {
		return found
	}
	found = &victimHosts{byImage: map[string][]*victimHost{}}
	p.hostsByKind[kind] = found
	for _, host := range p.hosts {
		if !p.mayHoldVictims(entry, host) {
			continue
		}
		if victims := p.victimsOn(entry, host); len(victims.candidates) > 0 {
			found.all = append(found.all, victims)
			p.listsOnHost[host] = append(p.listsOnHost[host], victims)
		}
	}
	return found
}

// mayHoldVictims reports, from the sums by priority alone, whether a machine may hold tasks that
// the job can stop: with a guarantee it may stop work of any priority.
func (p *preemption) mayHoldVictims(entry *queueEntry, host *sched.Host) bool {
	if entry.withinGuarantee {
		return true
	}
	running := p.scheduler.room.LoadOf(host.Name).RunningByPriority[:]
	lower := running[min(entry.priority+1, len(running)):]
	return slices.ContainsFunc(lower, func(used sched.Resources) bool { return used != sched.Resources{} })
}

// victimsOn lists the tasks on a machine that the job may stop.
func (p *preemption) victimsOn(entry *queueEntry, host *sched.Host) *victimHost {
	victims := &victimHost{host: host}
	only := p.newestOverplaced(host)
	for id, task := range p.scheduler.cache.Placements[host.Name] {
		job := p.scheduler.cache.Jobs[task.UID]
		switch {
		case job == nil, only != nil && only != task, job.MustStop(task.Placement), p.chosen[task]:
		case !mayPreempt(entry, &job.Record.Spec, p.beyondGuarantee[task.UID]), p.scheduler.agents.IsCompleted(host.Name, id, task):
		default:
			victims.candidates = append(victims.candidates, sched.Victim{
				Task:           id,
				FreedResources: statecache.ResourcesOf(&job.Record.Spec),
				Cost:           p.lostWork(host.Name, job, task),
				Index:          len(victims.tasks),
			})
			victims.tasks = append(victims.tasks, task)
		}
	}
	return victims
}

// withImage returns the machines that have an image.
func (v *victimHosts) withImage(image string) []*victimHost {
	hosts, known := v.byImage[image]
	if !known {
		for _, victims := range v.all {
			if victims.host.Images[image] {
				hosts = append(hosts, victims)
			}
		}
		v.byImage[image] = hosts
	}
	return hosts
}

// search returns machines where stopping tasks would make room for one of the job's, a
// bounded number of them: first those that have its image, then any, from a random one on.
func (p *preemption) search(entry *queueEntry, request *sched.TaskRequest, most int) []*preemptOption {
	hosts := p.hostsFor(entry)
	var found []*preemptOption
	for _, from := range [][]*victimHost{hosts.withImage(request.Image), hosts.all} {
		if len(from) == 0 {
			continue
		}
		first := p.scheduler.node.Random.IntN(len(from))
		imageTried := len(found) > 0 // those with the image are not to come twice
		for i := 0; i < len(from) && len(found) < most; i++ {
			victims := from[(first+i)%len(from)]
			host := victims.host
			hasImage := host.Images[request.Image]
			if imageTried && hasImage || !request.Allows(host.MachineType, host.Zone, host.Spot) {
				continue
			}
			victims = p.allowedByPolicy(entry, victims)
			if len(victims.candidates) == 0 {
				continue
			}
			option := &preemptOption{victimHost: victims, hasImage: hasImage}
			if selected, _ := option.best(request.Need); selected != nil {
				found = append(found, option)
			}
		}
	}
	return found
}

// allowedByPolicy restricts a machine's candidates to what the operators' policy lets the job
// stop.
func (p *preemption) allowedByPolicy(entry *queueEntry, victims *victimHost) *victimHost {
	if !p.scheduler.node.Policy.RestrictsPreemption() {
		return victims
	}
	forbidden := func(victim sched.Victim) bool {
		job := p.scheduler.cache.Jobs[victims.tasks[victim.Index].UID]
		priority := job.Record.Spec.Priority.Level()
		guaranteed := !p.beyondGuarantee[job.Record.Spec.UID]
		variables := p.scheduler.policyVariables(job, priority, guaranteed, p.now)
		return !p.scheduler.node.Policy.Preempt(entry.variables, variables, victim.Cost)
	}
	allowed := &victimHost{
		host:       victims.host,
		tasks:      victims.tasks,
		candidates: slices.DeleteFunc(slices.Clone(victims.candidates), forbidden),
	}
	p.listsOnHost[allowed.host] = append(p.listsOnHost[allowed.host], allowed)
	return allowed
}

// choose picks what to stop for a task: on one machine, losing least and no more
// than most.
func (p *preemption) choose(options []*preemptOption, request *sched.TaskRequest, most float64) victimChoice {
	var best *preemptOption
	bestCost := 0.0
	for _, option := range options {
		host := option.host
		if !request.Allows(host.MachineType, host.Zone, host.Spot) || request.RequireImage && !option.hasImage {
			continue
		}
		selected, cost := option.best(request.Need)
		if !option.hasImage {
			cost += request.ImageFetchS // the task waits for its image there
			if request.PreferImage {
				cost += estimate.UnlimitedSeconds // and misses its objective: any machine that has it is better
			}
		}
		if selected != nil && cost <= most && (best == nil || cost < bestCost) {
			best, bestCost = option, cost
		}
	}
	if best == nil {
		return victimChoice{}
	}
	return victimChoice{tasks: p.claim(best), host: best.host}
}

// claim chooses an option's tasks, so that they are no candidates any more.
func (p *preemption) claim(option *preemptOption) []*statecache.PlacedTask {
	var tasks []*statecache.PlacedTask
	for _, victim := range option.selected {
		task := option.tasks[victim.Index]
		tasks = append(tasks, task)
		p.chosen[task] = true
	}
	for _, victims := range p.listsOnHost[option.host] {
		chosen := func(victim sched.Victim) bool { return p.chosen[victims.tasks[victim.Index]] }
		victims.candidates = slices.DeleteFunc(victims.candidates, chosen)
	}
	return tasks
}
