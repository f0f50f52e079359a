package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/estimate"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// mayPreempt reports whether a job may preempt tasks of another. PROTOCOL allows this both by a
// higher priority and by a team's guarantee. Between teams the guarantee decides first: a job within
// its team's guarantee is not preempted by a job of another team that is beyond its own guarantee,
// whatever the priorities. Otherwise the two would preempt each other again and again, one by its
// guarantee and the other by its priority.
func mayPreempt(preemptor *queueEntry, victim *api.Job, victimBeyondGuarantee bool) bool {
	priority := victim.Priority.Level()
	sameTeam := victim.Team == preemptor.job.Record.Spec.Team
	if priority > preemptor.priority {
		return sameTeam || preemptor.withinGuarantee || victimBeyondGuarantee
	}
	return !sameTeam && preemptor.withinGuarantee && victimBeyondGuarantee
}

// preemption selects tasks to stop for others, within one plan. It scans the machines once for
// each kind of preempting job, not for each job and task. A selected task is no longer a
// candidate.
type preemption struct {
	scheduler         *Scheduler
	now               time.Time
	hosts             []*sched.Host
	beyondGuarantee   map[string]bool    // by job: whether it exceeds its team's guarantee
	weights           map[string]float64 // by job: its weight in the scheduling order
	chosen            map[*statecache.PlacedTask]bool
	hostsByKind       map[preemptorKind]*victimHosts
	victimHostsByHost map[*sched.Host][]*victimHost // for all kinds of preempting jobs
}

// preemptorKind contains the properties of a job that determine which tasks it may stop.
type preemptorKind struct {
	priority        int
	withinGuarantee bool
	team            string
	isGang          bool
	gangWeight      float64 // 0 if the job is no gang
}

// victimHosts contains the machines where a kind of job may stop tasks.
type victimHosts struct {
	all     []*victimHost
	byImage map[string][]*victimHost // the machines with an image, computed at first use
}

// victimHost is a machine where stopping tasks would free capacity.
type victimHost struct {
	host       *sched.Host
	candidates []sched.Victim
	tasks      []*statecache.PlacedTask // indexed by Index of the candidates
}

// preemptOption is a victimHost with the victims that one job would stop there. They are selected
// again only when the machine has changed.
type preemptOption struct {
	*victimHost
	hasImage bool // the machine has the job's image
	selected []sched.Victim
	cost     float64 // seconds of work lost

	// State of the machine when the victims were selected.
	freeAtSelection       sched.Resources
	candidatesAtSelection int
}

// victimChoice contains the tasks to stop in favor of another task, and the machine on which they
// run. The zero value means that no such tasks were found.
type victimChoice struct {
	tasks []*statecache.PlacedTask
	host  *sched.Host
}

func (c victimChoice) found() bool { return c.tasks != nil }

// selectVictims returns the victims that a task needs there, and their cost.
func (o *preemptOption) selectVictims(need sched.Resources) ([]sched.Victim, float64) {
	if o.candidatesAtSelection != len(o.candidates) || o.freeAtSelection != o.host.Free {
		o.candidatesAtSelection, o.freeAtSelection = len(o.candidates), o.host.Free
		o.selected, o.cost = sched.SelectVictims(o.freeAtSelection, need, o.candidates)
	}
	return o.selected, o.cost
}

// newPreemption prepares the selection of victims for one plan.
func (s *Scheduler) newPreemption(queue []*queueEntry, hosts []*sched.Host, now time.Time) *preemption {
	p := &preemption{
		scheduler:         s,
		now:               now,
		hosts:             hosts,
		beyondGuarantee:   map[string]bool{},
		weights:           map[string]float64{},
		chosen:            map[*statecache.PlacedTask]bool{},
		hostsByKind:       map[preemptorKind]*victimHosts{},
		victimHostsByHost: map[*sched.Host][]*victimHost{},
	}
	for _, entry := range queue {
		p.beyondGuarantee[entry.uid] = !entry.withinGuarantee
		p.weights[entry.uid] = entry.weight
	}
	return p
}

// victimHostsFor returns the machines where a kind of job may stop tasks.
func (p *preemption) victimHostsFor(entry *queueEntry) *victimHosts {
	kind := preemptorKind{priority: entry.priority, withinGuarantee: entry.withinGuarantee, team: entry.job.Record.Spec.Team}
	if entry.job.IsGang() {
		kind.isGang, kind.gangWeight = true, entry.weight
	}
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
			p.victimHostsByHost[host] = append(p.victimHostsByHost[host], victims)
		}
	}
	return found
}

// mayHoldVictims reports whether a machine may hold tasks that the job can stop. It checks only the
// machine's load by priority, which is cheap. A job within its team's guarantee may stop tasks of any
// priority.
func (p *preemption) mayHoldVictims(entry *queueEntry, host *sched.Host) bool {
	if entry.withinGuarantee {
		return true
	}
	running := p.scheduler.capacityCalculator.LoadOf(host.Name).RunningByPriority[:]
	lower := running[min(entry.priority+1, len(running)):]
	return slices.ContainsFunc(lower, func(used sched.Resources) bool { return used != sched.Resources{} })
}

// victimsOn lists the tasks on a machine that the job may stop.
func (p *preemption) victimsOn(entry *queueEntry, host *sched.Host) *victimHost {
	victims := &victimHost{host: host}
	onlyVictim := p.newestOnOvercommittedHost(host)
	for id, task := range p.scheduler.cache.Placements[host.Name] {
		job := p.scheduler.cache.Jobs[task.UID]
		switch {
		case job == nil, onlyVictim != nil && onlyVictim != task, job.MustStop(task.Placement), p.chosen[task]:
		case !mayPreempt(entry, &job.Record.Spec, p.beyondGuarantee[task.UID]), p.scheduler.agents.IsCompleted(host.Name, id, task):
		case p.wouldReturnBefore(task.UID, entry):
		default:
			victims.candidates = append(victims.candidates, sched.Victim{
				Task:           id,
				FreedResources: statecache.ResourcesOf(&job.Record.Spec),
				Cost:           p.preemptionCost(host.Name, job, task),
				Index:          len(victims.tasks),
			})
			victims.tasks = append(victims.tasks, task)
		}
	}
	return victims
}

// wouldReturnBefore reports whether a job's tasks, if they were preempted for a gang, would be placed
// again before the gang. A gang is placed only once all its capacity is free, so that they would take
// the capacity back, be preempted again, and neither would ever run. Other tasks are placed by the
// same write that preempts.
func (p *preemption) wouldReturnBefore(victimUID string, preemptor *queueEntry) bool {
	return preemptor.job.IsGang() && p.weights[victimUID] > preemptor.weight
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

// findOptions returns at most maxOptions machines where stopping tasks would free capacity for a task
// of the job: first those that have its image, then others, each from a random position on.
func (p *preemption) findOptions(entry *queueEntry, request *sched.TaskRequest, maxOptions int) []*preemptOption {
	hosts := p.victimHostsFor(entry)
	var found []*preemptOption
	for _, machines := range [][]*victimHost{hosts.withImage(request.Image), hosts.all} {
		if len(machines) == 0 {
			continue
		}
		start := p.scheduler.node.Random.IntN(len(machines))
		skipWithImage := len(found) > 0 // do not return machines with the image twice
		for i := 0; i < len(machines) && len(found) < maxOptions; i++ {
			victims := machines[(start+i)%len(machines)]
			host := victims.host
			hasImage := host.Images[request.Image]
			if skipWithImage && hasImage || !request.Allows(host.MachineType, host.Zone, host.Spot) {
				continue
			}
			victims = p.allowedByPolicy(entry, victims)
			if len(victims.candidates) == 0 {
				continue
			}
			option := &preemptOption{victimHost: victims, hasImage: hasImage}
			if selected, _ := option.selectVictims(request.Need); selected != nil {
				found = append(found, option)
			}
		}
	}
	return found
}

// allowedByPolicy restricts a machine's candidates to those that the operators' policy allows the
// job to stop.
func (p *preemption) allowedByPolicy(entry *queueEntry, victims *victimHost) *victimHost {
	if !p.scheduler.node.Policy.RestrictsPreemption() {
		return victims
	}
	isForbidden := func(victim sched.Victim) bool {
		job := p.scheduler.cache.Jobs[victims.tasks[victim.Index].UID]
		priority := job.Record.Spec.Priority.Level()
		guaranteed := !p.beyondGuarantee[job.Record.Spec.UID]
		variables := p.scheduler.policyVariables(job, priority, guaranteed, p.now)
		return !p.scheduler.node.Policy.AllowsPreemption(entry.variables, variables, victim.Cost)
	}
	allowed := &victimHost{
		host:       victims.host,
		tasks:      victims.tasks,
		candidates: slices.DeleteFunc(slices.Clone(victims.candidates), isForbidden),
	}
	p.victimHostsByHost[allowed.host] = append(p.victimHostsByHost[allowed.host], allowed)
	return allowed
}

// chooseVictims selects the victims for a task: on one machine, with the lowest cost, and at most
// maxCost.
func (p *preemption) chooseVictims(options []*preemptOption, request *sched.TaskRequest, maxCost float64) victimChoice {
	var best *preemptOption
	bestCost := 0.0
	for _, option := range options {
		host := option.host
		if !request.Allows(host.MachineType, host.Zone, host.Spot) || request.RequireImage && !option.hasImage {
			continue
		}
		selected, cost := option.selectVictims(request.Need)
		if !option.hasImage {
			cost += request.ImageFetchS // the task would wait for the fetch of its image
			if request.PreferImage {
				cost += estimate.UnlimitedSeconds // it would miss its objective: any machine with the image is better
			}
		}
		if selected != nil && cost <= maxCost && (best == nil || cost < bestCost) {
			best, bestCost = option, cost
		}
	}
	if best == nil {
		return victimChoice{}
	}
	return victimChoice{tasks: p.claim(best), host: best.host}
}

// claim marks the victims of an option as chosen and removes them from all lists of candidates.
func (p *preemption) claim(option *preemptOption) []*statecache.PlacedTask {
	var tasks []*statecache.PlacedTask
	for _, victim := range option.selected {
		task := option.tasks[victim.Index]
		tasks = append(tasks, task)
		p.chosen[task] = true
	}
	for _, victims := range p.victimHostsByHost[option.host] {
		chosen := func(victim sched.Victim) bool { return p.chosen[victims.tasks[victim.Index]] }
		victims.candidates = slices.DeleteFunc(victims.candidates, chosen)
	}
	return tasks
}
