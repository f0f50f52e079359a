package state

import "time"

// Reachability records whether this controller and its peers reach the state service. A controller
// can't tell on its own whether the service is down or refuses only this controller; the responses
// of its peers show it.
type Reachability struct {
	StoreReachable       bool            // the state service served this controller's last request
	Since                time.Time       // when StoreReachable last changed
	PeersQueried         bool            // since then all peers were queried, while the state service was unreachable
	StoreReachableByPeer map[string]bool // by peer that responded: whether it reaches the state service
}

// RecordStoreResponse records whether the state service served a request. It reports whether this
// differs from the previous request.
func (r *Reachability) RecordStoreResponse(served bool, now time.Time) (changed bool) {
	if r.StoreReachable == served {
		return false
	}
	r.StoreReachable, r.Since, r.PeersQueried = served, now, false
	return true
}

// PartitionedFor reports whether this controller has not reached the state service for longer than
// d, and queried its peers meanwhile without a response from any of them.
func (r *Reachability) PartitionedFor(d time.Duration, now time.Time) bool {
	return !r.StoreReachable && now.Sub(r.Since) > d && r.PeersQueried && len(r.StoreReachableByPeer) == 0
}
