package controller

import (
	"math"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// arrival is a job that came.
type arrival struct {
	at   time.Time
	run  *api.Run
	need float64 // tasks
}

// mostArrivals bounds what is remembered of one lane.
const mostArrivals = 64

// arrived notes a job for the head-room. It is called with the lock held.
func (c *Controller) arrived(m *job.Main) {
	l := append(c.arrivals[m.Run.Lane], arrival{time.UnixMilli(m.AtMS), &m.Run, float64(m.Run.Pieces)})
	if len(l) > mostArrivals {
		l = l[1:]
	}
	c.arrivals[m.Run.Lane] = l
}

// headroom tells which tasks to keep room for that have not come yet: of lanes
// whose jobs can't wait for a machine to boot, as many as arrivals fluctuate by
// while one does. What ends in that time makes room for the average. Call with
// the lock held.
func (c *Controller) headroom(now time.Time) []sched.Unmet {
	startup, pull := 0.0, 0.0
	for _, f := range c.flavors {
		if startup == 0 || f.StartupS < startup {
			startup, pull = f.StartupS, f.PullGBPerS
		}
	}
	if startup == 0 {
		return nil
	}
	boot := time.Duration(startup * float64(time.Second))
	const windows = 4
	var out []sched.Unmet
	for lane, l := range c.arrivals {
		squares := 0.0
		var last *api.Run
		for _, a := range l {
			if age := now.Sub(a.at); age < windows*boot {
				squares += a.need * a.need
				last = a.run
			}
		}
		if last == nil || last.Rank == "idle" || c.slack(lane, last, pull) > 1.25*startup {
			continue
		}
		if last.Shape == api.Daemon && last.Rank == "production" {
			continue // it takes the room of others
		}
		n := int(math.Ceil(2.5 * math.Sqrt(squares/windows)))
		out = append(out, sched.Unmet{Ask: askOf(last), Count: n})
	}
	return out
}

// slack is how long a job of the lane can wait before it misses its aim.
func (c *Controller) slack(lane string, r *api.Run, pull float64) float64 {
	s := math.Inf(1)
	fetch := 0.0
	if pull > 0 {
		fetch = r.SizeGB / pull
	}
	if r.DueS != nil {
		s = *r.DueS - r.GuessS - fetch
	}
	for _, o := range c.cfg.Facts.Objectives {
		if o.Class != lane {
			continue
		}
		switch o.Kind {
		case "wait":
			s = min(s, o.WithinS-fetch)
		case "finished":
			s = min(s, o.WithinS-fetch-r.GuessS)
		}
	}
	if team, ok := c.cfg.Team(r.Owner); ok && (team.CPUs > 0 || team.GPUs > 0) {
		s = min(s, 2*c.cfg.Report().Seconds()) // work within a guarantee need not wait
	}
	return s
}

// spare tells whether an idle machine is part of the head-room: what is to be
// kept room for would not fit without it. Call with the lock held.
func (c *Controller) spare(host string, now time.Time) bool {
	want := c.headroom(now)
	if len(want) == 0 {
		return false
	}
	var others []*sched.Host
	for _, h := range c.plan(now).left {
		if h.Name != host {
			others = append(others, h)
		}
	}
	m := c.m.hosts[host].v
	for i := range want {
		u := &want[i]
		for range u.Count {
			h := sched.FullestFit(others, &u.Ask)
			if h == nil {
				if u.Ask.Allows(m.Build, m.Site, m.Loaners) {
					return true
				}
				break
			}
			h.Free = h.Free.Sub(u.Ask.Need)
		}
	}
	return false
}
