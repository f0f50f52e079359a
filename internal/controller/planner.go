package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
)

// placement is a task and the machine it is to go to.
type placement struct {
	uid   string
	chunk int
	index int
	host  *sched.Host

	victims []*placedTask // tasks that have to leave the machine for it
}

// plan is what this node would do now, seen from one state of the replica.
type plan struct {
	places []placement
	gangs  []*gangClaim  // room for whole gangs
	stops  []*placedTask // tasks that have to leave for gangs
	unmet  []sched.Unmet
	all    []sched.Unmet   // what found no room at once, peers' jobs included
	kept   map[string]bool // machines with room that waits for the rest of a gang's
	left   []*sched.Host   // all machines with the room that is left after all that
}

// waitingJob is a job with tasks to place.
type waitingJob struct {
	q     *queued
	ask   sched.TaskRequest
	tasks []task
	z     *zones

	beyond []task // of those that found no room, those that room is not sought for in this plan

	options  []*preemptOption // machines where it could take others' room, once searched
	searched bool
}

// task is a task that is neither done nor placed.
type task struct{ chunk, index int }

// coldStart is a placement on a machine without the image that misses its aim.
type coldStart struct {
	job *waitingJob
	at  int // in the plan's placements
}

// planner works out a plan in stages: it selects the waiting jobs, places what there is
// room for, and seeks room for the rest among what is being left and what may be
// preempted. What then still lacks room is to be rented for.
type planner struct {
	c     *Controller
	now   time.Time
	out   *plan
	all   []*sched.Host // the machines that can take tasks
	queue []*queued
	least sched.Resources // the smallest amounts that any waiting task asks for

	jobs    []*waitingJob
	hosts   map[string][]*sched.Host // by part, those with room for the least
	chooser *sched.Chooser
	used    map[string]sched.Resources // by limited team, with what the plan adds

	admission *recovery.Admission // to zones that return
	reserved  bool                // their room for production that waits is kept

	cold     []coldStart
	lacking  []*waitingJob
	searches map[*waitingJob]*gangSearch
	booting  []*sched.Host // machines on their way, once asked for

	open       []*sched.Host // machines with room when all that is leaving has left
	ranking    *sched.Ranking
	preemption *preemption
	swaps      []placement // with the tasks that have to leave for them
}

// plan places what can be placed, picks what to stop for what can't, and tells
// what then still lacks room. Call with the lock held.
func (c *Controller) plan(now time.Time) *plan {
	began := time.Now()
	defer func() { c.planned += time.Since(began) }()
	p := &planner{c: c, now: now, out: &plan{kept: map[string]bool{}}, searches: map[*waitingJob]*gangSearch{}}
	if len(c.machineTypes) == 0 || !c.canAct(now) {
		return p.out
	}
	p.selectJobs()
	p.placeJobs()
	vacate(p.all)
	p.out.left = p.all
	if len(p.lacking) > 0 || len(p.cold) > 0 {
		p.findOpenRoom()
		p.replaceColdStarts()
		for _, l := range p.lacking {
			p.seekRoom(l)
		}
		p.out.places = append(p.out.places, p.swaps...)
	}
	return p.out
}

// selectJobs lists the jobs with tasks to place, in the order in which they are served.
func (p *planner) selectJobs() {
	c := p.c
	p.all = c.hosts(p.now)
	p.admission = c.admission(p.now)
	p.queue = c.queue(p.now)
	p.least = least(p.queue)
	p.hosts = fitting(p.all, p.least) // only those with room: work per task is bounded by them
	p.chooser = sched.NewChooser(p.hosts, c.rnd)
	p.used = map[string]sched.Resources{}
	for _, team := range c.cfg.Facts.Teams {
		if team.Limited() {
			p.used[team.Name] = c.teamUse(team.Name)
		}
	}
	for _, q := range p.queue {
		r := &q.j.main.Spec
		if q.mine && c.backingOff(q, p.now) || c.blocked(q.j) || len(q.j.pending()) == 0 {
			continue
		}
		ask := askOf(r)
		ask.FetchS = c.pull(r)
		// Fetches may be a third slower than told.
		ask.PreferImage = c.slack(r.Class, r, 1.5*ask.FetchS) < c.cfg.Report().Seconds()
		p.jobs = append(p.jobs, &waitingJob{q: q, ask: ask, z: c.zonesOf(q.j, p.admission), tasks: slices.Clone(q.j.pending())})
	}
}

// placeJobs places the jobs, one weight after the other.
func (p *planner) placeJobs() {
	for rest := p.jobs; len(rest) > 0; {
		weight := rest[0].q.weight
		end := slices.IndexFunc(rest, func(l *waitingJob) bool { return l.q.weight != weight })
		if end < 0 {
			end = len(rest)
		}
		p.reserveFor(rest[:end])
		p.placeEqual(rest[:end])
		rest = rest[end:]
	}
}

// reserveFor keeps room in zones that return for production tasks that wait for lost
// machines, before the first work below production is placed.
func (p *planner) reserveFor(jobs []*waitingJob) {
	below := slices.ContainsFunc(jobs, func(l *waitingJob) bool { return l.q.rank > production })
	if below && !p.reserved {
		p.reserved = true
		p.admission.Reserve(p.all)
	}
}

// placeEqual places jobs of one weight. A machine with room goes first to one whose image
// it has: fetches take a good part of the machines' time. One that starves takes what
// there is.
func (p *planner) placeEqual(jobs []*waitingJob) {
	for _, l := range jobs { // gangs first: what one task takes here may keep a whole one waiting
		if isGang(l.q.j) {
			p.placeGang(l)
		}
	}
	for _, l := range jobs {
		if !isGang(l.q.j) {
			p.placeTasks(l, !l.q.starving)
		}
	}
	for _, l := range jobs {
		if !isGang(l.q.j) {
			// Once only: what of a limited team lacks room counts as used, so that a
			// second look would take the limit for reached and rent nothing.
			if !l.q.starving {
				p.placeTasks(l, false)
			}
			l.bound()
		}
		if len(l.tasks) > 0 {
			p.lacking = append(p.lacking, l)
		}
	}
}

// exceeds tells whether a team would use more than its limit.
func exceeds(team config.Team, use sched.Resources) bool {
	const eps = 1e-6 // sums of decimal fractions are not exact
	return team.CPUsMax > 0 && use.CPUs > team.CPUsMax+eps || team.GPUsMax > 0 && use.GPUs > team.GPUsMax+eps
}

// placeTasks puts what it can of a job's tasks on machines, those with its image only or
// any, and leaves the rest.
func (p *planner) placeTasks(l *waitingJob, warm bool) {
	r := &l.q.j.main.Spec
	team, _ := p.c.cfg.Team(r.Team)
	ask := l.ask
	ask.NeedImage = warm
	p.chooser.Begin(l.q.j.main.Part, &ask)
	misses := map[int]bool{} // by chunk
	missed := false
	rest := l.tasks[:0]
	for i, t := range l.tasks {
		use := p.used[team.Name].Add(ask.Need)
		if exceeds(team, use) {
			if warm {
				rest = append(rest, l.tasks[i:]...)
			}
			break // what is beyond the limit lacks no room
		}
		var h *sched.Host
		if !misses[t.chunk] || !r.Spread && !missed {
			h = p.chooser.Next(func(site string) bool { return l.z.ok(t.chunk, site) })
		}
		if h != nil {
			p.used[team.Name] = use
			p.take(l, t, h)
			continue
		}
		misses[t.chunk], missed = true, true
		if rest = append(rest, t); !warm {
			p.used[team.Name] = use
		}
	}
	l.tasks = rest
}

// take places a task on a machine with room.
func (p *planner) take(l *waitingJob, t task, h *sched.Host) {
	h.Free = h.Free.Sub(l.ask.Need)
	if !h.Free.Fits(p.least) {
		p.hosts[h.Part] = without(p.hosts[h.Part], h)
	}
	l.z.add(t.chunk, h.Zone)
	if l.ask.Service {
		h.Services++
	} else {
		h.Arrays++
	}
	if !l.q.mine {
		return // its owner places it; its room is kept for it
	}
	if l.ask.PreferImage && !h.Images[l.ask.Image] {
		p.cold = append(p.cold, coldStart{l, len(p.out.places)})
	}
	p.out.places = append(p.out.places, placement{l.q.uid, t.chunk, t.index, h, nil})
}

// placeGang finds machines for all of a gang's tasks, or notes what it found.
func (p *planner) placeGang(l *waitingJob) {
	c := p.c
	if team, _ := c.cfg.Team(l.q.j.main.Spec.Team); team.Limited() {
		use := p.used[team.Name].Add(l.ask.Need.Times(float64(len(l.tasks))))
		if exceeds(team, use) {
			l.tasks = nil // what is beyond the limit lacks no room
			return
		}
		p.used[team.Name] = use
	}
	if p.booting == nil {
		p.booting = c.coming(p.now, true)
	}
	x := c.seat(l, p.hosts, p.all, p.booting, p.now)
	if sched.Missing(x.seats) == 0 {
		if l.q.mine {
			p.out.gangs = append(p.out.gangs, x.claim())
		}
		l.tasks = nil
		return
	}
	if l.q.mine {
		c.missGang(x, p.now)
	}
	for _, h := range x.seats {
		if h != nil && x.kept {
			p.out.kept[h.Name] = true
		}
	}
	p.searches[l] = x
}

// findOpenRoom finds the machines that have room once all that is leaving has left.
func (p *planner) findOpenRoom() {
	for _, hosts := range fitting(p.all, p.least) {
		p.open = append(p.open, hosts...)
	}
	slices.SortFunc(p.open, func(a, b *sched.Host) int { return cmp.Compare(a.Name, b.Name) })
	p.preemption = p.c.newPreemption(p.queue, p.all, p.now)
}

// optionsOf gives machines where a job could take others' room.
func (p *planner) optionsOf(l *waitingJob) []*preemptOption {
	if !l.searched {
		l.searched = true
		l.options = p.preemption.search(l.q, &l.ask, 2*l.q.j.main.Spec.Tasks+16)
	}
	return l.options
}

// displace puts a task of the job on a machine that victims leave.
func (p *planner) displace(l *waitingJob, chunk int, victims []*placedTask, h *sched.Host) {
	for _, v := range victims {
		h.Free = h.Free.Add(need(&p.c.replica.jobs[v.uid].main.Spec))
	}
	h.Free = h.Free.Sub(l.ask.Need)
	l.z.add(chunk, h.Zone)
}

// replaceColdStarts has a start that would miss its aim for want of its image rather take
// the room of others where the image is, if that loses no more than two fetches; they can
// have the room that was free.
func (p *planner) replaceColdStarts() {
	for _, x := range p.cold {
		place := &p.out.places[x.at]
		ask := x.job.ask
		ask.NeedImage = true
		ask.ZoneOK = func(site string) bool { return site == place.host.Zone || x.job.z.ok(place.chunk, site) }
		if victims, h := p.preemption.victims(p.optionsOf(x.job), &ask, 2*ask.FetchS); victims != nil {
			p.displace(x.job, place.chunk, victims, h)
			place.host, place.victims = h, victims
		}
	}
}

// unseated gives the tasks of a job that room is sought for: of a gang those that have
// none yet, or all if what was found is not kept.
func (p *planner) unseated(l *waitingJob) []task {
	search := p.searches[l]
	if search == nil {
		return l.tasks
	}
	var tasks []task
	for i, h := range search.seats {
		if h == nil || !search.kept {
			tasks = append(tasks, l.tasks[i])
		}
	}
	return tasks
}

// seekRoom finds room for a job's tasks that were not placed: where others are leaving,
// or else by preemption. What remains is to be rented for.
func (p *planner) seekRoom(l *waitingJob) {
	tasks := p.unseated(l)
	if !l.q.mine {
		p.out.all = append(p.out.all, sched.Unmet{Ask: l.ask, Count: min(len(tasks), mostUnmet)})
		return
	}
	gang := p.searches[l] != nil
	var left []task
	var stops []*placedTask
	p.ranking = sched.Rank(p.ranking, p.open, &l.ask)
	for _, t := range tasks {
		ask := l.ask
		ask.ZoneOK = func(site string) bool { return l.z.ok(t.chunk, site) }
		if h := p.ranking.Best(ask.ZoneOK); h != nil {
			h.Free = h.Free.Sub(ask.Need)
			l.z.add(t.chunk, h.Zone)
			continue
		}
		victims, h := p.preemption.victims(p.optionsOf(l), &ask, math.Inf(1))
		if victims == nil {
			left = append(left, t)
			continue
		}
		if gang {
			stops = append(stops, victims...)
		} else {
			p.swaps = append(p.swaps, placement{l.q.uid, t.chunk, t.index, h, victims})
		}
		p.displace(l, t.chunk, victims, h)
		p.ranking.Add(h) // they may leave more than the task takes
	}
	p.open = slices.DeleteFunc(p.open, func(h *sched.Host) bool { return !h.Free.Fits(p.least) })
	if len(left) == 0 {
		p.out.stops = append(p.out.stops, stops...)
		return
	}
	if gang {
		left = tasks // nobody is stopped for a gang that would still not be complete
	}
	left = left[:min(len(left), mostUnmet)]
	p.lackRoom(l, append(left[:len(left):len(left)], p.rentable(l)...))
}
