package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/peer"
)

// A leader that cannot reach the state service receives neither cancellations nor the news that it
// was replaced. On its own it may answer its workers only for a bounded time
// (LeadershipGracePeriod, MaxStaleness). But only controllers confirm cancellations and acquire
// shards, and each of them has a record of its own actions. A controller that acknowledges these
// actions to the leader has, up to that moment, done nothing that the leader has no record of. So
// the leader's time counts from the oldest among the newest acknowledgements of all configured
// controllers, each counted from when it was requested. A controller counts as not acknowledging if
// it does not answer, has no complete record of what it may have done (it has only just started),
// or runs a version that does not support the request. The time then runs out as it would without
// acknowledgements. docs/design.md has the argument.

// Acknowledgement returns what this controller reports to a peer: the jobs that were cancelled
// since a revision, and the newest leader of each shard. It is not complete if this controller has
// no complete record of the cancellations since that revision.
func (t *Table) Acknowledgement(since uint64) *peer.Acknowledgement {
	cancelled, complete := t.cache.CancelledSince(since)
	if !t.cache.Loaded || !complete {
		return &peer.Acknowledgement{}
	}
	acknowledgement := &peer.Acknowledgement{Complete: true, Cancelled: cancelled}
	for _, shard := range t.node.Shards {
		if latest := t.latestLeader(shard); latest != nil {
			acknowledgement.ShardLeaders = append(acknowledgement.ShardLeaders, latest)
		}
	}
	return acknowledgement
}

// latestLeader returns the leader of a shard with the highest recorded term, nil if the shard was
// never led.
func (t *Table) latestLeader(shard string) *peer.ShardLeader {
	capacity, leader := t.cache.Capacities[shard].Record, t.cache.Leaders[shard].Record
	if capacity == nil {
		return nil
	}
	latest := &peer.ShardLeader{Shard: shard, Leader: capacity.Leader, Term: capacity.Term}
	if leader != nil && leader.Term > latest.Term {
		latest.Leader, latest.Term = leader.Node, leader.Term
	}
	return latest
}

// RecordAcknowledgement applies a peer's acknowledgement. It was requested at requestedAt, for the
// time after the cache's revision at that moment. An acknowledgement that is not complete is
// ignored.
func (t *Table) RecordAcknowledgement(controller string, acknowledgement *peer.Acknowledgement, requestedAt time.Time) {
	if !acknowledgement.GetComplete() || !t.cache.Loaded {
		return
	}
	for _, uid := range acknowledgement.GetCancelled() {
		t.cache.MarkCancelledByPeer(uid)
	}
	for _, leader := range acknowledgement.GetShardLeaders() {
		t.recordSuccessor(leader)
	}
	if requestedAt.After(t.acknowledgedUntil[controller]) {
		t.acknowledgedUntil[controller] = requestedAt
	}
}

// recordSuccessor records that a peer has acquired a shard of which this controller has
// the leadership, if the reported term is higher than that of the leadership.
func (t *Table) recordSuccessor(leader *peer.ShardLeader) {
	shard := leader.GetShard()
	leadership := t.byShard[shard]
	if leadership == nil || leader.GetTerm() <= leadership.Term || leadership.successor != "" {
		return
	}
	t.node.Log.Info("shard acquired by a peer",
		logkey.Shard(shard), logkey.Leader(leader.GetLeader()), logkey.Term(leader.GetTerm()))
	leadership.successor = leader.GetLeader()
}

// AcknowledgedByAllUntil returns the time up to which all controllers that could have confirmed a
// cancellation or acquired a shard have acknowledged their actions. It returns the zero time if a
// controller has not acknowledged any, or cannot be queried.
func (t *Table) AcknowledgedByAllUntil() time.Time {
	settings := t.node.Settings
	if len(settings.Members)+1 < settings.Facts.ControllerCount {
		return time.Time{} // some controllers are not configured as peers and cannot be queried
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
