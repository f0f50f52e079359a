package frontend

import (
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// HandleHealthCheck returns the response to the load balancer's health check, which states whether
// users may be sent to this controller.
func (f *Frontend) HandleHealthCheck() transport.Response {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	// A controller that has just started is not ready until its cache of the live records is
	// loaded. A controller that cannot reach the state service stays in rotation: a peer may serve
	// its users, and if the state service fails for all controllers, controllers removed from
	// rotation would stay removed long after the end of the outage, because the load balancer
	// doubles its retry interval.
	if !state.Cache.Loaded && state.Reachability.StoreReachable {
		return respond.Busy
	}
	// A controller that reaches neither the state service nor any peer is itself partitioned. It
	// cannot serve its users and reports itself as unhealthy, so that they are sent to other
	// controllers.
	if state.Reachability.PartitionedFor(f.node.Settings.ControllerLeaseTTL()/2, f.node.Now()) {
		return respond.Busy
	}
	return respond.JSON(statusOK, healthBody{Node: f.node.Settings.HostName})
}
