package frontend

import (
	"violetturn/internal/respond"
	"violetturn/internal/state"
	"violetturn/internal/transport"
)

// Health tells the balancer whether users may be sent to this node.
func (f *Frontend) Health() transport.Response {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	// A node that has just started is not ready before it has read all live records.
	// One that can't reach the state service stays in: a peer may serve for it,
	// and in an outage of all, nodes taken out would stay out for long after it,
	// since the balancer's pauses double.
	if !state.Cache.Loaded && state.Reachability.StoreReachable {
		return respond.Busy
	}
	if f.isIsolated(state) {
		return respond.Busy
	}
	return respond.JSON(statusOK, healthBody{Node: f.node.Settings.HostName})
}

// isIsolated reports whether the node has reached neither the state service nor any peer for a
// while: it is cut off itself, can say nothing to its users and lets them go.
func (f *Frontend) isIsolated(s *state.State) bool {
	r := &s.Reachability
	return !r.StoreReachable && f.node.Now().Sub(r.Since) > f.node.Settings.ControllerLeaseTTL()/2 &&
		r.PeersAsked && len(r.Peers) == 0
}
