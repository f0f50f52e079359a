package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/scheduler"
	"violetturn/internal/statecache"
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
	s.runUntil(t, 200, "machines returned", func() bool { return len(s.world.Cloud.Hosts) == 0 })
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
		s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, r.EstimateS, *d = 1, 8, 8*time.Second })
	}
	small()
	s.runUntil(t, 60, "one machine", func() bool { return s.runningTasks("run-000000") == 1 })
	s.world.Cloud.NoCapacity = true
	small()
	small()
	large := s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, r.EstimateS, *d = 12, 80, 80*time.Second })
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

// A job whose tasks fail is tried again within a lease, however often they did:
// it must not wait so long that it counts as starved.
func TestBackOffIsBounded(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Tasks = 2 })
	c := s.nodes[0].controller
	j := c.testState().Cache.Jobs[id]
	for e := 1; e < 40; e++ {
		j.Ranges[0] = statecache.Versioned[job.TaskRange]{
			Record:  &job.TaskRange{Errors: e, Placements: map[int]*job.Placement{}},
			Version: j.Version,
		}
		c.testState().Scheduler.IsBackingOff(&scheduler.QueueEntry{Job: j, UID: id}, c.node.Now())
		if wait := c.testState().Scheduler.RetryAt[id].Sub(c.node.Now()); wait > c.node.Settings.WorkerLease() || wait <= 0 {
			t.Fatalf("waits %v after %d failures", wait, e)
		}
	}
}

// A job of a limited team that starves, and for which there is no machine, was
// looked at twice: the second time what lacked room already stood as used, the
// limit seemed reached, and nothing was ever rented for it.
func TestStarvingJobOfLimitedTeamIsRentedFor(t *testing.T) {
	s := newReadyCluster()
	s.world.Cloud.NoCapacity = true
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Team, r.Tasks = "a", 12 }) // its limit is 5
	for range 2 * int(scheduler.MaxStartDelay/time.Second) {
		s.runRound()
	}
	s.world.Cloud.NoCapacity = false
	s.runUntil(t, 200, "done", s.isDone(id))
}

// Rentals take the plan that the last decision made, but once only, for they fill its
// machines, and not one that is older than their own pause.
func TestPlanIsTakenOnce(t *testing.T) {
	c := newReadyCluster().nodes[0].controller
	now := c.node.Now()
	first := &scheduler.Plan{}
	c.testState().Scheduler.RememberPlan(first, now)
	if c.testState().Scheduler.ReusePlan(now) != first {
		t.Fatal("the newest plan is not taken")
	}
	if c.testState().Scheduler.ReusePlan(now) == first {
		t.Fatal("taken twice")
	}
	c.testState().Scheduler.RememberPlan(first, now)
	if c.testState().Scheduler.ReusePlan(now.Add(c.node.Settings.AutoscaleInterval()+1)) == first {
		t.Fatal("taken though it is old")
	}
}
