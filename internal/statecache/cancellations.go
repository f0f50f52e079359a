package statecache

// A leader that has lost the state service doesn't see which jobs are cancelled, nor
// whether it was replaced. Left to itself it may answer its workers for a bounded time
// only (Grace, Unseen). But only controllers confirm cancellations and take shards, and
// each of them knows what it did itself: one that answers for that at some moment has,
// until that moment, done nothing that the leader doesn't know. So the leader's time
// counts from the oldest of the newest such answers of all configured controllers, each
// from when it was asked. One that does not answer, does not know all it may have done
// (it has only just started), or is of a version that doesn't know the question, counts
// as silent: the time runs out as before. docs/design.md has the argument.

// cancellation is a job that was cancelled, and the revision at which that was seen.
type cancellation struct {
	UID     string
	Version uint64
}

// MaxCancellations bounds the cancellations that are kept to be told: entries of some tens
// of bytes, a quarter of what a message may hold. Who asks from before them is told
// that this node can't say.
const MaxCancellations = 1024

// NoteCancellation notes a job that was cancelled.
func (m *Cache) NoteCancellation(uid string, version uint64) {
	m.Cancellations = append(m.Cancellations, cancellation{uid, version})
	if n := len(m.Cancellations) - MaxCancellations; n > 0 {
		for _, x := range m.Cancellations[:n] { // not in order of their revisions
			m.CancellationsCompleteFrom = max(m.CancellationsCompleteFrom, x.Version)
		}
		m.Cancellations = append(m.Cancellations[:0], m.Cancellations[n:]...)
	}
}

// NoteCancelledByPeer takes it from a peer that a job was cancelled, before its record shows that.
func (m *Cache) NoteCancelledByPeer(uid string) {
	j := m.Jobs[uid]
	if j == nil || j.cancelledByPeer {
		return
	}
	j.cancelledByPeer = true
	m.invalidateLoads(j.Ranges)
	for _, ch := range j.Ranges {
		for _, p := range ch.Record.Placements {
			m.observer.TasksChanged(p.Host)
		}
	}
}
