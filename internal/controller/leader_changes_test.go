package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Leaders change ten times in two minutes, also inside an outage: with machines that
// answer, no replica is lost.
func TestReplicasSurviveTenLeaderChanges(t *testing.T) {
	s := newReadyCluster()
	id := s.submitService(4, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	for k := range 10 {
		leader, _ := s.leaderOfJob(t, id)
		s.environment.Store.Down = k == 4 || k == 5
		s.startNode(leader) // ends, and is back within one step
		s.runRounds(t, 4)
		s.environment.Store.Down = false
		if s.runRounds(t, 20); s.runningTasks(id) != 4 {
			t.Fatalf("%d of 4 replicas after %d changes", s.runningTasks(id), k+1)
		}
	}
	s.checkRecovery(t)
}

// Jobs are cancelled in the seconds in which a shard changes its leader: before the
// end of one shows, while nobody leads the shard, as it is acquired, and as it is released.
func TestCancellationDuringHandover(t *testing.T) {
	for after := range 12 {
		t.Run(fmt.Sprintf("after %d rounds", after), func(t *testing.T) {
			s := newReadyCluster()
			var ids []string
			for range 4 {
				ids = append(ids, s.submitService(2, nil))
			}
			s.runUntil(t, 120, "replicas run", func() bool { return s.runningTasks(ids[3]) == 2 && s.runningTasks(ids[0]) == 2 })
			leader, other := s.leaderOfJob(t, ids[0])
			s.nodes[leader].running = false
			s.runRounds(t, after)
			s.cancel(other, ids[0])
			s.runRounds(t, 1)
			s.startNode(leader)
			s.cancel((other+1)%3, ids[1])
			s.runRounds(t, after)
			s.cancel(leader, ids[2])
			s.runUntil(t, 80, "cancelled ones gone", func() bool {
				for _, id := range ids[:3] {
					if s.environment.Jobs[id].FinalPhase == "" { // their users ask again
						s.cancel(other, id)
					}
				}
				present := s.presentTasks(ids[0]) + s.presentTasks(ids[1]) + s.presentTasks(ids[2])
				return present == 0 && s.runningTasks(ids[3]) == 2
			})
			s.checkRecovery(t)
		})
	}
}

// Jobs of two or three tasks end far apart across a change of leader: the ends that were
// not committed yet are found by the next one, and the job is known to be done at once
// when its last task is.
func TestTasksEndFarApartAcrossLeaderChange(t *testing.T) {
	for _, tasks := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitArray(tasks, 3*time.Second, nil)
			s.environment.Jobs[id].RunTimeStep = 12 * time.Second
			s.runUntil(t, 80, "the first has ended", func() bool { return len(s.environment.Jobs[id].DoneTasks) == 1 })
			leader, _ := s.leaderOfJob(t, id)
			s.startNode(leader) // its release of the first is lost
			s.runRounds(t, 8)
			s.nodes[leader].running = false
			s.runUntil(t, 80, "all have ended", func() bool { return len(s.environment.Jobs[id].DoneTasks) == tasks })
			s.runUntil(t, 8, "known to be done", func() bool {
				for i, n := range s.nodes {
					if n.running {
						s.poll(i, id)
					}
				}
				return s.environment.Jobs[id].FinalPhase == api.JobDone
			})
			s.checkRecovery(t)
		})
	}
}

// A job whose tasks ran in several leaders' shards is done when its last task is:
// each leader once waited for ends that only the others could see, and committed
// its own no sooner than what can wait.
func TestDoneAcrossLeaders(t *testing.T) {
	s := newReadyCluster()
	stay := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Spread = api.Service, 2, true })
	s.runUntil(t, 60, "a machine in each zone", func() bool { return s.runningTasks(stay) == 2 })
	id := s.submitJob(func(r *api.Job, d *time.Duration) {
		r.Tasks, r.GPUs, r.CPUs, r.Spread, *d = 4, 0, 0.1, true, 10*time.Second
	})
	s.environment.Jobs[id].RunTimeStep = time.Second
	s.runUntil(t, 120, "tasks done", func() bool { return len(s.environment.Jobs[id].DoneTasks) == 4 })
	s.runUntil(t, 6, "known to be done", s.isDone(id))
}

// Every team is at its limit, jobs are cancelled whose machines are partitioned or hang, and
// the leader changes in that spell: others of the team wait until the cancelled tasks
// have surely gone.
func TestTeamAtLimitDuringLeaderChange(t *testing.T) {
	for _, fault := range []struct {
		name string
		simulator.WorkerFaults
	}{
		{"partitioned", simulator.WorkerFaults{Partitioned: true}},
		{"hung", simulator.WorkerFaults{Hung: true}},
		{"inbound lost", simulator.WorkerFaults{InboundLost: true}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			s := newTestCluster()
			s.environment.TeamGPULimits["b"] = 5
			s.environment.WorkerLease, s.environment.CancelTimeout = 18*time.Second, 60*time.Second
			for i := range s.nodes {
				s.startNode(i)
			}
			s.runRounds(t, 10)
			var off []string
			for _, team := range []string{"a", "b"} {
				off = append(off, s.submitService(5, func(r *api.Job) { r.Team = team }))
			}
			s.runUntil(t, 120, "teams at their limits", func() bool { return s.runningTasks(off[0]) == 5 && s.runningTasks(off[1]) == 5 })
			for _, team := range []string{"a", "b"} {
				s.submitArray(4, 3*time.Second, func(r *api.Job) { r.Team = team })
			}
			for k, h := range s.environment.Cloud.HostNames() {
				if k%2 == 0 {
					s.environment.Cloud.WorkersByHost[h].WorkerFaults = fault.WorkerFaults
				}
			}
			leader, other := s.leaderOfJob(t, off[0])
			s.nodes[leader].running = false
			for _, id := range off {
				s.cancel(other, id)
			}
			s.runRounds(t, 2)
			s.startNode(leader) // back in the spell
			s.runRounds(t, 20)
			s.nodes[other].running = false
			s.runRounds(t, 14) // just less than the lease since it began
			for _, x := range s.environment.Cloud.WorkersByHost {
				x.Hung = false
			}
			s.runRounds(t, 30)
			s.checkRecovery(t)
		})
	}
}

// A shard that changes leaders and comes back must not carry the first leader's
// patience with a machine that was still booting then: it came up meanwhile.
func TestMachineOutlivesLeaderChanges(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.runUntil(t, 20, "machine known", func() bool { return len(s.nodes[0].state().Cache.Machines) > 0 })
	home := 0
	for host := range s.nodes[0].state().Cache.Machines {
		home = s.preferredLeaderOf(host)
	}
	s.environment.Store.RefusedNodes[s.nodes[home].name] = true // before the machine is up
	s.runUntil(t, 60, "replica runs", func() bool { return s.runningTasks(id) == 1 })
	s.runFor(100)
	s.environment.Store.RefusedNodes[s.nodes[home].name] = false
	for range 60 {
		s.runRound()
		if s.runningTasks(id) != 1 {
			t.Fatal("the replica was stopped")
		}
	}
}

// A machine that was lost under an earlier leader is given up by the next one
// soon, not after the time of a whole boot once more.
func TestLostMachineIsGivenUpByNextLeader(t *testing.T) {
	s := newReadyCluster()
	s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.runUntil(t, 60, "machine up", func() bool { return len(s.environment.Cloud.WorkersByHost) > 0 && s.runningTasks("run-000000") == 1 })
	host := s.environment.Cloud.HostNames()[0]
	s.runFor(90) // long enough for any boot
	home := s.preferredLeaderOf(host)
	s.environment.Cloud.WorkersByHost[host].Partitioned = true
	s.environment.Store.RefusedNodes[s.nodes[home].name] = true
	cfg := s.nodes[0].controller.node.Settings
	bound := cfg.LeadershipGrace() + cfg.WorkerLeaseBound() + 2*cfg.ControllerLeaseTTL() + 2*time.Second // its task is surely dead then
	s.runUntil(t, rounds(bound), "machine returned", func() bool { return s.environment.Cloud.WorkersByHost[host] == nil })
}
