package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/estimate"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// MayPreempt reports whether the job takes room from the other one, which PROTOCOL lets both a
// higher rank and a guarantee do. Between teams the guarantee decides first: what is
// within one yields to no rank of another team that is beyond its own, or the one would
// take back by its guarantee what the other took by its rank, again and again.
func (sch *Scheduler) MayPreempt(q *QueueEntry, v *api.Job, over bool) bool {
	priority, _ := api.PriorityOf(v.Priority)
	own := v.Team == q.Job.Record.Spec.Team
	if priority > q.Priority {
		return own || q.WithinGuarantee || over
	}
	return !own && q.WithinGuarantee && over
}

// preemption finds tasks to stop for others, within one plan. It looks over the machines
// once for a kind of job, not for each job and each of its tasks.
type preemption struct {
	scheduler       *Scheduler
	now             time.Time
	hosts           []*sched.Host
	beyondGuarantee map[string]bool // jobs beyond their teams' guarantees
	taken           map[*statecache.PlacedTask]bool
	victimsByKind   map[preemptorKind]*victimHosts
	victimsOnHost   map[*sched.Host][]*victimHost // of all kinds
}

// preemptorKind is what decides which tasks a job may stop.
type preemptorKind struct {
	priority  int
	guarantee bool
	team      string
}

// victimHosts is where a kind of job may stop tasks.
type victimHosts struct {
	all  []*victimHost
	warm map[string][]*victimHost // by image that the machine has, worked out when asked for
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
	warm     bool // it has the job's image
	selected []sched.Victim
	cost     float64

	seenFree       sched.Resources // when take was worked out
	seenCandidates int
}

// best returns what a task would take there.
func (o *preemptOption) best(need sched.Resources) ([]sched.Victim, float64) {
	if o.seenCandidates != len(o.candidates) || o.seenFree != o.host.Free {
		o.seenCandidates, o.seenFree = len(o.candidates), o.host.Free
		o.selected, o.cost = sched.Preempt(o.seenFree, need, o.candidates)
	}
	return o.selected, o.cost
}

// newPreemption begins the search for tasks to stop within one plan.
func (sch *Scheduler) newPreemption(queue []*QueueEntry, hosts []*sched.Host, now time.Time) *preemption {
	p := &preemption{scheduler: sch, now: now, hosts: hosts, beyondGuarantee: map[string]bool{}, taken: map[*statecache.PlacedTask]bool{},
		victimsByKind: map[preemptorKind]*victimHosts{}, victimsOnHost: map[*sched.Host][]*victimHost{}}
	for _, q := range queue {
		p.beyondGuarantee[q.UID] = !q.WithinGuarantee
	}
	return p
}

// hostsFor finds the machines where a kind of job may stop tasks.
func (p *preemption) hostsFor(q *QueueEntry) *victimHosts {
	kind := preemptorKind{q.Priority, q.WithinGuarantee, q.Job.Record.Spec.Team}
	found := p.victimsByKind[kind]
	if found != nil {
		return found
	}
	found = &victimHosts{warm: map[string][]*victimHost{}}
	p.victimsByKind[kind] = found
	for _, h := range p.hosts {
		if !p.mayHoldVictims(q, h) {
			continue
		}
		if v := p.victimsOn(q, h); len(v.candidates) > 0 {
			found.all = append(found.all, v)
			p.victimsOnHost[h] = append(p.victimsOnHost[h], v)
		}
	}
	return found
}

// mayHoldVictims tells, from the sums by rank alone, whether a machine may hold tasks that
// the job can stop: with a guarantee it may stop work of any rank.
func (p *preemption) mayHoldVictims(q *QueueEntry, h *sched.Host) bool {
	staying := p.scheduler.room.LoadOf(h.Name).RunningByPriority[:]
	return q.WithinGuarantee || slices.ContainsFunc(
		staying[min(q.Priority+1, len(staying)):],
		func(r sched.Resources) bool { return r != sched.Resources{} },
	)
}

// victimsOn lists the tasks on a machine that the job may stop.
func (p *preemption) victimsOn(q *QueueEntry, h *sched.Host) *victimHost {
	v := &victimHost{host: h}
	only := p.scheduler.newestOverplaced(h)
	for id, pl := range p.scheduler.cache.Placements[h.Name] {
		j := p.scheduler.cache.Jobs[pl.UID]
		switch {
		case j == nil, only != nil && only != pl, j.MustStop(pl.Placement), p.taken[pl]:
		case !p.scheduler.MayPreempt(q, &j.Record.Spec, p.beyondGuarantee[pl.UID]), p.scheduler.agents.IsCompleted(h.Name, id, pl):
		default:
			cost := p.scheduler.lostWork(h.Name, j, pl, p.now)
			v.candidates = append(v.candidates, sched.Victim{Task: id, Room: statecache.ResourcesOf(&j.Record.Spec), Cost: cost, Ref: len(v.tasks)})
			v.tasks = append(v.tasks, pl)
		}
	}
	return v
}

// withImage returns the machines that have an image.
func (v *victimHosts) withImage(image string) []*victimHost {
	warm, known := v.warm[image]
	if !known {
		for _, x := range v.all {
			if x.host.Images[image] {
				warm = append(warm, x)
			}
		}
		v.warm[image] = warm
	}
	return warm
}

// search returns machines where stopping tasks would make room for one of the job's, a
// bounded number of them: first those that have its image, then any, from a random one on.
func (p *preemption) search(q *QueueEntry, a *sched.TaskRequest, most int) []*preemptOption {
	hosts := p.hostsFor(q)
	var found []*preemptOption
	for _, from := range [][]*victimHost{hosts.withImage(a.Image), hosts.all} {
		if len(from) == 0 {
			continue
		}
		first := p.scheduler.node.Random.IntN(len(from))
		warmFound := len(found) > 0 // those are not to come twice
		for i := 0; i < len(from) && len(found) < most; i++ {
			v := from[(first+i)%len(from)]
			warm := v.host.Images[a.Image]
			if warmFound && warm || !a.Allows(v.host.MachineType, v.host.Zone, v.host.Spot) {
				continue
			}
			if v = p.allowed(q, v); v == nil {
				continue
			}
			o := &preemptOption{victimHost: v, warm: warm}
			if take, _ := o.best(a.Need); take != nil {
				found = append(found, o)
			}
		}
	}
	return found
}

// allowed narrows a machine's candidates to what the operators' policy lets the job stop;
// nil if nothing is left.
func (p *preemption) allowed(q *QueueEntry, v *victimHost) *victimHost {
	if p.scheduler.node.Policy.RestrictsPreemption() {
		forbidden := func(x sched.Victim) bool {
			j := p.scheduler.cache.Jobs[v.tasks[x.Ref].UID]
			priority, _ := api.PriorityOf(j.Record.Spec.Priority)
			return !p.scheduler.node.Policy.Preempt(q.variables, p.scheduler.policyVariables(j, priority, !p.beyondGuarantee[j.Record.Spec.UID], p.now), x.Cost)
		}
		v = &victimHost{host: v.host, tasks: v.tasks, candidates: slices.DeleteFunc(slices.Clone(v.candidates), forbidden)}
		p.victimsOnHost[v.host] = append(p.victimsOnHost[v.host], v)
	}
	if len(v.candidates) == 0 {
		return nil
	}
	return v
}

// newestOverplaced returns the task that was last placed on a peer's machine where more is
// placed than there is room for: some have completed and others have taken their
// room, but the ends are not committed yet and only the leader knows which. The
// newest is the one that is surely there. It returns nil where all are.
func (sch *Scheduler) newestOverplaced(h *sched.Host) *statecache.PlacedTask {
	if sch.leadership.Leads(h.Shard) {
		return nil
	}
	used := h.Free
	var newest *statecache.PlacedTask
	last := int64(0)
	for _, pl := range sch.cache.Placements[h.Name] {
		j := sch.cache.Jobs[pl.UID]
		if j == nil {
			continue
		}
		used = used.Add(statecache.ResourcesOf(&j.Record.Spec))
		if at := j.Record.AcceptedMS/1000 + pl.Placement.PlacedS; newest == nil || at > last {
			newest, last = pl, at
		}
	}
	if h.Cap.Fits(used) {
		return nil
	}
	return newest
}

// victims picks what to stop for a task: on one machine, losing least and no more
// than most.
func (p *preemption) victims(options []*preemptOption, a *sched.TaskRequest, most float64) ([]*statecache.PlacedTask, *sched.Host) {
	var best *preemptOption
	bestCost := 0.0
	for _, o := range options {
		if !a.Allows(o.host.MachineType, o.host.Zone, o.host.Spot) || a.RequireImage && !o.warm {
			continue
		}
		take, cost := o.best(a.Need)
		if !o.warm {
			cost += a.FetchS // the task waits for its image there
			if a.PreferImage {
				cost += estimate.UnlimitedSeconds // and misses its aim: any machine that has it is better
			}
		}
		if take != nil && cost <= most && (best == nil || cost < bestCost) {
			best, bestCost = o, cost
		}
	}
	if best == nil {
		return nil, nil
	}
	return p.claimVictims(best), best.host
}

// claimVictims takes an option, so that its tasks are no candidates any more.
func (p *preemption) claimVictims(o *preemptOption) []*statecache.PlacedTask {
	var tasks []*statecache.PlacedTask
	for _, v := range o.selected {
		tasks = append(tasks, o.tasks[v.Ref])
		p.taken[o.tasks[v.Ref]] = true
	}
	for _, v := range p.victimsOnHost[o.host] {
		v.candidates = slices.DeleteFunc(v.candidates, func(x sched.Victim) bool { return p.taken[v.tasks[x.Ref]] })
	}
	return tasks
}

// lostWork estimates the work that stopping a task on a machine loses, in seconds: none if it
// went with its zone and has not started again.
func (sch *Scheduler) lostWork(host string, j *statecache.Job, pl *statecache.PlacedTask, now time.Time) float64 {
	s := sch.agents.ByHost[host]
	if s == nil || s.Heartbeat == nil || !sch.zones.IsHeldBack(host, pl, j, now) {
		return lostSeconds(j, pl.Placement, now)
	}
	name := pl.TaskName(j)
	there := slices.ContainsFunc(
		s.Heartbeat.Tasks,
		func(t api.TaskState) bool { return t.Task == name && t.Attempt == pl.Placement.Attempt },
	)
	if there {
		return lostSeconds(j, pl.Placement, now)
	}
	return 0
}

// lostSeconds estimates the work that stopping a task loses, in seconds.
func lostSeconds(j *statecache.Job, p *job.Placement, now time.Time) float64 {
	r := &j.Record.Spec
	run := max(float64(now.UnixMilli()-j.Record.AcceptedMS)/1000-float64(p.PlacedS), 0)
	saved := r.CheckpointS > 0
	if saved { // what it saves before it leaves is not lost
		run = min(run, r.SaveS) + run/1000
	}
	switch {
	case j.IsGang(): // all of its tasks stop with it, and start anew together
		return float64(r.Tasks) * (run + r.SaveS + 1)
	case saved:
		return run
	}
	return run + 1
}
