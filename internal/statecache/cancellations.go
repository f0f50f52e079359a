package statecache

// cancellation is a cancelled job and the revision of its cancellation.
type cancellation struct {
	uid      string
	revision uint64
}

// MaxCancellations bounds the cancellations that are kept to be reported to peers: entries of some
// tens of bytes each, a quarter of the maximum message size. If a peer requests the cancellations
// since an earlier revision than that of the kept ones, the response is marked as incomplete.
const MaxCancellations = 1024

// RecordCancellation records that a job was cancelled at a revision.
func (x *JobIndex) RecordCancellation(uid string, revision uint64) {
	x.cancellations = append(x.cancellations, cancellation{uid, revision})
	excess := len(x.cancellations) - MaxCancellations
	if excess <= 0 {
		return
	}
	for _, c := range x.cancellations[:excess] { // not sorted by revision
		x.cancellationsCompleteFrom = max(x.cancellationsCompleteFrom, c.revision)
	}
	x.cancellations = append(x.cancellations[:0], x.cancellations[excess:]...)
}

// resetCancellations clears the cancellations because changes up to a revision may have been
// missed: jobs that were cancelled and have ended meanwhile are unknown.
func (x *JobIndex) resetCancellations(revision uint64) {
	x.cancellations, x.cancellationsCompleteFrom = nil, revision
}

// CancelledSince returns the jobs that were cancelled after a revision. complete is false if some
// of them may be missing; then it returns none.
func (x *JobIndex) CancelledSince(revision uint64) (uids []string, complete bool) {
	if revision < x.cancellationsCompleteFrom {
		return nil, false
	}
	for _, c := range x.cancellations {
		if c.revision > revision {
			uids = append(uids, c.uid)
		}
	}
	return uids, true
}

// MarkCancelledByPeer marks a job as cancelled because a peer reported its cancellation, which the
// cached record may not show yet.
func (c *Cache) MarkCancelledByPeer(uid string) {
	j := c.Jobs[uid]
	if j == nil || j.cancelledByPeer {
		return
	}
	j.cancelledByPeer = true
	c.notifyTasksChanged(j)
}
