package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// No replica may be lost if leaders change ten times in two minutes, also during an outage of the
// state service, as long as the machines are reachable.
func TestReplicasSurviveTenLeaderChanges(t *testing.T) {
	s := newReadyCluster()
	id := s.submitService(4, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	for change := range 10 {
		leader, _ := s.leaderOfJob(t, id)
		s.environment.Store.Down = change == 4 || change == 5
		s.startNode(leader) // it stops and restarts within one step
		s.runRounds(t, 4)
		s.environment.Store.Down = false
		if s.runRounds(t, 20); s.runningTasks(id) != 4 {
			t.Fatalf("running replicas after %d leader changes: got %d, want 4", change+1, s.runningTasks(id))
		}
	}
	s.checkRecovery(t)
}

// Jobs are cancelled during the seconds in which the leader of a shard changes: before the other
// controllers detect that the old leader has stopped, while the shard has no leader, while it is
// acquired, and while it is released.
func TestCancellationDuringLeaderChange(t *testing.T) {
	for delayRounds := range 12 {
		t.Run(fmt.Sprintf("after %d rounds", delayRounds), func(t *testing.T) {
			s := newReadyCluster()
			var ids []string
			for range 4 {
				ids = append(ids, s.submitService(2, nil))
			}
			s.runUntil(t, 120, "replicas run", func() bool { return s.runningTasks(ids[3]) == 2 && s.runningTasks(ids[0]) == 2 })
			leader, other := s.leaderOfJob(t, ids[0])
			s.nodes[leader].running = false
			s.runRounds(t, delayRounds)
			s.cancel(other, ids[0])
			s.runRounds(t, 1)
			s.startNode(leader)
			s.cancel((other+1)%3, ids[1])
			s.runRounds(t, delayRounds)
			s.cancel(leader, ids[2])
			s.runUntil(t, 80, "tasks of the cancelled services gone", func() bool {
				for _, id := range ids[:3] {
					if s.environment.Jobs[id].FinalPhase == "" { // the users repeat the request
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

// The tasks of a job with two or three tasks end far apart, with a change of the leader in between.
// The next leader must find the ends that were not committed yet, and the job must be reported as
// done as soon as its last task has ended.
func TestTasksEndFarApartAcrossLeaderChange(t *testing.T) {
	for _, tasks := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitArray(tasks, 3*time.Second, nil)
			s.environment.Jobs[id].RunTimeStep = 12 * time.Second
			s.runUntil(t, 80, "first task ended", func() bool { return len(s.environment.Jobs[id].DoneTasks) == 1 })
			leader, _ := s.leaderOfJob(t, id)
			s.startNode(leader) // the uncommitted release of the first task is lost
			s.runRounds(t, 8)
			s.nodes[leader].running = false
			s.runUntil(t, 80, "all tasks ended", func() bool { return len(s.environment.Jobs[id].DoneTasks) == tasks })
			s.runUntil(t, 8, "job reported as done", func() bool {
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

// A job whose tasks run in the shards of several leaders must be reported as done when its last task
// has ended. Each leader once waited for task ends that only the other leaders could observe, and
// committed those in its own shard as late as writes that are not urgent.
func TestJobDoneAcrossLeaders(t *testing.T) {
	s := newReadyCluster()
	service := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks, j.Spread = api.Service, 2, true })
	s.runUntil(t, 60, "a replica runs in each zone", func() bool { return s.runningTasks(service) == 2 })
	id := s.submitJob(func(j *api.Job, runTime *time.Duration) {
		j.Tasks, j.GPUs, j.CPUs, j.Spread, *runTime = 4, 0, 0.1, true, 10*time.Second
	})
	s.environment.Jobs[id].RunTimeStep = time.Second
	s.runUntil(t, 120, "all tasks ended", func() bool { return len(s.environment.Jobs[id].DoneTasks) == 4 })
	s.runUntil(t, 6, "job reported as done", s.isDone(id))
}

// Every team is at its limit, jobs are cancelled while their machines are partitioned or hang, and
// the leader changes in the meantime. Other jobs of the team must wait until the cancelled tasks
// have certainly ended.
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
			var services []string
			for _, team := range []string{"a", "b"} {
				services = append(services, s.submitService(5, func(j *api.Job) { j.Team = team }))
			}
			s.runUntil(t, 120, "teams at their limits", func() bool {
				return s.runningTasks(services[0]) == 5 && s.runningTasks(services[1]) == 5
			})
			for _, team := range []string{"a", "b"} {
				s.submitArray(4, 3*time.Second, func(j *api.Job) { j.Team = team })
			}
			for i, host := range s.environment.Cloud.HostNames() {
				if i%2 == 0 {
					s.environment.Cloud.WorkersByHost[host].WorkerFaults = fault.WorkerFaults
				}
			}
			leader, other := s.leaderOfJob(t, services[0])
			s.nodes[leader].running = false
			for _, id := range services {
				s.cancel(other, id)
			}
			s.runRounds(t, 2)
			s.startNode(leader) // it restarts while the fault lasts
			s.runRounds(t, 20)
			s.nodes[other].running = false
			s.runRounds(t, 14) // slightly less than the lease since the fault began
			for _, worker := range s.environment.Cloud.WorkersByHost {
				worker.Hung = false
			}
			s.runRounds(t, 30)
			s.checkRecovery(t)
		})
	}
}

// A leader that loses a shard and leads it again later must not apply the boot timeout from its
// first leadership to a machine that was still booting then and has started in the meantime.
func TestMachineSurvivesLeaderChanges(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 1 })
	s.runUntil(t, 20, "machine registered", func() bool { return len(s.nodes[0].state().Cache.Machines) > 0 })
	preferred := 0
	for host := range s.nodes[0].state().Cache.Machines {
		preferred = s.preferredLeaderOf(host)
	}
	s.environment.Store.RefusedControllers[s.nodes[preferred].name] = true // before the machine has booted
	s.runUntil(t, 60, "replica runs", func() bool { return s.runningTasks(id) == 1 })
	s.runFor(100)
	s.environment.Store.RefusedControllers[s.nodes[preferred].name] = false
	for range 60 {
		s.runRound()
		if s.runningTasks(id) != 1 {
			t.Fatalf("running replicas: got %d, want 1", s.runningTasks(id))
		}
	}
}

// A machine that was lost under an earlier leader must be returned soon by the next leader, not only
// after the time for a whole boot has passed again.
func TestLostMachineIsReturnedByNextLeader(t *testing.T) {
	s := newReadyCluster()
	s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 1 })
	s.runUntil(t, 60, "replica runs on a machine", func() bool {
		return len(s.environment.Cloud.WorkersByHost) > 0 && s.runningTasks("run-000000") == 1
	})
	host := s.environment.Cloud.HostNames()[0]
	s.runFor(90) // long enough for any boot
	preferred := s.preferredLeaderOf(host)
	s.environment.Cloud.WorkersByHost[host].Partitioned = true
	s.environment.Store.RefusedControllers[s.nodes[preferred].name] = true
	settings := s.nodes[0].controller.node.Settings
	// By the end of this time its task has certainly ended.
	bound := settings.LeadershipGracePeriod() + settings.WorkerLeaseBound() + 2*settings.ControllerLeaseTTL() + 2*time.Second
	s.runUntil(t, rounds(bound), "machine returned", func() bool { return s.environment.Cloud.WorkersByHost[host] == nil })
}
