package controller

import (
	"context"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// returnRound decides which machines go back and returns them.
func (c *Controller) returnRound(ctx context.Context) {
	back := c.toReturn(ctx)
	if len(back) == 0 {
		return
	}
	if err := c.cloud.Return(ctx, back); err != nil {
		c.log.Info("machines not returned", "hosts", back, "err", err)
		return
	}
	c.mu.Lock()
	for _, h := range back {
		if s := c.sessions[h]; s != nil {
			s.Gone = true
		}
		if m := c.replica.hosts[h]; m != nil { // what was refused may be had again
			delete(c.refused, offerKey(sched.Offer{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}))
		}
	}
	c.mu.Unlock()
	c.log.Info("machines returned", "hosts", back)
	c.poke()
}

// toReturn gives the machines of own parts that are to be returned. On the way it fences
// those that have not heard of this owner, and judges which are to go.
func (c *Controller) toReturn(ctx context.Context) []string {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canAct(now) {
		return nil
	}
	var back []string
	view := &idleView{c: c, now: now}
	// What is idle or loose is judged against a plan of all machines, which is the dearest
	// thing that a controller works out. Against a boot it may wait a little.
	judge := now.Sub(c.judgedAt) >= c.boot()/16
	if judge {
		c.judgedAt = now
	}
	for host, m := range c.replica.hosts {
		o := c.owned(m.Part)
		rec := c.replica.parts[m.Part].v
		if o == nil || rec == nil {
			continue
		}
		s := c.session(host, o)
		if s.Gone {
			continue
		}
		// One that boots hears nothing and hangs the connection; all are fenced
		// once when the part is taken, for the list is late.
		if !s.Fenced && !c.booting[host] {
			c.fence(ctx, host)
		}
		if judge {
			c.judge(host, m, s, view)
		}
		_, offered := rec.Free[host]
		silent := now.Sub(s.Seen) > 2*c.cfg.Report()
		gone := s.Missing >= 2 && silent // says the list; the return proves it
		if gone || s.Drain && !offered && len(c.replica.onHost[host]) == 0 {
			back = append(back, host)
		}
	}
	slices.Sort(back)
	return back[:min(len(back), cloud.MaxReturn)]
}

// idleView is what judging a round of machines needs to know of all of them,
// worked out once if one of them asks.
type idleView struct {
	c     *Controller
	now   time.Time
	hosts []*sched.Host            // with the room that is left after what is to be placed
	sites map[string][]*sched.Host // by zone, those of them with replicas
	spare map[string]bool          // idle ones that the head-room needs
	kept  map[string]bool          // those that wait for the rest of a gang's room
}

func (v *idleView) left() []*sched.Host {
	if v.hosts == nil {
		p := v.c.plan(v.now)
		v.hosts, v.kept = p.left, p.kept
	}
	return v.hosts
}

// replicas gives the machines with replicas in a zone.
func (v *idleView) replicas(site string) []*sched.Host {
	if v.sites == nil {
		v.sites = map[string][]*sched.Host{}
		for _, h := range v.left() {
			if h.Services > 0 {
				v.sites[h.Zone] = append(v.sites[h.Zone], h)
			}
		}
	}
	return v.sites[site]
}

// fitElsewhere tells whether the tasks would all fit on other machines with replicas in
// the zone that have their images. It leaves the view as it was.
func (v *idleView) fitElsewhere(host, site string, asks []sched.TaskRequest) bool {
	others := v.replicas(site)
	var was []sched.Host // as they were, with what was tried on them
	var tried []*sched.Host
	put := func(h *sched.Host, free sched.Resources) {
		was, tried = append(was, *h), append(tried, h)
		h.Free = free
	}
	defer func() {
		for i := len(tried) - 1; i >= 0; i-- {
			*tried[i] = was[i]
		}
	}()
	for _, h := range others {
		if h.Name == host {
			put(h, sched.Resources{})
		}
	}
	for i := range asks {
		h := sched.FullestFit(others, &asks[i])
		if h == nil || !h.Images[asks[i].Image] {
			return false
		}
		put(h, h.Free.Sub(asks[i].Need))
	}
	return true
}

// isSpare tells whether a machine is part of the head-room.
func (v *idleView) isSpare(host string) bool {
	if v.spare == nil {
		v.spare = v.c.spares(v.left(), v.now)
	}
	return v.spare[host] || v.kept[host]
}

// judge decides whether a machine is to be returned. Call with the lock held.
func (c *Controller) judge(host string, m *shard.Machine, s *shard.Session, view *idleView) {
	now := view.now
	_, f := c.capOf(m.MachineType)
	if f == nil || s.Drain {
		return
	}
	startup := time.Duration(f.BootS * float64(time.Second))
	drain := func(why string) {
		s.Drain = true
		c.log.Info("machine drained", "host", host, "why", why)
		c.poke()
	}
	if !s.Fenced {
		// It has had time to boot, and since this owner took the part time to
		// answer a fence: what an earlier owner waited says nothing of a machine
		// that came up under it, but one that was lost under it must not be given
		// the time of a whole boot once more.
		if now.Sub(time.UnixMilli(m.AtMS)) > 4*startup+c.cfg.Lease() && now.Sub(s.Since) > 2*c.cfg.LeaseBound() {
			drain("never came up, or silent since before the part was taken")
		}
		return
	}
	if s.Dark {
		// A machine that is just up may be fenced before its first report was
		// ever answered: it counts from the fence.
		if now.Sub(s.Answered) > 2*c.cfg.LeaseBound() && now.Sub(s.Seen) > 2*c.cfg.LeaseBound() {
			drain("silent for long")
		}
		return
	}
	if c.busy(host) > 0 || s.Report != nil && slices.ContainsFunc(s.Report.Tasks, func(p api.TaskState) bool { return p.Phase != api.Ended }) {
		s.Idle = time.Time{}
		if !c.movable(host, startup, view) {
			s.Loose = time.Time{}
		} else if s.Loose.IsZero() {
			s.Loose = now
		} else if now.Sub(s.Loose) > 2*startup && now.Sub(c.movedAt) > startup {
			c.movedAt = now
			drain("its replicas fit elsewhere")
		}
		return
	}
	if s.Idle.IsZero() {
		s.Idle = now
	}
	if c.returning(m.Zone, now) != nil {
		return // it is idle because room is kept, or work held back, that will want it soon
	}
	if now.Sub(s.Idle).Seconds() > c.policy.Idle(f.BootS, priceOf(f, m.Spot), m.Spot) && !view.isSpare(host) {
		drain("idle")
	}
}

// movable tells whether a machine holds nothing but a few replicas that have run
// for a while and fit on machines in use elsewhere that have their images, so
// that moving them costs seconds and saves a machine. Call with the lock held.
func (c *Controller) movable(host string, startup time.Duration, view *idleView) bool {
	m, now := c.replica.hosts[host], view.now
	cp, _ := c.capOf(m.MachineType)
	used := sched.Resources{}
	for _, pl := range c.replica.onHost[host] {
		j := c.replica.jobs[pl.uid]
		if j == nil || j.main.Cancelled || pl.p.Stop || j.main.Spec.Kind != api.Service {
			return false
		}
		started := time.UnixMilli(j.main.AtMS).Add(time.Duration(pl.p.AtS) * time.Second)
		if now.Sub(started) < startup {
			return false
		}
		used = used.Add(need(&j.main.Spec))
	}
	if !cp.Fits(used.Times(2)) {
		return false
	}
	var asks []sched.TaskRequest
	for _, pl := range c.replica.onHost[host] {
		asks = append(asks, askOf(&c.replica.jobs[pl.uid].main.Spec))
	}
	return view.fitElsewhere(host, m.Zone, asks) && !view.isSpare(host)
}
