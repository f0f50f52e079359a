package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/peer"
)

// A leader that has lost the state service doesn't see which jobs are cancelled, nor
// whether it was replaced. Left to itself it may answer its workers for a bounded time
// only (LeadershipGrace, MaxStaleness). But only controllers confirm cancellations and acquire
// shards, and each of them knows what it did itself: one that acknowledges all that at some
// moment has, until that moment, done nothing that the leader doesn't know. So the leader's
// time counts from the oldest of the newest acknowledgements of all configured controllers,
// each from when it was asked for. One that does not answer, does not know all that it may have
// done (it has only just started), or is of a version that doesn't know the question, counts
// as silent: the time runs out as before. docs/design.md has the argument.

// Acknowledgement tells a peer what this node has done after a revision, up to now: the
// cancellations that it knows of and the shards that were acquired. It is not complete if this
// node can't know all since that revision.
func (t *Table) Acknowledgement(since uint64) *peer.Acknowledgement {
	cancelled, complete := t.cache.CancelledSince(since)
	if !t.cache.Loaded || !complete {
		return &peer.Acknowledgement{}
	}
	acknowledgement := &peer.Acknowledgement{Complete: true, Cancelled: cancelled}
	for _, shard := range t.node.Shards {
		if newest := t.newestLeader(shard); newest != nil {
			acknowledgement.ShardLeaders = append(acknowledgement.ShardLeaders, newest)
		}
	}
	return acknowledgement
}

// newestLeader returns the leader of a shard with the highest term that this node knows of, nil
// if the shard was never led.
func (t *Table) newestLeader(shard string) *peer.ShardLeader {
	capacity, leader := t.cache.Capacities[shard].Record, t.cache.Leaders[shard].Record
	if capacity == nil {
		return nil
	}
	newest := &peer.ShardLeader{Shard: shard, Leader: capacity.Leader, Term: capacity.Term}
	if leader != nil && leader.Term > newest.Term {
		newest.Leader, newest.Term = leader.Node, leader.Term
	}
	return newest
}

// RecordAcknowledgement takes in what a peer acknowledges. It was asked for at the given time,
// with the revision of the replica then. One that is not complete says nothing.
func (t *Table) RecordAcknowledgement(node string, acknowledgement *peer.Acknowledgement, asked time.Time) {
	if !acknowledgement.GetComplete() || !t.cache.Loaded {
		return
	}
	for _, uid := range acknowledgement.GetCancelled() {
		t.cache.MarkCancelledByPeer(uid)
	}
	for _, leader := range acknowledgement.GetShardLeaders() {
		t.noteSuccessor(leader)
	}
	if asked.After(t.acknowledgedUntil[node]) {
		t.acknowledgedUntil[node] = asked
	}
}

// noteSuccessor notes that a peer has acquired a shard of ours, if its term shows that.
func (t *Table) noteSuccessor(leader *peer.ShardLeader) {
	shard := leader.GetShard()
	leadership := t.byShard[shard]
	if leadership == nil || leader.GetTerm() <= leadership.Term || leadership.successor != "" {
		return
	}
	t.node.Log.Info("shard acquired by a peer",
		logkey.Shard(shard), logkey.Leader(leader.GetLeader()), logkey.Term(leader.GetTerm()))
	leadership.successor = leader.GetLeader()
}

// AcknowledgedByAllUntil returns the moment up to which all controllers that could have
// confirmed a cancellation or acquired a shard have acknowledged what they did; the zero time if
// some have not, or can't be asked.
func (t *Table) AcknowledgedByAllUntil() time.Time {
	settings := t.node.Settings
	if len(settings.Members)+1 < settings.Facts.Size {
		return time.Time{} // there are some that we can't ask
	}
	until := t.node.Now()
	for _, member := range settings.Members {
		acknowledged, found := t.acknowledgedUntil[member.HostName]
		if !found {
			return time.Time{}
		}
		if acknowledged.Before(until) {
			until = acknowledged
		}
	}
	return until
}
