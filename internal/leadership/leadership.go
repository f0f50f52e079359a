package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/statecache"
)

// Leadership is this node's leadership of one shard under one term. The exported fields are
// set when it begins and don't change.
//
// It is in force until it is being released, a peer has acquired the shard, or the replica
// shows another leader's key (see Table.InForce).
type Leadership struct {
	Term                    uint64    // fencing token of the shard: above all terms given out before
	Version                 uint64    // of the leader's key, on which every commit for the shard is conditional
	PredecessorAnswersUntil time.Time // latest time at which an earlier leader can have answered a worker

	releasing          bool      // its release is on the way or in doubt: no worker is answered
	successor          string    // the peer that has acquired the shard since, by its own account; "": none
	needsNewTerm       bool      // a worker has seen a higher term, so it drops our answers
	capacityRecordedAt time.Time // when the shard's capacity record was last refreshed by itself
}

// Successor returns the peer that has acquired the shard since, by a peer's account; "" if
// none is known.
func (l *Leadership) Successor() string { return l.successor }

// RequestNewTerm has the shard acquired anew, under a higher term than a worker has seen.
func (l *Leadership) RequestNewTerm() { l.needsNewTerm = true }

// BeginRelease stops the answers to the shard's workers, so that none is given after the
// release is committed.
func (l *Leadership) BeginRelease() { l.releasing = true }

// CancelRelease puts the leadership in force again, after its release surely did not commit.
func (l *Leadership) CancelRelease() { l.releasing = false }

// CapacityRecordAge returns how long ago the shard's capacity record was last refreshed by itself.
func (l *Leadership) CapacityRecordAge(now time.Time) time.Duration {
	return now.Sub(l.capacityRecordedAt)
}

// MarkCapacityRecorded notes that the shard's capacity record is being refreshed by itself.
func (l *Leadership) MarkCapacityRecorded(now time.Time) { l.capacityRecordedAt = now }

// InForce returns this node's leadership of a shard, or nil if it has none that it may act or
// answer under.
func (t *Table) InForce(shard string) *Leadership {
	leadership := t.byShard[shard]
	if leadership == nil || leadership.releasing || leadership.successor != "" ||
		t.cache.Leaders[shard].Version != leadership.Version {
		return nil
	}
	return leadership
}

// Leads reports whether this node's leadership of a shard is in force.
func (t *Table) Leads(shard string) bool { return t.InForce(shard) != nil }

// Lookup returns this node's leadership of a shard, also one that is not in force; nil if there
// is none.
func (t *Table) Lookup(shard string) *Leadership { return t.byShard[shard] }

// Shards returns the shards that this node has a leadership of, in force or not, in no
// order.
func (t *Table) Shards() []string {
	shards := make([]string, 0, len(t.byShard))
	for shard := range t.byShard {
		shards = append(shards, shard)
	}
	return shards
}

// Begin begins the leadership of a shard, in place of one under an earlier term.
func (t *Table) Begin(shard string, leadership *Leadership) { t.byShard[shard] = leadership }

// End ends the leadership of a shard.
func (t *Table) End(shard string) { delete(t.byShard, shard) }

// EndLost ends the leaderships of the shards that the replica shows as another's, and returns
// those shards.
func (t *Table) EndLost() []string {
	var lost []string
	for shard, leadership := range t.byShard {
		leader, found := t.cache.Leaders[shard]
		ours := found && t.isOwnLife(leader.Record.Node, leader.Record.Incarnation)
		if !ours && (!found || leader.Version > leadership.Version) {
			t.node.Log.Info("shard lost", logkey.Shard(shard), logkey.Term(leadership.Term))
			t.End(shard)
			lost = append(lost, shard)
		}
	}
	return lost
}

// RequireLeadership makes a transaction conditional on this node's leadership of a shard, so that a
// leader that was superseded commits nothing more. It does nothing if the leadership is not in
// force.
func (t *Table) RequireLeadership(txn *statecache.Transaction, shard string) {
	if leadership := t.InForce(shard); leadership != nil {
		txn.Require(statecache.LeaderKey(shard), leadership.Version)
	}
}

// RequireLeaderships makes a transaction conditional on all of this node's leaderships in force.
func (t *Table) RequireLeaderships(txn *statecache.Transaction) {
	for shard := range t.byShard {
		t.RequireLeadership(txn, shard)
	}
}
