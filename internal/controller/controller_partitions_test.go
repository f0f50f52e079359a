package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
)

// A leader is partitioned from the state service and from the other controllers while workers and
// users still reach it, and a job is cancelled through another controller. The cancelled tasks must
// end in time.
func TestLeaderIsolatedFromStoreAndPeers(t *testing.T) {
	s := newReadyCluster()
	cancelled, service := s.submitService(3, nil), s.submitService(2, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(cancelled) == 3 && s.runningTasks(service) == 2 })
	leader, other := s.leaderOfJob(t, cancelled)
	s.environment.Store.UnreachableControllers[s.nodes[leader].name], s.isolated[leader] = true, true
	for i, n := range s.nodes { // the others can't reach its workers, which keep reporting to it
		n.commands.PartitionedFrom = func(*simulator.Worker) bool { return i != leader }
	}
	s.environment.Cloud.Down = true // else the new leader would return the machines, from which it receives no heartbeat
	s.cancel(other, cancelled)
	for range 100 {
		s.poll(leader, cancelled)
		s.poll(leader, service)
		s.runRounds(t, 1)
	}
	if s.presentTasks(cancelled) > 0 {
		t.Errorf("tasks of the cancelled service: got %d, want 0", s.presentTasks(cancelled))
	}
	s.checkRecovery(t)
}

// A controller that loses contact with its workers, but not with the state service, keeps its lease.
// It once kept its shard as well, while the leases of all its workers expired. It must release the
// shard to a controller that workers can reach, without losing a replica, and acquire it again when
// workers reach it again.
func TestControllerWithoutWorkerContactReleasesShard(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks, j.Zone = api.Service, 8, "y" })
	otherService := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks, j.Zone = api.Service, 4, "x" })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 8 && s.runningTasks(otherService) == 4 })
	preferred := "n1" // the only controller in its zone
	n := s.nodes[1]
	n.commands.Partitioned = true
	for range 4 * rounds(s.environment.WorkerLease) {
		s.runRound()
		if s.runningTasks(id) != 8 || s.runningTasks(otherService) != 4 {
			t.Fatalf("running replicas by zone: got y %d, x %d, want 8 and 4", s.runningTasks(id), s.runningTasks(otherService))
		}
	}
	if leader := s.leaderOf(preferred); leader == preferred || leader == "" {
		t.Fatalf("leader of shard %s: got %q, want another controller", preferred, leader)
	}
	array := s.submitJob(func(j *api.Job, runTime *time.Duration) { j.Tasks, *runTime = 4, time.Second })
	s.submit(s.nodeOf(preferred), array)
	s.runUntil(t, 100, "another job done", s.isDone(array))
	n.commands.Partitioned = false
	s.runUntil(t, 40, "shard led by its preferred leader again", func() bool { return s.leaderOf(preferred) == preferred })
	// If no controller has contact with a worker, the fault may be with the workers, so shards keep
	// their leaders.
	for _, n := range s.nodes {
		n.commands.Partitioned = true
	}
	for range 4 * rounds(s.environment.WorkerLease) {
		s.runRound()
	}
	for _, n := range s.nodes {
		if s.leaderOf(n.name) == "" {
			t.Fatalf("leader of shard %s: got none, want one", n.name)
		}
	}
	s.checkViolations(t)
}

// A controller that loses the state service, but not its workers, must stop answering them in time,
// and another controller must take over its shard without a task running twice.
func TestControllerWithWorkersButNoStore(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 4 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	// The ID of a shard is the name of its preferred leader.
	shardID := s.nodes[0].state().Cache.Machines[s.environment.Cloud.HostNames()[0]].Shard
	s.environment.Store.UnreachableControllers[shardID] = true
	settings := s.nodes[0].controller.node.Settings
	s.runUntil(
		t,
		rounds(settings.ControllerLeaseTTL()+settings.LeadershipGracePeriod()+settings.WorkerLeaseBound())+20,
		"shard led by another controller",
		func() bool {
			leader := s.leaderOf(shardID)
			if leader == "" || leader == shardID {
				return false
			}
			for host, machine := range s.nodes[s.nodeOf(leader)].state().Cache.Machines {
				if worker := s.environment.Cloud.WorkersByHost[host]; machine.Shard == shardID &&
					(worker == nil || s.nodes[worker.NodeIndex].name != leader) {
					return false
				}
			}
			return true
		},
	)
	partitioned := s.nodeOf(shardID)
	for range rounds(settings.ControllerLeaseTTL() + settings.LeadershipGracePeriod()) {
		s.runRound()
	}
	// The former leader must not extend the lease of a worker that does not have the new leader's token.
	for _, worker := range s.environment.Cloud.WorkersByHost {
		heartbeat := worker.Heartbeat()
		heartbeat.Token = shard.FencingToken(s.nodes[partitioned].state().Leadership.Lookup(shardID).Term, 0)
		if s.deliverHeartbeat(partitioned, api.MustMarshal(heartbeat)).status == 200 {
			t.Error("heartbeat after the former leader's grace period: got status 200, want another")
		}
	}
	array := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Tasks = 6 })
	s.submit(1, array)
	s.runUntil(t, 120, "new job done and replicas run", func() bool { return s.isDone(array)() && s.runningTasks(id) == 4 })
	s.environment.Store.UnreachableControllers[shardID] = false
	s.runUntil(t, 60, "shard led by its preferred leader again", func() bool { return s.leaderOf(shardID) == shardID })
}
