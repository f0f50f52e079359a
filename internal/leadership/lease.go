package leadership

import "time"

// lease is this node's lease on the state service. Its node record and its leaders' keys are
// under it: they are dropped when it ends.
type lease struct {
	id         uint64    // 0: none
	validUntil time.Time // it surely lasts until then
}

// LeaseID returns the ID of this node's lease on the state service, 0 if it has none.
func (t *Table) LeaseID() uint64 { return t.lease.id }

// BeginLease notes a lease that was granted. Nothing is done under it before ExtendLease.
func (t *Table) BeginLease(id uint64) { t.lease.id = id }

// ExtendLease notes until when the lease surely lasts.
func (t *Table) ExtendLease(until time.Time) { t.lease.validUntil = until }

// ClearLease drops the lease, which is ended in an orderly way, and returns its ID, 0 if
// there was none.
func (t *Table) ClearLease() uint64 {
	id := t.lease.id
	t.lease = lease{}
	return id
}

// DropExpiredLease drops a lease that has ended, and with it all leaderships.
func (t *Table) DropExpiredLease() {
	t.lease = lease{}
	clear(t.byShard)
}

// MayAct reports whether this node may launch tasks and commit as a leader: its lease surely
// lasts and the replica is whole.
func (t *Table) MayAct(now time.Time) bool {
	return t.cache.Loaded && now.Before(t.lease.validUntil)
}

// MayAnswerHeartbeats reports whether this node may still answer heartbeats for the shards that
// it led when it last could reach the state service. It guards against two failures. A new
// leader may launch the same tasks elsewhere, so no answer may renew a worker's lease longer
// after ours than that leader allows for. And a job may be cancelled where we can't see it, so
// no answer may come longer after we last knew of all cancellations than leaves a worker's lease
// of cancel_s.
func (t *Table) MayAnswerHeartbeats(now time.Time) bool {
	if !t.cache.Loaded || t.lease.id == 0 {
		return false
	}
	acknowledged := t.AcknowledgedByAllUntil()
	leadsUntil := latest(t.lease.validUntil, acknowledged).Add(t.node.Settings.LeadershipGrace())
	knowsUntil := latest(t.cache.ChangesReadAt, acknowledged).Add(t.node.Settings.MaxStaleness())
	return now.Before(leadsUntil) && now.Before(knowsUntil)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
