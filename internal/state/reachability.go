package state

import "time"

// Reachability records whether this controller and its peers reach the state service. A controller
// can't tell on its own whether the service is down or refuses only this controller; the answers of
// its peers show it.
type Reachability struct {
	StoreReachable       bool            // the state service served this controller's last request
	Since                time.Time       // when StoreReachable last changed
	PeersQueried         bool            // all peers were queried since then, while the state service was unreachable
	StoreReachableByPeer map[string]bool // by each peer that answered: whether it reaches the state service
}

// RecordStoreResponse records whether the state service served a request. It reports whether the result
// differs from that of the previous request.
func (r *Reachability) RecordStoreResponse(served bool, now time.Time) (changed bool) {
	if r.StoreReachable == served {
		return false
	}
	r.StoreReachable, r.Since, r.PeersQueried = served, now, false
	return true
}

// IsolatedFor reports whether this controller has not reached the state service for longer than d
// and no peer has answered.
func (r *Reachability) IsolatedFor(d time.Duration, now time.Time) bool {
	return !r.StoreReachable && now.Sub(r.Since) > d && r.PeersQueried && len(r.StoreReachableByPeer) == 0
}
