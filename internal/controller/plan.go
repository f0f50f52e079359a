package controller

import (
	"cmp"
	"maps"
	"net/url"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/part"
	"violetturn/internal/sched"
)

// placement is a task and the machine it is to go to.
type placement struct {
	j     *liveJob
	chunk int
	index int
	host  *sched.Host
}

// plan is what this node would do now, seen from one state of the mirror.
type plan struct {
	places []placement
	stops  []*placed // tasks to stop for others
	unmet  []sched.Unmet
	all    []sched.Unmet // what found no room at once, peers' jobs included
	left   []*sched.Host // the machines with the room that is left after all that
}

// capOf gives a machine type's size. Call with the lock held.
func (c *Controller) capOf(build string) (sched.Room, *cloud.Flavor) {
	for i := range c.flavors {
		f := &c.flavors[i]
		if f.Label == build {
			return sched.Room{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}, f
		}
	}
	return sched.Room{}, nil
}

// usable tells whether a machine of an own part can take tasks. Call with the
// lock held.
func (c *Controller) usable(host string, now time.Time) bool {
	s := c.sessions[host]
	return s != nil && s.Fenced && !s.Gone && !s.Dark && !s.Drain && s.Report.RecallS == nil && !now.Before(s.Avoid) &&
		now.Sub(s.Seen) < 3*c.cfg.Report()
}

// pull is how long fetching a job's image takes at least. Call with the lock held.
func (c *Controller) pull(r *api.Run) float64 {
	best := 0.0
	for _, f := range c.flavors {
		best = max(best, f.PullGBPerS)
	}
	if best <= 0 {
		return 0
	}
	return r.SizeGB / best
}

// freeOf computes the free room of the usable machines of an own part from the
// committed placements. Call with the lock held.
func (c *Controller) freeOf(p string, now time.Time) map[string]sched.Room {
	free := map[string]sched.Room{}
	for host, m := range c.m.hosts {
		if m.v.Part != p || !c.usable(host, now) {
			continue
		}
		r, f := c.capOf(m.v.Build)
		if f == nil {
			continue
		}
		for _, pl := range c.m.onHost[host] {
			if j := c.m.jobs[pl.uid]; j != nil {
				r = r.Sub(need(&j.main.Run))
			}
		}
		free[host] = r
	}
	// Several controllers may have rented past what the record holds: the last
	// machines are not offered, stay idle and go back.
	if most := c.partRoom(); len(free) > most {
		names := slices.Sorted(maps.Keys(free))
		for _, h := range names[most:] {
			delete(free, h)
		}
	}
	return free
}

// hosts lists the machines with their free room, by part: of own parts as
// computed, of peers' as their records say. Call with the lock held.
func (c *Controller) hosts(now time.Time) map[string][]*sched.Host {
	out := map[string][]*sched.Host{}
	for _, p := range c.parts {
		own := c.m.owns[p]
		if own.v == nil || c.m.parts[p].v == nil {
			continue
		}
		free := map[string]sched.Room{}
		if c.owned(p) != nil {
			free = c.freeOf(p, now)
		} else if own.v.Node != c.cfg.HostName {
			for h, v := range c.m.parts[p].v.Free {
				free[h] = part.Unvec(v)
			}
		}
		for h, r := range free {
			m := c.m.hosts[h]
			if m.v == nil {
				continue
			}
			cp, _ := c.capOf(m.v.Build)
			x := &sched.Host{Name: h, Part: p, Build: m.v.Build, Site: m.v.Site, Loaners: m.v.Loaners, Cap: cp, Free: r, Warm: c.m.images[h]}
			for _, pl := range c.m.onHost[h] {
				if j := c.m.jobs[pl.uid]; j != nil && j.main.Run.Shape == api.Daemon {
					x.Daemons++
				} else {
					x.Sweeps++
				}
			}
			out[p] = append(out[p], x)
		}
	}
	return out
}

// queued is a job with tasks to place.
type queued struct {
	j         *liveJob
	uid       string
	rank      int
	guarantee bool
	mine      bool
	work      config.Work
	weight    float64
}

// describe tells expressions of a job. Call with the lock held.
func (c *Controller) describe(j *liveJob, rank int, guarantee bool, now time.Time) config.Work {
	r := &j.main.Run
	w := config.Work{Lane: r.Lane, Owner: r.Owner, Shape: r.Shape, Rank: rank, Guaranteed: guarantee, Pieces: r.Pieces, GPUs: r.GPUs, CPUs: r.CPUs,
		Age: float64(now.UnixMilli()-j.main.AtMS) / 1000, Slack: never}
	if in := c.within(r); in < never {
		w.Slack = in - w.Age - c.runs(r)
	}
	return w
}

// bySlack puts first what has least slack, but what is late anyhow after all
// that can still be in time.
func bySlack(a, b config.Work) int {
	return cmp.Or(-compareBool(a.Slack >= 0, b.Slack >= 0), cmp.Compare(max(a.Slack, 0), max(b.Slack, 0)))
}

// queue lists the living jobs in the order in which they are served: by weight
// (by default rank, then what is within a team's guarantee), then age. Call with the lock held.
func (c *Controller) queue(now time.Time) []queued {
	var q []queued
	byTeam := map[string][]*liveJob{}
	for _, j := range c.m.jobs {
		if !j.main.Gone {
			byTeam[j.main.Run.Owner] = append(byTeam[j.main.Run.Owner], j)
		}
	}
	for name, jobs := range byTeam {
		team, _ := c.cfg.Team(name)
		slices.SortFunc(jobs, byAge)
		cpus, gpus := 0.0, 0.0
		for _, j := range jobs {
			r := &j.main.Run
			left := float64(r.Pieces - j.main.FinishedTasks())
			cpus += r.CPUs * left
			gpus += r.GPUs * left
			rank, _ := api.RankOf(r.Rank)
			within := (team.CPUs > 0 || team.GPUs > 0) && (team.CPUs == 0 || cpus <= team.CPUs+1e-6) && (team.GPUs == 0 || gpus <= team.GPUs+1e-6)
			w := c.describe(j, rank, within, now)
			q = append(q, queued{j: j, uid: r.UID, rank: rank, guarantee: within, mine: c.owned(j.main.Part) != nil, work: w, weight: c.policy.Weight(w)})
		}
	}
	slices.SortFunc(q, func(a, b queued) int {
		return cmp.Or(-cmp.Compare(a.weight, b.weight), bySlack(a.work, b.work), byAge(a.j, b.j))
	})
	return q
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func byAge(a, b *liveJob) int {
	return cmp.Or(cmp.Compare(a.main.AtMS, b.main.AtMS), cmp.Compare(a.main.Run.UID, b.main.Run.UID))
}

// lacking is a job with tasks that found no room.
type lacking struct {
	q     queued
	ask   sched.Ask
	tasks []task
	z     *zones
}

// task is a task that is neither done nor placed.
type task struct{ chunk, index int }

// pending calls f for the job's tasks that are neither done nor placed, until
// it returns false.
func (j *liveJob) pending(f func(t task) bool) {
	m := j.main
	for n := range m.Chunks() {
		if m.Finished(n) {
			continue
		}
		ch := j.chunks[n].v
		for i := range m.ChunkLen(n) {
			if ch != nil && (ch.Places[i] != nil || ch.Done(i)) {
				continue
			}
			if !f(task{n, i}) {
				return
			}
		}
	}
}

// teamUse is what a team's tasks hold in all, by its record.
func (c *Controller) teamUse(name string) sched.Room {
	var r sched.Room
	if u := c.m.teams[teamID(name)].v; u != nil {
		for _, v := range u.Held {
			r = r.Add(part.Unvec(v))
		}
	}
	return r
}

func teamID(name string) string { return url.PathEscape(name) }

// zones follows where the tasks of a job are or will be, for jobs that are to
// go together or be scattered. A job of several chunks is scattered chunk by
// chunk: chunks are of even size, so that half of each is half of all.
type zones struct {
	j     *liveJob
	zone  string // of a job that goes together
	count map[int]map[string]int
}

func (c *Controller) zonesOf(j *liveJob) *zones {
	z := &zones{j: j, zone: j.main.Zone, count: map[int]map[string]int{}}
	if j.main.Run.Scatter {
		for n, ch := range j.chunks {
			for _, p := range ch.v.Places {
				if h := c.m.hosts[p.Host]; h.v != nil {
					z.add(n, h.v.Site)
				}
			}
		}
	}
	return z
}

func (z *zones) add(chunk int, site string) {
	if z.j.main.Run.Together && z.zone == "" {
		z.zone = site
	}
	if z.count[chunk] == nil {
		z.count[chunk] = map[string]int{}
	}
	z.count[chunk][site]++
}

func (z *zones) ok(chunk int, site string) bool {
	r := &z.j.main.Run
	if r.Together && z.zone != "" && z.zone != site {
		return false
	}
	return !r.Scatter || z.count[chunk][site] < (z.j.main.ChunkLen(chunk)+1)/2
}

// plan places what can be placed, picks what to stop for what can't, and tells
// what then still lacks room. Call with the lock held.
func (c *Controller) plan(now time.Time) *plan {
	out := &plan{}
	if len(c.flavors) == 0 || !c.canAct(now) {
		return out
	}
	hosts := c.hosts(now)
	queue := c.queue(now)
	use := map[string]sched.Room{}
	for _, t := range c.cfg.Facts.Teams {
		if t.Limited() {
			use[t.Name] = c.teamUse(t.Name)
		}
	}
	// Among jobs of one weight (by default: of one rank, within their guarantees
	// or not) own ones come first: those of peers are placed by them, and what they will take is only
	// kept from what comes after them. Without that a peer's job would first see
	// its room taken and then stop the taker to get it back.
	slices.SortStableFunc(queue, func(a, b queued) int {
		return cmp.Or(-cmp.Compare(a.weight, b.weight), -compareBool(a.mine, b.mine))
	})
	var lack []*lacking
	for _, q := range queue {
		r := &q.j.main.Run
		if q.mine && c.backingOff(q, now) {
			continue
		}
		ask := askOf(r)
		ask.PullS = c.pull(r)
		ask.Warm = c.slack(r.Lane, r, ask.PullS) < 2*c.cfg.Report().Seconds()
		z := c.zonesOf(q.j)
		team, _ := c.cfg.Team(r.Owner)
		l := &lacking{q: q, ask: ask, z: z}
		misses := map[int]bool{}
		q.j.pending(func(t task) bool {
			if team.Limited() {
				u := use[team.Name].Add(ask.Need)
				if team.CPUsMax > 0 && u.CPUs > team.CPUsMax+1e-6 || team.GPUsMax > 0 && u.GPUs > team.GPUsMax+1e-6 {
					return false
				}
				use[team.Name] = u
			}
			a := ask
			a.ZoneOK = func(site string) bool { return z.ok(t.chunk, site) }
			var h *sched.Host
			if !misses[t.chunk] || !r.Scatter && !misses[-1] {
				h = sched.Choose(hosts, q.j.main.Part, &a, c.rnd)
			}
			if h == nil {
				misses[t.chunk], misses[-1] = true, true
				l.tasks = append(l.tasks, t)
				return len(l.tasks) < 256 // more than could be rented for at once
			}
			h.Free = h.Free.Sub(a.Need)
			z.add(t.chunk, h.Site)
			if q.mine {
				out.places = append(out.places, placement{q.j, t.chunk, t.index, h})
			}
			if a.Daemon {
				h.Daemons++
			} else {
				h.Sweeps++
			}
			return true
		})
		if len(l.tasks) > 0 {
			lack = append(lack, l)
		}
	}
	coming := c.vacating(hosts)
	out.left = coming
	over := c.beyondGuarantee(queue)
	for _, l := range lack {
		u := sched.Unmet{Ask: l.ask}
		if !l.q.mine {
			out.all = append(out.all, sched.Unmet{Ask: l.ask, Count: len(l.tasks)})
			continue
		}
		var left []task
		for _, t := range l.tasks {
			a := l.ask
			a.ZoneOK = func(site string) bool { return l.z.ok(t.chunk, site) }
			if h := sched.FullestFit(coming, &a); h != nil {
				h.Free = h.Free.Sub(a.Need)
				l.z.add(t.chunk, h.Site)
				continue
			}
			if v, h := c.victims(l.q, &a, coming, over, out.stops, now); v != nil {
				out.stops = append(out.stops, v...)
				for _, x := range v {
					h.Free = h.Free.Add(need(&c.m.jobs[x.uid].main.Run))
				}
				h.Free = h.Free.Sub(a.Need)
				l.z.add(t.chunk, h.Site)
				continue
			}
			left = append(left, t)
		}
		if len(left) == 0 {
			continue
		}
		u.Count = len(left)
		out.all = append(out.all, sched.Unmet{Ask: l.ask, Count: u.Count})
		n := 0
		u.Ask.ZoneOK = func(site string) bool { return n >= len(left) || l.z.ok(left[n].chunk, site) }
		u.Placed = func(site string) {
			l.z.add(left[n].chunk, site)
			n++
		}
		out.unmet = append(out.unmet, u)
	}
	return out
}

// backingOff tells whether a job whose tasks failed waits before the next try:
// ever longer, so that a job that fails everywhere hurts nobody.
func (c *Controller) backingOff(q queued, now time.Time) bool {
	e := 0
	for _, ch := range q.j.chunks {
		e += ch.v.Errors
	}
	if e == 0 {
		delete(c.errSeen, q.uid)
		delete(c.retryAt, q.uid)
		return false
	}
	if e > c.errSeen[q.uid] {
		c.retryAt[q.uid] = now.Add(min(c.cfg.Report()<<min(e-1, 10), 4*c.cfg.Lease()))
	}
	c.errSeen[q.uid] = e
	return now.Before(c.retryAt[q.uid])
}

// vacating gives the machines with the room that tasks on their way out will
// leave added to what is free. Call with the lock held.
func (c *Controller) vacating(hosts map[string][]*sched.Host) []*sched.Host {
	var out []*sched.Host
	for _, l := range hosts {
		for _, h := range l {
			x := *h
			for _, pl := range c.m.onHost[h.Name] {
				if j := c.m.jobs[pl.uid]; j != nil && (pl.p.Stop || j.main.Gone) {
					x.Free = x.Free.Add(need(&j.main.Run))
				}
			}
			out = append(out, &x)
		}
	}
	slices.SortFunc(out, func(a, b *sched.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// beyondGuarantee tells for each job whether it runs beyond its team's guarantee.
func (c *Controller) beyondGuarantee(queue []queued) map[string]bool {
	over := map[string]bool{}
	for _, q := range queue {
		over[q.uid] = !q.guarantee
	}
	return over
}

// mayStop tells whether PROTOCOL lets the job take room from the other one.
func (c *Controller) mayStop(q queued, v *api.Run, over bool) bool {
	rank, _ := api.RankOf(v.Rank)
	if rank > q.rank {
		return true
	}
	return q.guarantee && over && v.Owner != q.j.main.Run.Owner
}

// victims picks what to stop for a task: on one machine, losing least. Call with
// the lock held.
func (c *Controller) victims(q queued, a *sched.Ask, hosts []*sched.Host, over map[string]bool, already []*placed, now time.Time) ([]*placed, *sched.Host) {
	var best []*placed
	var on *sched.Host
	bestCost := 0.0
	for _, h := range hosts {
		if !a.Allows(h.Build, h.Site, h.Loaners) {
			continue
		}
		var cand []sched.Victim
		byName := map[string]*placed{}
		for id, pl := range c.m.onHost[h.Name] {
			j := c.m.jobs[pl.uid]
			if j == nil || j.main.Gone || pl.p.Stop || slices.Contains(already, pl) || !c.mayStop(q, &j.main.Run, over[pl.uid]) {
				continue
			}
			cost := lost(j, pl.p, now)
			rank, _ := api.RankOf(j.main.Run.Rank)
			if !c.policy.Preempt(q.work, c.describe(j, rank, !over[pl.uid], now), cost) {
				continue
			}
			byName[id] = pl
			cand = append(cand, sched.Victim{Piece: id, Room: need(&j.main.Run), Cost: cost})
		}
		take, cost := sched.Preempt(h.Free, a.Need, cand)
		if !h.Warm[a.Bundle] {
			cost += a.PullS // the task waits for its image there
			if a.Warm {
				cost += 10 * a.PullS // and misses its aim
			}
		}
		if take == nil || best != nil && cost >= bestCost {
			continue
		}
		best, on, bestCost = nil, h, cost
		for _, v := range take {
			best = append(best, byName[v.Piece])
		}
	}
	return best, on
}

// lost estimates the work that stopping a task loses, in seconds.
func lost(j *liveJob, p *job.Place, now time.Time) float64 {
	run := float64(now.UnixMilli()-j.main.AtMS)/1000 - float64(p.AtS)
	run = max(run, 0)
	if b := j.main.Run.BookmarkS; b > 0 {
		return min(run, j.main.Run.StowS) + run/1000
	}
	return run + 1
}
