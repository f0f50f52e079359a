package controller

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/scheduler"
	"violetturn/internal/statecache"
)

func TestQuietDay(t *testing.T) {
	s := newSim()
	s.rounds(t, 20, "parts owned at home", func() bool {
		return s.owner("n0") == "n0" && s.owner("n1") == "n1" && s.owner("n2") == "n2"
	})
	a := s.job(nil)
	b := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Spread = api.Service, 4, true })
	s.rounds(t, 60, "array done", s.done(a))
	s.rounds(t, 60, "replicas run", func() bool { return s.running(b) == 4 })
	s.cancel(2, b)
	s.rounds(t, 20, "replicas gone", func() bool { return s.running(b) == 0 })
	s.rounds(t, 200, "machines returned", func() bool { return len(s.w.Cloud.Hosts) == 0 })
}

// Two task ranges of one job that ended in the same round once stopped all releases
// of their part: the second did not fit the transaction and took the first along.
func TestTwoChunksEndTogether(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) {
		r.Team, r.Tasks, r.GPUs, r.CPUs, r.MemGB = "b", 50, 0, 0.1, 0.1
	})
	s.rounds(t, 120, "array of three chunks done", s.done(id))
}

// Work of a higher rank takes the room of lower ones, and of no more of them
// than it needs.
func TestProductionWinsItsRoomBack(t *testing.T) {
	s := warmSim()
	low := s.job(func(r *api.Job, d *time.Duration) {
		r.Team, r.Priority, r.Tasks = "b", "idle", 4
		*d = time.Hour
	})
	s.rounds(t, 80, "idle work runs", func() bool { return s.running(low) == 4 })
	s.w.Cloud.Full = true
	high := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Priority, r.Tasks = api.Service, "production", 1 })
	s.rounds(t, 20, "production runs", func() bool { return s.running(high) == 1 })
	if n := s.running(low); n != 3 {
		t.Fatalf("%d idle tasks left of 4", n)
	}
}

// A large array that is late goes after what can still be in time, and would
// never begin under a stream of small jobs that always can: it begins within
// four minutes all the same.
func TestLargestBegins(t *testing.T) {
	s := newSim()
	for i := range s.nodes {
		s.nodes[i].c.node.Settings.Facts.Objectives = append(
			s.nodes[i].c.node.Settings.Facts.Objectives,
			config.Objective{Kind: config.ObjectiveFinished, Class: "l", WithinS: 60, Share: 0.9},
		)
	}
	for range 10 {
		s.round()
	}
	small := func() { s.job(func(r *api.Job, d *time.Duration) { r.Tasks, r.EstimateS, *d = 1, 8, 8*time.Second }) }
	small()
	s.rounds(t, 60, "one machine", func() bool { return s.running("run-000000") == 1 })
	s.w.Cloud.Full = true
	small()
	small()
	large := s.job(func(r *api.Job, d *time.Duration) { r.Tasks, r.EstimateS, *d = 12, 80, 80*time.Second })
	begun := false
	for k := 0; k < 480 && !begun; k++ {
		if k%6 == 0 { // more than the one machine can do
			small()
		}
		s.round()
		begun = s.running(large) > 0
	}
	if !begun {
		t.Fatal("the large array has not begun after four minutes")
	}
}

// A job whose tasks fail is tried again within a lease, however often they did:
// it must not wait so long that it counts as starved.
func TestBackOffIsBounded(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Tasks = 2 })
	c := s.nodes[0].c
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
	s := warmSim()
	s.w.Cloud.Full = true
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Team, r.Tasks = "a", 12 }) // its limit is 5
	for range 2 * int(scheduler.MaxStartDelay/time.Second) {
		s.round()
	}
	s.w.Cloud.Full = false
	s.rounds(t, 200, "done", s.done(id))
}

// What one job may stop for another never comes back the same way: a production job that
// was beyond its team's guarantee and a standard one within its own once took the same
// room from each other twenty times in half a minute. Chains among teams end, and where
// nobody has a guarantee the rank decides.
func TestStoppingGoesOneWay(t *testing.T) {
	c := warmSim().nodes[0].c
	rapid.Check(t, func(t *rapid.T) {
		type side struct {
			q    *scheduler.QueueEntry
			run  *api.Job
			over bool
		}
		draw := func(owner string) side {
			priority := rapid.SampledFrom([]string{"production", "urgent", "standard", "idle"}).Draw(t, "rank")
			n, _ := api.PriorityOf(priority)
			within := rapid.Bool().Draw(t, "within")
			run := &api.Job{Team: owner, Priority: priority}
			return side{&scheduler.QueueEntry{Job: &statecache.Job{Record: &job.Record{Spec: *run}}, Priority: n, WithinGuarantee: within}, run, !within}
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
			t.Fatalf("without guarantees %+v, %+v are not decided by rank", x, y)
		}
		if !x.over && y.over && !stops(x, y) {
			t.Fatalf("%+v does not get its guarantee from %+v", x, y)
		}
		if own := draw("x"); x.q.Priority < own.q.Priority != stops(x, own) {
			t.Fatalf("within a team %+v, %+v are not decided by rank", x, own)
		}
	})
}
