package controller

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/sched"
)

// queued is a job with tasks to place.
type queued struct {
	j         *liveJob
	uid       string
	rank      int
	guarantee bool
	mine      bool
	starving  bool
	released  bool // a gang that has begun its search for room again
	work      config.Work
	weight    float64
}

// describe tells expressions of a job. Call with the lock held.
func (c *Controller) describe(j *liveJob, rank int, guarantee bool, now time.Time) config.Work {
	r := &j.main.Spec
	w := config.Work{
		Class:      r.Class,
		Team:       r.Team,
		Kind:       r.Kind,
		Priority:   rank,
		Guaranteed: guarantee,
		Tasks:      r.Tasks,
		GPUs:       r.GPUs,
		CPUs:       r.CPUs,
		Age:        float64(now.UnixMilli()-j.main.AtMS) / 1000,
		Slack:      never,
	}
	if in := c.within(r); in < never {
		w.Slack = in - w.Age - c.runs(r)
	}
	return w
}

// bySlack puts first what has least slack, but what is late anyhow after all
// that can still be in time.
func bySlack(a, b config.Work) int {
	return cmp.Or(-sched.CompareBool(a.Slack >= 0, b.Slack >= 0), cmp.Compare(max(a.Slack, 0), max(b.Slack, 0)))
}

// inOrder is the order in which jobs are served: by weight (by default rank, then what
// is within a team's guarantee), then own ones, then what starves or was released, then
// slack, then age. Own ones come first since those of peers are placed by them, and what
// they will take is only kept from what comes after them: without that a peer's job would
// first see its room taken and then stop the taker to get it back.
func inOrder(a, b *queued) int {
	return cmp.Or(-cmp.Compare(a.weight, b.weight), -sched.CompareBool(a.mine, b.mine), -sched.CompareBool(a.starving, b.starving),
		-sched.CompareBool(a.released, b.released), bySlack(a.work, b.work), byAge(a.j, b.j))
}

// queue lists the living jobs in the order in which they are served. Call with the lock
// held.
func (c *Controller) queue(now time.Time) []*queued {
	var q []*queued
	byTeam := map[string][]*liveJob{}
	for _, j := range c.replica.jobs {
		if !j.main.Cancelled {
			byTeam[j.main.Spec.Team] = append(byTeam[j.main.Spec.Team], j)
		}
	}
	for name, jobs := range byTeam {
		team, _ := c.cfg.Team(name)
		slices.SortFunc(jobs, byAge)
		cpus, gpus := 0.0, 0.0
		for _, j := range jobs {
			r := &j.main.Spec
			left := float64(r.Tasks - j.main.FinishedTasks())
			cpus += r.CPUs * left
			gpus += r.GPUs * left
			rank, _ := api.PriorityOf(r.Priority)
			within := withinGuarantee(team, cpus, gpus)
			w := c.describe(j, rank, within, now)
			q = append(
				q,
				&queued{
					j:         j,
					uid:       r.UID,
					rank:      rank,
					guarantee: within,
					mine:      c.owned(j.main.Part) != nil,
					work:      w,
					weight:    c.policy.Weight(w),
					starving:  c.starving(j, w.Age),
					released:  c.released(r.UID),
				},
			)
		}
	}
	slices.SortFunc(q, inOrder)
	return q
}

// withinGuarantee tells whether a team's jobs fit its guarantee together.
func withinGuarantee(team config.Team, cpus, gpus float64) bool {
	const eps = 1e-6 // sums of decimal fractions are not exact
	if team.CPUs == 0 && team.GPUs == 0 {
		return false
	}
	return (team.CPUs == 0 || cpus <= team.CPUs+eps) && (team.GPUs == 0 || gpus <= team.GPUs+eps)
}

// mustBegin is within what time even the largest job has to begin (PROTOCOL).
const mustBegin = 4 * time.Minute

// starving tells whether a job has not begun although its own aim, or half of
// what PROTOCOL grants the largest jobs, has passed. Such a job goes first within
// its weight: what is late otherwise goes last, and under a stream of small jobs
// that can still be in time a large one would never begin. Call with the lock
// held.
func (c *Controller) starving(j *liveJob, age float64) bool {
	if age < min(c.within(&j.main.Spec), (mustBegin/2).Seconds()) || len(j.main.Fin) > 0 {
		return false
	}
	if isGang(j) { // what it holds or did before is no beginning
		return j.main.Gang == nil || !j.main.Gang.Go || j.main.Gang.Over
	}
	for _, ch := range j.chunks {
		if ch.v.Tries > 0 {
			return false
		}
	}
	return true
}

func byAge(a, b *liveJob) int {
	return cmp.Or(cmp.Compare(a.main.AtMS, b.main.AtMS), cmp.Compare(a.main.Spec.UID, b.main.Spec.UID))
}

// mostPending is how many tasks of one job are looked at at once: what some sixteen thousand
// machines of two accelerators take. A job may have more (api.MaxTasks); they follow when
// some of these are placed.
const mostPending = 1 << 15

// pending gives the job's tasks that are neither done nor placed, at most mostPending.
// Plans ask for those of all jobs, so they are kept until the job changes. Who
// changes the list copies it. Call with the lock held.
func (j *liveJob) pending() []task {
	most := mostPending
	if j.open != nil {
		return j.open
	}
	j.open = []task{}
	m := j.main
	if m.Frozen {
		return j.open
	}
	if isGang(j) {
		if most = m.Spec.Tasks; !m.Gang.Holds() && (m.Gang.Done || j.placed() > 0) {
			return j.open // all of the attempt has to be over first
		}
	}
	for n := range m.Chunks() {
		if m.Finished(n) {
			continue
		}
		ch := j.chunks[n].v
		for i, done := range ch.DoneFlags(m.ChunkLen(n)) {
			if done || ch.PlaceOf(i) != nil {
				continue
			}
			if j.open = append(j.open, task{n, i}); len(j.open) == most {
				return j.open
			}
		}
	}
	return j.open
}

// backingOff tells whether a job whose tasks failed waits before the next try:
// ever longer, so that a job that fails everywhere hurts nobody.
func (c *Controller) backingOff(q *queued, now time.Time) bool {
	e := 0
	for _, ch := range q.j.chunks {
		e += ch.v.Errors
	}
	if g := q.j.main.Gang; g != nil {
		e += max(g.Errors, g.Fails-1) // one attempt may fail by chance, and the next goes at once
	}
	if e == 0 {
		delete(c.errSeen, q.uid)
		delete(c.retryAt, q.uid)
		return false
	}
	if e > c.errSeen[q.uid] {
		c.retryAt[q.uid] = now.Add(min(c.cfg.Report()<<min(e-1, 10), c.cfg.Lease()))
	}
	c.errSeen[q.uid] = e
	return now.Before(c.retryAt[q.uid])
}
