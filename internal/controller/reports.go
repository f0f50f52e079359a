package controller

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/shard"
	"violetturn/internal/transport"
)

// checkin answers a worker's report, in the event loop and from memory alone:
// reports go before all other work.
func (c *Controller) checkin(req *httpwire.Message) transport.Response {
	r, err := api.ParseReport(req.Body)
	if err != nil {
		return reply(400, map[string]string{"error": err.Error()})
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return errBusy
	}
	m := c.replica.hosts[r.Host]
	if m == nil {
		// Only one that the cloud lists: a copy of a report may come long after
		// its machine is gone, and nobody else remembers that it was there.
		if c.inList[r.Host] {
			c.stranger(r.Host, shard.Machine{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Addr: r.Addr})
		}
		return errBusy
	}
	o := c.owned(m.Part)
	if o == nil || !c.canAnswer(now) {
		return c.redirect(m.Part)
	}
	s := c.session(r.Host, o)
	if s.Stale(r, now, reportPatience) {
		return errBusy // nobody waits for it, and it says nothing about now
	}
	if shard.TermOf(r.Token) > o.term {
		// It has seen a token above ours, so it drops what we say. When the term
		// record knows it, somebody else has taken the part.
		if shard.TermOf(r.Token) <= c.replica.term {
			o.bump = true
		}
		return reply(421, struct{}{})
	}
	if m.Addr != r.Addr && r.Addr != "" {
		m.Addr = r.Addr // the record may have been made before the address was known
	}
	s.Last = [2]uint64{r.Session, r.Sequence}
	commands := []api.Command{}
	if shard.TermOf(r.Token) < o.term {
		if !c.introduce(s, now) {
			return errBusy
		}
	} else if c.accept(r.Host, s, r) {
		commands = c.commandsFor(r, s, now)
	}
	s.Answered = now
	return reply(200, api.Response{Token: s.Token(), Commands: commands})
}

// redirect answers a worker whose part this node may not answer for. It does so at once: a
// 200 that the worker has to drop would hold it here while its lease runs out. Call with
// the lock held.
func (c *Controller) redirect(part string) transport.Response {
	if mine := c.mine[part]; mine != nil && mine.taker != "" && mine.taker != c.cfg.HostName {
		return reply(421, map[string]string{"steward": mine.taker})
	}
	if own := c.replica.owns[part]; own.v != nil && own.v.Node != c.cfg.HostName {
		return reply(421, map[string]string{"steward": own.v.Node})
	}
	return reply(421, struct{}{})
}

// introduce tells whether a worker that has not heard of this node's term yet is to be
// told of it. One that was answered and reports as before does not hear: our answers renew
// no lease there, and to count them would keep its tasks waiting for ever. Call with the
// lock held.
func (c *Controller) introduce(s *shard.Session, now time.Time) bool {
	if s.Unheard >= mostUnheard {
		if s.Dead(now, c.cfg.LeaseBound()) {
			s.Unheard = 0 // nothing runs there any more: it may try again
		}
		return false
	}
	// A worker's own reports come in rounds. Copies of old ones come at once, and
	// many may have been kept for a new leader: counted as answers that the worker
	// did not hear, they would have it refused while it lives.
	if now.Sub(s.UnheardAt) >= c.cfg.Report()/2 {
		s.Unheard++
		s.UnheardAt = now
	}
	return true
}

// reportPatience is how long a worker waits for an answer (PROTOCOL).
const reportPatience = 4 * time.Second

// mostUnheard is how often in a row a worker may show that it did not hear an
// answer before it counts as deaf: answers get lost now and then.
const mostUnheard = 3

// stranger notes a machine that has no record, to be recorded in a part of its
// zone. One whose record was dropped is gone, and names are never used again:
// what a cut held back, or a list that lags, must not bring it back as a ghost
// that counts as coming room. Only machines that the cloud lists come here, which bounds
// how many there are. Call with the lock held.
func (c *Controller) stranger(host string, m shard.Machine) {
	if c.replica.gone[host] {
		return
	}
	if _, ok := c.adopt[host]; ok {
		return
	}
	c.adopt[host] = m
	c.poke()
}

// recalled tells whether the cloud takes the machine away so soon that the task
// has to leave now; until then it runs on, for it may complete. Call with the
// lock held.
func (c *Controller) recalled(s *shard.Session, j *liveJob) bool {
	if s.Report == nil || s.Report.NoticeS == nil {
		return false
	}
	need := 2*j.main.Spec.SaveS + 2*c.cfg.Report().Seconds()
	if isGang(j) {
		need += c.cfg.GangPeer().Seconds() // to tell all of them
	}
	return *s.Report.NoticeS <= need
}

// ended notes what a task's end says of the machine and of its job. Call with
// the lock held.
func (c *Controller) ended(host string, s *shard.Session, j *liveJob, _ *placedTask, l *api.TaskState) {
	uid := j.main.Spec.UID
	if !api.KnownCause(l.Cause) {
		c.log.Error("a worker gives a cause that is not known", "host", host, "cause", l.Cause)
	}
	c.log.Info("task ended", "task", l.Task, "try", l.Attempt, "host", host, "cause", l.Cause, "saved", l.Saved)
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
