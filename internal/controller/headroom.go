package controller

import (
	"math"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// arrival is a job that came.
type arrival struct {
	at   time.Time
	run  *api.Job
	need float64 // tasks
}

// never stands for a slack without end in expressions.
const never = 1e9

// arrivalWindows is over how many boots arrivals are looked at.
const arrivalWindows = 4

// arrived notes a job for the head-room. It is called with the lock held.
func (c *Controller) arrived(m *job.Main) {
	const lanes = 64
	if c.arrivals[m.Spec.Class] == nil && len(c.arrivals) >= lanes {
		clear(c.arrivals) // users may name lanes at will
	}
	l := append(c.arrivals[m.Spec.Class], arrival{time.UnixMilli(m.AtMS), &m.Spec, float64(m.Spec.Tasks)})
	if len(l) > c.mostArrivals() {
		l = l[1:]
	}
	c.arrivals[m.Spec.Class] = l
}

// wanted is room to be kept for a class of jobs, by zone if they are scattered, and the
// rank of the work it is kept for.
type wanted struct {
	class string
	rank  int
	asks  []sched.Unmet
}

// tasks counts the tasks that room is kept for.
func (w *wanted) tasks() int {
	n := 0
	for _, u := range w.asks {
		n += u.Count
	}
	return n
}

// yielding gives copies of the machines with the room of tasks of a lower rank
// added to what is free: that need not be kept, it can be taken when needed.
// Call with the lock held.
func (c *Controller) yielding(hosts []*sched.Host, rank int) []*sched.Host {
	room := make([]sched.Host, len(hosts))
	out := make([]*sched.Host, len(hosts))
	for i, h := range hosts {
		room[i] = *h
		l := c.loadOf(h.Name)
		for r := rank + 1; r < len(l.staying); r++ {
			room[i].Free = room[i].Free.Add(l.staying[r])
		}
		out[i] = &room[i]
	}
	return out
}

// boot is how long the soonest machine takes to boot. Call with the lock held.
func (c *Controller) boot() time.Duration {
	startup := 0.0
	for _, f := range c.machineTypes {
		if startup == 0 || f.BootS < startup {
			startup = f.BootS
		}
	}
	return time.Duration(startup * float64(time.Second))
}

// headroom tells which tasks to keep room for that have not come yet: of lanes
// whose jobs can't wait for a machine to boot, as many as arrivals fluctuate by
// while one does. What ends in that time makes room for the average. Call with
// the lock held.
func (c *Controller) headroom(now time.Time) []wanted {
	boot := c.boot()
	if boot == 0 {
		return nil
	}
	startup := boot.Seconds()
	admission := c.admission(now)
	var out []wanted
	for lane, l := range c.arrivals {
		squares := 0.0
		var last *api.Job
		for _, a := range l {
			if age := now.Sub(a.at); age < arrivalWindows*boot {
				squares += a.need * a.need
				last = a.run
			}
		}
		if last == nil {
			continue
		}
		rank, _ := api.PriorityOf(last.Priority)
		slack := c.slack(lane, last, c.pull(last))
		w := config.Work{
			Class:    lane,
			Team:     last.Team,
			Kind:     last.Kind,
			Priority: rank,
			Slack:    min(slack, never),
			Tasks:    last.Tasks,
			GPUs:     last.GPUs,
			CPUs:     last.CPUs,
		}
		keep := c.policy.Headroom(w, math.Sqrt(squares/arrivalWindows), startup, min(slack, never))
		if keep == 0 {
			continue
		}
		n := int(math.Ceil(max(keep, c.growth(lane, l, boot, arrivalWindows*boot, now))))
		ask := askOf(last)
		if gate := c.gateOfSpec(last, admission); gate != nil {
			ask.ZoneOK = gate.admits // no head-room below production in a zone that is closed to it
		}
		if !last.Spread {
			out = append(out, wanted{lane, rank, []sched.Unmet{{Ask: ask, Count: n}}})
			continue
		}
		sites := c.cfg.Facts.Zones
		byZone := wanted{class: lane, rank: rank}
		for _, site := range sites { // each zone takes its share of a scattered job
			if ask.Zone == "" || ask.Zone == site {
				a := ask
				a.Zone = site
				byZone.asks = append(byZone.asks, sched.Unmet{Ask: a, Count: (n + len(sites) - 1) / len(sites)})
			}
		}
		out = append(out, byZone)
	}
	return out
}

// growth is by how much a lane's arrays will outgrow the room that their running
// tasks leave while a machine boots: at the start of a day, or when more come
// than before, whoever waits for them to find no room rents a boot too late. The
// rate is that of the newer half of what was seen, so that what came at once in
// the beginning does not count. Call with the lock held.
func (c *Controller) growth(lane string, l []arrival, boot, window time.Duration, now time.Time) float64 {
	if len(l) == 0 || l[len(l)-1].run.Kind != api.Array {
		return 0
	}
	half := min(now.Sub(l[0].at), window) / 2
	jobs, tasks := 0, 0.0
	for _, a := range l {
		if now.Sub(a.at) < half {
			jobs++
			tasks += a.need
		}
	}
	const few = 8 // jobs from which on a rate says something
	if jobs < few || half < boot/8 {
		return 0
	}
	grow := tasks / half.Seconds() * boot.Seconds()
	for _, on := range c.replica.onHost {
		for _, pl := range on {
			j := c.replica.jobs[pl.uid]
			if j == nil || j.main.Spec.Class != lane {
				continue
			}
			ran := now.Sub(time.UnixMilli(placedMS(j, pl)))
			if (ran + boot).Seconds() > c.runs(&j.main.Spec) {
				grow--
			}
		}
	}
	return max(grow, 0)
}

// slack is how long a job of the lane can wait before it misses its aim, when
// fetching its image takes so many seconds.
func (c *Controller) slack(lane string, r *api.Job, fetch float64) float64 {
	s := math.Inf(1)
	if r.DeadlineS != nil {
		s = *r.DeadlineS - r.EstimateS - fetch
	}
	for _, o := range c.cfg.Facts.Objectives {
		if o.Class != lane {
			continue
		}
		switch o.Kind {
		case "wait":
			s = min(s, o.WithinS-fetch)
		case "finished":
			s = min(s, o.WithinS-fetch-r.EstimateS)
		}
	}
	if team, ok := c.cfg.Team(r.Team); ok && (team.CPUs > 0 || team.GPUs > 0) {
		s = min(s, 2*c.cfg.Report().Seconds()) // work within a guarantee need not wait
	}
	return s
}

// spares gives the idle machines that belong to the head-room: what is to be
// kept room for takes them after it has filled the others. Call with the lock
// held.
func (c *Controller) spares(left []*sched.Host, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, w := range c.headroom(now) {
		room := c.yielding(left, w.rank)
		for _, u := range w.asks {
			ranking := sched.Rank(nil, room, &u.Ask)
			for range u.Count {
				h := ranking.Best(nil)
				if h == nil {
					break
				}
				h.Free = h.Free.Sub(u.Ask.Need)
				if h.Services+h.Arrays == 0 {
					out[h.Name] = true
				}
			}
		}
	}
	return out
}
