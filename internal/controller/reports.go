package controller

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/shard"
	"violetturn/internal/transport"
)

// handleHeartbeat answers a worker's heartbeat, in the event loop and from memory alone:
// reports go before all other work.
func (c *Controller) handleHeartbeat(req *httpwire.Message) transport.Response {
	r, err := api.ParseHeartbeat(req.Body)
	if err != nil {
		return jsonResponse(400, map[string]string{"error": err.Error()})
	}
	state := c.guard.Lock()
	defer c.guard.Unlock()
	return state.reconciler.answerHeartbeat(r, c.node.now())
}

// answerHeartbeat answers a heartbeat that was read.
func (rec *heartbeatReconciler) answerHeartbeat(r *api.Heartbeat, now time.Time) transport.Response {
	if !rec.cache.loaded {
		return responseBusy
	}
	m := rec.cache.machines[r.Host]
	if m == nil {
		// Only one that the cloud lists: a copy of a heartbeat may come long after
		// its machine is gone, and nobody else remembers that it was there.
		if rec.agents.listedByCloud[r.Host] {
			rec.agents.noteUnregistered(r.Host, shard.Machine{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, Addr: r.Addr})
		}
		return responseBusy
	}
	o := rec.leadership.of(m.Shard)
	if o == nil || !rec.leadership.mayAnswerHeartbeats(now) {
		return rec.leadership.redirect(m.Shard)
	}
	s := rec.agents.of(r.Host, o)
	if s.IsStale(r, now, heartbeatTimeout) {
		return responseBusy // nobody waits for it, and it says nothing about now
	}
	if shard.TokenTerm(r.Token) > o.term {
		// It has seen a token above ours, so it drops what we say. When the term
		// record knows it, somebody else has taken the shard.
		if shard.TokenTerm(r.Token) <= rec.cache.term {
			o.needsNewTerm = true
		}
		return jsonResponse(421, struct{}{})
	}
	if m.Addr != r.Addr && r.Addr != "" {
		m.Addr = r.Addr // the record may have been made before the address was known
	}
	s.LastHeartbeat = [2]uint64{r.AgentEpoch, r.Sequence}
	commands := []api.Command{}
	if shard.TokenTerm(r.Token) < o.term {
		if !rec.agents.mayIntroduceTerm(s, now) {
			return responseBusy
		}
	} else if rec.agents.acceptHeartbeat(r.Host, s, r) {
		commands = rec.commandsFor(r, s, now)
	}
	s.LastAnswered = now
	return jsonResponse(200, api.CommandBatch{Token: s.Token(), Commands: commands})
}

// redirect answers a worker whose shard this node may not answer for. It does so at once: a
// 200 that the worker has to drop would hold it here while its lease runs out.
func (l *leadershipTable) redirect(shard string) transport.Response {
	if led := l.byShard[shard]; led != nil && led.successor != "" && led.successor != l.node.settings.HostName {
		return jsonResponse(421, map[string]string{"steward": led.successor})
	}
	if own := l.cache.leaders[shard]; own.record != nil && own.record.Node != l.node.settings.HostName {
		return jsonResponse(421, map[string]string{"steward": own.record.Node})
	}
	return jsonResponse(421, struct{}{})
}

// mayIntroduceTerm reports whether a worker that has not heard of this node's term yet is to be
// told of it. One that was answered and reports as before does not hear: our answers renew
// no lease there, and to count them would keep its tasks waiting for ever.
func (reg *agentRegistry) mayIntroduceTerm(s *shard.Agent, now time.Time) bool {
	if s.UnheardAnswers >= maxUnheardAnswers {
		if s.IsLeaseExpired(now, reg.node.settings.WorkerLeaseBound()) {
			s.UnheardAnswers = 0 // nothing runs there any more: it may try again
		}
		return false
	}
	// A worker's own reports come in rounds. Copies of old ones come at once, and
	// many may have been kept for a new leader: counted as answers that the worker
	// did not hear, they would have it refused while it lives.
	if now.Sub(s.UnheardAt) >= reg.node.settings.HeartbeatInterval()/2 {
		s.UnheardAnswers++
		s.UnheardAt = now
	}
	return true
}

// heartbeatTimeout is how long a worker waits for an answer (PROTOCOL).
const heartbeatTimeout = 4 * time.Second

// maxUnheardAnswers is how often in a row a worker may show that it did not hear an
// answer before it counts as deaf: answers get lost now and then.
const maxUnheardAnswers = 3

// noteUnregistered notes a machine that has no record, to be recorded in a part of its
// zone. One whose record was dropped is gone, and names are never used again:
// what a cut held back, or a list that lags, must not bring it back as a ghost
// that counts as coming room. Only machines that the cloud lists come here, which bounds
// how many there are.
func (reg *agentRegistry) noteUnregistered(host string, m shard.Machine) {
	if reg.cache.terminated[host] {
		return
	}
	if _, ok := reg.unregistered[host]; ok {
		return
	}
	reg.unregistered[host] = m
	reg.wake.notify()
}

// interruptionIsDue reports whether the cloud takes the machine away so soon that the task
// has to leave now; until then it runs on, for it may complete.
func (reg *agentRegistry) interruptionIsDue(s *shard.Agent, j *liveJob) bool {
	if s.Heartbeat == nil || s.Heartbeat.SpotNoticeS == nil {
		return false
	}
	need := 2*j.record.Spec.SaveS + 2*reg.node.settings.HeartbeatInterval().Seconds()
	if isGang(j) {
		need += reg.node.settings.GangPeerTimeout().Seconds() // to tell all of them
	}
	return *s.Heartbeat.SpotNoticeS <= need
}

// noteTaskEnd notes what a task's end says of the machine and of its job.
func (reg *agentRegistry) noteTaskEnd(host string, s *shard.Agent, j *liveJob, _ *placedTask, l *api.TaskState) {
	uid := j.record.Spec.UID
	if !api.KnownCause(l.Cause) {
		reg.node.log.Error("unknown exit cause reported", "host", host, "cause", l.Cause)
	}
	reg.node.log.Info("task ended", "task", l.Task, "attempt", l.Attempt, "host", host, "cause", l.Cause, "saved", l.Saved)
	switch l.Cause {
	case api.CauseDone:
		clear(s.FailedJobs)
	case api.CauseError:
		s.FailedJobs[uid] = true
		if len(s.FailedJobs) >= 2 && !s.Cordoned {
			reg.node.log.Info("machine cordoned", "host", host, "why", "tasks of several jobs failed there")
			s.Cordoned = true
		}
	case api.CauseNoRoom:
		s.AvoidUntil = reg.node.now().Add(2 * reg.node.settings.HeartbeatInterval())
	}
}
