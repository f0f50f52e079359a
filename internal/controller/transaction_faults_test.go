package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// The state service carries out a transaction late, without a response, after newer transactions
// of the same controller: the acceptance of a job after the job has finished, a cancellation after
// the job has ended, and the acquisition of a shard after it was acquired again and released.
func TestDelayedTransactions(t *testing.T) {
	s := newReadyCluster()
	s.environment.Store.NextFault["n0"] = simulator.Delayed
	first := s.submitArray(2, time.Second, nil)
	s.submit(1, first)
	second := s.submitArray(2, 4*time.Second, nil)
	s.runUntil(t, 80, "second array runs", func() bool { return s.runningTasks(second) == 2 })
	s.environment.Store.NextFault["n2"] = simulator.Delayed
	s.cancel(2, second)
	s.runUntil(t, 80, "both arrays done", func() bool { return s.isDone(first)() && s.isDone(second)() })
	s.startNode(1) // it loses its state in memory
	s.environment.Store.DeliverDelayed()
	for range 8 {
		s.queryEverywhere(first)
		s.queryEverywhere(second)
		s.runRounds(t, 1)
	}
	id := s.submitService(3, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
	leader, _ := s.leaderOfJob(t, id)
	s.nodes[leader].running = false
	for range 12 { // acquisitions of the shard and all other transactions get no response
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
		t.Errorf("running replicas: got %d, want 3", s.runningTasks(id))
	}
	s.checkRecovery(t)
}

// A transaction is carried out at once and only its response is lost, while other controllers read
// what it wrote and report it to users: the acceptance, the end and the cancellation of a job.
func TestLostCommitResponseWhileOthersRead(t *testing.T) {
	s := newReadyCluster()
	s.environment.Store.NextFault["n0"] = simulator.ResponseLost
	array := s.submitArray(2, 4*time.Second, nil) // the commit of its acceptance gets no response
	if !s.environment.Jobs[array].Accepted {
		t.Error("job whose acceptance got no commit response: not confirmed to the user, want it confirmed after a read")
	}
	s.queryEverywhere(array)
	service := s.submitService(2, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(service) == 2 })
	s.environment.Store.NextFault["n1"] = simulator.ResponseLost
	s.cancel(1, service)
	s.queryEverywhere(service)
	if s.environment.Jobs[service].FinalPhase != api.JobCancelled {
		t.Errorf("phase of the service after its cancellation: got %q, want %q", s.environment.Jobs[service].FinalPhase, api.JobCancelled)
	}
	for range 60 { // the response to the commit of each task's end is lost too
		for _, n := range s.nodes {
			s.environment.Store.NextFault[n.name] = simulator.ResponseLost
		}
		s.runRounds(t, 1)
		s.queryEverywhere(array)
	}
	if s.environment.Jobs[array].FinalPhase != api.JobDone {
		t.Errorf("phase of the array after all responses were lost: got %q, want %q", s.environment.Jobs[array].FinalPhase, api.JobDone)
	}
	s.checkRecovery(t)
}
