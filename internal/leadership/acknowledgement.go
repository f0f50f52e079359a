package leadership

import (
	"time"

	"violetturn/internal/peer"
)

// Acknowledgement says what this node has done after a revision, up to now.
func (l *Table) Acknowledgement(since uint64) *peer.Acknowledgement {
	cancelled, complete := l.cache.CancelledSince(since)
	if !l.cache.Loaded || !complete {
		return &peer.Acknowledgement{}
	}
	v := &peer.Acknowledgement{Complete: true, Cancelled: cancelled}
	for _, p := range l.node.Shards {
		if rec, own := l.cache.Capacities[p].Record, l.cache.Leaders[p].Record; rec != nil {
			t := &peer.ShardLeader{Shard: p, Leader: rec.Leader, Term: rec.Term}
			if own != nil && own.Term > t.Term {
				t.Leader, t.Term = own.Node, own.Term
			}
			v.ShardLeaders = append(v.ShardLeaders, t)
		}
	}
	return v
}

// NoteAcknowledgement takes in what a peer answers for, asked at the given time with the given
// revision.
func (l *Table) NoteAcknowledgement(node string, v *peer.Acknowledgement, sent time.Time) {
	if !v.GetComplete() || !l.cache.Loaded {
		return
	}
	for _, uid := range v.GetCancelled() {
		l.cache.NoteCancelledByPeer(uid)
	}
	for _, t := range v.GetShardLeaders() {
		if o := l.ByShard[t.GetShard()]; o != nil && t.GetTerm() > o.Term && o.Successor == "" {
			l.node.Log.Info("shard acquired by a peer", "shard", t.GetShard(), "leader", t.GetLeader(), "term", t.GetTerm())
			o.Successor = t.GetLeader()
		}
	}
	if sent.After(l.acknowledgedUntil[node]) {
		l.acknowledgedUntil[node] = sent
	}
}

// AcknowledgedByAllUntil is the moment up to which all controllers that could have called a job
// off, or taken a shard, have answered for themselves.
func (l *Table) AcknowledgedByAllUntil() time.Time {
	if len(l.node.Settings.Members)+1 < l.node.Settings.Facts.Size {
		return time.Time{} // there are some that we can't ask
	}
	until := l.node.Now()
	for _, m := range l.node.Settings.Members {
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

// MayAnswerHeartbeats reports whether this node may still answer heartbeats for what it owned when it
// last could reach the state service: no longer after its lease than a new leader allows
// for, and no longer after it last knew of all cancellations than leaves a lease of
// cancel_s.
func (l *Table) MayAnswerHeartbeats(now time.Time) bool {
	if !l.cache.Loaded || l.LeaseID == 0 {
		return false
	}
	v := l.AcknowledgedByAllUntil()
	return now.Before(latest(l.LeaseValidUntil, v).Add(l.node.Settings.LeadershipGrace())) &&
		now.Before(latest(l.cache.ChangesReadAt, v).Add(l.node.Settings.MaxStaleness()))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
