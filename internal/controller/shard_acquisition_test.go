package controller

import (
	"context"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// A shard acquired by a transaction whose response was lost once was led by nobody: the
// key was ours and kept alive, but the shard was not among those we lead.
func TestShardAcquiredWithoutResponse(t *testing.T) {
	s := newTestCluster()
	for i, n := range s.nodes { // the first transaction registers, the next acquires the shard
		s.stepNode(i)
		s.environment.Store.NextFault[n.name] = simulator.ResponseLost
	}
	s.runUntil(t, 40, "shards led", func() bool {
		return s.leaderOf("n0") != "" && s.leaderOf("n1") != "" && s.leaderOf("n2") != ""
	})
}

// A leader that restarts quickly must not lose the knowledge that the leader before it may
// still be answering workers: the doubt stays in the shard's capacity record.
func TestPredecessorDoubtSurvivesRestart(t *testing.T) {
	s := newTestCluster()
	s.runFor(20)
	s.environment.Store.RefusedNodes["n1"] = true // n1 lives on, partitioned from the state service
	s.runUntil(t, 40, "shard of n1 acquired", func() bool { o := s.leaderOf("n1"); return o != "" && o != "n1" })
	successor := s.nodeOf(s.leaderOf("n1"))
	s.startNode(successor)
	s.runUntil(t, 10, "acquired again", func() bool { return s.leaderOf("n1") == s.nodes[successor].name })
	c := s.nodes[successor].controller
	if got := c.testState().Leadership.Lookup("n1").PredecessorAnswersUntil.Sub(c.node.Now()); got <= c.node.Settings.LeadershipGrace()/2 {
		t.Fatalf("bounds earlier answers by %v from now, n1 may go on for %v", got, c.node.Settings.LeadershipGrace())
	}
}

// A shard that a peer acquired between the read and the transaction is left to it.
func TestShardIsNotTakenFromLivingLeader(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[1].controller
	before := c.testState().Leadership.Lookup("n1").Term
	old := c.testState().Cache.Leaders["n0"].Version
	s.nodes[0].running = false
	s.runUntil(t, 40, "shard of n0 acquired", func() bool { o := s.leaderOf("n0"); return o != "" })
	successor := s.leaderOf("n0")
	other := s.nodes[1]
	if successor == "n1" {
		other = s.nodes[2]
	}
	s.runRound()
	other.controller.election.AcquireShard(context.Background(), "n0", old) // it still looks at the old leader's key
	if s.leaderOf("n0") != successor || other.state().Leadership.Lookup("n0") != nil ||
		c.testState().Leadership.Lookup("n1").Term != before {
		t.Fatal("the shard changed its leader")
	}
}

// Controllers that are back at once, in the middle of acquiring a shard and with
// transactions of their earlier lives still to arrive, leave every shard with one
// leader and every replica running.
func TestRestartDuringElection(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 4 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	s.nodes[1].running = false
	s.runUntil(t, 40, "shard of n1 without a leader", func() bool { return s.nodes[0].state().Cache.Leaders["n1"].Record == nil })
	for _, n := range s.nodes {
		s.environment.Store.NextFault[n.name] = simulator.Delayed // the acquisition is on its way when its sender ends
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
	// Sooner than the leases of the earlier lives end: those are over.
	s.runUntil(t, 5, "shards led at home", func() bool {
		return s.leaderOf("n0") == "n0" && s.leaderOf("n1") == "n1" && s.leaderOf("n2") == "n2"
	})
	for range 40 {
		s.runRound()
		if s.runningTasks(id) != 4 {
			t.Fatal("a replica was lost")
		}
	}
	s.checkViolations(t)
}

// An acquisition that conflicted with another, which raised the term, is tried again at
// once, not with the next renewal of the lease: after the end of all controllers
// they come together, and the workers' leases run.
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
	old := c.testState().Cache.Leaders["n1"].Version
	first := s.nodes[0]
	first.controller.election.AcquireShard(context.Background(), "n0", first.state().Cache.Leaders["n0"].Version) // raises the term
	c.election.AcquireShard(context.Background(), "n1", old)
	if c.testState().Leadership.Lookup("n1") != nil || len(c.sync.LeaderlessShardSignal()) != 1 {
		t.Fatalf("acquired %t, to be tried again %d", c.testState().Leadership.Lookup("n1") != nil, len(c.sync.LeaderlessShardSignal()))
	}
}
