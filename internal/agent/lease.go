package agent

import "time"

// Lease is when a worker's tasks are surely dead, and whether its machine still exists.
//
// LeaseExpired is set and cleared by UpdateLease: an answer renews an expired lease unless the
// machine is terminated. Terminated is set once and never cleared, whatever the lease's state;
// the lease counts as expired at the next UpdateLease, which tells that once.
type Lease struct {
	LastAnswered     time.Time // the latest at which an answer of ours, or of a leader before us, can have renewed the lease
	LeaseExpired     bool      // as of the last UpdateLease
	Terminated       bool      // the cloud has confirmed the machine's end
	MissingFromLists int       // lists of the cloud in a row that lacked the machine
}

// IsLeaseExpired reports whether the worker's tasks are surely dead: its lease, counted
// from the last answer that it can have accepted, is over after bound.
func (l *Lease) IsLeaseExpired(now time.Time, bound time.Duration) bool {
	return l.Terminated || now.Sub(l.LastAnswered) > bound
}

// UpdateLease sets LeaseExpired. It reports whether the lease has expired, and whether that is
// so for the first time since it was last valid.
func (l *Lease) UpdateLease(now time.Time, bound time.Duration) (expired, newly bool) {
	expired = l.IsLeaseExpired(now, bound)
	newly = expired && !l.LeaseExpired
	l.LeaseExpired = expired
	return expired, newly
}
