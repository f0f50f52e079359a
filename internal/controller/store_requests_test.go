package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// The write rate is the scarcest resource of the state service. An array whose short tasks end one
// after the other must need only a few writes, not one for each of its tasks.
func TestArrayNeedsFewWrites(t *testing.T) {
	s := newReadyCluster()
	service := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 1 })
	s.runUntil(t, 60, "a replica runs on a machine", func() bool { return s.runningTasks(service) == 1 })
	before := s.environment.Store.SentWrites
	jobs := []string{}
	for range 4 {
		id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Tasks, j.CPUs, j.GPUs, j.MemGB = 12, 0.1, 0, 0.1 })
		s.environment.Jobs[id].RunTimeStep = time.Second
		jobs = append(jobs, id)
	}
	for _, id := range jobs {
		s.runUntil(t, 400, "array done", s.isDone(id))
	}
	if n := s.environment.Store.SentWrites - before; n > 10*len(jobs) {
		t.Fatalf("writes for %d jobs of 12 tasks: got %d, want at most %d", len(jobs), n, 10*len(jobs))
	} else {
		t.Logf("%d writes for %d jobs", n, len(jobs))
	}
}

// The running controllers share the rate limits of the state service. The last running controller
// once had to do the work of all with the fifth of the rates that it had at first.
func TestLastControllerUsesFullRates(t *testing.T) {
	s := newTestCluster()
	c := s.nodes[0].controller
	s.stepNode(0)
	s.stepNode(0)
	if c.testState().Leadership.Rates().ControllerCount() != 3 {
		t.Fatalf(
			"controllers that share the rates before the others have registered: got %d, want 3",
			c.testState().Leadership.Rates().ControllerCount(),
		)
	}
	s.runUntil(t, 4, "three controllers share the rates", func() bool { return c.testState().Leadership.Rates().ControllerCount() == 3 })
	s.nodes[1].running, s.nodes[2].running = false, false
	s.runUntil(t, 20, "the last controller uses the full rates", func() bool {
		return c.testState().Leadership.Rates().ControllerCount() == 1 &&
			c.sync.WritesPerSecond() == int(c.node.Settings.LowestLimits().WriteRPS)
	})
	s.startNode(2)
	s.runUntil(t, 20, "two controllers share the rates", func() bool { return c.testState().Leadership.Rates().ControllerCount() == 2 })
}

// If the state service no longer has all the changes that a watch has missed, the controller must
// read all records again and then continue the watch.
func TestWatchReloadsAfterFallingBehind(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 2 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	s.nodes[2].paused = true
	s.environment.Store.ExpireHistory()
	s.nodes[2].paused = false
	array := s.submitJob(nil)
	s.runUntil(t, 80, "the controller that fell behind has caught up", func() bool {
		current := s.nodes[0].state().Cache.Revision
		return s.nodes[2].state().Cache.Loaded && s.nodes[2].state().Cache.Revision >= current && s.isDone(array)()
	})
	if n := s.runningTasks(id); n != 2 {
		t.Errorf("running replicas: got %d, want 2", n)
	}
}
