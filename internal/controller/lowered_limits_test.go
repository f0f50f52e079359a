package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
)

// newClusterInProduction returns a cluster of the version in production under limits that let it write
// large records, and the coming ones far smaller.
func newClusterInProduction(t *testing.T) *testCluster {
	t.Helper()
	s := newTestCluster()
	s.setStateLimits(16, 20, 2, 4)
	for i := range s.nodes {
		s.nodes[i].inProduction = true
		s.startNode(i)
	}
	s.runFor(10)
	return s
}

// setStateLimits sets the state service's limits, today's and the coming ones, for controllers
// that are started from now on.
func (s *testCluster) setStateLimits(kb float64, ops int, nextKB float64, nextOps int) {
	s.stateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: kb, TxnOps: ops}
	s.nextStateLimits = config.StateLimits{RPS: 120, WriteRPS: 18, ValueKB: nextKB, TxnOps: nextOps}
}

// upgradeNodes brings all controllers back new, one after the other.
func (s *testCluster) upgradeNodes() {
	for i, n := range s.nodes {
		n.inProduction = false
		s.startNode(i)
		s.runFor(6)
	}
}

// lowerStateLimits has the state service keep to its next limits.
func (s *testCluster) lowerStateLimits() {
	s.environment.Store.MaxOps, s.environment.Store.MaxValueBytes = s.nextStateLimits.TxnOps, int(s.nextStateLimits.ValueKB*1024)
}

// Jobs that the version in production recorded for large values run on, are cancelled
// and done when the limits come down the moment after the last controller is new: their
// records are split, and no transaction is sent in a refused form for ever.
func TestLimitsFallOnLargeRecords(t *testing.T) {
	s := newClusterInProduction(t)
	small := func(r *api.Job) { r.GPUs, r.CPUs, r.MemGB = 0, 0.05, 0.05 }
	inline := s.submitJob(func(r *api.Job, d *time.Duration) { small(r); r.Tasks, *d = 120, time.Minute })
	inRanges := s.submitJob(func(r *api.Job, d *time.Duration) { small(r); r.Tasks, *d = 450, 90*time.Second })
	cancelled := s.submitJob(func(r *api.Job, _ *time.Duration) { small(r); r.Tasks, r.Kind = 110, api.Service })
	s.runUntil(t, 200, "all run", func() bool {
		return s.runningTasks(inline) == 120 && s.runningTasks(cancelled) == 110 && s.runningTasks(inRanges) == 450
	})
	large := 0
	for _, it := range s.environment.Store.Items(statecache.LivePrefix) {
		if len(it.Value) > int(s.nextStateLimits.ValueKB*1024) {
			large++
		}
	}
	if large < 3 {
		t.Fatalf("%d records are larger than the coming limit", large)
	}
	s.upgradeNodes()
	s.lowerStateLimits()
	s.runUntil(t, 60, "cancelled", func() bool {
		s.cancel(1, cancelled)
		return s.environment.Jobs[cancelled].FinalPhase == api.JobCancelled
	})
	s.runUntil(t, 900, "done", s.isDone(inline))
	s.runUntil(t, 900, "done", s.isDone(inRanges))
	s.runUntil(t, 400, "no large record of a job is left", func() bool {
		return !slices.ContainsFunc(s.environment.Store.Items(statecache.LivePrefix), func(it simulator.Item) bool {
			large := len(it.Value) > int(s.nextStateLimits.ValueKB*1024)
			return large && it.Key[:len(statecache.JobKey(""))] != statecache.MachinePageKey("")
		})
	})
	if s.environment.Store.RefusedTooLarge > 20 {
		t.Fatalf("%d transactions were refused for their size", s.environment.Store.RefusedTooLarge)
	}
}

// While the limits are still today's, large records are split in the background.
func TestLargeRecordsAreSplitBeforehand(t *testing.T) {
	s := newClusterInProduction(t)
	id := s.submitJob(func(r *api.Job, _ *time.Duration) {
		r.GPUs, r.CPUs, r.MemGB, r.Tasks, r.Kind = 0, 0.05, 0.05, 120, api.Service
	})
	s.runUntil(t, 100, "all run", func() bool { return s.runningTasks(id) == 120 })
	s.upgradeNodes()
	s.runUntil(t, 200, "split", func() bool { return s.nodes[0].state().Cache.Jobs[id].Record.Generation == 1 })
	for range 60 {
		s.runRound()
		if n := s.runningTasks(id); n != 120 {
			t.Fatalf("%d of its tasks run", n)
		}
	}
	if s.lowerStateLimits(); s.environment.Store.RefusedTooLarge > 0 {
		t.Fatal("something was refused for its size")
	}
}

// A shard whose room no longer fits its record is used as a whole by its leader: peers
// see the machines with most room only.
func TestTrimmedShardServesAllItsMachines(t *testing.T) {
	s := newTestCluster()
	s.setStateLimits(1, 8, 1, 4)
	for i := range s.nodes {
		s.startNode(i)
	}
	s.runFor(10)
	for k := range 3 {
		s.submitJob(func(r *api.Job, _ *time.Duration) {
			r.Kind, r.Tasks, r.Zone, r.CPUs, r.Image = api.Service, 120, "x", 0.5+0.001*float64(k), fmt.Sprint(k)
		})
	}
	n := 0
	s.runUntil(t, 400, "all run", func() bool {
		n = 0
		for _, id := range s.jobIDs {
			n += s.runningTasks(id)
		}
		return n == 360
	})
}
