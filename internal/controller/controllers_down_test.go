package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
)

// The leader of a shard changes and changes back. Then all controllers are down, in some cases for
// longer than a lease, and a single one restarts: it must acquire that shard.
func TestAllControllersDown(t *testing.T) {
	for _, downtime := range []time.Duration{0, 4 * time.Second, 8500 * time.Millisecond, 9500 * time.Millisecond, 25 * time.Second} {
		for _, firstReturning := range []int{0, 2} {
			t.Run(fmt.Sprintf("down for %v, n%d returns first", downtime, firstReturning), func(t *testing.T) {
				s := newReadyCluster()
				id := s.submitService(3, nil)
				s.submitArray(6, 10*time.Second, nil)
				s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
				s.environment.Store.RefusedControllers["n1"] = true // its shard gets another leader
				s.runUntil(t, 40, "shard of n1 acquired", func() bool { leader := s.leaderOf("n1"); return leader != "" && leader != "n1" })
				s.environment.Store.RefusedControllers["n1"] = false // and returns to n1
				s.runRounds(t, 3)
				for _, n := range s.nodes {
					n.running = false
				}
				s.environment.Advance(downtime)
				s.startNode(firstReturning)
				s.runRounds(t, 20)
				if leader := s.leaderOf("n1"); leader != s.nodes[firstReturning].name {
					t.Errorf("down for %v: shard of n1 led by %q, want %q", downtime, leader, s.nodes[firstReturning].name)
				}
				s.checkRecovery(t)
			})
		}
	}
}

// The replicas of a service survive a restart of all controllers within the workers' lease, and
// an outage of the state service that is longer than the lease.
func TestReplicasSurviveControllerRestartAndStoreOutage(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 2 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	for _, n := range s.nodes {
		n.running = false
	}
	s.runFor(6)
	for i := range s.nodes {
		s.startNode(i)
	}
	check := func(roundCount int) {
		for range roundCount {
			s.runRound()
			if s.runningTasks(id) != 2 {
				t.Fatalf("%d replicas run, want 2", s.runningTasks(id))
			}
		}
	}
	check(60)
	s.environment.Store.Down = true
	check(26) // 13 s; the lease is 9 s
	s.environment.Store.Down = false
	check(60)
}

// A leader stops while machines with long tasks are partitioned, or don't receive the responses of
// the new leader: the tasks are placed elsewhere, each after its old attempt has certainly ended.
func TestLeaderStopsWhileMachinesAreUnreachable(t *testing.T) {
	for _, inboundLost := range []bool{false, true} {
		t.Run(fmt.Sprintf("inbound lost %t", inboundLost), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitArray(4, 40*time.Second, nil)
			s.runUntil(t, 80, "tasks run", func() bool { return s.runningTasks(id) == 4 })
			leader, _ := s.leaderOfJob(t, id)
			for host := range s.runningTasksByHost(id) {
				s.environment.Cloud.WorkersByHost[host].Partitioned,
					s.environment.Cloud.WorkersByHost[host].InboundLost = !inboundLost, inboundLost
			}
			s.nodes[leader].running = false
			s.runUntil(t, 200, "tasks run elsewhere", func() bool {
				running := 0
				for host, tasks := range s.runningTasksByHost(id) {
					if worker := s.environment.Cloud.WorkersByHost[host]; !worker.Partitioned && !worker.InboundLost {
						running += tasks
					}
				}
				return running == 4
			})
			s.checkRecovery(t)
		})
	}
}
