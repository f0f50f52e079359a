package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
)

// A worker takes raises of its token for news only now and then. Stops were once
// announced by them, and a start on the same machine soon after waited for the
// worker's next heartbeat: stops go directly, and the raise is kept for the start.
func TestTokenRaisesAreKeptForLaunches(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.runUntil(t, 60, "replica runs", func() bool { return s.runningTasks(id) == 1 })
	host := ""
	for h := range s.runningTasksByHost(id) {
		host = h
	}
	home := s.preferredLeaderOf(host)
	c := s.nodes[home].controller
	for range 2 * int(s.environment.WorkerLease/time.Second) { // raises count again
		s.runRound()
	}
	raises := c.testState().Agents.Agent(host).TokenSequence
	s.cancel(home, id)
	s.stepNode(home)
	if s.runningTasks(id) != 0 || c.testState().Agents.Agent(host).TokenSequence != raises {
		t.Fatalf("stopped: %d run, %d raises", s.runningTasks(id), c.testState().Agents.Agent(host).TokenSequence-raises)
	}
	s.runUntil(t, 6, "machine empty", func() bool {
		return len(c.testState().Cache.Placements[host]) == 0 && len(c.testState().Agents.Agent(host).Heartbeat.Tasks) == 0
	})
	next := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	for range 2 {
		s.stepNode(0)
		s.stepNode(home)
	}
	if on := c.testState().Cache.Placements[host]; len(on) != 1 || c.testState().Agents.Agent(host).TokenSequence != raises+1 {
		t.Fatalf("%s placed on %d, %d raises", next, len(on), c.testState().Agents.Agent(host).TokenSequence-raises)
	}
}
