package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// Changes are what the state service has least of. An array of short tasks that
// end one after the other takes a few, not one for each of its tasks.
func TestArrayTakesFewChanges(t *testing.T) {
	s := newReadyCluster()
	warm := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.runUntil(t, 60, "a machine is up", func() bool { return s.runningTasks(warm) == 1 })
	before := s.environment.Store.SentWrites
	jobs := []string{}
	for range 4 {
		id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Tasks, r.CPUs, r.GPUs, r.MemGB = 12, 0.1, 0, 0.1 })
		s.environment.Jobs[id].RunTimeStep = time.Second
		jobs = append(jobs, id)
	}
	for _, id := range jobs {
		s.runUntil(t, 400, "done", s.isDone(id))
	}
	if n := s.environment.Store.SentWrites - before; n > 10*len(jobs) {
		t.Fatalf("%d changes for %d jobs of 12 tasks", n, len(jobs))
	} else {
		t.Logf("%d changes for %d jobs", n, len(jobs))
	}
}

// The rates of the state service are shared by the controllers that live: one that
// was left alone once had its fifth of them for the work of all.
func TestSurvivorHasAllOfTheRates(t *testing.T) {
	s := newTestCluster()
	c := s.nodes[0].controller
	s.stepNode(0)
	s.stepNode(0)
	if c.testState().Leadership.Rates().ControllerCount() != 3 {
		t.Fatalf("%d share before the others have registered", c.testState().Leadership.Rates().ControllerCount())
	}
	s.runUntil(t, 4, "all three share", func() bool { return c.testState().Leadership.Rates().ControllerCount() == 3 })
	s.nodes[1].running, s.nodes[2].running = false, false
	s.runUntil(t, 20, "alone", func() bool {
		return c.testState().Leadership.Rates().ControllerCount() == 1 &&
			c.sync.WritesPerSecond() == int(c.node.Settings.LowestLimits().WriteRPS)
	})
	s.startNode(2)
	s.runUntil(t, 20, "two share", func() bool { return c.testState().Leadership.Rates().ControllerCount() == 2 })
}

// A watch that falls behind by more changes than the state service keeps reads all records
// anew and goes on.
func TestWatchFallsBehind(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
	s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
	s.nodes[2].paused = true
	s.environment.Store.ExpireHistory()
	s.nodes[2].paused = false
	terminated := s.submitJob(nil)
	s.runUntil(t, 80, "the controller that fell behind knows what came meanwhile", func() bool {
		current := s.nodes[0].state().Cache.Revision
		return s.nodes[2].state().Cache.Loaded && s.nodes[2].state().Cache.Revision >= current && s.isDone(terminated)()
	})
	if n := s.runningTasks(id); n != 2 {
		t.Errorf("%d of 2 replicas run", n)
	}
}
