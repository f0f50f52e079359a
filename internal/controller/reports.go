package controller

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/part"
	"violetturn/internal/transport"
)

// checkin answers a worker's report, in the event loop and from memory alone:
// reports go before all other work.
func (c *Controller) checkin(req *httpwire.Message) transport.Response {
	r, err := api.ParseCheckin(req.Body)
	if err != nil {
		return reply(400, map[string]string{"error": err.Error()})
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return errBusy
	}
	m := c.m.hosts[r.Host]
	if m.v == nil {
		c.stranger(r.Host, part.Machine{Build: r.Build, Site: r.Site, Loaners: r.Loaners, Addr: r.Addr})
		return errBusy
	}
	o := c.owned(m.v.Part)
	if o == nil || !c.canAnswer(now) {
		// A node that may not act answers so at once: a 200 that the worker
		// has to drop would hold it here while its lease runs out.
		if own := c.m.owns[m.v.Part]; own.v != nil && own.v.Node != c.cfg.HostName {
			return reply(421, map[string]string{"steward": own.v.Node})
		}
		return reply(421, struct{}{})
	}
	s := c.session(r.Host, o)
	if r.Baton > o.term {
		// Somebody with a later term speaks for this machine. Either we were
		// superseded, which the mirror will show, or a term got lost on the
		// way; then a new one is taken.
		c.log.Info("higher baton seen", "host", r.Host, "baton", r.Baton, "term", o.term)
		if r.Baton <= c.m.term {
			o.bump = true
		}
		return reply(421, struct{}{})
	}
	if m.v.Addr != r.Addr && r.Addr != "" {
		m.v.Addr = r.Addr // the record may have been made before the address was known
	}
	orders := []api.Order{}
	if c.accept(r.Host, s, r) {
		orders = c.orders(r.Host, s, now)
	}
	s.Answered, s.Seen = now, now
	return reply(200, api.Orders{Baton: o.term, Orders: orders})
}

// stranger notes a machine that has no record, to be recorded in a part of its
// zone. One whose record was dropped is gone, and names are never used again:
// what a cut held back, or a list that lags, must not bring it back as a ghost
// that counts as coming room. Call with the lock held.
func (c *Controller) stranger(host string, m part.Machine) {
	if c.m.gone[host] {
		return
	}
	if _, ok := c.adopt[host]; ok || len(c.adopt) >= 256 {
		return
	}
	c.adopt[host] = m
	c.poke()
}

// orders compares what is committed for a machine with what it reported, and
// tells it the difference. Nothing is remembered between reports, so a lost
// answer costs a round and no more. Call with the lock held.
func (c *Controller) orders(host string, s *part.Session, now time.Time) []api.Order {
	act := c.canAct(now)
	out := []api.Order{}
	if !act {
		return out // what is committed may have changed where we can't see it
	}
	type attempt struct {
		name string
		try  uint64
	}
	listed := map[attempt]*api.PieceState{}
	for i := range s.Report.Pieces {
		p := &s.Report.Pieces[i]
		listed[attempt{p.Piece, p.Try}] = p
	}
	wanted := map[attempt]bool{}
	zero := 0.0
	for id, pl := range c.m.onHost[host] {
		j := c.m.jobs[pl.uid]
		if j == nil {
			continue
		}
		name := pl.name(j)
		a := attempt{name, pl.p.Try}
		wanted[a] = true
		l := listed[a]
		_, released := s.Releases[id]
		if l != nil && l.Phase == api.Running && s.Started[id].Try != pl.p.Try {
			s.Started[id] = part.Start{Try: pl.p.Try, At: now}
			c.log.Info("task running", "task", name, "try", pl.p.Try, "host", host)
		}
		stop := j.main.Gone || pl.p.Stop || s.Drain || c.recalled(s, &j.main.Run)
		switch {
		case l != nil && l.Phase == api.Ended:
			if !released {
				done := l.Cause == api.CauseDone
				failed := l.Cause == api.CauseError || l.Cause == api.CauseUnknown
				s.Releases[id] = part.Release{Try: pl.p.Try, Done: done, Failed: failed}
				if st := s.Started[id]; done && st.Try == pl.p.Try && j.main.Run.GuessS > 0 {
					c.observe(j.main.Run.Lane, now.Sub(st.At).Seconds()/j.main.Run.GuessS)
				}
				c.ended(host, s, j, pl, l)
			}
		case l != nil && (stop || released):
			if l.Phase != api.Saving || j.main.Gone {
				leeway := zero
				if !j.main.Gone && j.main.Run.BookmarkS > 0 {
					leeway = j.main.Run.StowS * 2
				}
				out = append(out, api.Order{Verb: api.Halt, Piece: name, Try: pl.p.Try, LeewayS: &leeway})
			}
		case l == nil && stop && !released:
			// Never launched, or gone with an earlier session: this report was
			// made after any answer of ours that launched it, and no later one will.
			s.Releases[id] = part.Release{Try: pl.p.Try}
		case l == nil && !released && !s.Dead(now, c.cfg.LeaseBound()):
			out = append(out, api.Order{Verb: api.Launch, Piece: name, Try: pl.p.Try})
		}
	}
	for a, l := range listed {
		switch {
		case wanted[a]:
		case l.Phase == api.Ended:
			out = append(out, api.Order{Verb: api.Clear, Piece: a.name, Try: a.try})
		default:
			out = append(out, api.Order{Verb: api.Halt, Piece: a.name, Try: a.try, LeewayS: &zero})
		}
	}
	return out
}

// recalled tells whether the cloud takes the machine away so soon that the task
// has to leave now; until then it runs on, for it may complete. Call with the
// lock held.
func (c *Controller) recalled(s *part.Session, r *api.Run) bool {
	if s.Report == nil || s.Report.RecallS == nil {
		return false
	}
	return *s.Report.RecallS <= 2*r.StowS+2*c.cfg.Report().Seconds()
}

// ended notes what a task's end says of the machine and of its job. Call with
// the lock held.
func (c *Controller) ended(host string, s *part.Session, j *liveJob, pl *placed, l *api.PieceState) {
	uid := j.main.Run.UID
	c.log.Info("task ended", "task", l.Piece, "try", l.Try, "host", host, "cause", l.Cause, "saved", l.Saved)
	switch l.Cause {
	case api.CauseDone:
		clear(s.Errors)
	case api.CauseError:
		s.Errors[uid] = true
		if len(s.Errors) >= 2 && !s.Drain {
			c.log.Info("machine drained", "host", host, "why", "tasks of several jobs failed there")
			s.Drain = true
		}
	case api.CauseNoRoom:
		s.Avoid = c.now().Add(2 * c.cfg.Report())
	}
}
