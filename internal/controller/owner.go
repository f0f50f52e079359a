package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// holdLoop keeps this node's hold and with it the parts it owns.
func (c *Controller) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(c.holdStep(ctx))
		select {
		case <-t.C:
		case <-c.orphans: // its turn may be ours
			sleep(ctx, c.cfg.HoldTTL()/32)
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// holdStep makes or renews the hold and tends the parts. It tells how long to
// wait before the next step.
func (c *Controller) holdStep(ctx context.Context) time.Duration {
	ttl := c.cfg.HoldTTL()
	c.mu.Lock()
	permit := c.lease
	c.mu.Unlock()
	sent := c.now()
	var err error
	if permit == 0 {
		if permit, err = c.store.GrantLease(ctx, ttl); err == nil {
			c.log.Info("hold made", "permit", permit)
			c.mu.Lock()
			c.lease = permit
			c.mu.Unlock()
		}
	} else if err = c.store.RenewLease(ctx, permit); errors.Is(err, store.ErrNoLease) {
		c.log.Info("hold lost", "permit", permit)
		c.mu.Lock()
		c.lease, c.validTil = 0, time.Time{}
		clear(c.mine)
		clear(c.sessions)
		clear(c.replica.loads)
		c.mu.Unlock()
		return 0
	}
	if err == nil {
		c.mu.Lock()
		// Our clock may run slow against the service's: count a little less.
		c.validTil = sent.Add(ttl - ttl/256)
		stale := c.loaded && sent.Sub(c.seen) > ttl/4
		c.mu.Unlock()
		if stale { // how long we may answer once we are cut off counts from the last read
			_ = c.newest(ctx)
		}
		c.tendParts(ctx)
		return ttl / 4
	}
	return ttl / 10
}

// acquire takes a part: its owner's key under our hold, and a term above all
// that were ever given out, which is the part's baton.
func (c *Controller) acquire(ctx context.Context, p string, seen uint64) {
	me := c.cfg.HostName
	c.mu.Lock()
	old, had := c.replica.owns[p]
	if old.stamp != seen {
		// Somebody took it since: with the newer version the guard would hold,
		// and the part be taken from a living owner.
		c.mu.Unlock()
		return
	}
	rec := c.replica.parts[p]
	term := c.replica.term + 1
	t := newTxn()
	t.guard(ownKey+p, old.stamp)
	t.guard(termKey, c.replica.stamps[termKey])
	t.guard(partKey+p, rec.stamp)
	t.write(termKey, term)
	t.write(ownKey+p, shard.Ownership{Node: me, Incarnation: c.incarnation, Term: term})
	t.permit[ownKey+p] = c.lease
	// An earlier life of this process has ended, and one that released the part
	// has stopped answering; any other may go on for its grace. So may one before
	// those, if they did not live to see its grace out: the doubt stays with the
	// record, or a quick restart of ours would forget it.
	clean := rec.v == nil || (rec.v.By == me || rec.v.Released) && !rec.v.Doubt
	t.write(partKey+p, shard.Record{Term: term, By: me, Doubt: !clean, Free: shard.Free{}, Use: c.useOf(p)})
	c.mu.Unlock()
	done, _, err := c.commit(ctx, "part", t, store.Hold)
	if !done {
		c.log.Debug("part not taken", "part", p, "err", err)
		if err == nil {
			// Overtaken, by another's take that raised the term as a rule: after
			// the end of all they come at once, and leases run meanwhile.
			c.lookForParts()
		}
		return
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.replica.owns[p]
	if v.v == nil || v.v.Term != term || c.lease == 0 {
		return // lost again already
	}
	c.dropPart(p)
	o := &ownPart{term: term, stamp: v.stamp, answered: now}
	if !clean {
		o.answered = now.Add(c.cfg.Grace())
	}
	c.mine[p] = o
	c.log.Info("part taken", "part", p, "term", term, "had_owner", had, "clean", clean)
	for host, m := range c.replica.hosts {
		if m.Part == p {
			c.session(host, o)
			c.fence(ctx, host)
		}
	}
	c.poke()
}

// dropPart forgets a part that is no longer ours. Call with the lock held.
func (c *Controller) dropPart(p string) {
	delete(c.mine, p)
	for host := range c.sessions {
		if m := c.replica.hosts[host]; m == nil || m.Part == p {
			c.forget(host)
		}
	}
}

// forget drops a machine's session. Call with the lock held.
func (c *Controller) forget(host string) {
	delete(c.sessions, host)
	delete(c.replica.loads, host)
}

// session gives the session of a machine of an own part. Call with the lock held.
func (c *Controller) session(host string, o *ownPart) *shard.Session {
	s := c.sessions[host]
	if s == nil || s.Term != o.term {
		s = shard.NewSession(o.term, c.now(), o.answered)
		c.sessions[host] = s
		delete(c.replica.loads, host)
	}
	return s
}

// handBack gives a part back to its home controller in an orderly way: answers
// stop first, then the release is committed.
func (c *Controller) handBack(ctx context.Context, p string) {
	c.mu.Lock()
	o, rec := c.mine[p], c.replica.parts[p]
	if o == nil || rec.v == nil {
		c.mu.Unlock()
		return
	}
	o.leaving = true
	t := newTxn()
	t.guard(ownKey+p, o.stamp)
	t.guard(partKey+p, rec.stamp)
	t.drop(ownKey + p)
	r := *rec.v
	r.Released = true
	t.write(partKey+p, r)
	c.mu.Unlock()
	done, _, err := c.commit(ctx, "part", t, store.Hold)
	c.mu.Lock()
	defer c.mu.Unlock()
	if done {
		c.log.Info("part handed back", "part", p, "term", o.term)
		c.dropPart(p)
		return
	}
	// In doubt it stays unanswered until the replica shows who owns it.
	if !errors.Is(err, store.ErrUnknown) {
		o.leaving = false
	}
}

// fence tells a worker our baton directly, so that an earlier owner's answers
// are dropped from then on, and learns what runs there. Call with the lock held.
func (c *Controller) fence(ctx context.Context, host string) {
	if s := c.sessions[host]; s != nil && !s.Fenced && c.now().Sub(s.Asked) >= c.cfg.Report() {
		c.command(ctx, host, c.fencing, api.Response{Session: 1, Commands: []api.Command{}})
	}
}

// command sends orders that may be carried out at any later time to a worker
// directly, and takes in the report that it answers with. It tells whether there
// was room to send them. Call with the lock held.
func (c *Controller) command(ctx context.Context, host string, slots chan struct{}, o api.Response) bool {
	m, s := c.replica.hosts[host], c.sessions[host]
	if m == nil || m.Addr == "" || s == nil {
		return false
	}
	select {
	case slots <- struct{}{}:
	default:
		return false // the next round asks again
	}
	s.Asked = c.now()
	term, addr := s.Term, m.Addr
	o.Token = s.Token()
	c.spawn(func() {
		defer func() { <-slots }()
		for range 2 {
			r, done, err := c.workers.Command(ctx, addr, o)
			if err != nil {
				c.log.Debug("command", "host", host, "err", err)
				return
			}
			c.mu.Lock()
			if s := c.sessions[host]; s != nil && s.Term == term && r.Host == host {
				c.accept(host, s, r)
			}
			c.mu.Unlock()
			if done || shard.TermOf(r.Token) >= term {
				return
			}
			o.Session = r.Session
		}
	})
	return true
}

// nudgeRound has workers report at once for whom there is something new: a start
// goes only in an answer to a report, and the next one may be a whole round
// away. A direct command that stops tasks or raises the worker's token makes it
// report; neither does harm whenever it is carried out. (One that only clears
// ended tasks does not make it report.)
func (c *Controller) nudgeRound(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canAct(now) {
		return
	}
	for host := range c.toNudge {
		m := c.replica.hosts[host]
		s := c.sessions[host]
		if m == nil || c.owned(m.Part) == nil || s == nil || !s.Fenced || s.Report == nil || s.Dark || s.Gone || s.Deaf {
			delete(c.toNudge, host)
			continue
		}
		o := api.Response{Session: s.Report.Session}
		var stop, start bool
		o.Commands, stop, start = c.atOnce(host, s)
		if !stop {
			// Raises that come sooner after one another count as no change: they are
			// kept for starts that nothing else can announce.
			if !start || now.Sub(s.Announced()) < c.cfg.Lease()/2 {
				delete(c.toNudge, host)
				continue
			}
			s.Raise(now)
		}
		if !c.command(ctx, host, c.nudging, o) {
			return // the rest in the next round
		}
		delete(c.toNudge, host)
	}
}

// atOnce gives the orders that need not wait for the worker's next report: they
// may be carried out at any later time, and tells whether there are stops among
// them, and whether there are starts, which have to wait. Call with the lock held.
func (c *Controller) atOnce(host string, s *shard.Session) (out []api.Command, stop, start bool) {
	out = []api.Command{}
	listed := map[attempt]string{}
	for _, p := range s.Report.Tasks {
		listed[attempt{p.Task, p.Attempt}] = p.Phase
	}
	for _, pl := range c.replica.onHost[host] {
		j := c.replica.jobs[pl.uid]
		if j == nil {
			continue
		}
		a := attempt{pl.name(j), pl.p.Attempt}
		phase, there := listed[a]
		delete(listed, a)
		switch {
		case !there:
			start = start || j.starts(pl.p)
		case j.leaves(pl.p) && phase != api.Saving && phase != api.Ended:
			out, stop = append(out, c.haltOf(j, a)), true
		}
	}
	for a, phase := range listed {
		if phase == api.Ended {
			out = append(out, api.Command{Action: api.Clear, Task: a.name, Attempt: a.try})
		}
	}
	return out, stop, start
}

// haltOf is the order that stops a task, with time to save if it can and is worth it.
func (c *Controller) haltOf(j *liveJob, a attempt) api.Command {
	leeway := 0.0
	if saves(j) {
		leeway = j.main.Spec.SaveS * 2
		if isGang(j) {
			leeway += c.cfg.GangPeer().Seconds() // each waits for all others' saves
		}
	}
	return api.Command{Action: api.Stop, Task: a.name, Attempt: a.try, GraceS: &leeway}
}

// saves tells whether tasks of the job that have to leave save their progress first:
// of a gang only if all are told to, for the save fails without one of them.
func saves(j *liveJob) bool {
	g := j.main.Gang
	return !j.gone() && j.main.Spec.CheckpointS > 0 && (!isGang(j) || g != nil && g.Halt)
}

// accept takes in a report and looks at what it says. Call with the lock held.
func (c *Controller) accept(host string, s *shard.Session, r *api.Report) bool {
	old, deaf := s.Report, s.Deaf
	if !s.Accept(r, c.now()) {
		return false
	}
	c.heardAgain(c.now())
	s.Seen = c.now()
	if s.Deaf && !deaf {
		c.log.Info("worker's lease ran out", "host", host, "why", "it does not hear its answers, or was cut off: no tasks until it obeys")
	}
	if old == nil || deaf != s.Deaf || old.Session != r.Session || (old.NoticeS == nil) != (r.NoticeS == nil) ||
		!slices.Equal(old.Tasks, r.Tasks) {
		c.poke()
	}
	return true
}

// attempt names a try of a task on the wire.
type attempt struct {
	name string
	try  uint64
}
