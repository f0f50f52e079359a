package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// runStoreOutage makes the state service refuse the requests of a leader only, cancels a job
// through another controller, and then makes the state service refuse all requests for longer
// than the cancellation timeout, while the workers still send heartbeats to the old leader. fault
// is called right after the cancellation is confirmed. It returns the cluster and a job that was
// not cancelled.
func runStoreOutage(t *testing.T, fault func(s *testCluster, leader, other int)) (s *testCluster, uncancelled string) {
	t.Helper()
	s = newReadyCluster()
	zoneService := func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks, j.Zone = api.Service, 3, "x" }
	cancelled := s.submitJob(zoneService)
	uncancelled = s.submitJob(zoneService)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(cancelled) == 3 && s.runningTasks(uncancelled) == 3 })
	leader, other := s.leaderOfJob(t, cancelled)
	s.environment.Store.RefusedControllers[s.nodes[leader].name] = true
	s.stepNode(leader) // it observes the refusal
	if s.cancel(other, cancelled); s.environment.Jobs[cancelled].FinalPhase != api.JobCancelled {
		t.Fatalf("job in phase %q after its cancellation, want it confirmed as %q", s.environment.Jobs[cancelled].FinalPhase,
			api.JobCancelled)
	}
	s.environment.Store.Down = true
	fault(s, leader, other)
	for range rounds(s.environment.CancelTimeout) + 20 {
		s.runRound()
		s.checkViolations(t)
	}
	if running := s.runningTasks(cancelled); running > 0 {
		t.Fatalf("%d tasks of the cancelled job run after the cancellation timeout, want 0", running)
	}
	return s, uncancelled
}

// Tasks whose cancellation the old leader can't read end within the cancellation timeout,
// whatever happens to the leader and to the controller that confirmed the cancellation. As long as
// all controllers can report their cancellations to one another, no other task ends with them.
func TestCancellationDuringStoreOutage(t *testing.T) {
	noFault := func(*testCluster, int, int) {}
	s, uncancelled := runStoreOutage(t, noFault)
	if running := s.runningTasks(uncancelled); running != 3 {
		t.Errorf("%d replicas of the other service run after an outage in which all controllers reach one another, want 3", running)
	}
	for name, fault := range map[string]func(s *testCluster, leader, other int){
		"peers refused":                   func(s *testCluster, _, _ int) { s.peersRefused = true },
		"confirming controller stops":     func(s *testCluster, _, other int) { s.nodes[other].running = false },
		"confirming controller restarts":  func(s *testCluster, _, other int) { s.startNode(other) },
		"leader restarts":                 func(s *testCluster, leader, _ int) { s.startNode(leader) },
		"confirming controller is paused": func(s *testCluster, _, other int) { s.nodes[other].paused = true },
		"machines hang within their leases": func(s *testCluster, _, _ int) {
			for _, worker := range s.environment.Cloud.WorkersByHost {
				worker.Hung = true
			}
			s.runFor(14)
			for _, worker := range s.environment.Cloud.WorkersByHost {
				worker.Hung = false
			}
		},
		"only workers reach the leader": func(s *testCluster, leader, _ int) {
			s.environment.Store.UnreachableControllers[s.nodes[leader].name], s.peersRefused = true, true
		},
	} {
		t.Run(name, func(t *testing.T) { runStoreOutage(t, fault) })
	}
}
