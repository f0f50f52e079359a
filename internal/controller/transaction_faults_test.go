package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// A transaction without a response is carried out late, after newer ones of the same
// controller: an acceptance after the job's whole life, a cancellation after its end, the
// acquisition of a shard after it was acquired again and released.
func TestDelayedTransactions(t *testing.T) {
	s := newReadyCluster()
	s.environment.Store.NextFault["n0"] = simulator.Delayed
	a := s.submitArray(2, time.Second, nil)
	s.submit(1, a)
	b := s.submitArray(2, 4*time.Second, nil)
	s.runUntil(t, 80, "b runs", func() bool { return s.runningTasks(b) == 2 })
	s.environment.Store.NextFault["n2"] = simulator.Delayed
	s.cancel(2, b)
	s.runUntil(t, 80, "both done", func() bool { return s.isDone(a)() && s.isDone(b)() })
	s.startNode(1) // remembers nothing
	s.environment.Store.DeliverDelayed()
	for range 8 {
		s.queryEverywhere(a)
		s.queryEverywhere(b)
		s.runRounds(t, 1)
	}
	id := s.submitService(3, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
	leader, _ := s.leaderOfJob(t, id)
	s.nodes[leader].running = false
	for range 12 { // whoever acquires the shard hears nothing, and so for all else
		for _, n := range s.nodes {
			s.environment.Store.NextFault[n.name] = simulator.Delayed
		}
		s.runRounds(t, 1)
	}
	s.startNode(leader)
	s.runRounds(t, 10)
	s.environment.Store.DeliverDelayed()
	s.runRounds(t, 40)
	if s.runningTasks(id) != 3 {
		t.Errorf("%d of 3 replicas", s.runningTasks(id))
	}
	s.checkRecovery(t)
}

// A transaction is carried out at once and only its response is lost, while other nodes
// read what it wrote and tell it: an acceptance, an end, a cancellation.
func TestLostCommitResponseWhileOthersRead(t *testing.T) {
	s := newReadyCluster()
	s.environment.Store.NextFault["n0"] = simulator.ResponseLost
	a := s.submitArray(2, 4*time.Second, nil) // its user may have heard nothing
	if !s.environment.Jobs[a].Accepted {
		t.Error("an acceptance whose response was lost is not settled by reading")
	}
	s.queryEverywhere(a)
	b := s.submitService(2, nil)
	s.runUntil(t, 80, "all run", func() bool { return s.runningTasks(b) == 2 })
	s.environment.Store.NextFault["n1"] = simulator.ResponseLost
	s.cancel(1, b)
	s.queryEverywhere(b)
	if s.environment.Jobs[b].FinalPhase != api.JobCancelled {
		t.Error("other nodes don't read the cancellation")
	}
	for range 60 { // each end's response is lost too
		for _, n := range s.nodes {
			s.environment.Store.NextFault[n.name] = simulator.ResponseLost
		}
		s.runRounds(t, 1)
		s.queryEverywhere(a)
	}
	if s.environment.Jobs[a].FinalPhase != api.JobDone {
		t.Error("an end whose responses are lost is never told")
	}
	s.checkRecovery(t)
}
