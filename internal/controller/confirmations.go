package controller

import (
	"context"
	"time"

	"violetturn/internal/peer"
)

// A leader that has lost the state service doesn't see which jobs are cancelled, nor
// whether it was replaced. Left to itself it may answer its workers for a bounded time
// only (Grace, Unseen). But only controllers confirm cancellations and take shards, and
// each of them knows what it did itself: one that answers for that at some moment has,
// until that moment, done nothing that the leader doesn't know. So the leader's time
// counts from the oldest of the newest such answers of all configured controllers, each
// from when it was asked. One that does not answer, does not know all it may have done
// (it has only just started), or is of a version that doesn't know the question, counts
// as silent: the time runs out as before. docs/design.md has the argument.

// cancellation is a job that was cancelled, and the revision at which that was seen.
type cancellation struct {
	uid     string
	version uint64
}

// maxCancellations bounds the cancellations that are kept to be told: entries of some tens
// of bytes, a quarter of what a message may hold. Who asks from before them is told
// that this node can't say.
const maxCancellations = 1024

// noteCancellation notes a job that was cancelled.
func (m *replica) noteCancellation(uid string, version uint64) {
	m.cancellations = append(m.cancellations, cancellation{uid, version})
	if n := len(m.cancellations) - maxCancellations; n > 0 {
		for _, x := range m.cancellations[:n] { // not in order of their revisions
			m.cancellationsCompleteFrom = max(m.cancellationsCompleteFrom, x.version)
		}
		m.cancellations = append(m.cancellations[:0], m.cancellations[n:]...)
	}
}

// noteCancelledByPeer takes it from a peer that a job was cancelled, before its record shows that.
func (m *replica) noteCancelledByPeer(uid string) {
	j := m.jobs[uid]
	if j == nil || j.cancelledByPeer {
		return
	}
	j.cancelledByPeer = true
	m.invalidateLoads(j.ranges)
	for _, ch := range j.ranges {
		for _, p := range ch.record.Placements {
			m.observer.TasksChanged(p.Host)
		}
	}
}

// acknowledgement says what this node has done after a revision, up to now.
func (l *leadershipTable) acknowledgement(since uint64) *peer.Vouch {
	v := &peer.Vouch{Complete: l.cache.loaded && since >= l.cache.cancellationsCompleteFrom}
	if !v.Complete {
		return v
	}
	for _, x := range l.cache.cancellations {
		if x.version > since {
			v.Cancelled = append(v.Cancelled, x.uid)
		}
	}
	for _, p := range l.node.shards {
		if rec, own := l.cache.capacities[p].record, l.cache.leaders[p].record; rec != nil {
			t := &peer.Tenancy{Part: p, Owner: rec.Leader, Term: rec.Term}
			if own != nil && own.Term > t.Term {
				t.Owner, t.Term = own.Node, own.Term
			}
			v.Tenancies = append(v.Tenancies, t)
		}
	}
	return v
}

// noteAcknowledgement takes in what a peer answers for, asked at the given time with the given
// revision.
func (l *leadershipTable) noteAcknowledgement(node string, v *peer.Vouch, sent time.Time) {
	if !v.GetComplete() || !l.cache.loaded {
		return
	}
	for _, uid := range v.GetCancelled() {
		l.cache.noteCancelledByPeer(uid)
	}
	for _, t := range v.GetTenancies() {
		if o := l.byShard[t.GetPart()]; o != nil && t.GetTerm() > o.term && o.successor == "" {
			l.node.log.Info("shard acquired by a peer", "shard", t.GetPart(), "leader", t.GetOwner(), "term", t.GetTerm())
			o.successor = t.GetOwner()
		}
	}
	if sent.After(l.acknowledgedUntil[node]) {
		l.acknowledgedUntil[node] = sent
	}
}

// acknowledgedByAllUntil is the moment up to which all controllers that could have called a job
// off, or taken a shard, have answered for themselves.
func (l *leadershipTable) acknowledgedByAllUntil() time.Time {
	if len(l.node.settings.Members)+1 < l.node.settings.Facts.Size {
		return time.Time{} // there are some that we can't ask
	}
	until := l.node.now()
	for _, m := range l.node.settings.Members {
		at, ok := l.acknowledgedUntil[m.HostName]
		if !ok {
			return time.Time{}
		}
		if at.Before(until) {
			until = at
		}
	}
	return until
}

// mayAnswerHeartbeats reports whether this node may still answer heartbeats for what it owned when it
// last could reach the state service: no longer after its lease than a new leader allows
// for, and no longer after it last knew of all cancellations than leaves a lease of
// cancel_s.
func (l *leadershipTable) mayAnswerHeartbeats(now time.Time) bool {
	if !l.cache.loaded || l.leaseID == 0 {
		return false
	}
	v := l.acknowledgedByAllUntil()
	return now.Before(latest(l.leaseValidUntil, v).Add(l.node.settings.LeadershipGrace())) &&
		now.Before(latest(l.cache.changesReadAt, v).Add(l.node.settings.MaxStaleness()))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// askPeer asks one peer what it sees of the state service and what it has done.
func (c *Controller) askPeer(ctx context.Context, name, addr string) {
	state := c.guard.Lock()
	since, sent := state.cache.revision, c.node.now()
	c.guard.Unlock()
	r, err := c.peers.Ask(
		ctx,
		addr,
		&peer.Request{Kind: peer.Request_KIND_VOUCH, From: c.node.settings.HostName, Since: since},
		c.node.settings.ControllerLeaseTTL()/4,
	)
	state = c.guard.Lock()
	defer c.guard.Unlock()
	if err != nil {
		delete(state.reachability.peers, name)
		return
	}
	state.reachability.peers[name] = r.GetStoreReached()
	state.leadership.noteAcknowledgement(name, r.GetVouch(), sent)
}
