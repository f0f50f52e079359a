package controller

import (
	"context"
	"testing"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// An outage of the state service takes no node out of the balancer's rotation, not
// even one that starts in it; a node that is still loading is not ready.
func TestHealthInOutage(t *testing.T) {
	s := newTestCluster()
	c := s.nodes[0].controller
	if r := c.frontend.HandleHealthCheck(); r.Status != 503 {
		t.Errorf("before it has loaded: %d", r.Status)
	}
	c.sync.RecordStoreAnswer(false)
	if r := c.frontend.HandleHealthCheck(); r.Status != 200 {
		t.Errorf("started in an outage: %d", r.Status)
	}
	if r := c.frontend.Submit(
		context.Background(),
		simulator.Submission(&api.Job{UID: "run-000001", Class: "l", Team: "b", Kind: api.Array, Priority: "idle", Tasks: 1, Image: "i"}),
	); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("a submission in an outage: %d, to come back after %d s", r.Status, r.RetryAfter)
	}
	s.stepNode(0)
	c.sync.RecordStoreAnswer(true)
	if r := c.frontend.HandleHealthCheck(); r.Status != 200 {
		t.Errorf("loaded: %d", r.Status)
	}
}

// A node that reaches neither the state service nor any peer can say nothing to
// its users and is not healthy; their jobs would seem unknown. One that shares
// an outage with its peers stays.
func TestIsolatedNodeLetsUsersGo(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[0].controller
	c.sync.RecordStoreAnswer(false)
	s.environment.Advance(c.node.Settings.ControllerLeaseTTL())
	c.testState().Reachability.PeersQueried = true
	c.testState().Reachability.StoreReachableByPeer["n1"] = false
	if r := c.frontend.HandleHealthCheck(); r.Status != 200 {
		t.Errorf("in an outage that a peer sees too: %d", r.Status)
	}
	delete(c.testState().Reachability.StoreReachableByPeer, "n1")
	if r := c.frontend.HandleHealthCheck(); r.Status != 503 {
		t.Errorf("alone: %d", r.Status)
	}
}
