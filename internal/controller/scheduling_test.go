package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/scheduler"
)

// Without faults, each controller leads its own shard, an array finishes, a service runs until it
// is cancelled, and all machines are then returned.
func TestJobsWithoutFaults(t *testing.T) {
	s := newTestCluster()
	s.runUntil(t, 20, "each controller leads its own shard", func() bool {
		return s.leaderOf("n0") == "n0" && s.leaderOf("n1") == "n1" && s.leaderOf("n2") == "n2"
	})
	array := s.submitJob(nil)
	service := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks, j.Spread = api.Service, 4, true })
	s.runUntil(t, 60, "array done", s.isDone(array))
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(service) == 4 })
	s.cancel(2, service)
	s.runUntil(t, 20, "replicas gone", func() bool { return s.runningTasks(service) == 0 })
	s.runUntil(t, 200, "machines returned", func() bool { return len(s.environment.Cloud.WorkersByHost) == 0 })
}

// Two task ranges of one job end in the same round. This once blocked all releases of task slots in
// their shard: the second range did not fit the transaction, which was then not sent for the first
// one either.
func TestTwoTaskRangesEndTogether(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) {
		j.Team, j.Tasks, j.GPUs, j.CPUs, j.MemGB = "b", 50, 0, 0.1, 0.1
	})
	s.runUntil(t, 120, "array of three task ranges done", s.isDone(id))
}

// A large array that misses its objective is ordered after jobs that can still meet theirs, so a
// stream of small jobs could delay it forever. It must start within four minutes nevertheless.
func TestLargeLateArrayStartsAmongSmallJobs(t *testing.T) {
	s := newTestCluster()
	for i := range s.nodes {
		s.nodes[i].controller.node.Settings.Facts.Objectives = append(
			s.nodes[i].controller.node.Settings.Facts.Objectives,
			config.Objective{Kind: config.ObjectiveFinished, Class: "l", WithinS: 60, Share: 0.9},
		)
	}
	s.runFor(10)
	submitSmallArray := func() {
		s.submitJob(func(j *api.Job, runTime *time.Duration) { j.Tasks, j.EstimatedRunS, *runTime = 1, 8, 8*time.Second })
	}
	submitSmallArray()
	s.runUntil(t, 60, "first small job runs", func() bool { return s.runningTasks("run-000000") == 1 })
	s.environment.Cloud.NoCapacity = true
	submitSmallArray()
	submitSmallArray()
	largeArray := s.submitJob(func(j *api.Job, runTime *time.Duration) { j.Tasks, j.EstimatedRunS, *runTime = 12, 80, 80*time.Second })
	started := false
	for round := 0; round < 480 && !started; round++ {
		if round%6 == 0 { // more than the one machine can run
			submitSmallArray()
		}
		s.runRound()
		started = s.runningTasks(largeArray) > 0
	}
	if !started {
		t.Fatal("no task of the large array runs after four minutes, want at least one")
	}
}

// Machines are rented for a starving job of a team with a limit. Such a job was once counted twice:
// the second time its missing capacity was already counted as used, so that the limit seemed to be
// reached and nothing was rented for it.
func TestMachinesAreRentedForStarvingJobOfLimitedTeam(t *testing.T) {
	s := newReadyCluster()
	s.environment.Cloud.NoCapacity = true
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Team, j.Tasks = "a", 12 }) // the team's limit is 5
	for range 2 * int(scheduler.MaxStartDelay/time.Second) {
		s.runRound()
	}
	s.environment.Cloud.NoCapacity = false
	s.runUntil(t, 200, "array done", s.isDone(id))
}
