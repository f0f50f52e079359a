package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
)

// A leader is partitioned from the state service and from the other controllers while workers
// and users still reach it, and jobs are cancelled through the new one.
func TestLeaderIsolatedFromStoreAndPeers(t *testing.T) {
	s := newReadyCluster()
	off, on := s.submitService(3, nil), s.submitService(2, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(off) == 3 && s.runningTasks(on) == 2 })
	leader, other := s.leaderOfJob(t, off)
	s.environment.Store.UnreachableNodes[s.nodes[leader].name], s.isolated[leader] = true, true
	for i, n := range s.nodes { // nor do the others reach its workers, which stay with it
		n.commands.PartitionedFrom = func(*simulator.Worker) bool { return i != leader }
	}
	s.environment.Cloud.Down = true // or the machines, silent to the new leader, go back
	s.cancel(other, off)
	for range 100 {
		s.poll(leader, off)
		s.poll(leader, on)
		s.runRounds(t, 1)
	}
	if s.presentTasks(off) > 0 {
		t.Error("cancelled tasks run on")
	}
	s.checkRecovery(t)
}

// A controller that loses its workers alone keeps its lease, and once kept its shard
// too, while the leases of all its workers ran out. It releases the shard to one that
// is heard, loses no replica, and has it back when it is heard again.
func TestControllerWithoutItsWorkers(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 8, "y" })
	near := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 4, "x" })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 8 && s.runningTasks(near) == 4 })
	home := "n1" // the only one in its zone
	n := s.nodes[1]
	n.commands.Partitioned = true
	for range 4 * rounds(s.environment.WorkerLease) {
		s.runRound()
		if s.runningTasks(id) != 8 || s.runningTasks(near) != 4 {
			t.Fatal("a replica was lost")
		}
	}
	if o := s.leaderOf(home); o == home || o == "" {
		t.Fatalf("led by %q", o)
	}
	more := s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 4, time.Second })
	s.submit(s.nodeOf(home), more)
	s.runUntil(t, 100, "other work done", s.isDone(more))
	n.commands.Partitioned = false
	s.runUntil(t, 40, "shard led at home again", func() bool { return s.leaderOf(home) == home })
	// When nobody hears a worker, it may as well be the workers: shards keep their leaders.
	for _, n := range s.nodes {
		n.commands.Partitioned = true
	}
	for range 4 * rounds(s.environment.WorkerLease) {
		s.runRound()
	}
	for _, n := range s.nodes {
		if s.leaderOf(n.name) == "" {
			t.Fatalf("shard of %s has no leader", n.name)
		}
	}
	s.checkViolations(t)
}

// A controller that loses the state service, but not its workers, lets them go
// in time, and its shard is served by another without a task running twice.
func TestControllerWithWorkersButNoStore(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 4 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	home := s.nodes[0].state().Cache.Machines[s.environment.Cloud.HostNames()[0]].Shard
	s.environment.Store.UnreachableNodes[home] = true
	cfg := s.nodes[0].controller.node.Settings
	s.runUntil(
		t,
		rounds(cfg.ControllerLeaseTTL()+cfg.LeadershipGrace()+cfg.WorkerLeaseBound())+20,
		"shard led by another",
		func() bool {
			o := s.leaderOf(home)
			if o == "" || o == home {
				return false
			}
			for h, m := range s.nodes[s.nodeOf(o)].state().Cache.Machines {
				if x := s.environment.Cloud.WorkersByHost[h]; m.Shard == home && (x == nil || s.nodes[x.Node].name != o) {
					return false
				}
			}
			return true
		},
	)
	partitioned := s.nodeOf(home)
	for range rounds(cfg.ControllerLeaseTTL() + cfg.LeadershipGrace()) {
		s.runRound()
	}
	for _, x := range s.environment.Cloud.WorkersByHost { // a worker that the new leader's fence has not reached must not be held
		r := x.Heartbeat()
		r.Token = shard.FencingToken(s.nodes[partitioned].state().Leadership.Lookup(home).Term, 0)
		if s.deliverHeartbeat(partitioned, api.MustMarshal(r)).status == 200 {
			t.Error("it answers heartbeats beyond its grace")
		}
	}
	low := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Tasks = 6 })
	s.submit(1, low)
	s.runUntil(t, 120, "replicas and new work run", func() bool { return s.isDone(low)() && s.runningTasks(id) == 4 })
	s.environment.Store.UnreachableNodes[home] = false
	s.runUntil(t, 60, "shard led at home again", func() bool { return s.leaderOf(home) == home })
}
