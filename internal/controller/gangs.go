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

// gangState is what this node remembers of a gang besides its record: how its search
// for room goes, and whether its tasks were seen running.
type gangState struct {
	find *sched.Gang
	look time.Time // when room was last looked for out of turn
	ran  uint64    // the attempt that was seen running here
}

func (c *Controller) gang(uid string) *gangState {
	g := c.gangs[uid]
	if g == nil {
		g = &gangState{find: sched.NewGang()}
		c.gangs[uid] = g
	}
	return g
}

// released tells whether a gang has begun its search for room again: it goes before
// newer ones. Call with the lock held.
func (c *Controller) released(uid string) bool {
	g := c.gangs[uid]
	return g != nil && g.find.Released
}

func isGang(j *liveJob) bool { return j.main.Run.Shape == api.Ensemble }

// placed counts the tasks that have a place.
func (j *liveJob) placed() int {
	n := 0
	for _, ch := range j.chunks {
		n += len(ch.v.Places)
	}
	return n
}

// gangPhase tells how a gang's attempt stands.
func (j *liveJob) gangPhase() job.GangPhase { return j.main.Gang.Phase(j.placed()) }

// leaves tells whether a placed task is to leave its machine.
func (j *liveJob) leaves(p *job.Place) bool {
	return p.Stop || j.main.Gone || isGang(j) && j.main.Gang.Leaves(p.Try)
}

// starts tells whether a placed task may be launched: of a gang only once all its
// room is held.
func (j *liveJob) starts(p *job.Place) bool {
	return !j.leaves(p) && (!isGang(j) || j.main.Gang.Starts(p.Try))
}

// gangChanges is how many changes a gang's claim takes as a rule: its main record and
// the parts' that it is on. As many are left to gangs while there are any.
const gangChanges = 3

// keepForGangs has other decisions leave changes for gangs if some came lately. Call
// with the lock held.
func (c *Controller) keepForGangs(now time.Time) {
	keep := 0.0
	for _, l := range c.arrivals {
		if n := len(l); n > 0 && l[n-1].run.Shape == api.Ensemble && now.Sub(l[n-1].at) < mustBegin {
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
	l     *lacking
	seats []*sched.Host // nil entries: not found
	zone  string        // of a gang whose tasks go together
	kept  bool          // the seats found are kept from others though they are not all
	hold  int           // places that it has already
}

// sites lists the zones that a gang whose tasks go together may choose from, this
// node's first; one that is bound, or that may go anywhere, has one choice.
func (c *Controller) sites(l *lacking) []string {
	r := &l.q.j.main.Run
	if !r.Together || l.z.zone != "" || r.Site != "" {
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
func (c *Controller) seat(l *lacking, hosts map[string][]*sched.Host, coming []*sched.Host) *gangSearch {
	j := l.q.j
	n := len(l.tasks)
	x := &gangSearch{l: l, hold: j.placed()}
	parts := c.ordered(hosts, j.main.Part)
	flat := slices.Concat(parts...)
	better := func(seats []*sched.Host, than []*sched.Host) bool {
		if than == nil {
			return true
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
	for _, site := range c.sites(l) {
		a := l.ask
		if site != "" {
			a.Site = site
		}
		free := sched.Slots(flat, &a, n)
		will := free + sched.Slots(coming, &a, n-free)
		for _, h := range flat { // and what is on its way out
			if a.Allows(h.Build, h.Site, h.Loaners) && will < n {
				away := *h
				away.Free = c.loadOf(h.Name).leaving
				will += sched.Slots([]*sched.Host{&away}, &a, n-will)
			}
		}
		soon = soon || will >= n
		if free == 0 || will < n { // a quick look, for one that is far too large
			if x.seats == nil {
				x.seats, x.zone = make([]*sched.Host, n), site
			}
			continue
		}
		// Part after part, or all as one: a fetch takes longer than another part's record
		// to be changed, and the last task decides when all start.
		for _, by := range [][][]*sched.Host{parts, {flat}} {
			z := c.zonesOf(j)
			var seats []sched.Seat
			for _, t := range l.tasks {
				seats = append(seats, sched.Seat{Zone: func(s string) bool { return z.ok(t.chunk, s) }, Took: func(s string) { z.add(t.chunk, s) }})
			}
			found := sched.Seats(by, &a, seats)
			sched.Unseat(found, &a)
			if better(found, x.seats) {
				x.seats, x.zone = found, site
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
				l.z.add(l.tasks[i].chunk, h.Site)
			}
		}
	}
	if j.main.Run.Together && l.z.zone == "" && missing > 0 {
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
	j := c.m.jobs[g.uid]
	if j == nil || !j.main.Gang.Holds() && j.placed() > 0 {
		return nil, nil, nil
	}
	e := c.edit()
	e.most = c.limits().TxnOps
	cl := &claims{c: c, by: map[string]*claim{}}
	z := c.zonesOf(j)
	placed := j.placed()
	var try uint64
	n := 0
	for i, x := range g.seats {
		k, more, ok := cl.take(x, now)
		if k == nil || !z.ok(x.chunk, x.host.Site) {
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
		if j.main.Run.Together && m.Zone == "" {
			m.Zone = x.host.Site
		}
		if s := c.sessions[x.host.Name]; s != nil && s.Releases[taskID(g.uid, x.chunk, x.index)].Try == try {
			return nil, nil, nil // that attempt of the task is over on that machine
		}
		ch.PutAs(x.index, x.host.Name, try, max(0, (now.UnixMilli()-j.main.AtMS)/1000))
		z.add(x.chunk, x.host.Site)
		n++
		said = append(said, []any{"task", api.PieceName(g.uid, x.chunk*j.main.Chunk+x.index), "try", try, "host", x.host.Name, "part", x.host.Part,
			"own", x.host.Part == j.main.Part, "image", j.main.Run.Bundle, "warm", x.host.Warm[j.main.Run.Bundle]})
	}
	if n == 0 {
		return nil, nil, nil
	}
	if placed+n == j.main.Run.Pieces {
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
	for uid := range c.m.gangs {
		j := c.m.jobs[uid]
		if j.main.Gone || c.owned(j.main.Part) == nil || len(j.pending()) == 0 {
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

// gangRound commits what became of gangs: ends of their tasks, which decide about all
// of them, orderly stops, claims that are given up.
func (c *Controller) gangRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	if len(c.m.gangs) == 0 {
		c.mu.Unlock()
		return false
	}
	byJob := map[string][]ending{}
	for k, ends := range c.gangEnds(now) {
		byJob[k.uid] = append(byJob[k.uid], ends...)
	}
	e := c.edit()
	for p := range c.mine {
		c.guardOwn(e.t, p)
	}
	more := false
	var said [][]any
	for _, uid := range slices.Sorted(maps.Keys(c.m.gangs)) {
		j := c.m.jobs[uid]
		if c.blocked(j) || j.main.Gang == nil {
			continue
		}
		if e.full(2, 0) {
			more = true
			break
		}
		before := *j.main.Gang
		if c.tendGang(e, j, byJob[uid], now) {
			after := e.mains[uid]
			line := []any{"job", uid, "try", before.Try, "was", before.Phase(j.placed())}
			if after != nil {
				line = append(line, "over", after.Gang.Over, "halt", after.Gang.Halt)
			} else {
				line = append(line, "done", true)
			}
			said = append(said, append(line, "ends", len(byJob[uid]), "placed", j.placed()))
		}
	}
	n := e.n
	t := e.txn()
	c.mu.Unlock()
	if n == 0 || e.tight {
		return e.tight
	}
	done, _, err := c.commit(ctx, "gang ends", t, store.Gang)
	if done {
		for _, l := range said {
			c.log.Info("gang", l...)
		}
		c.poke()
	}
	return more && (done || err == nil)
}

// gangEnds gives the ends of gangs' tasks on machines of own parts. Call with the lock
// held.
func (c *Controller) gangEnds(now time.Time) map[chunkID][]ending {
	all := c.endings(now)
	maps.DeleteFunc(all, func(k chunkID, _ []ending) bool { return !isGang(c.m.jobs[k.uid]) })
	return all
}

// tendGang adds to a transaction what is to become of a gang. It tells whether it did
// anything. Call with the lock held.
func (c *Controller) tendGang(e *edit, j *liveJob, ends []ending, now time.Time) bool {
	uid, m := j.main.Run.UID, j.main
	g := *m.Gang // as it will be
	launched := time.UnixMilli(m.AtMS).Add(time.Duration(g.AtS) * time.Second)
	gathering := c.gang(uid).ran != g.Try && now.Sub(launched) < c.cfg.GangWait()/2
	for _, x := range ends {
		how := x.rel.Exit
		if how == job.ExitDone && m.Gone {
			how = job.ExitLost // its user was told that it is withdrawn
		}
		g.Ended(x.rel.Try, how, gathering)
	}
	if g.Done && !m.Gang.Done {
		c.log.Info("job done", "job", uid)
		if m.Inner && (len(ends) == j.placed() || !c.counted(j)) {
			e.done(j, job.Past{Phase: api.Done, Done: m.Run.Pieces})
			return true
		}
		// It is called done from now on, though not all of its records are gone yet.
	}
	mine := c.owned(m.Part) != nil
	drop := false // claims that are given up: nothing of them was ever started
	switch j.main.Gang.Phase(j.placed()) {
	case job.GangHolding:
		drop = mine && (m.Gone || c.missed[uid])
		delete(c.missed, uid)
	case job.GangLaunched:
		if !m.Gone && c.recallsGang(j) {
			g.Halt = true
		}
		// The others wait for a task that was lost before they ran, but not for ever.
		if mine && j.placed() < m.Run.Pieces && now.Sub(launched) > c.cfg.GangWait()*3/4 {
			g.GiveUp()
		}
	}
	if len(ends) == 0 && !drop && g == *m.Gang {
		return false
	}
	if drop {
		for _, n := range slices.Sorted(maps.Keys(j.chunks)) {
			if e.cost(j, n) > 0 && e.full(e.cost(j, n), 0) {
				break // the rest in the next round
			}
			clear(e.chunk(j, n).Places)
		}
		c.log.Info("gang's claims released", "job", uid, "try", g.Try)
	}
	for _, x := range ends {
		if e.cost(j, x.pl.chunk) > 0 && e.full(e.cost(j, x.pl.chunk), 0) {
			break
		}
		e.chunk(j, x.pl.chunk).End(x.pl.index, x.rel.Try, false, false)
	}
	e.main(j).Gang = &g
	return true
}

// counted tells whether what a gang's tasks use counts against a limit: the place of one
// on a machine that says nothing may still be taken, done or not, so its record is kept
// until all have been heard of. Call with the lock held.
func (c *Controller) counted(j *liveJob) bool {
	team, _ := c.cfg.Team(j.main.Run.Owner)
	return team.Limited()
}

// recallsGang tells whether a machine with a task of a gang is taken away so soon that
// all of them have to save now. Call with the lock held.
func (c *Controller) recallsGang(j *liveJob) bool {
	for _, ch := range j.chunks {
		for _, p := range ch.v.Places {
			if s := c.sessions[p.Host]; s != nil && c.recalled(s, j) {
				return true
			}
		}
	}
	return false
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

// exitOf reads a cause of a task's end. One that this version doesn't know says
// nothing of who is to blame, and that the task did not complete.
func exitOf(cause string) job.Exit {
	switch cause {
	case api.CauseDone:
		return job.ExitDone
	case api.CauseError, api.CauseUnknown:
		return job.ExitError
	case api.CauseNoRoom, api.CauseBusy:
		return job.ExitRefused
	case api.CauseMates, api.CauseAlone:
		return job.ExitMates
	}
	return job.ExitLost
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
