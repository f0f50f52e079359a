package controller

import (
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
)

// Work of a higher priority takes the room of lower ones, and of no more of them
// than it needs.
func TestProductionPreemptsIdle(t *testing.T) {
	s := newReadyCluster()
	low := s.submitJob(func(r *api.Job, d *time.Duration) {
		r.Team, r.Priority, r.Tasks = "b", "idle", 4
		*d = time.Hour
	})
	s.runUntil(t, 80, "idle work runs", func() bool { return s.runningTasks(low) == 4 })
	s.environment.Cloud.NoCapacity = true
	high := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Priority, r.Tasks = api.Service, "production", 1 })
	s.runUntil(t, 20, "production runs", func() bool { return s.runningTasks(high) == 1 })
	if n := s.runningTasks(low); n != 3 {
		t.Fatalf("%d idle tasks left of 4", n)
	}
}

// There is more work than room, urgent and not, over slow connections: the urgent goes first,
// and nothing is given up.
func TestMoreWorkThanRoom(t *testing.T) {
	s := newReadyCluster()
	low := s.submitArray(8, time.Hour, func(r *api.Job) { r.Priority = "idle" })
	s.runUntil(t, 80, "idle work runs", func() bool { return s.runningTasks(low) > 0 })
	s.environment.Cloud.NoCapacity = true
	var urgent []string
	for range 3 {
		urgent = append(urgent, s.submitArray(3, 3*time.Second, func(r *api.Job) { r.Priority = "urgent" }))
		s.submitArray(3, 3*time.Second, func(r *api.Job) { r.Priority = "standard" })
	}
	for k := 0; k < 400 && slices.ContainsFunc(urgent, func(id string) bool { return !s.isDone(id)() }); k++ {
		for i := range s.nodes {
			s.stepNode(i)
		}
		for i, h := range s.environment.Cloud.HostNames() { // responses take more than a round
			f := heartbeatServed
			if (k+i)%2 == 0 {
				f = responseDelayed
			}
			s.sendHeartbeat(s.environment.Cloud.WorkersByHost[h], f)
		}
		s.environment.Advance(roundInterval)
		s.checkViolations(t)
	}
	for _, id := range urgent {
		if !s.isDone(id)() {
			t.Errorf("urgent %s is not done", id)
		}
	}
	s.cancel(1, low)
	s.checkRecovery(t)
}
