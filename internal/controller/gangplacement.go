package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/store"
)

// gangChanges is how many changes a gang's claim takes as a rule: its main record and
// the parts' that it is on. As many are left to gangs while there are any.
const gangChanges = 3

// keepForGangs has other decisions leave changes for gangs if some came lately. Call
// with the lock held.
func (c *Controller) keepForGangs(now time.Time) {
	keep := 0.0
	for _, l := range c.arrivals {
		if n := len(l); n > 0 && l[n-1].run.Kind == api.Gang && now.Sub(l[n-1].at) < mustBegin {
			keep = gangChanges
		}
	}
	if s, ok := c.store.(interface{ Keep(float64) }); ok {
		s.Keep(keep)
	}
}

// gangClaim is room for all tasks of a gang that lack some.
type gangClaim struct {
	uid   string
	seats []placement
}

// gangSearch is a gang in a plan: all or nothing.
type gangSearch struct {
	l     *waitingJob
	seats []*sched.Host // nil entries: not found
	zone  string        // of a gang whose tasks go together
	how   outlook       // how it can get its room there
	kept  bool          // the seats found are kept from others though they are not all
	hold  int           // places that it has already
}

// outlook is how a gang can get its room in a zone, the best first. Only the zone that is
// chosen is rented and preempted in, so one that just happens to have most room free, but
// can have no more, must not be.
type outlook int

const (
	atOnce  outlook = iota
	comes           // with what is being left, and boots
	taken           // with what lower ranks have
	rented          // with machines that can be rented
	nowhere         // not as things stand
)

// yields tells how a gang that lacks room in a zone, even with what is coming, can get
// it. Call with the lock held.
func (c *Controller) yields(l *waitingJob, a *sched.TaskRequest, all []*sched.Host, n int, now time.Time) outlook {
	if sched.Slots(c.yielding(all, l.q.rank), a, n) >= n {
		return taken
	}
	for _, o := range c.offers(now) {
		if a.Allows(o.MachineType, o.Zone, o.Spot) {
			return rented
		}
	}
	return nowhere
}

// sites lists the zones that a gang whose tasks go together may choose from, this
// node's first; one that is bound, or that may go anywhere, has one choice.
func (c *Controller) sites(l *waitingJob) []string {
	r := &l.q.j.main.Spec
	if !r.Together || l.z.zone != "" || r.Zone != "" {
		return []string{""}
	}
	out := []string{c.cfg.Site}
	for _, z := range c.cfg.Facts.Zones {
		if z != c.cfg.Site {
			out = append(out, z)
		}
	}
	return out
}

// ordered gives the machines with room by part: the gang's own first, then the peers'
// in random order.
func (c *Controller) ordered(hosts map[string][]*sched.Host, own string) [][]*sched.Host {
	var peers []string
	for _, p := range slices.Sorted(maps.Keys(hosts)) {
		if p != own {
			peers = append(peers, p)
		}
	}
	c.rnd.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	out := [][]*sched.Host{hosts[own]}
	for _, p := range peers {
		out = append(out, hosts[p])
	}
	return out
}

// seat looks for room for all of a gang's tasks that have none, in the zone where they
// start soonest. What is found for a gang that can't be complete is kept from others
// only when the room that is coming completes it. Call with the lock held.
func (c *Controller) seat(l *waitingJob, hosts map[string][]*sched.Host, all, coming []*sched.Host, now time.Time) *gangSearch {
	j := l.q.j
	n := len(l.tasks)
	x := &gangSearch{l: l, hold: j.placed()}
	parts := c.ordered(hosts, j.main.Part)
	flat := slices.Concat(parts...)
	better := func(seats []*sched.Host, how outlook, than []*sched.Host) bool {
		if than == nil {
			return true
		}
		if how != x.how {
			return how < x.how
		}
		if a, b := sched.Missing(seats), sched.Missing(than); a != b {
			return a < b
		}
		if a, b := sched.Delay(seats, &l.ask), sched.Delay(than, &l.ask); a != b {
			return a < b
		}
		return sched.PartsOf(seats) < sched.PartsOf(than)
	}
	soon := false // with what is coming it would be complete
	sites := c.sites(l)
	for _, site := range sites {
		a := l.ask
		if site != "" {
			a.Zone = site
		}
		free := sched.Slots(flat, &a, n)
		will := free + sched.Slots(coming, &a, n-free)
		for _, h := range flat { // and what is on its way out
			if a.Allows(h.MachineType, h.Zone, h.Spot) && will < n {
				away := *h
				away.Free = c.loadOf(h.Name).leaving
				will += sched.Slots([]*sched.Host{&away}, &a, n-will)
			}
		}
		soon = soon || will >= n
		how := rented
		switch {
		case free >= n:
			how = atOnce
		case will >= n:
			how = comes
		case len(sites) > 1:
			how = c.yields(l, &a, all, n, now)
		}
		if free == 0 || will < n { // a quick look, for one that is far too large
			if none := make([]*sched.Host, n); better(none, how, x.seats) {
				x.seats, x.zone, x.how = none, site, how
			}
			continue
		}
		// Part after part, or all as one: a fetch takes longer than another part's record
		// to be changed, and the last task decides when all start.
		for _, by := range [][][]*sched.Host{parts, {flat}} {
			z := c.zonesOf(j, l.z.gate.trial())
			var seats []sched.Seat
			for _, t := range l.tasks {
				seats = append(seats, sched.Seat{Zone: func(s string) bool { return z.ok(t.chunk, s) }, Took: func(s string) { z.add(t.chunk, s) }})
			}
			found := sched.Seats(by, &a, seats)
			sched.Unseat(found, &a)
			if better(found, how, x.seats) {
				x.seats, x.zone, x.how = found, site, how
			}
			if sched.Missing(found) == 0 && sched.Delay(found, &a) == 0 {
				break // as soon as can be
			}
		}
	}
	missing := sched.Missing(x.seats)
	x.kept = missing == 0 || soon
	if x.kept {
		for i, h := range x.seats {
			if h != nil {
				h.Free = h.Free.Sub(l.ask.Need)
				l.z.add(l.tasks[i].chunk, h.Zone)
			}
		}
	}
	if j.main.Spec.Together && l.z.zone == "" && missing > 0 {
		l.z.zone = x.zone // what is missing is looked for, and rented, there
	}
	return x
}

// claim gives the placements of a search that found all.
func (x *gangSearch) claim() *gangClaim {
	out := &gangClaim{uid: x.l.q.uid}
	for i, h := range x.seats {
		t := x.l.tasks[i]
		out.seats = append(out.seats, placement{x.l.q.uid, t.chunk, t.index, h, nil})
	}
	return out
}

// gangTxn claims room for a gang: all that fits one transaction. If then all of its
// tasks have a place the same write lets the workers start them, else what was claimed
// is only held. It gives no transaction when the room is gone. Call with the lock held.
func (c *Controller) gangTxn(g *gangClaim, now time.Time) (t *txn, rest []placement, said [][]any) {
	j := c.replica.jobs[g.uid]
	if j == nil || !j.main.Gang.Holds() && j.placed() > 0 {
		return nil, nil, nil
	}
	e := c.edit()
	e.most = c.limits().TxnOps
	cl := &claims{c: c, by: map[string]*claim{}}
	z := c.zonesOf(j, c.admission(now))
	placed := j.placed()
	var try uint64
	n := 0
	for i, x := range g.seats {
		k, more, ok := cl.take(x, now)
		if k == nil || !z.ok(x.chunk, x.host.Zone) {
			return nil, nil, nil // all or nothing: planned anew
		}
		if more += e.cost(j, x.chunk); more > 0 && e.full(more, cl.more) {
			rest = g.seats[i:]
			break
		}
		ok()
		c.guardOwn(e.t, j.main.Part)
		ch := e.chunk(j, x.chunk)
		m := e.main(j)
		if n == 0 {
			if m.Gang == nil {
				m.Gang = &job.Gang{}
			}
			was := m.Gang.Try
			if try = m.Gang.Begin(placed); try != was {
				m.Zone = ""
			}
		}
		if j.main.Spec.Together && m.Zone == "" {
			m.Zone = x.host.Zone
		}
		if s := c.sessions[x.host.Name]; s != nil && s.Releases[taskID(g.uid, x.chunk, x.index)].Try == try {
			return nil, nil, nil // that attempt of the task is over on that machine
		}
		ch.PutAs(x.index, x.host.Name, try, max(0, (now.UnixMilli()-j.main.AtMS)/1000))
		z.add(x.chunk, x.host.Zone)
		n++
		said = append(said, []any{"task", api.TaskName(g.uid, x.chunk*j.main.Chunk+x.index), "try", try, "host", x.host.Name, "part", x.host.Part,
			"own", x.host.Part == j.main.Part, "image", j.main.Spec.Image, "warm", x.host.Images[j.main.Spec.Image]})
	}
	if n == 0 {
		return nil, nil, nil
	}
	if placed+n == j.main.Spec.Tasks {
		e.main(j).Gang.Launch(max(0, (now.UnixMilli()-j.main.AtMS)/1000))
	}
	t = e.txn()
	if e.tight {
		return nil, nil, nil
	}
	cl.write(t)
	return t, rest, said
}

// claimGang commits a gang's claim, in as many steps as it takes.
func (c *Controller) claimGang(ctx context.Context, g *gangClaim) {
	for tries := 0; len(g.seats) > 0 && tries < 3; {
		if c.store.Ready(ctx, min(gangChanges, c.cfg.Lowest().TxnOps), store.Gang) < 2 || !c.acting() || c.newest(ctx) != nil {
			return
		}
		c.mu.Lock()
		t, rest, said := c.gangTxn(g, c.now())
		c.mu.Unlock()
		if t == nil {
			return
		}
		done, _, err := c.commit(ctx, "gangs", t, store.Gang)
		switch {
		case done:
			g.seats, tries = rest, 0
			for _, l := range said {
				c.log.Info("task placed", l...)
			}
			c.mu.Lock()
			c.gang(g.uid).find.Claimed()
			c.mu.Unlock()
		case err == nil:
			tries++
		default:
			return
		}
	}
}

// gangLoop places gangs as they are accepted, beside the decisions that wait for their
// changes. What both write at once is decided by the state service.
func (c *Controller) gangLoop(ctx context.Context) {
	for {
		select {
		case <-c.newGang:
			c.gangsFirst(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// gangsFirst places gangs that came while other decisions wait for their changes: all
// tasks of one start with the last, so each second counts as often as it has tasks. One
// that finds no room is not looked at again for a while out of turn.
func (c *Controller) gangsFirst(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	var claims []*gangClaim
	some := false
	c.keepForGangs(now)
	for uid := range c.replica.gangs {
		j := c.replica.jobs[uid]
		if j.main.Cancelled || c.owned(j.main.Part) == nil || len(j.pending()) == 0 {
			continue
		}
		if g := c.gang(uid); now.Sub(g.look) > 8*c.cfg.Pause() {
			g.look, some = now, true
		}
	}
	if some && c.canAct(now) {
		claims = c.plan(now).gangs
	}
	c.mu.Unlock()
	for _, g := range claims {
		c.claimGang(ctx, g)
	}
}

// missGang notes that a gang found no room for all its tasks. One that holds some
// releases its claims after too many misses in a row. Call with the lock held.
func (c *Controller) missGang(x *gangSearch, now time.Time) {
	uid := x.l.q.uid
	if x.l.q.j.gangPhase() == job.GangHolding && c.gang(uid).find.Missed(now) {
		c.missed[uid] = true
		c.poke()
	}
}

// waitOn estimates how long a start on a machine waits for the worker's next report:
// one whose token was raised a moment ago can't be made to report by another raise. On a
// peer's machine that is so if a task was placed there. Call with the lock held.
func (c *Controller) waitOn(host string, l *load, now time.Time) float64 {
	raised := time.UnixMilli(l.newest)
	if s := c.sessions[host]; s != nil {
		raised = s.Announced()
	}
	if now.Sub(raised) < c.cfg.Lease()/2 {
		return c.cfg.Report().Seconds() / 2
	}
	return 0
}
