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

// newProductionVersionCluster returns a cluster whose controllers run the version in production. The
// current limits allow large records; the announced limits are far lower.
func newProductionVersionCluster(t *testing.T) *testCluster {
	t.Helper()
	s := newTestCluster()
	s.setStateLimits(16, 20, 2, 4)
	for i := range s.nodes {
		s.nodes[i].runsProductionVersion = true
		s.startNode(i)
	}
	s.runFor(10)
	return s
}

// setStateLimits sets the current and the announced lower limits of the state service, for
// controllers that start after this.
func (s *testCluster) setStateLimits(valueKB float64, txnOps int, nextValueKB float64, nextTxnOps int) {
	s.stateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: valueKB, TxnOps: txnOps}
	s.nextStateLimits = config.StateLimits{RPS: 120, WriteRPS: 18, ValueKB: nextValueKB, TxnOps: nextTxnOps}
}

// upgradeNodes restarts all controllers with the new version, one after the other.
func (s *testCluster) upgradeNodes() {
	for i, n := range s.nodes {
		n.runsProductionVersion = false
		s.startNode(i)
		s.runFor(6)
	}
}

// lowerStateLimits has the state service enforce the announced lower limits.
func (s *testCluster) lowerStateLimits() {
	s.environment.Store.MaxWrites, s.environment.Store.MaxValueBytes = s.nextStateLimits.TxnOps, int(s.nextStateLimits.ValueKB*1024)
}

// Jobs with large records of the version in production keep running, are cancelled and finish
// when the limits are lowered right after the last controller was upgraded: their records are
// split, and no refused transaction is retried unchanged again and again.
func TestLargeRecordsAreSplitWhenLimitsFall(t *testing.T) {
	s := newProductionVersionCluster(t)
	setSmallTasks := func(j *api.Job) { j.GPUs, j.CPUs, j.MemGB = 0, 0.05, 0.05 }
	inline := s.submitJob(func(j *api.Job, runTime *time.Duration) { setSmallTasks(j); j.Tasks, *runTime = 120, time.Minute })
	inRanges := s.submitJob(func(j *api.Job, runTime *time.Duration) { setSmallTasks(j); j.Tasks, *runTime = 450, 90*time.Second })
	cancelled := s.submitJob(func(j *api.Job, _ *time.Duration) { setSmallTasks(j); j.Tasks, j.Kind = 110, api.Service })
	s.runUntil(t, 200, "all tasks run", func() bool {
		return s.runningTasks(inline) == 120 && s.runningTasks(cancelled) == 110 && s.runningTasks(inRanges) == 450
	})
	largeRecords := 0
	for _, item := range s.environment.Store.Items(statecache.LivePrefix) {
		if len(item.Value) > int(s.nextStateLimits.ValueKB*1024) {
			largeRecords++
		}
	}
	if largeRecords < 3 {
		t.Fatalf("%d records are larger than the announced lower limit, want at least 3", largeRecords)
	}
	s.upgradeNodes()
	s.lowerStateLimits()
	s.runUntil(t, 60, "cancellation confirmed", func() bool {
		s.cancel(1, cancelled)
		return s.environment.Jobs[cancelled].FinalPhase == api.JobCancelled
	})
	s.runUntil(t, 900, "job with inline range done", s.isDone(inline))
	s.runUntil(t, 900, "job with several ranges done", s.isDone(inRanges))
	s.runUntil(t, 400, "no large job record remains", func() bool {
		return !slices.ContainsFunc(s.environment.Store.Items(statecache.LivePrefix), func(item simulator.Item) bool {
			isLarge := len(item.Value) > int(s.nextStateLimits.ValueKB*1024)
			return isLarge && item.Key[:len(statecache.JobKey(""))] != statecache.MachinePageKey("")
		})
	})
	if s.environment.Store.RefusedTooLarge > 20 {
		t.Fatalf("%d transactions were refused because of their size, want at most 20", s.environment.Store.RefusedTooLarge)
	}
}

// While the current limits still apply, large records are split in the background.
func TestLargeRecordsAreSplitBeforeLimitsFall(t *testing.T) {
	s := newProductionVersionCluster(t)
	id := s.submitJob(func(j *api.Job, _ *time.Duration) {
		j.GPUs, j.CPUs, j.MemGB, j.Tasks, j.Kind = 0, 0.05, 0.05, 120, api.Service
	})
	s.runUntil(t, 100, "all tasks run", func() bool { return s.runningTasks(id) == 120 })
	s.upgradeNodes()
	s.runUntil(t, 200, "record is split", func() bool { return s.nodes[0].state().Cache.Jobs[id].Record.Generation == 1 })
	for range 60 {
		s.runRound()
		if running := s.runningTasks(id); running != 120 {
			t.Fatalf("%d tasks run after the split, want 120", running)
		}
	}
	if s.lowerStateLimits(); s.environment.Store.RefusedTooLarge > 0 {
		t.Fatalf("%d transactions were refused because of their size, want 0", s.environment.Store.RefusedTooLarge)
	}
}

// The leader uses all machines of its shard even if its capacity record is too small to list the
// free capacity of all: only peers are limited to the machines with the most free capacity, which
// the record lists.
func TestLeaderUsesMachinesMissingFromCapacityRecord(t *testing.T) {
	s := newTestCluster()
	s.setStateLimits(1, 8, 1, 4)
	for i := range s.nodes {
		s.startNode(i)
	}
	s.runFor(10)
	for i := range 3 {
		s.submitJob(func(j *api.Job, _ *time.Duration) {
			j.Kind, j.Tasks, j.Zone, j.CPUs, j.Image = api.Service, 120, "x", 0.5+0.001*float64(i), fmt.Sprint(i)
		})
	}
	running := 0
	s.runUntil(t, 400, "all tasks run", func() bool {
		running = 0
		for _, id := range s.jobIDs {
			running += s.runningTasks(id)
		}
		return running == 360
	})
}
