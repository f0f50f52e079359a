package state

import "time"

// Reachability is what this controller knows of whether it, and its peers, reach the state
// service. A controller can't tell an outage of all from a refusal of itself alone; peers can.
type Reachability struct {
	StoreReachable       bool            // our last request was served
	Since                time.Time       // since when that is so
	PeersQueried         bool            // the peers have been asked since
	StoreReachableByPeer map[string]bool // peers that answer, and whether they reach the state service
}

// RecordStoreAnswer notes whether the state service served a request. It reports whether that
// is another outcome than the last.
func (r *Reachability) RecordStoreAnswer(served bool, now time.Time) (changed bool) {
	if r.StoreReachable == served {
		return false
	}
	r.StoreReachable, r.Since, r.PeersQueried = served, now, false
	return true
}

// IsolatedFor reports whether this controller has reached neither the state service nor any
// peer for longer than a time.
func (r *Reachability) IsolatedFor(d time.Duration, now time.Time) bool {
	return !r.StoreReachable && now.Sub(r.Since) > d && r.PeersQueried && len(r.StoreReachableByPeer) == 0
}
