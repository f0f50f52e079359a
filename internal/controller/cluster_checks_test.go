package controller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
)

// maxWait is how long a task may wait while a machine that fits has room.
const maxWait = 90 * time.Second

// maxRecoveryRounds is after how many rounds without faults everything must be as it should.
const maxRecoveryRounds = 1200

// checkViolations fails if a rule is broken.
func (s *testCluster) checkViolations(t fataler) {
	t.Helper()
	if len(s.environment.Violations) > 0 {
		t.Fatalf("%v", s.environment.Violations)
	}
}

// checkRecovery ends all faults. From then on nothing waits for long while there is room,
// every job is known at every node, what was cancelled is gone in time, and all else is
// done or runs. The world checks the rules at each step.
func (s *testCluster) checkRecovery(t *testing.T) {
	t.Helper()
	s.endFaults()
	since := map[string]time.Time{}
	s.runUntil(t, maxRecoveryRounds, "all served and known at every node after the faults", func() bool {
		for i := range s.nodes {
			for _, id := range s.jobIDs {
				s.poll(i, id)
			}
		}
		s.checkWaiting(since)
		return !slices.ContainsFunc(s.jobIDs, func(id string) bool { return !s.recovered(t, id) })
	})
}

// recovered reports whether a job is known at every node and either over and gone, or a
// service that runs as a whole.
func (s *testCluster) recovered(t *testing.T, id string) bool {
	t.Helper()
	j := s.environment.Jobs[id]
	if !j.Accepted {
		return s.presentTasks(id) == 0
	}
	wanted := 0
	if j.FinalPhase == "" {
		if j.Spec.Kind != api.Service {
			return false
		}
		wanted = j.Spec.Tasks
	}
	unknown := func(n *testNode) bool { return n.controller.frontend.Query(t.Context(), id).Status != 200 }
	return s.presentTasks(id) == wanted && !slices.ContainsFunc(s.nodes, unknown)
}

// checkWaiting checks, once all faults are over, that nothing is left waiting for longer than
// maxWait while a machine that fits has room and its team is under its limit. since keeps
// the time from which each job has waited.
func (s *testCluster) checkWaiting(since map[string]time.Time) {
	teamGPUs := map[string]float64{}
	for _, x := range s.environment.Cloud.WorkersByHost {
		for _, uid := range x.UnfinishedTaskJobs() {
			spec := &s.environment.Jobs[uid].Spec
			teamGPUs[spec.Team] += spec.GPUs
		}
	}
	for _, uid := range s.jobIDs {
		j := s.environment.Jobs[uid]
		limit := s.environment.TeamGPULimits[j.Spec.Team]
		beyondQuota := limit > 0 && teamGPUs[j.Spec.Team]+j.Spec.GPUs > limit
		if !s.lacksTasks(j) || beyondQuota || !s.hasRoom(&j.Spec) {
			delete(since, uid)
			continue
		}
		if at, ok := since[uid]; !ok {
			since[uid] = s.environment.Now
		} else if s.environment.Now.Sub(at) > maxWait {
			s.environment.RecordViolation(simulator.RuleWaitedTooLong, "%s for %v with room", uid, maxWait)
		}
	}
}

// lacksTasks reports whether a job has tasks to start whose places do not depend on its other
// tasks.
func (s *testCluster) lacksTasks(j *simulator.Job) bool {
	spec := &j.Spec
	if spec.SingleZone || spec.Spread || spec.Kind == api.Gang {
		return false
	}
	return j.Accepted && j.FinalPhase == "" && s.presentTasks(spec.UID)+len(j.DoneTasks) < spec.Tasks
}

// hasRoom reports whether a machine that fits has room for a task.
func (s *testCluster) hasRoom(spec *api.Job) bool {
	for _, x := range s.environment.Cloud.WorkersByHost {
		if !x.Booted() || x.SpotNoticeS != nil || spec.Zone != "" && spec.Zone != x.Zone || x.Spot && !spec.AllowSpot {
			continue
		}
		if cpus, gpus := x.FreeCapacity(); cpus >= spec.CPUs && gpus >= spec.GPUs {
			return true
		}
	}
	return false
}

// arraysDone reports whether every accepted job but services is over and known to be.
func (s *testCluster) arraysDone() bool {
	for _, id := range s.jobIDs {
		j := s.environment.Jobs[id]
		if j.FinalPhase != "" || j.Spec.Kind == api.Service {
			continue
		}
		// It may be accepted although no user was told.
		if s.poll(0, id); j.Accepted && j.FinalPhase == "" {
			return false
		}
	}
	return true
}

// checkCapacityRecords compares the capacity records of shards that a controller caches, which
// it does not read back when it wrote them itself, with what the state service has of that
// version.
func (s *testCluster) checkCapacityRecords(t *rapid.T, n *testNode) {
	store := simulator.StoreClient{Store: s.environment.Store}
	for id, cached := range n.state().Cache.Capacities {
		it, found, err := store.Get(context.Background(), statecache.CapacityKey(id), 0)
		if err != nil || !found || it.Version != cached.Version {
			continue // it has moved on, or can't be read now
		}
		var recorded shard.CapacityRecord
		if err := json.Unmarshal(it.Value, &recorded); err != nil {
			t.Fatal(err)
		}
		same := cached.Record.Term == recorded.Term && cached.Record.Leader == recorded.Leader
		same = same && cached.Record.Released == recorded.Released && cached.Record.PredecessorMayAnswer == recorded.PredecessorMayAnswer
		if !same || !maps.Equal(cached.Record.Free, recorded.Free) || !maps.Equal(cached.Record.QuotaUse, recorded.QuotaUse) {
			t.Fatalf("%s has %+v of shard %s, recorded is %s", n.name, cached.Record, id, it.Value)
		}
	}
}

// checkDerivedState compares what plans keep of machines and jobs with what it would be
// if worked out anew: one change that forgot to drop it, and every later plan of
// that machine is wrong.
func (s *testCluster) checkDerivedState(t *rapid.T) {
	for _, n := range s.nodes {
		c := n.controller
		s.checkCapacityRecords(t, n)
		for _, h := range c.testState().Cache.MachinesWithCachedLoad() {
			kept := c.testState().Cache.CachedLoad(h)
			c.testState().Cache.InvalidateLoad(h)
			if now := c.testState().FreeCapacity.LoadOf(h); !now.Used.ApproxEqual(kept.Used) || !now.Stopping.ApproxEqual(kept.Stopping) ||
				now.Services != kept.Services ||
				now.Arrays != kept.Arrays ||
				!slices.EqualFunc(now.RunningByPriority[:], kept.RunningByPriority[:], sched.Resources.ApproxEqual) {
				t.Fatalf("%s keeps %+v of %s, there is %+v", n.name, kept, h, now)
			}
		}
		for uid, j := range c.testState().Cache.Jobs {
			if kept, found := j.PendingTasks(), j.ComputePendingTasks(); !slices.Equal(kept, found) {
				t.Fatalf("%s keeps %v of %s, waiting are %v", n.name, kept, uid, found)
			}
		}
		names := slices.Sorted(maps.Keys(c.testState().Cache.Machines))
		if kept := c.testState().Cache.MachineNames(); !slices.Equal(kept, names) {
			t.Fatalf("%s keeps the names %v, there are %v", n.name, kept, names)
		}
	}
}
