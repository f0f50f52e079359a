package frontend

import (
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// HandleHealthCheck tells the balancer whether users may be sent to this node.
func (f *Frontend) HandleHealthCheck() transport.Response {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	// A node that has just started is not ready before it has read all live records.
	// One that can't reach the state service stays in: a peer may serve for it,
	// and in an outage of all, nodes taken out would stay out for long after it,
	// since the balancer's pauses double.
	if !state.Cache.Loaded && state.Reachability.StoreReachable {
		return respond.Busy
	}
	// But one that reaches neither the state service nor any peer is cut off itself: it can say
	// nothing to its users and lets them go.
	if state.Reachability.IsolatedFor(f.node.Settings.ControllerLeaseTTL()/2, f.node.Now()) {
		return respond.Busy
	}
	return respond.JSON(statusOK, healthBody{Node: f.node.Settings.HostName})
}
