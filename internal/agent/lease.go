package agent

import "time"

// Lease records when a worker's tasks have certainly ended, and whether its machine still exists.
//
// UpdateLease sets and clears LeaseExpired: a response renews an expired lease unless the machine
// is terminated. Terminated is set once and never cleared, whatever the state of the lease. The
// lease of a terminated machine counts as expired from the next UpdateLease on, which reports the
// expiry once.
type Lease struct {
	LastAnswered     time.Time // latest time at which a response of this or an earlier leader can have renewed the lease
	LeaseExpired     bool      // as of the last UpdateLease
	Terminated       bool      // the cloud has confirmed that the machine is terminated
	MissingFromLists int       // consecutive lists of the cloud without the machine
}

// IsLeaseExpired reports whether the worker's tasks have certainly ended: the machine is
// terminated, or more than bound has passed since the last response that can have renewed the
// lease.
func (l *Lease) IsLeaseExpired(now time.Time, bound time.Duration) bool {
	return l.Terminated || now.Sub(l.LastAnswered) > bound
}

// UpdateLease sets LeaseExpired. It reports whether the lease has expired, and whether it was
// still valid at the previous update.
func (l *Lease) UpdateLease(now time.Time, bound time.Duration) (expired, newlyExpired bool) {
	expired = l.IsLeaseExpired(now, bound)
	newlyExpired = expired && !l.LeaseExpired
	l.LeaseExpired = expired
	return expired, newlyExpired
}
