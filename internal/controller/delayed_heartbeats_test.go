package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// A heartbeat from before the job's tasks started is delayed, and reaches the new leader after the
// job was cancelled and its machines were partitioned. It does not prove that the tasks have ended:
// the team, which is at its limit, must get no capacity before the worker leases have expired.
func TestDelayedHeartbeatReachesNewLeader(t *testing.T) {
	s := newReadyCluster()
	firstArray := s.submitArray(5, time.Second, func(j *api.Job) { j.Team, j.Zone = "a", "x" })
	s.runUntil(t, 120, "machines run and array done", s.isDone(firstArray))
	delayed := s.heartbeats()
	cancelledService := s.submitService(5, func(j *api.Job) { j.Team, j.Zone = "a", "x" })
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(cancelledService) == 5 })
	otherZoneService := s.submitService(4, func(j *api.Job) { j.Zone = "y" }) // leaves free capacity when it is cancelled
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(otherZoneService) == 4 })
	for host := range s.runningTasksByHost(cancelledService) {
		s.environment.Cloud.WorkersByHost[host].Partitioned = true
	}
	s.runRounds(t, 1)
	for i := range s.nodes {
		s.startNode(i) // all are new leaders at the same time
	}
	s.runRounds(t, 2)
	for _, id := range []string{cancelledService, otherZoneService} {
		s.cancel(1, id)
	}
	s.submitArray(4, 2*time.Second, func(j *api.Job) { j.Team, j.Zone = "a", "y" })
	s.runRounds(t, 1) // the new leader has recorded the cancellations and the array
	s.deliverCopies(delayed)
	s.runRounds(t, 24)
	s.checkRecovery(t)
}

// Old heartbeats reach every controller just when a new leader begins, and others are delayed
// until it has acted. The current heartbeats of the machines must still count, and their tasks must
// keep running.
func TestOldHeartbeatsReachNewLeader(t *testing.T) {
	s := newReadyCluster()
	id := s.submitService(2, nil)
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	leader, other := s.leaderOfJob(t, id)
	for range 6 {
		s.runRounds(t, 1)
	}
	oldHeartbeats := s.heartbeatCopies
	s.nodes[leader].running = false
	for _, n := range s.nodes { // commands of the new leader that raise tokens are delayed
		n.commands.PartitionedFrom = func(*simulator.Worker) bool { return true }
	}
	delayed := s.heartbeats()
	for range 60 {
		for i := range s.nodes {
			s.stepNode(i)
		}
		if newLeader := s.leaderOf(s.nodes[leader].name); newLeader != "" {
			break
		}
		s.environment.Advance(100 * time.Millisecond)
	}
	successor := s.leaderOf(s.nodes[leader].name)
	if successor == "" {
		t.Fatal("no controller acquired the shard of the stopped leader, want one")
	}
	for _, heartbeat := range oldHeartbeats {
		for i := range s.nodes {
			s.deliverHeartbeat(i, heartbeat.body)
		}
	}
	for round := range 100 {
		s.runRound()
		if round == 8 { // the new leader has acted
			s.deliverCopies(delayed)
		}
		if s.runningTasks(id) != 2 || len(s.environment.Violations) > 0 {
			t.Fatalf("round %d: %d replicas run, want 2; violations %v", round, s.runningTasks(id), s.environment.Violations)
		}
	}
	s.cancel(other, id)
	s.checkRecovery(t)
}

// Late copies of heartbeats are no evidence that a machine runs: a lost machine still counts as
// lost, and a controller that has just started and has no history does not register a machine
// that was terminated long ago.
func TestDelayedHeartbeatCopies(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 2 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	var host string
	for tasksHost := range s.runningTasksByHost(id) {
		host = tasksHost
	}
	var copies [][]byte
	for range 8 {
		copies = append(copies, api.MustMarshal(s.environment.Cloud.WorkersByHost[host].Heartbeat()))
		s.deliverHeartbeat(s.preferredLeaderOf(host), copies[len(copies)-1])
	}
	s.environment.Cloud.Terminate(host)
	deliverCopiesAndRun := func() {
		s.deliverCopies(copies)
		s.runRound()
	}
	bound := rounds(s.environment.WorkerLease + 4*time.Second)
	for round := 0; round < bound+40 && s.runningTasks(id) < 2; round++ {
		deliverCopiesAndRun()
	}
	if s.runningTasks(id) < 2 {
		t.Fatalf("%d replicas run while copies of the lost machine's heartbeats arrive, want 2", s.runningTasks(id))
	}
	s.runUntil(t, 60, "machine deregistered", func() bool { return s.nodes[0].state().Cache.Machines[host] == nil })
	for i := range s.nodes {
		s.startNode(i)
	}
	for range 40 {
		deliverCopiesAndRun()
		for _, n := range s.nodes {
			if n.state().Cache.Machines[host] != nil {
				t.Fatalf("machine %s, terminated long ago, is registered again at %s, want it to stay deregistered", host, n.name)
			}
		}
	}
	s.checkViolations(t)
}
