package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// playStoreOutage has the state service refuse a leader alone, cancels a job through another
// controller, and then has the state service refuse all, for longer than the cancellation
// timeout, while the workers go on sending heartbeats to the old leader. It returns a job
// that was not cancelled; fault happens right after the confirmation.
func playStoreOutage(t *testing.T, fault func(s *testCluster, leader, other int)) (s *testCluster, kept string) {
	t.Helper()
	s = newReadyCluster()
	zone := func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 3, "x" }
	cancelled := s.submitJob(zone)
	kept = s.submitJob(zone)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(cancelled) == 3 && s.runningTasks(kept) == 3 })
	leader, other := s.leaderOfJob(t, cancelled)
	s.environment.Store.RefusedNodes[s.nodes[leader].name] = true
	s.stepNode(leader) // it notices
	if s.cancel(other, cancelled); s.environment.Jobs[cancelled].FinalPhase != api.JobCancelled {
		t.Fatal("not confirmed")
	}
	s.environment.Store.Down = true
	fault(s, leader, other)
	for range rounds(s.environment.CancelTimeout) + 20 {
		s.runRound()
		s.checkViolations(t)
	}
	if n := s.runningTasks(cancelled); n > 0 {
		t.Fatalf("%d cancelled tasks run on", n)
	}
	return s, kept
}

// Tasks whose cancellation the old leader can't see are gone in time, whatever happens to it
// and to the controller that confirmed; and as long as all controllers can answer for what
// they did, nothing else is lost with them.
func TestCancellationDuringStoreOutage(t *testing.T) {
	none := func(*testCluster, int, int) {}
	s, kept := playStoreOutage(t, none)
	if n := s.runningTasks(kept); n != 3 {
		t.Errorf("%d of 3 replicas outlive an outage in which all controllers answer one another", n)
	}
	for name, fault := range map[string]func(s *testCluster, leader, other int){
		"peers refused":           func(s *testCluster, _, _ int) { s.peersRefused = true },
		"the confirmer ends":      func(s *testCluster, _, other int) { s.nodes[other].running = false },
		"the confirmer is back":   func(s *testCluster, _, other int) { s.startNode(other) },
		"the leader is back":      func(s *testCluster, leader, _ int) { s.startNode(leader) },
		"the confirmer is paused": func(s *testCluster, _, other int) { s.nodes[other].paused = true },
		"machines hang within their leases": func(s *testCluster, _, _ int) {
			for _, x := range s.environment.Cloud.WorkersByHost {
				x.Hung = true
			}
			s.runFor(14)
			for _, x := range s.environment.Cloud.WorkersByHost {
				x.Hung = false
			}
		},
		"the leader can't reach the others, its workers can": func(s *testCluster, leader, _ int) {
			s.environment.Store.UnreachableNodes[s.nodes[leader].name], s.peersRefused = true, true
		},
	} {
		t.Run(name, func(t *testing.T) { playStoreOutage(t, fault) })
	}
}
