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

// maxWait is the time for which a task may wait while a suitable machine has free capacity.
const maxWait = 90 * time.Second

// maxRecoveryRounds is the number of rounds without faults within which a cluster must recover.
const maxRecoveryRounds = 1200

// checkViolations fails the test if a rule was violated.
func (s *testCluster) checkViolations(t fataler) {
	t.Helper()
	if len(s.environment.Violations) > 0 {
		t.Fatalf("got violations %v, want none", s.environment.Violations)
	}
}

// checkRecovery ends all faults and runs the cluster until it has recovered: every controller can
// answer queries about every job, no cancelled job has tasks, and all other jobs are done or, if
// they are services, run. In the meantime no task may wait for long while there is free capacity.
// The environment checks the rules at each step.
func (s *testCluster) checkRecovery(t *testing.T) {
	t.Helper()
	s.endFaults()
	waitingSince := map[string]time.Time{}
	s.runUntil(t, maxRecoveryRounds, "every controller answers queries about every job, and all jobs are done or run", func() bool {
		for i := range s.nodes {
			for _, id := range s.jobIDs {
				s.poll(i, id)
			}
		}
		s.checkWaiting(waitingSince)
		return !slices.ContainsFunc(s.jobIDs, func(id string) bool { return !s.recovered(t, id) })
	})
}

// recovered reports whether every controller answers queries about a job, and the job has either
// finished without leaving tasks behind, or is a service with all its tasks present. A job that was
// not accepted must have no tasks.
func (s *testCluster) recovered(t *testing.T, id string) bool {
	t.Helper()
	j := s.environment.Jobs[id]
	if !j.Accepted {
		return s.presentTasks(id) == 0
	}
	wantTasks := 0
	if j.FinalPhase == "" {
		if j.Spec.Kind != api.Service {
			return false
		}
		wantTasks = j.Spec.Tasks
	}
	jobUnknown := func(n *testNode) bool { return n.controller.frontend.Query(t.Context(), id).Status != 200 }
	return s.presentTasks(id) == wantTasks && !slices.ContainsFunc(s.nodes, jobUnknown)
}

// checkWaiting records a violation if, after all faults have ended, a job has waited for longer
// than maxWait while a suitable machine has free capacity and the job's team is below its limit.
// waitingSince contains the time since which each job has waited.
func (s *testCluster) checkWaiting(waitingSince map[string]time.Time) {
	teamGPUs := map[string]float64{}
	for _, worker := range s.environment.Cloud.WorkersByHost {
		for _, uid := range worker.UnfinishedTaskJobs() {
			spec := &s.environment.Jobs[uid].Spec
			teamGPUs[spec.Team] += spec.GPUs
		}
	}
	for _, uid := range s.jobIDs {
		j := s.environment.Jobs[uid]
		limit := s.environment.TeamGPULimits[j.Spec.Team]
		exceedsQuota := limit > 0 && teamGPUs[j.Spec.Team]+j.Spec.GPUs > limit
		if !s.hasPendingTasks(j) || exceedsQuota || !s.hasFreeCapacity(&j.Spec) {
			delete(waitingSince, uid)
			continue
		}
		if start, ok := waitingSince[uid]; !ok {
			waitingSince[uid] = s.environment.Now
		} else if s.environment.Now.Sub(start) > maxWait {
			s.environment.RecordViolation(simulator.RuleWaitedTooLong, "%s waited for over %v despite free capacity", uid, maxWait)
		}
	}
}

// hasPendingTasks reports whether a job has tasks that are still to be placed. It is false for jobs
// whose tasks can't be placed independently of each other.
func (s *testCluster) hasPendingTasks(j *simulator.Job) bool {
	spec := &j.Spec
	if spec.SingleZone || spec.Spread || spec.Kind == api.Gang {
		return false
	}
	return j.Accepted && j.FinalPhase == "" && s.presentTasks(spec.UID)+len(j.DoneTasks) < spec.Tasks
}

// hasFreeCapacity reports whether a suitable machine has free capacity for one task.
func (s *testCluster) hasFreeCapacity(spec *api.Job) bool {
	for _, worker := range s.environment.Cloud.WorkersByHost {
		if !worker.Booted() || worker.SpotNoticeS != nil || spec.Zone != "" && spec.Zone != worker.Zone || worker.Spot && !spec.AllowSpot {
			continue
		}
		if cpus, gpus := worker.FreeCapacity(); cpus >= spec.CPUs && gpus >= spec.GPUs {
			return true
		}
	}
	return false
}

// allButServicesDone reports whether every accepted job that is not a service has finished, and the
// response to a query has said so.
func (s *testCluster) allButServicesDone() bool {
	for _, id := range s.jobIDs {
		j := s.environment.Jobs[id]
		if j.FinalPhase != "" || j.Spec.Kind == api.Service {
			continue
		}
		// It may have been accepted although no user got the response.
		if s.poll(0, id); j.Accepted && j.FinalPhase == "" {
			return false
		}
	}
	return true
}

// checkCapacityRecords compares the capacity records of shards that a controller caches with the
// records of the same version in the state service. A controller does not read back the records
// that it wrote itself.
func (s *testCluster) checkCapacityRecords(t *rapid.T, n *testNode) {
	store := simulator.StoreClient{Store: s.environment.Store}
	for id, cached := range n.state().Cache.Capacities {
		item, found, err := store.Get(context.Background(), statecache.CapacityKey(id), 0)
		if err != nil || !found || item.Version != cached.Version {
			continue // there is a newer version, or it can't be read now
		}
		var recorded shard.CapacityRecord
		if err := json.Unmarshal(item.Value, &recorded); err != nil {
			t.Fatal(err)
		}
		equal := cached.Record.Term == recorded.Term && cached.Record.Leader == recorded.Leader
		equal = equal && cached.Record.Released == recorded.Released && cached.Record.PredecessorMayAnswer == recorded.PredecessorMayAnswer
		if !equal || !maps.Equal(cached.Record.Free, recorded.Free) || !maps.Equal(cached.Record.QuotaUse, recorded.QuotaUse) {
			t.Fatalf("capacity record of shard %s cached by %s: got %+v, want %s", id, n.name, cached.Record, item.Value)
		}
	}
}

// checkDerivedState compares the cached loads of machines, the cached pending tasks of jobs and
// the cached machine names with newly computed ones. If one change fails to invalidate a cached
// load, every later plan for that machine is wrong.
func (s *testCluster) checkDerivedState(t *rapid.T) {
	for _, n := range s.nodes {
		c := n.controller
		s.checkCapacityRecords(t, n)
		for _, host := range c.testState().Cache.MachinesWithCachedLoad() {
			cached := c.testState().Cache.CachedLoad(host)
			c.testState().Cache.InvalidateLoad(host)
			if computed := c.testState().CapacityCalculator.LoadOf(host); !computed.Used.ApproxEqual(cached.Used) ||
				!computed.Stopping.ApproxEqual(cached.Stopping) ||
				computed.ServiceTasks != cached.ServiceTasks ||
				computed.OtherTasks != cached.OtherTasks ||
				!slices.EqualFunc(computed.RunningByPriority[:], cached.RunningByPriority[:], sched.Resources.ApproxEqual) {
				t.Fatalf("load of %s cached by %s: got %+v, want %+v", host, n.name, cached, computed)
			}
		}
		for uid, j := range c.testState().Cache.Jobs {
			if cached, computed := j.PendingTasks(), j.ComputePendingTasks(); !slices.Equal(cached, computed) {
				t.Fatalf("pending tasks of %s cached by %s: got %v, want %v", uid, n.name, cached, computed)
			}
		}
		names := slices.Sorted(maps.Keys(c.testState().Cache.Machines))
		if cached := c.testState().Cache.HostNames(); !slices.Equal(cached, names) {
			t.Fatalf("machine names cached by %s: got %v, want %v", n.name, cached, names)
		}
	}
}
