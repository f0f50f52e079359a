package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/scheduler"
)

func TestJobsWithoutFaults(t *testing.T) {
	s := newTestCluster()
	s.runUntil(t, 20, "shards led at home", func() bool {
		return s.leaderOf("n0") == "n0" && s.leaderOf("n1") == "n1" && s.leaderOf("n2") == "n2"
	})
	a := s.submitJob(nil)
	b := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Spread = api.Service, 4, true })
	s.runUntil(t, 60, "array done", s.isDone(a))
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(b) == 4 })
	s.cancel(2, b)
	s.runUntil(t, 20, "replicas gone", func() bool { return s.runningTasks(b) == 0 })
	s.runUntil(t, 200, "machines returned", func() bool { return len(s.environment.Cloud.WorkersByHost) == 0 })
}

// Two task ranges of one job that ended in the same round once stopped all releases
// of their shard: the second did not fit the transaction and took the first along.
func TestTwoTaskRangesEndTogether(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) {
		r.Team, r.Tasks, r.GPUs, r.CPUs, r.MemGB = "b", 50, 0, 0.1, 0.1
	})
	s.runUntil(t, 120, "array of three task ranges done", s.isDone(id))
}

// A large array that is late goes after what can still be in time, and would
// never begin under a stream of small jobs that always can: it begins within
// four minutes all the same.
func TestLargestBegins(t *testing.T) {
	s := newTestCluster()
	for i := range s.nodes {
		s.nodes[i].controller.node.Settings.Facts.Objectives = append(
			s.nodes[i].controller.node.Settings.Facts.Objectives,
			config.Objective{Kind: config.ObjectiveFinished, Class: "l", WithinS: 60, Share: 0.9},
		)
	}
	s.runFor(10)
	small := func() {
		s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, r.EstimatedRunS, *d = 1, 8, 8*time.Second })
	}
	small()
	s.runUntil(t, 60, "one machine", func() bool { return s.runningTasks("run-000000") == 1 })
	s.environment.Cloud.NoCapacity = true
	small()
	small()
	large := s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, r.EstimatedRunS, *d = 12, 80, 80*time.Second })
	begun := false
	for k := 0; k < 480 && !begun; k++ {
		if k%6 == 0 { // more than the one machine can do
			small()
		}
		s.runRound()
		begun = s.runningTasks(large) > 0
	}
	if !begun {
		t.Fatal("the large array has not begun after four minutes")
	}
}

// A job of a limited team that starves, and for which there is no machine, was
// looked at twice: the second time what lacked room already stood as used, the
// limit seemed reached, and nothing was ever rented for it.
func TestStarvingJobOfLimitedTeamIsRentedFor(t *testing.T) {
	s := newReadyCluster()
	s.environment.Cloud.NoCapacity = true
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Team, r.Tasks = "a", 12 }) // its limit is 5
	for range 2 * int(scheduler.MaxStartDelay/time.Second) {
		s.runRound()
	}
	s.environment.Cloud.NoCapacity = false
	s.runUntil(t, 200, "done", s.isDone(id))
}
