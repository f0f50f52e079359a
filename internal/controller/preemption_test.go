package controller

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/scheduler"
	"violetturn/internal/statecache"
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
	s.world.Cloud.NoCapacity = true
	high := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Priority, r.Tasks = api.Service, "production", 1 })
	s.runUntil(t, 20, "production runs", func() bool { return s.runningTasks(high) == 1 })
	if n := s.runningTasks(low); n != 3 {
		t.Fatalf("%d idle tasks left of 4", n)
	}
}

// What one job may stop for another never comes back the same way: a production job that
// was beyond its team's guarantee and a standard one within its own once took the same
// room from each other twenty times in half a minute. Chains among teams end, and where
// nobody has a guarantee the priority decides.
func TestPreemptionHasNoCycles(t *testing.T) {
	c := newReadyCluster().nodes[0].controller
	rapid.Check(t, func(t *rapid.T) {
		type side struct {
			q    *scheduler.QueueEntry
			run  *api.Job
			over bool
		}
		draw := func(team string) side {
			priority := rapid.SampledFrom([]string{"production", "urgent", "standard", "idle"}).Draw(t, "priority")
			n, _ := api.PriorityOf(priority)
			within := rapid.Bool().Draw(t, "within")
			run := &api.Job{Team: team, Priority: priority}
			record := &statecache.Job{Record: &job.Record{Spec: *run}}
			return side{&scheduler.QueueEntry{Job: record, Priority: n, WithinGuarantee: within}, run, !within}
		}
		stops := func(a, b side) bool { return c.testState().Scheduler.MayPreempt(a.q, b.run, b.over) }
		x, y, z := draw("x"), draw("y"), draw("z")
		if stops(x, y) && stops(y, x) {
			t.Fatalf("%+v and %+v stop each other", x, y)
		}
		if stops(x, y) && stops(y, z) && stops(z, x) {
			t.Fatalf("%+v, %+v and %+v go round", x, y, z)
		}
		if x.over && y.over && x.q.Priority < y.q.Priority != stops(x, y) {
			t.Fatalf("without guarantees %+v, %+v are not decided by priority", x, y)
		}
		if !x.over && y.over && !stops(x, y) {
			t.Fatalf("%+v does not get its guarantee from %+v", x, y)
		}
		if own := draw("x"); x.q.Priority < own.q.Priority != stops(x, own) {
			t.Fatalf("within a team %+v, %+v are not decided by priority", x, own)
		}
	})
}

// There is more work than room, urgent and not, over slow connections: the urgent goes first,
// and nothing is given up.
func TestMoreWorkThanRoom(t *testing.T) {
	s := newReadyCluster()
	low := s.submitArray(8, time.Hour, func(r *api.Job) { r.Priority = "idle" })
	s.runUntil(t, 80, "idle work runs", func() bool { return s.runningTasks(low) > 0 })
	s.world.Cloud.NoCapacity = true
	var urgent []string
	for range 3 {
		urgent = append(urgent, s.submitArray(3, 3*time.Second, func(r *api.Job) { r.Priority = "urgent" }))
		s.submitArray(3, 3*time.Second, func(r *api.Job) { r.Priority = "standard" })
	}
	for k := 0; k < 400 && slices.ContainsFunc(urgent, func(id string) bool { return !s.isDone(id)() }); k++ {
		for i := range s.nodes {
			s.stepNode(i)
		}
		for i, h := range s.world.Cloud.HostNames() { // responses take more than a round
			f := heartbeatServed
			if (k+i)%2 == 0 {
				f = responseDelayed
			}
			s.sendHeartbeat(s.world.Cloud.Hosts[h], f)
		}
		s.world.Advance(roundInterval)
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
