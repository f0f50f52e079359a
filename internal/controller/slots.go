package controller

import (
	"math"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/sched"
)

// observe learns how long tasks of a lane run against their owners' estimates,
// which are often mostly too high or mostly too low. Call with the lock held.
func (c *Controller) observe(lane string, ratio float64) {
	const lanes = 64
	if _, ok := c.bias[lane]; !ok && len(c.bias) >= lanes {
		clear(c.bias)
	}
	ratio = min(max(ratio, 0.1), 10)
	if old, ok := c.bias[lane]; ok {
		ratio = math.Exp(0.9*math.Log(old) + 0.1*math.Log(ratio))
	}
	c.bias[lane] = ratio
}

// runs estimates how long a task of the job runs, image apart. Call with the
// lock held.
func (c *Controller) runs(r *api.Run) float64 {
	if b, ok := c.bias[r.Lane]; ok {
		return r.GuessS * b
	}
	return r.GuessS
}

// within is when a job should be complete, in seconds from its submission.
func (c *Controller) within(r *api.Run) float64 {
	w := float64(never)
	if r.DueS != nil {
		w = *r.DueS
	}
	for _, o := range c.cfg.Facts.Objectives {
		if o.Kind == "finished" && o.Class == r.Lane && r.Shape == api.Sweep {
			w = min(w, o.WithinS)
		}
	}
	return w
}

// slot is room that an array's task leaves when it ends.
type slot struct {
	at   float64 // seconds from now
	room sched.Room
	host *sched.Host
}

// slots lists the room that running arrays' tasks will leave, soonest first.
// Call with the lock held.
func (c *Controller) slots(hosts []*sched.Host, now time.Time) []slot {
	var out []slot
	for _, h := range hosts {
		for _, pl := range c.m.onHost[h.Name] {
			j := c.m.jobs[pl.uid]
			if j == nil || j.main.Gone || pl.p.Stop || j.main.Run.Shape != api.Sweep {
				continue
			}
			r := &j.main.Run
			ran := float64(now.UnixMilli()-j.main.AtMS)/1000 - float64(pl.p.AtS) - c.pull(r)
			out = append(out, slot{max(c.runs(r)-ran, c.cfg.Report().Seconds()), need(r), h})
		}
	}
	sortSlots(out)
	return out
}

func sortSlots(l []slot) {
	slices.SortFunc(l, func(a, b slot) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
}

// canWait takes tasks off that can wait for a running task's room and still
// meet their job's aim, in the order of service, and gives the number that
// can't. Room once waited for is taken again after them. Call with the lock held.
func (c *Controller) canWait(l *lacking, free []slot, now time.Time) int {
	r := &l.q.j.main.Run
	within := c.within(r)
	if r.Shape != api.Sweep || within == never {
		return len(l.tasks)
	}
	left := within - float64(now.UnixMilli()-l.q.j.main.AtMS)/1000
	run := c.runs(r) + c.pull(r) + 2*c.cfg.Report().Seconds()
	n := len(l.tasks)
	for n > 0 {
		i := slices.IndexFunc(free, func(s slot) bool {
			return s.room.Fits(l.ask.Need) && l.ask.Allows(s.host.Build, s.host.Site, s.host.Loaners)
		})
		if i < 0 || free[i].at+1.3*run > left {
			break
		}
		free[i].at += run
		sortSlots(free)
		n--
	}
	return n
}

// rounds is how many tasks one after the other a machine rented now can run
// for the job in time, at least one. Call with the lock held.
func (c *Controller) rounds(l *lacking, now time.Time) float64 {
	r := &l.q.j.main.Run
	within := c.within(r)
	if r.Shape != api.Sweep || within == never || r.GuessS <= 0 {
		return 1
	}
	startup := 0.0
	for _, f := range c.flavors {
		startup = max(startup, f.StartupS)
	}
	left := within - float64(now.UnixMilli()-l.q.j.main.AtMS)/1000 - startup - c.pull(r)
	return max(1, left/(1.3*c.runs(r)+2*c.cfg.Report().Seconds()))
}
