package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// A heartbeat that was delayed since before a start reaches the new leader when the job has
// been cancelled and the machine is partitioned: it shows nothing about now, and the
// team, which is at its limit, has no room before the lease is over.
func TestDelayedHeartbeatReachesNewLeader(t *testing.T) {
	s := newReadyCluster()
	first := s.submitArray(5, time.Second, func(r *api.Job) { r.Team, r.Zone = "a", "x" })
	s.runUntil(t, 120, "machines are up", s.isDone(first))
	delayed := s.heartbeats()
	off := s.submitService(5, func(r *api.Job) { r.Team, r.Zone = "a", "x" })
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(off) == 5 })
	spare := s.submitService(4, func(r *api.Job) { r.Zone = "y" }) // leaves machines with room when it goes
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(spare) == 4 })
	for h := range s.runningTasksByHost(off) {
		s.environment.Cloud.WorkersByHost[h].Partitioned = true
	}
	s.runRounds(t, 1)
	for i := range s.nodes {
		s.startNode(i) // all are new leaders at once
	}
	s.runRounds(t, 2)
	for _, id := range []string{off, spare} {
		s.cancel(1, id)
	}
	s.submitArray(4, 2*time.Second, func(r *api.Job) { r.Team, r.Zone = "a", "y" })
	s.runRounds(t, 1) // the new leader knows
	s.deliverCopies(delayed)
	s.runRounds(t, 24)
	s.checkRecovery(t)
}

// Old heartbeats reach every controller just as a new leader begins, and others are delayed
// until it has acted: the machine's own heartbeats are heard all the same, and its tasks run
// on.
func TestOldHeartbeatsReachNewLeader(t *testing.T) {
	s := newReadyCluster()
	id := s.submitService(2, nil)
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	leader, other := s.leaderOfJob(t, id)
	for range 6 {
		s.runRounds(t, 1)
	}
	old := s.heartbeatCopies
	s.nodes[leader].running = false
	for _, n := range s.nodes { // commands of the new leader that raise tokens are delayed
		n.commands.PartitionedFrom = func(*simulator.Worker) bool { return true }
	}
	delayed := s.heartbeats()
	for range 60 {
		for i := range s.nodes {
			s.stepNode(i)
		}
		if o := s.leaderOf(s.nodes[leader].name); o != "" {
			break
		}
		s.environment.Advance(100 * time.Millisecond)
	}
	successor := s.leaderOf(s.nodes[leader].name)
	if successor == "" {
		t.Fatal("nobody acquired the shard")
	}
	for _, x := range old {
		for i := range s.nodes {
			s.deliverHeartbeat(i, x.body)
		}
	}
	for k := range 100 {
		s.runRound()
		if k == 8 { // the new leader has acted
			s.deliverCopies(delayed)
		}
		if s.runningTasks(id) != 2 || len(s.environment.Violations) > 0 {
			t.Fatalf("round %d: %d of 2 replicas, %v", k, s.runningTasks(id), s.environment.Violations)
		}
	}
	s.cancel(other, id)
	s.checkRecovery(t)
}

// Copies of heartbeats that come late change no belief: not that a machine lives
// that was lost, and not, for a controller that has just started and remembers
// nothing, that one exists which was terminated long ago.
func TestDelayedHeartbeatCopies(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	var host string
	for h := range s.runningTasksByHost(id) {
		host = h
	}
	var copies [][]byte
	for range 8 {
		copies = append(copies, api.MustMarshal(s.environment.Cloud.WorkersByHost[host].Heartbeat()))
		s.deliverHeartbeat(s.preferredLeaderOf(host), copies[len(copies)-1])
	}
	s.environment.Cloud.Terminate(host)
	again := func() {
		s.deliverCopies(copies)
		s.runRound()
	}
	bound := rounds(s.environment.WorkerLease + 4*time.Second)
	for k := 0; k < bound+40 && s.runningTasks(id) < 2; k++ {
		again()
	}
	if s.runningTasks(id) < 2 {
		t.Fatalf("%d of 2 replicas run while copies of the lost machine's heartbeats come in", s.runningTasks(id))
	}
	s.runUntil(t, 60, "machine deregistered", func() bool { return s.nodes[0].state().Cache.Machines[host] == nil })
	for i := range s.nodes {
		s.startNode(i)
	}
	for range 40 {
		again()
		for _, n := range s.nodes {
			if n.state().Cache.Machines[host] != nil {
				t.Fatal("a machine that was terminated long ago is registered again")
			}
		}
	}
	s.checkViolations(t)
}
