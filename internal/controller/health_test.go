package controller

import (
	"context"
	"testing"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// An outage of the state service must not make controllers unhealthy for the load balancer, not
// even a controller that starts during the outage. A controller that is still loading its cache is
// not ready.
func TestHealthDuringStoreOutage(t *testing.T) {
	s := newTestCluster()
	c := s.nodes[0].controller
	if r := c.frontend.HandleHealthCheck(); r.Status != 503 {
		t.Errorf("health before the cache is loaded: got status %d, want 503", r.Status)
	}
	c.sync.RecordStoreResponse(false)
	if r := c.frontend.HandleHealthCheck(); r.Status != 200 {
		t.Errorf("health of a controller started in an outage: got status %d, want 200", r.Status)
	}
	if r := c.frontend.Submit(
		context.Background(),
		simulator.Submission(&api.Job{UID: "run-000001", Class: "l", Team: "b", Kind: api.Array, Priority: "idle", Tasks: 1, Image: "i"}),
	); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("submission in an outage: got status %d, retry after %d s, want 503 with a retry time", r.Status, r.RetryAfter)
	}
	s.stepNode(0)
	c.sync.RecordStoreResponse(true)
	if r := c.frontend.HandleHealthCheck(); r.Status != 200 {
		t.Errorf("health once the cache is loaded: got status %d, want 200", r.Status)
	}
}

// A controller that reaches neither the state service nor any peer is unhealthy: it can't answer
// its users and would report their jobs as unknown. A controller stays healthy if a peer can't
// reach the state service either.
func TestIsolatedNodeIsUnhealthy(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[0].controller
	c.sync.RecordStoreResponse(false)
	s.environment.Advance(c.node.Settings.ControllerLeaseTTL())
	c.testState().Reachability.PeersQueried = true
	c.testState().Reachability.StoreReachableByPeer["n1"] = false
	if r := c.frontend.HandleHealthCheck(); r.Status != 200 {
		t.Errorf("health in an outage that a peer reports too: got status %d, want 200", r.Status)
	}
	delete(c.testState().Reachability.StoreReachableByPeer, "n1")
	if r := c.frontend.HandleHealthCheck(); r.Status != 503 {
		t.Errorf("health of an isolated controller: got status %d, want 503", r.Status)
	}
}
