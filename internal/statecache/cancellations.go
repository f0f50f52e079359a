package statecache

// cancellation is a job that was cancelled, and the revision at which that was seen.
type cancellation struct {
	uid      string
	revision uint64
}

// MaxCancellations bounds the cancellations that are kept to be told to peers: entries of
// some tens of bytes, a quarter of what a message may hold. Who asks from before them is
// told that this controller can't say.
const MaxCancellations = 1024

// RecordCancellation notes a job that was cancelled, seen at a revision.
func (x *JobIndex) RecordCancellation(uid string, revision uint64) {
	x.cancellations = append(x.cancellations, cancellation{uid, revision})
	excess := len(x.cancellations) - MaxCancellations
	if excess <= 0 {
		return
	}
	for _, c := range x.cancellations[:excess] { // not in order of their revisions
		x.cancellationsCompleteFrom = max(x.cancellationsCompleteFrom, c.revision)
	}
	x.cancellations = append(x.cancellations[:0], x.cancellations[excess:]...)
}

// forgetCancellations notes that changes up to a revision were missed: jobs that were
// cancelled meanwhile and are over already are not known.
func (x *JobIndex) forgetCancellations(revision uint64) {
	x.cancellations, x.cancellationsCompleteFrom = nil, revision
}

// CancelledSince returns the jobs that were cancelled after a revision. complete is false if
// not all of them are known.
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

// MarkCancelledByPeer takes it from a peer that a job was cancelled, before its record shows
// that.
func (c *Cache) MarkCancelledByPeer(uid string) {
	j := c.Jobs[uid]
	if j == nil || j.cancelledByPeer {
		return
	}
	j.cancelledByPeer = true
	c.noteTasksChanged(j)
}
