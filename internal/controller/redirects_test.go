package controller

import (
	"context"
	"testing"
	"time"

	"violetturn/internal/api"
)

// When a peer reports to a leader that the leader's shard was acquired, the leader must stop
// answering heartbeats at once and redirect its workers to the new leader, long before its own
// leadership grace period ends.
func TestReplacedLeaderRedirectsWorkers(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks, j.Zone = api.Service, 3, "x" })
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
	leader, _ := s.leaderOfJob(t, id)
	shardID := s.nodes[leader].name
	s.environment.Store.RefusedControllers[shardID] = true
	s.runUntil(t, 40, "shard acquired by a peer", func() bool {
		newLeader := s.leaderOf(shardID)
		return newLeader != "" && newLeader != shardID
	})
	c := s.nodes[leader].controller
	c.members.QueryPeers(context.Background())
	if leadership := c.testState().Leadership.Lookup(shardID); leadership == nil || leadership.Successor() != s.leaderOf(shardID) {
		t.Fatalf("leadership of shard %s at its former leader: got %+v, want successor %q", shardID, leadership, s.leaderOf(shardID))
	}
	for host, m := range c.testState().Cache.Machines {
		if worker := s.environment.Cloud.WorkersByHost[host]; m.Shard == shardID && worker != nil && worker.Booted() {
			heartbeat := worker.Heartbeat()
			heartbeat.Token = 0
			if got := s.deliverHeartbeat(leader, api.MustMarshal(heartbeat)); got.status != 421 || got.leader != s.leaderOf(shardID) {
				t.Errorf("heartbeat of %s: got status %d, leader %q, want 421, leader %q",
					host, got.status, got.leader, s.leaderOf(shardID))
			}
		}
	}
	for range 60 {
		s.runRound()
		if len(s.environment.Violations) > 0 || s.runningTasks(id) != 3 {
			t.Fatalf("got %d running replicas, violations %v, want 3 and none", s.runningTasks(id), s.environment.Violations)
		}
	}
}

// A controller that does not lead a worker's shard must redirect the worker to the leader. A
// controller that may no longer answer for a shard must not respond with 200, which would keep the
// worker there.
func TestOtherNodesRedirectWorkers(t *testing.T) {
	s := newReadyCluster()
	s.submitJob(nil)
	s.runUntil(t, 40, "machine registered and running", func() bool {
		return len(s.nodes[0].state().Cache.Machines) > 0 && len(s.environment.Cloud.WorkersByHost) > 0
	})
	for host, m := range s.nodes[0].state().Cache.Machines {
		worker := s.environment.Cloud.WorkersByHost[host]
		for i, n := range s.nodes {
			got := s.deliverHeartbeat(i, api.MustMarshal(worker.Heartbeat()))
			switch leads := n.name == m.Shard; {
			case leads && got.status != 200, !leads && (got.status != 421 || got.leader != m.Shard):
				t.Errorf(
					"heartbeat of %s of shard %s at %s: got status %d, leader %q, want 200 from the leader, else 421 and the leader",
					host, m.Shard, n.name, got.status, got.leader,
				)
			}
		}
	}
	for range 100 { // the state service refuses only this controller
		s.environment.Store.RefusedControllers["n0"] = true
		s.runRound()
	}
	for host := range s.nodes[1].state().Cache.Machines {
		if worker := s.environment.Cloud.WorkersByHost[host]; worker != nil {
			if s.deliverHeartbeat(0, api.MustMarshal(worker.Heartbeat())).status == 200 {
				t.Error("heartbeat long after the end of the controller's lease: got status 200, want another")
			}
		}
	}
}
