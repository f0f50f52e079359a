package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// smallReplicas is a number of replicas whose entries nearly fill a heartbeat, and whose stops and
// ends would exceed a message.
const smallReplicas = 1150

// small makes the tasks of a job small.
func small(j *api.Job) { j.CPUs, j.GPUs, j.MemGB, j.Zone = 0.002, 0, 0.01, "x" }

// newClusterWithOneMachine returns a cluster in which a task of another team runs on the only
// machine, and the machine's worker.
func newClusterWithOneMachine(t testing.TB) (s *testCluster, otherTask string, host string) {
	t.Helper()
	s = newReadyCluster()
	otherTask = s.submitArray(1, time.Hour, func(j *api.Job) { j.Team, j.Zone, j.CPUs = "a", "x", 1 })
	s.runUntil(t, 120, "task of another team runs", func() bool { return s.runningTasks(otherTask) == 1 })
	s.environment.Cloud.NoCapacity = true
	return s, otherTask, s.workerOf(otherTask).Host
}

// runSmallReplicas runs a service of many small replicas and returns its UID.
func (s *testCluster) runSmallReplicas(t testing.TB) string {
	t.Helper()
	service := s.submitService(smallReplicas, small)
	s.runUntil(t, 120, "replicas run", func() bool { return s.runningTasks(service) == smallReplicas })
	return service
}

// checkOtherTeam checks that the task of the other team still runs in the first agent epoch of its
// worker, which could send all its heartbeats.
func (s *testCluster) checkOtherTeam(t *testing.T, task, host string) {
	t.Helper()
	epoch := s.environment.Cloud.WorkersByHost[host].AgentEpoch
	if s.runningTasks(task) != 1 || epoch != 1 || s.unsentHeartbeats != 0 {
		t.Errorf("%d tasks of the other team run in agent epoch %d, %d heartbeats were too long; want 1 task, epoch 1 and none too long",
			s.runningTasks(task), epoch, s.unsentHeartbeats)
	}
}

// Guards against messages to a worker that are longer than 64 KiB: the worker takes them for no
// response, and its lease runs out with the tasks of other teams (review, case 3).
func TestCancelledSmallReplicasAreStoppedInParts(t *testing.T) {
	s, otherTask, host := newClusterWithOneMachine(t)
	service := s.runSmallReplicas(t)
	s.cancel(0, service)
	s.runUntil(t, rounds(s.environment.CancelTimeout), "replicas stopped", func() bool { return s.presentTasks(service) == 0 })
	s.runRounds(t, 2*rounds(s.environment.WorkerLease))
	s.checkOtherTeam(t, otherTask, host)
}

// Guards against more tasks on a machine than its worker can report in 64 KiB: the worker sends no
// heartbeat then, and loses all its tasks, those of other teams too (review, case 1). All tasks of the
// array may end at the same time.
func TestMachineGetsOnlyTasksThatItsHeartbeatHolds(t *testing.T) {
	s, otherTask, host := newClusterWithOneMachine(t)
	array := s.submitArray(2000, 20*time.Second, small)
	maxTasks := api.MaxTasksBytes / s.environment.Jobs[array].Spec.TaskReportBytes()
	s.runUntil(t, 600, "array done", func() bool {
		if placed := len(s.nodes[0].state().Cache.Placements[host]); placed > maxTasks {
			t.Fatalf("%d tasks are placed on the machine, want at most %d", placed, maxTasks)
		}
		return s.isDone(array)()
	})
	s.checkOtherTeam(t, otherTask, host)
}

// Guards against parts that are lost: a controller or the worker ends or hangs between two of them. The
// cancelled tasks are gone in time, and the task of the other team keeps its machine unless the worker
// itself was away for longer than its lease.
func TestPartsFollowAfterFaults(t *testing.T) {
	restart := func(s *testCluster, _ string) {
		for i := range s.nodes {
			s.startNode(i)
		}
	}
	cases := []struct {
		name   string
		happen func(s *testCluster, host string)
	}{
		{"controllers are back at once", restart},
		{"leader ends", func(s *testCluster, host string) { s.nodes[s.preferredLeaderOf(host)].running = false }},
		{"leader loses the state service", func(s *testCluster, host string) {
			s.environment.Store.UnreachableControllers[s.nodes[s.preferredLeaderOf(host)].name] = true
		}},
		{"worker hangs for a moment", func(s *testCluster, host string) {
			s.environment.Cloud.WorkersByHost[host].Hung = true
			s.runFor(4)
			s.environment.Cloud.WorkersByHost[host].Hung = false
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, otherTask, host := newClusterWithOneMachine(t)
			service := s.runSmallReplicas(t)
			leader := s.preferredLeaderOf(host)
			s.cancel((leader+1)%len(s.nodes), service)
			s.stepNode(leader) // sends the first part
			if left := s.presentTasks(service); left == 0 || left == smallReplicas {
				t.Fatalf("%d replicas are left after the first part, want some but not all", left)
			}
			c.happen(s, host)
			s.runUntil(t, rounds(s.environment.CancelTimeout), "replicas stopped", func() bool { return s.presentTasks(service) == 0 })
			s.runRounds(t, 2*rounds(s.environment.WorkerLease))
			s.checkOtherTeam(t, otherTask, host)
		})
	}
}

// Guards against a rest of stops that waits for the worker's next heartbeat: as soon as a direct command
// is answered, the next part is sent.
func TestDirectCommandsFollowInParts(t *testing.T) {
	s, _, host := newClusterWithOneMachine(t)
	service := s.runSmallReplicas(t)
	s.runRounds(t, 4)
	leader := s.preferredLeaderOf(host)
	s.cancel(leader, service)
	const parts = 5
	for range parts { // without any heartbeat
		s.stepNode(leader)
	}
	if left := s.presentTasks(service); left != 0 {
		t.Errorf("%d replicas are left after %d direct commands, want none", left, parts)
	}
	s.checkViolations(t)
}

// Guards against more tasks on a machine than its worker can report because a controller of the version
// before has placed them: this leader launches as many as the heartbeats hold, and the others are placed
// again.
func TestOverfullPlacementsOfPreviousVersion(t *testing.T) {
	s, otherTask, host := newClusterWithOneMachine(t)
	array := s.submitArray(1600, 20*time.Second, small)
	node := s.nodes[0]
	_ = node.controller.sync.ApplyChanges(t.Context(), node.state().Cache.Revision, 0)
	j := node.state().Cache.Jobs[array]
	for index := range j.Record.RangeCount() {
		tasks := j.Ranges[index].Record.Copy()
		for i := range j.Record.RangeLen(index) {
			tasks.Place(i, host, 0)
		}
		txn := statecache.NewTransaction()
		txn.Require(j.RangeRecord(index))
		txn.Put(statecache.TaskRangeKey(array, j.Record.Generation, index), tasks)
		if committed, _, err := node.controller.sync.Commit(t.Context(), "test", txn, store.PriorityDecision); !committed {
			t.Fatalf("placements in task range %d are not committed, error %v", index, err)
		}
	}
	s.runRounds(t, 120)
	s.checkOtherTeam(t, otherTask, host)
}
