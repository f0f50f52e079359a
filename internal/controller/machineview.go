package controller

import (
	"math"
	"net/url"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// capOf gives a machine type's size. Call with the lock held.
func (c *Controller) capOf(build string) (sched.Resources, *cloud.MachineType) {
	for i := range c.machineTypes {
		f := &c.machineTypes[i]
		if f.Name == build {
			return sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}, f
		}
	}
	return sched.Resources{}, nil
}

// usable tells whether a machine of an own part can take tasks. Call with the
// lock held.
func (c *Controller) usable(host string, now time.Time) bool {
	s := c.sessions[host]
	return s != nil && s.Fenced && !s.Gone && !s.Dark && !s.Drain && !s.Deaf && s.Report.NoticeS == nil && !now.Before(s.Avoid) &&
		now.Sub(s.Seen) < 3*c.cfg.Report()
}

// pull is how long fetching a job's image takes at least. Call with the lock held.
func (c *Controller) pull(r *api.Job) float64 {
	best := 0.0
	for _, f := range c.machineTypes {
		best = max(best, f.FetchGBPerS)
	}
	if best <= 0 {
		return 0
	}
	return r.ImageGB / best
}

// freeOf computes the free room of the usable machines of an own part from the
// committed placements, less those that are over. A machine without any is left
// out. Call with the lock held.
func (c *Controller) freeOf(p string, now time.Time) map[string]sched.Resources {
	free := map[string]sched.Resources{}
	for _, host := range c.replica.hostNames() {
		if c.replica.hosts[host].Part != p {
			continue
		}
		if r, _, ok := c.freeOn(host, now); ok {
			free[host] = r
		}
	}
	return free
}

// freeOn gives the free room of a machine of an own part, and the size of the machine;
// false if it has none or can't take tasks. Call with the lock held.
func (c *Controller) freeOn(host string, now time.Time) (free, size sched.Resources, ok bool) {
	if !c.usable(host, now) {
		return sched.Resources{}, sched.Resources{}, false
	}
	size, f := c.capOf(c.replica.hosts[host].MachineType)
	if f == nil {
		return sched.Resources{}, size, false
	}
	free = size.Sub(c.loadOf(host).used)
	return free, size, free.CPUs > 1e-6 && free.MemGB > 1e-6
}

// hosts lists the machines with their free room: of own parts as computed, of
// peers' as their records say. Call with the lock held.
func (c *Controller) hosts(now time.Time) []*sched.Host {
	type view struct {
		own  bool
		free shard.Free // of a peer's part
	}
	parts := map[string]view{}
	for _, p := range c.parts {
		own, rec := c.replica.owns[p].v, c.replica.parts[p].v
		if own == nil || rec == nil {
			continue
		}
		if c.owned(p) != nil {
			parts[p] = view{own: true}
		} else if own.Node != c.cfg.HostName {
			parts[p] = view{free: rec.Free}
		}
	}
	names := c.replica.hostNames()
	room := make([]sched.Host, 0, len(names))
	out := make([]*sched.Host, 0, len(names))
	for _, h := range names {
		m := c.replica.hosts[h]
		v, ok := parts[m.Part]
		if !ok {
			continue
		}
		var free, size sched.Resources
		if v.own {
			free, size, ok = c.freeOn(h, now)
		} else {
			var vec [3]float64
			vec, ok = v.free[h]
			free = shard.Unvec(vec)
			size, _ = c.capOf(m.MachineType)
		}
		if !ok {
			continue
		}
		l := c.loadOf(h)
		room = append(
			room,
			sched.Host{
				WaitS: c.waitOn(h, l, now), Name: h, Part: m.Part, MachineType: m.MachineType, Zone: m.Zone,
				Spot: m.Spot, Cap: size, Free: free, Leaving: l.leaving, Images: c.replica.images[h],
				Services: l.daemons, Arrays: l.sweeps,
			},
		)
		out = append(out, &room[len(room)-1])
	}
	return out
}

// teamUse is what a team's tasks hold in all, by the parts' records.
func (c *Controller) teamUse(name string) sched.Resources {
	var r sched.Resources
	for _, p := range c.replica.parts {
		r = r.Add(shard.Unvec(p.v.Use[name]))
	}
	return r
}

func teamID(name string) string { return url.PathEscape(name) }

// least gives the smallest amounts that any waiting task asks for: a machine
// with less has no room for anybody. Call with the lock held.
func least(queue []*queued) sched.Resources {
	inf := math.Inf(1)
	m := sched.Resources{CPUs: inf, GPUs: inf, MemGB: inf}
	for _, q := range queue {
		if len(q.j.pending()) > 0 {
			n := need(&q.j.main.Spec)
			m = sched.Resources{CPUs: min(m.CPUs, n.CPUs), GPUs: min(m.GPUs, n.GPUs), MemGB: min(m.MemGB, n.MemGB)}
		}
	}
	return m
}

// fitting gives the machines that have as much room, by part.
func fitting(hosts []*sched.Host, n sched.Resources) map[string][]*sched.Host {
	out := map[string][]*sched.Host{}
	for _, h := range hosts {
		if h.Free.Fits(n) {
			out[h.Part] = append(out[h.Part], h)
		}
	}
	return out
}

// without takes a machine from a list, which it changes.
func without(l []*sched.Host, h *sched.Host) []*sched.Host {
	if i := slices.Index(l, h); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// vacate adds to what is free on machines the room that tasks on their way out
// will leave.
func vacate(hosts []*sched.Host) {
	for _, h := range hosts {
		if h.Leaving != (sched.Resources{}) {
			h.Free = h.Free.Add(h.Leaving)
		}
	}
}

// recentPlan is the newest plan that a decision made, and when.
type recentPlan struct {
	plan *plan
	at   time.Time
}

// takePlan gives a plan that was made since the last round of rentals, or else makes
// one: a plan is the dearest thing that a controller works out, and what a decision
// found to lack room lacks it for rentals too. Each plan is given once, for who rents
// fills its machines. Call with the lock held.
func (c *Controller) takePlan(now time.Time) *plan {
	recent := c.recent
	c.recent = recentPlan{}
	if recent.plan != nil && now.Sub(recent.at) <= c.cloudPause() {
		return recent.plan
	}
	return c.plan(now)
}
