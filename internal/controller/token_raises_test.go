package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
)

// A worker responds to a raised token with an early heartbeat, but not if raises follow one another
// quickly. Stops were once announced by raises, so that a launch on the same machine soon
// afterwards had to wait for the worker's next regular heartbeat. Stops must be sent as direct
// commands, and raises must be used for launches only.
func TestTokenRaisesAreReservedForLaunches(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 1 })
	s.runUntil(t, 60, "replica runs", func() bool { return s.runningTasks(id) == 1 })
	host := ""
	for h := range s.runningTasksByHost(id) {
		host = h
	}
	leader := s.preferredLeaderOf(host)
	c := s.nodes[leader].controller
	for range 2 * int(s.environment.WorkerLease/time.Second) { // wait until the worker reacts to raises again
		s.runRound()
	}
	raises := c.testState().Agents.Agent(host).TokenSequence
	s.cancel(leader, id)
	s.stepNode(leader)
	if s.runningTasks(id) != 0 || c.testState().Agents.Agent(host).TokenSequence != raises {
		t.Fatalf(
			"after the stop: got %d running tasks, %d raises, want none",
			s.runningTasks(id), c.testState().Agents.Agent(host).TokenSequence-raises,
		)
	}
	s.runUntil(t, 6, "machine empty", func() bool {
		return len(c.testState().Cache.Placements[host]) == 0 && len(s.environment.Cloud.WorkersByHost[host].UnfinishedTaskJobs()) == 0
	})
	if got := c.testState().Agents.Agent(host).TokenSequence - raises; got != 0 {
		t.Fatalf("after the end of the stopped task: got %d raises, want none", got)
	}
	next := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 1 })
	for range 2 {
		s.stepNode(0)
		s.stepNode(leader)
	}
	if placed := c.testState().Cache.Placements[host]; len(placed) != 1 || c.testState().Agents.Agent(host).TokenSequence != raises+1 {
		t.Fatalf(
			"placement of %s on %s: got %d placements, %d raises, want 1 of each",
			next, host, len(placed), c.testState().Agents.Agent(host).TokenSequence-raises,
		)
	}
	s.runUntil(t, 6, "stopped task cleared", func() bool {
		return !slices.ContainsFunc(s.environment.Cloud.WorkersByHost[host].Heartbeat().Tasks, func(task api.TaskState) bool {
			return strings.HasPrefix(task.Task, id+"/")
		})
	})
}
