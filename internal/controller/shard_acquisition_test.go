package controller

import (
	"context"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// A shard once had no active leader after the response to its acquisition was lost: the leader key
// belonged to this controller and was kept alive by its lease, but the controller did not treat the
// shard as one that it leads.
func TestShardIsLedAfterLostCommitResponse(t *testing.T) {
	s := newTestCluster()
	for i, n := range s.nodes { // the first transaction registers, the next acquires the shard
		s.stepNode(i)
		s.environment.Store.NextFault[n.name] = simulator.ResponseLost
	}
	s.runUntil(t, 40, "shards led", func() bool {
		return s.leaderOf("n0") != "" && s.leaderOf("n1") != "" && s.leaderOf("n2") != ""
	})
}

// After a quick restart, a leader must still take into account that the previous leader may be
// answering workers. The shard's capacity record keeps that information.
func TestPredecessorMayAnswerSurvivesRestart(t *testing.T) {
	s := newTestCluster()
	s.runFor(20)
	s.environment.Store.RefusedControllers["n1"] = true // n1 continues to run, partitioned from the state service
	s.runUntil(t, 40, "shard of n1 acquired", func() bool { leader := s.leaderOf("n1"); return leader != "" && leader != "n1" })
	successor := s.nodeOf(s.leaderOf("n1"))
	s.startNode(successor)
	s.runUntil(t, 10, "shard acquired again", func() bool { return s.leaderOf("n1") == s.nodes[successor].name })
	c := s.nodes[successor].controller
	if got := c.testState().Leadership.Lookup("n1").PredecessorAnswersUntil.
		Sub(c.node.Now()); got <= c.node.Settings.LeadershipGracePeriod()/2 {
		t.Fatalf(
			"time for which the previous leader may still answer: got %v, want more than half of the grace period of %v",
			got, c.node.Settings.LeadershipGracePeriod(),
		)
	}
}

// A controller must not take over a shard that a peer has acquired between the controller's read of
// the leader key and the controller's transaction.
func TestShardIsNotAcquiredFromRunningLeader(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[1].controller
	before := c.testState().Leadership.Lookup("n1").Term
	oldVersion := c.testState().Cache.Leaders["n0"].Version
	s.nodes[0].running = false
	s.runUntil(t, 40, "shard of n0 acquired", func() bool { leader := s.leaderOf("n0"); return leader != "" })
	successor := s.leaderOf("n0")
	other := s.nodes[1]
	if successor == "n1" {
		other = s.nodes[2]
	}
	s.runRound()
	other.controller.election.AcquireShard(context.Background(), "n0", oldVersion) // based on the old version of the leader key
	if s.leaderOf("n0") != successor || other.state().Leadership.Lookup("n0") != nil ||
		c.testState().Leadership.Lookup("n1").Term != before {
		t.Fatalf("leader of shard n0: got %q, want %q, with no other leadership changed", s.leaderOf("n0"), successor)
	}
}

// Controllers restart at once while they are acquiring a shard, and delayed transactions of their
// previous incarnations arrive afterwards. Every shard must still have one leader, and every replica
// must keep running.
func TestRestartDuringElection(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 4 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	s.nodes[1].running = false
	s.runUntil(t, 40, "shard of n1 without a leader", func() bool { return s.nodes[0].state().Cache.Leaders["n1"].Record == nil })
	for _, n := range s.nodes {
		s.environment.Store.NextFault[n.name] = simulator.Delayed // the acquisition is in transit when its sender stops
	}
	for i := range s.nodes {
		s.stepNode(i)
	}
	for i := range s.nodes {
		s.startNode(i)
	}
	for i := range s.nodes {
		s.stepNode(i)
		s.environment.Store.DeliverDelayed()
	}
	// This must not take until the leases of the previous incarnations expire, as those have ended.
	s.runUntil(t, 5, "each shard led by its preferred leader", func() bool {
		return s.leaderOf("n0") == "n0" && s.leaderOf("n1") == "n1" && s.leaderOf("n2") == "n2"
	})
	for range 40 {
		s.runRound()
		if s.runningTasks(id) != 4 {
			t.Fatalf("running replicas: got %d, want 4", s.runningTasks(id))
		}
	}
	s.checkViolations(t)
}

// An acquisition that conflicts with another one, which raised the term, must be retried at once
// and not only with the next renewal of the lease: when all controllers have stopped and restart,
// they acquire shards at the same time, while the remaining time of the worker leases is short.
func TestConflictedAcquisitionIsRetried(t *testing.T) {
	s := newReadyCluster()
	s.startNode(1)
	c := s.nodes[1].controller
	if err := c.sync.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	leaseID, err := c.services.Store.GrantLease(context.Background(), c.node.Settings.ControllerLeaseTTL())
	if err != nil {
		t.Fatal(err)
	}
	c.testState().Leadership.BeginLease(leaseID)
	for len(c.sync.LeaderlessShardSignal()) > 0 {
		<-c.sync.LeaderlessShardSignal()
	}
	oldVersion := c.testState().Cache.Leaders["n1"].Version
	first := s.nodes[0]
	first.controller.election.AcquireShard(context.Background(), "n0", first.state().Cache.Leaders["n0"].Version) // this raises the term
	c.election.AcquireShard(context.Background(), "n1", oldVersion)
	if c.testState().Leadership.Lookup("n1") != nil || len(c.sync.LeaderlessShardSignal()) != 1 {
		t.Fatalf(
			"shard acquired: got %t, want false; retry signals: got %d, want 1",
			c.testState().Leadership.Lookup("n1") != nil, len(c.sync.LeaderlessShardSignal()),
		)
	}
}
