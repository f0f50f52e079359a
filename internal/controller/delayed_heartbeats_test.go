package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Heartbeats that workers sent before a job's tasks started are delayed, and reach the new leader
// after the job was cancelled and its machines were partitioned. They do not list the job's tasks,
// but that does not prove that the tasks have ended: the team, which is at its limit, must get no
// capacity before the worker leases have expired.
func TestDelayedHeartbeatReachesNewLeader(t *testing.T) {
	s := newReadyCluster()
	firstArray := s.submitArray(5, time.Second, func(j *api.Job) { j.Team, j.Zone = "a", "x" })
	s.runUntil(t, 120, "first array done", s.isDone(firstArray))
	delayedHeartbeats := s.heartbeats()
	cancelledService := s.submitService(5, func(j *api.Job) { j.Team, j.Zone = "a", "x" })
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(cancelledService) == 5 })
	otherZoneService := s.submitService(4, func(j *api.Job) { j.Zone = "y" }) // leaves free capacity in zone y when it is cancelled
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(otherZoneService) == 4 })
	for host := range s.runningTasksByHost(cancelledService) {
		s.environment.Cloud.WorkersByHost[host].Partitioned = true
	}
	s.runRounds(t, 1)
	for i := range s.nodes {
		s.startNode(i) // all controllers restart, so that every shard gets a leader of a new term
	}
	s.runRounds(t, 2)
	for _, id := range []string{cancelledService, otherZoneService} {
		s.cancel(1, id)
	}
	s.submitArray(4, 2*time.Second, func(j *api.Job) { j.Team, j.Zone = "a", "y" })
	s.runRounds(t, 1) // so that the new leader records the cancellations and the array
	s.deliverCopies(delayedHeartbeats)
	s.runRounds(t, 24)
	s.checkRecovery(t)
}

// Copies of old heartbeats reach every controller just after a new leader has acquired the shard, and
// copies of newer ones after it has begun to make decisions. The new leader must still accept the
// current heartbeats of the machines, and their tasks must keep running.
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
	for _, n := range s.nodes { // the direct commands with which a new leader sends its term are delayed
		n.commands.PartitionedFrom = func(*simulator.Worker) bool { return true }
	}
	delayedHeartbeats := s.heartbeats()
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
		if round == 8 { // the new leader has begun to make decisions
			s.deliverCopies(delayedHeartbeats)
		}
		if s.runningTasks(id) != 2 || len(s.environment.Violations) > 0 {
			t.Fatalf("round %d: %d replicas run, want 2; violations %v", round, s.runningTasks(id), s.environment.Violations)
		}
	}
	s.cancel(other, id)
	s.checkRecovery(t)
}

// Delayed copies of heartbeats do not prove that a machine is running: a lost machine still counts as
// lost, and a controller that has just restarted, and so has not received the originals, does not
// register a machine that was terminated long ago.
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
	recoveryRounds := rounds(s.environment.WorkerLease + 4*time.Second)
	for round := 0; round < recoveryRounds+40 && s.runningTasks(id) < 2; round++ {
		deliverCopiesAndRun()
	}
	if s.runningTasks(id) < 2 {
		t.Fatalf("%d replicas run %d rounds after their machine was lost, while copies of its heartbeats arrive; want 2",
			s.runningTasks(id), recoveryRounds+40)
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
