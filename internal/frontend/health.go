package frontend

import (
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// HandleHealthCheck answers the load balancer's health check: with success if users can be routed to
// this controller, or with respond.Busy if they are to be routed to its peers.
func (f *Frontend) HandleHealthCheck() transport.Response {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	// A controller that has just started is not ready until its cache of the live records is
	// loaded. A controller that cannot reach the state service reports itself as healthy: it can
	// forward users' requests to a peer. If the state service failed for all controllers and all were
	// removed from rotation, they would stay removed long after the end of the outage, because the
	// load balancer doubles its retry interval.
	if !state.Cache.Loaded && state.Reachability.StoreReachable {
		return respond.Busy
	}
	// A controller that reaches neither the state service nor any peer is itself partitioned. It
	// cannot serve users and reports itself as unhealthy, so that they are routed to its peers.
	if state.Reachability.PartitionedFor(f.node.Settings.ControllerLeaseTTL()/2, f.node.Now()) {
		return respond.Busy
	}
	return respond.JSON(statusOK, healthBody{Node: f.node.Settings.HostName})
}
