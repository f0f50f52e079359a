package leadership

import "time"

// lease is this controller's lease on the state service. The node record and the leader keys of
// this controller are attached to it: the state service deletes them when the lease ends.
type lease struct {
	id         uint64    // 0 if there is no lease
	validUntil time.Time // the lease is certainly valid until then
}

// LeaseID returns the ID of this controller's lease on the state service, 0 if it has none.
func (t *Table) LeaseID() uint64 { return t.lease.id }

// BeginLease records a lease that was granted. The controller does not act under it before
// ExtendLease.
func (t *Table) BeginLease(id uint64) { t.lease.id = id }

// ExtendLease records the time until which the lease is certainly valid.
func (t *Table) ExtendLease(until time.Time) { t.lease.validUntil = until }

// ClearLease clears the lease, which the caller then revokes in an orderly way. It returns the ID of
// the lease, 0 if there was none.
func (t *Table) ClearLease() uint64 {
	id := t.lease.id
	t.lease = lease{}
	return id
}

// EndLease clears a lease that has ended, and ends all leaderships.
func (t *Table) EndLease() {
	t.lease = lease{}
	clear(t.byShard)
}

// MayAct reports whether this controller may launch tasks and commit as a leader: its lease is
// certainly valid and its cache is fully loaded.
func (t *Table) MayAct(now time.Time) bool {
	return t.cache.Loaded && now.Before(t.lease.validUntil)
}

// MayAnswerHeartbeats reports whether this controller may still answer heartbeats for the shards
// that it led when it last reached the state service. It guards against two failures. First, a new
// leader may launch the same tasks elsewhere, so after this controller's lease ends, no response
// may renew a worker's lease for longer than the new leader waits. Second, a job may be cancelled
// without this controller receiving the cancellation. So responses must stop early enough after
// this controller last had all cancellations that the leases of its workers still end within
// cancel_s.
func (t *Table) MayAnswerHeartbeats(now time.Time) bool {
	if !t.cache.Loaded || t.lease.id == 0 {
		return false
	}
	acknowledgedUntil := t.AcknowledgedByAllUntil()
	leadershipLimit := latest(t.lease.validUntil, acknowledgedUntil).Add(t.node.Settings.LeadershipGracePeriod())
	stalenessLimit := latest(t.cache.ChangesReadAt, acknowledgedUntil).Add(t.node.Settings.MaxStaleness())
	return now.Before(leadershipLimit) && now.Before(stalenessLimit)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
