package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
)

// All controllers are away for longer than a lease; shards change their leaders and back, all end, and
// one returns, also at once.
func TestAllControllersAway(t *testing.T) {
	for _, away := range []time.Duration{0, 4 * time.Second, 8500 * time.Millisecond, 9500 * time.Millisecond, 25 * time.Second} {
		for _, first := range []int{0, 2} {
			t.Run(fmt.Sprintf("away %v, n%d returns first", away, first), func(t *testing.T) {
				s := newReadyCluster()
				id := s.submitService(3, nil)
				s.submitArray(6, 10*time.Second, nil)
				s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
				s.environment.Store.RefusedNodes["n1"] = true // its shard changes its leader
				s.runUntil(t, 40, "shard of n1 acquired", func() bool { o := s.leaderOf("n1"); return o != "" && o != "n1" })
				s.environment.Store.RefusedNodes["n1"] = false // and back
				s.runRounds(t, 3)
				for _, n := range s.nodes {
					n.running = false
				}
				s.environment.Advance(away)
				s.startNode(first)
				s.runRounds(t, 20)
				if o := s.leaderOf("n1"); o != s.nodes[first].name {
					t.Errorf("away %v: shard of n1 led by %q", away, o)
				}
				s.checkRecovery(t)
			})
		}
	}
}

// A service survives the end of all controllers within the workers' lease, and
// an outage of the state service that is longer than the lease.
func TestReplicasOutliveControllersAndOutage(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	for _, n := range s.nodes {
		n.running = false
	}
	s.runFor(6)
	for i := range s.nodes {
		s.startNode(i)
	}
	check := func(rounds int) {
		for range rounds {
			s.runRound()
			if s.runningTasks(id) != 2 {
				t.Fatal("a replica was lost")
			}
		}
	}
	check(60)
	s.environment.Store.Down = true
	check(26) // 13 s, the lease is 9 s
	s.environment.Store.Down = false
	check(60)
}

// A leader ends while machines with long tasks can't be reached, or don't hear the new
// leader's responses: the tasks go elsewhere, once each is surely gone.
func TestLeaderEndsWhileMachinesAreUnreachable(t *testing.T) {
	for _, inboundLost := range []bool{false, true} {
		t.Run(fmt.Sprintf("inbound lost %t", inboundLost), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitArray(4, 40*time.Second, nil)
			s.runUntil(t, 80, "tasks run", func() bool { return s.runningTasks(id) == 4 })
			leader, _ := s.leaderOfJob(t, id)
			for h := range s.runningTasksByHost(id) {
				s.environment.Cloud.WorkersByHost[h].Partitioned, s.environment.Cloud.WorkersByHost[h].InboundLost = !inboundLost, inboundLost
			}
			s.nodes[leader].running = false
			s.runUntil(t, 200, "tasks run elsewhere", func() bool {
				n := 0
				for h, k := range s.runningTasksByHost(id) {
					if x := s.environment.Cloud.WorkersByHost[h]; !x.Partitioned && !x.InboundLost {
						n += k
					}
				}
				return n == 4
			})
			s.checkRecovery(t)
		})
	}
}
