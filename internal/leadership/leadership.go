package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/statecache"
)

// Leadership is this controller's leadership of one shard under one term. The exported fields are
// set when it begins and do not change.
//
// It is in force unless it is being released, a peer has acquired the shard, or the cache has
// another version of the leader's key (see Table.InForce).
type Leadership struct {
	Term                    uint64    // fencing token of the shard, above all terms issued before
	Version                 uint64    // of the leader's key; every commit for the shard requires this version
	PredecessorAnswersUntil time.Time // latest time at which an earlier leader can have answered a worker

	releasing          bool      // its release is in progress or has an unknown outcome; workers are not answered
	successor          string    // the controller that has acquired the shard since, as reported by a peer; "" if none
	needsNewTerm       bool      // a worker has received a higher term, so it drops the responses under this one
	capacityRecordedAt time.Time // when the shard's capacity record was last refreshed in a commit of its own
}

// Successor returns the controller that has acquired the shard since, as reported by a peer; "" if
// none was reported.
func (l *Leadership) Successor() string { return l.successor }

// RequestNewTerm requests that this controller acquires the shard again, under a term above the one
// that a worker has received.
func (l *Leadership) RequestNewTerm() { l.needsNewTerm = true }

// BeginRelease stops the responses to the shard's workers, so that none is sent after the release is
// committed.
func (l *Leadership) BeginRelease() { l.releasing = true }

// CancelRelease puts the leadership in force again after its release has certainly not been
// committed.
func (l *Leadership) CancelRelease() { l.releasing = false }

// CapacityRecordAge returns how long ago the shard's capacity record was last refreshed in a
// commit of its own.
func (l *Leadership) CapacityRecordAge(now time.Time) time.Duration {
	return now.Sub(l.capacityRecordedAt)
}

// MarkCapacityRecorded records that the shard's capacity record is being refreshed in a commit of
// its own.
func (l *Leadership) MarkCapacityRecorded(now time.Time) { l.capacityRecordedAt = now }

// InForce returns this controller's leadership of a shard, or nil if it has none under which it may
// act or answer workers.
func (t *Table) InForce(shard string) *Leadership {
	leadership := t.byShard[shard]
	if leadership == nil || leadership.releasing || leadership.successor != "" ||
		t.cache.Leaders[shard].Version != leadership.Version {
		return nil
	}
	return leadership
}

// Leads reports whether this controller's leadership of a shard is in force.
func (t *Table) Leads(shard string) bool { return t.InForce(shard) != nil }

// Lookup returns this controller's leadership of a shard, whether or not it is in force; nil if
// there is none.
func (t *Table) Lookup(shard string) *Leadership { return t.byShard[shard] }

// HeldShards returns the shards that this controller has a leadership of, in force or not, in no
// particular order.
func (t *Table) HeldShards() []string {
	shards := make([]string, 0, len(t.byShard))
	for shard := range t.byShard {
		shards = append(shards, shard)
	}
	return shards
}

// Begin begins the leadership of a shard and replaces one of an earlier term.
func (t *Table) Begin(shard string, leadership *Leadership) { t.byShard[shard] = leadership }

// End ends the leadership of a shard.
func (t *Table) End(shard string) { delete(t.byShard, shard) }

// EndLost ends the leaderships of the shards that, according to the cache, are led by another
// controller or incarnation or have no leader, and returns these shards.
func (t *Table) EndLost() []string {
	var lost []string
	for shard, leadership := range t.byShard {
		leader, found := t.cache.Leaders[shard]
		isOurs := found && t.isOwnIncarnation(leader.Record.Node, leader.Record.Incarnation)
		if !isOurs && (!found || leader.Version > leadership.Version) {
			t.node.Log.Info("shard lost", logkey.Shard(shard), logkey.Term(leadership.Term))
			t.End(shard)
			lost = append(lost, shard)
		}
	}
	return lost
}

// RequireLeadership makes a transaction conditional on this controller's leadership of a shard, so
// that a superseded leader cannot commit. It does nothing if the leadership is not in force.
func (t *Table) RequireLeadership(txn *statecache.Transaction, shard string) {
	if leadership := t.InForce(shard); leadership != nil {
		txn.Require(statecache.LeaderKey(shard), leadership.Version)
	}
}

// RequireLeaderships makes a transaction conditional on all of this controller's leaderships in
// force.
func (t *Table) RequireLeaderships(txn *statecache.Transaction) {
	for shard := range t.byShard {
		t.RequireLeadership(txn, shard)
	}
}
