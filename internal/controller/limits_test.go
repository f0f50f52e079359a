package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/scheduler"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
)

// grown makes a world of the version in production under limits that let it write
// large records, and the coming ones far smaller.
func grown(t *testing.T) *sim {
	t.Helper()
	s := newSim()
	s.limits(16, 20, 2, 4)
	for i := range s.nodes {
		s.nodes[i].old = true
		s.start(i)
	}
	for range 10 {
		s.round()
	}
	return s
}

// limits sets the state service's limits, today's and the coming ones, for controllers
// that are started from now on.
func (s *sim) limits(kb float64, ops int, nextKB float64, nextOps int) {
	s.state = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: kb, TxnOps: ops}
	s.next = config.StateLimits{RPS: 120, WriteRPS: 18, ValueKB: nextKB, TxnOps: nextOps}
}

// upgrade brings all controllers back new, one after the other.
func (s *sim) upgrade() {
	for i, n := range s.nodes {
		n.old = false
		s.start(i)
		for range 6 {
			s.round()
		}
	}
}

// fall brings the limits of the state service down.
func (s *sim) fall() {
	s.w.Store.MaxOps, s.w.Store.MaxValueBytes = s.next.TxnOps, int(s.next.ValueKB*1024)
}

// Jobs that the version in production recorded for large values run on, are cancelled
// and done when the limits come down the moment after the last controller is new: their
// records are divided, and no transaction is sent in a refused form for ever.
func TestLimitsFallOnLargeRecords(t *testing.T) {
	s := grown(t)
	small := func(r *api.Job) { r.GPUs, r.CPUs, r.MemGB = 0, 0.05, 0.05 }
	inside := s.job(func(r *api.Job, d *time.Duration) { small(r); r.Tasks, *d = 120, time.Minute })
	chunked := s.job(func(r *api.Job, d *time.Duration) { small(r); r.Tasks, *d = 450, 90*time.Second })
	withdrawn := s.job(func(r *api.Job, _ *time.Duration) { small(r); r.Tasks, r.Kind = 110, api.Service })
	s.rounds(t, 200, "all run", func() bool {
		return s.running(inside) == 120 && s.running(withdrawn) == 110 && s.running(chunked) == 450
	})
	large := 0
	for _, it := range s.w.Store.Items(statecache.LivePrefix) {
		if len(it.Value) > int(s.next.ValueKB*1024) {
			large++
		}
	}
	if large < 3 {
		t.Fatalf("%d records are larger than the coming limit", large)
	}
	s.upgrade()
	s.fall()
	s.rounds(t, 60, "cancelled", func() bool {
		s.cancel(1, withdrawn)
		return s.w.Jobs[withdrawn].FinalPhase == api.Cancelled
	})
	s.rounds(t, 900, "done", s.done(inside))
	s.rounds(t, 900, "done", s.done(chunked))
	s.rounds(t, 400, "no large record of a job is left", func() bool {
		return !slices.ContainsFunc(s.w.Store.Items(statecache.LivePrefix), func(it simulator.Item) bool {
			return len(it.Value) > int(s.next.ValueKB*1024) && it.Key[:len(statecache.JobKey(""))] != statecache.MachinePageKey("")
		})
	})
	if s.w.Store.TooLarge > 20 {
		t.Fatalf("%d transactions were refused for their size", s.w.Store.TooLarge)
	}
}

// While the limits are still today's, large records are divided in the background.
func TestLargeRecordsAreDividedBeforehand(t *testing.T) {
	s := grown(t)
	id := s.job(func(r *api.Job, _ *time.Duration) {
		r.GPUs, r.CPUs, r.MemGB, r.Tasks, r.Kind = 0, 0.05, 0.05, 120, api.Service
	})
	s.rounds(t, 100, "all run", func() bool { return s.running(id) == 120 })
	s.upgrade()
	s.rounds(t, 200, "divided", func() bool { return s.nodes[0].c.testState().Cache.Jobs[id].Record.Generation == 1 })
	for range 60 {
		s.round()
		if n := s.running(id); n != 120 {
			t.Fatalf("%d of its tasks run", n)
		}
	}
	if s.fall(); s.w.Store.TooLarge > 0 {
		t.Fatal("something was refused for its size")
	}
}

// Machines recorded in pages of a hundred are forgotten, and others recorded, when
// values have room for ten; a fine page speaks for its machines before a coarse one.
func TestPagesGrowFiner(t *testing.T) {
	s := grown(t)
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Tasks, r.Kind, r.CPUs = 30, api.Service, 1 })
	s.rounds(t, 200, "all run", func() bool { return s.running(id) == 30 })
	s.upgrade()
	s.fall()
	s.cancel(0, id)
	s.rounds(t, 400, "all machines have gone and are forgotten", func() bool {
		return len(s.w.Cloud.Hosts) == 0 && len(s.nodes[0].c.testState().Cache.Machines) == 0
	})
	s.rounds(t, 400, "their pages are gone", func() bool { return len(s.nodes[0].c.testState().Cache.Pages) == 0 })
	again := s.job(func(r *api.Job, _ *time.Duration) { r.Tasks = 30 })
	s.rounds(t, 400, "done", s.done(again))
	if s.w.Store.TooLarge > 3 {
		t.Fatalf("%d transactions were refused for their size", s.w.Store.TooLarge)
	}
}

// A machine whose coarse page a late write of the version before changes after a fine
// one has taken over stays as the fine one says.
func TestFinePageHidesCoarse(t *testing.T) {
	s := newSim()
	m := s.nodes[0].c.testState().Cache
	page := func(id string, version uint64, hosts ...string) {
		p := shard.Page{}
		for _, h := range hosts {
			p[h] = &shard.Machine{Shard: id, MachineType: "m"}
		}
		m.Apply(statecache.MachinePageKey(id), api.JSON(p), version)
	}
	page("i-0002-", 1, "i-000231", "i-000232", "i-000247")
	page("i-00023-", 2, "i-000231")
	if m.Machines["i-000231"].Shard != "i-00023-" || m.Machines["i-000232"] != nil || m.Machines["i-000247"] == nil ||
		!m.Terminated["i-000232"] {
		t.Fatal(m.Machines)
	}
	page("i-0002-", 3, "i-000232", "i-000239", "i-000247")
	if m.Machines["i-000232"] != nil || m.Machines["i-000239"] != nil || len(m.Machines) != 2 {
		t.Fatal("a late write brings machines back", m.Machines)
	}
	m.Apply(statecache.MachinePageKey("i-0002-"), nil, 4)
	if len(m.Machines) != 1 || m.Machines["i-000231"] == nil {
		t.Fatal(m.Machines)
	}
}

// A shard whose room no longer fits its record is used as a whole by its leader: peers
// see the machines with most room only.
func TestTrimmedPartServesAllItsMachines(t *testing.T) {
	s := newSim()
	s.limits(1, 8, 1, 4)
	for i := range s.nodes {
		s.start(i)
	}
	for range 10 {
		s.round()
	}
	for k := range 3 {
		s.job(func(r *api.Job, _ *time.Duration) {
			r.Kind, r.Tasks, r.Zone, r.CPUs, r.Image = api.Service, 120, "x", 0.5+0.001*float64(k), fmt.Sprint(k)
		})
	}
	n := 0
	s.rounds(t, 400, "all run", func() bool {
		n = 0
		for _, id := range s.uids {
			n += s.running(id)
		}
		return n == 360
	})
}

// A spread job that is divided keeps half of its tasks out of each zone: its smaller
// task ranges may each have all of their tasks in one, so they are counted together. Counted
// apart they once let too many into a zone.
func TestDividedJobStaysScattered(t *testing.T) {
	m := &job.Record{RangeSize: 8}
	m.Spec.Tasks, m.Spec.Spread = 8, true
	c := (*job.TaskRange)(nil).Copy()
	j := &statecache.Job{Record: m, Ranges: map[int]statecache.Versioned[job.TaskRange]{0: {Record: c}}}
	z := &scheduler.ZoneConstraint{Job: j, TasksByZone: map[int]map[string]int{}}
	for range 4 {
		z.Add(0, "x")
	}
	if z.Allows(0, "x") {
		t.Fatal("more than half in a zone")
	}
	m.Split(2)
	z = &scheduler.ZoneConstraint{Job: j, TasksByZone: map[int]map[string]int{}}
	for _, chunk := range []int{0, 0, 1, 1} {
		z.Add(chunk, "x")
	}
	for chunk := range 4 {
		if z.Allows(chunk, "x") || !z.Allows(chunk, "y") {
			t.Fatalf("chunk %d of the divided job: x %t, y %t", chunk, z.Allows(chunk, "x"), z.Allows(chunk, "y"))
		}
	}
	if !j.RecordCoversTasks() {
		t.Fatal("a late transaction could place by an old count")
	}
}
