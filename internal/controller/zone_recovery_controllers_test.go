package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/features"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// The controller of the zone fails together with the zone. It returns either after the machines, or
// before them, while they are still partitioned.
func TestZoneFailsWithItsController(t *testing.T) {
	for _, controllerFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("controller returns first %t", controllerFirst), func(t *testing.T) {
			z := newZoneScenario(t, enableZoneRecovery)
			z.nodes[0].running = false
			serviceMachines, otherMachines := z.partitionUntilDown()
			if controllerFirst {
				z.startNode(0)
				z.runChecked(30)
				if state := z.zoneRecord(1).State; state == zonehealth.Healthy {
					t.Errorf("zone is %s while only its controller has returned, want any other state", state)
				}
			}
			returnedAt := z.environment.Now
			for _, worker := range serviceMachines {
				z.environment.Cloud.Terminate(worker.Host)
			}
			setPartitioned(otherMachines, false)
			z.runUntil(t, 300, "all replicas run again", func() bool { return z.runningReplicas() == serviceReplicas })
			// The slow start gives the capacity that the services don't need to arrays.
			if started, spareSlots := z.arrayStartsBeforeServices(returnedAt), 2*len(otherMachines)-serviceReplicas; started > spareSlots {
				t.Errorf("controller first %t: %d array tasks started before all replicas ran, want at most %d",
					controllerFirst, started, spareSlots)
			}
			if !controllerFirst {
				z.startNode(0)
			}
			z.runUntilRecovered(2*arrayTasks - serviceReplicas)
		})
	}
}

// The controller that wrote the zone record is paused and resumes late. Its write is based on an
// old record and on a shard that it no longer leads, and the state service rejects it.
func TestStaleZoneWriteIsRejected(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	_, otherMachines := z.partitionUntilDown()
	writer := slices.IndexFunc(z.nodes, func(n *testNode) bool { return n.state().Leadership.Leads("n0") })
	staleController := z.nodes[writer].controller
	oldRecord := z.zoneRecord(writer)
	z.nodes[writer].paused = true
	setPartitioned(otherMachines, false)
	other := (writer + 1) % 3
	z.runUntil(t, 100, "another controller updates the record", func() bool {
		return z.zoneRecord(other).Transitions > oldRecord.Transitions
	})
	newRecord := z.zoneRecord(other)

	// The paused controller has an old cache and its lease expired long ago. Even if it could act,
	// the preconditions on the newer records would fail.
	staleWrite := statecache.NewTransaction()
	staleWrite.Require(statecache.ZoneKey("x"), staleController.testState().Cache.Zones["x"].Version)
	staleWrite.Require(statecache.LeaderKey("n0"), staleController.testState().Leadership.Lookup("n0").Version)
	staleWrite.Put(statecache.ZoneKey("x"), zonehealth.Record{State: zonehealth.Down, Transitions: oldRecord.Transitions})
	committed, failed, _ := staleController.sync.Commit(t.Context(), "zones", staleWrite, 0)
	if committed || !slices.Contains(failed, statecache.ZoneKey("x")) || !slices.Contains(failed, statecache.LeaderKey("n0")) {
		t.Errorf("stale write: committed %t, failed preconditions %v; want it rejected for the zone and the leader record",
			committed, failed)
	}
	z.nodes[writer].paused = false
	z.runChecked(10)
	if got := z.zoneRecord(other); got.Transitions < newRecord.Transitions {
		t.Errorf("zone record had %d transitions and now has %d, want no fewer", newRecord.Transitions, got.Transitions)
	}
	z.runUntilRecovered(2*arrayTasks - serviceReplicas)
}

// With a single zone its loss can't be distinguished from a partition: the zone is never recorded
// as down, and no placement is restricted.
func TestSingleZoneIsNeverDown(t *testing.T) {
	s := newTestCluster()
	s.environment.Zones = []string{"x"}
	s.restartNodes(enableZoneRecovery)
	id := s.submitJob(func(j *api.Job, runTime *time.Duration) { j.Priority, j.Tasks, *runTime = "idle", 8, time.Hour })
	s.runUntil(t, 100, "array runs", func() bool { return s.runningTasks(id) == 8 })
	for _, worker := range s.environment.Cloud.Workers() {
		worker.Partitioned = true
	}
	for range 60 {
		s.runRound()
		for _, n := range s.nodes {
			if record := n.state().Cache.Zones["x"].Record; record != nil && record.RestrictsPlacement() {
				t.Fatalf("the only zone is %s and restricts placement, want no restriction", record.State)
			}
		}
	}
	for _, worker := range s.environment.Cloud.Workers() {
		worker.Partitioned = false
	}
	s.runUntil(t, 200, "array runs again", func() bool { return s.runningTasks(id) == 8 })
}

// A controller that lacks the feature disables it for all controllers; the feature is enabled
// again when that controller has it.
func TestFeatureNeedsAllControllers(t *testing.T) {
	hasFeature := map[string]bool{"n0": true, "n1": true}
	z := newZoneScenario(t, func(n *testNode) { n.controller.node.Features.ZoneRecovery.Enabled = hasFeature[n.name] })
	_, otherMachines := z.zoneMachines()
	setPartitioned(otherMachines, true)
	z.runChecked(60)
	for i, n := range z.nodes {
		if n.state().Schema.FeatureEnabled(features.ZoneRecoveryName) || len(n.state().Cache.Zones) > 0 {
			t.Fatalf("controller %d has zone recovery enabled or zone records, want neither, as controller n2 lacks the feature", i)
		}
	}
	setPartitioned(otherMachines, false)
	z.runChecked(60)
	hasFeature["n2"] = true
	z.startNode(2)
	z.runUntil(t, 40, "feature enabled on all controllers", func() bool {
		return !slices.ContainsFunc(z.nodes, func(n *testNode) bool {
			return !n.state().Schema.FeatureEnabled(features.ZoneRecoveryName)
		})
	})
	z.partitionUntilDown()
	hasFeature["n0"] = false
	z.startNode(0)
	z.runUntil(t, 40, "feature disabled again", func() bool {
		return !z.nodes[1].state().Schema.FeatureEnabled(features.ZoneRecoveryName)
	})
	if z.nodes[1].state().Zones.Admission(z.environment.Now) != nil {
		t.Error("zone recovery restricts placement, want no restriction, as the feature is disabled")
	}
}

// A controller that stopped before it had the feature keeps the feature disabled: the capability
// record that it left does not list the feature.
func TestStoppedControllerKeepsFeatureDisabled(t *testing.T) {
	hasFeature := map[string]bool{"n0": true, "n1": true}
	z := newZoneScenario(t, func(n *testNode) { n.controller.node.Features.ZoneRecovery.Enabled = hasFeature[n.name] })
	z.nodes[2].running = false
	z.runChecked(60)
	if z.nodes[1].state().Cache.Nodes["n2"].Record != nil || z.nodes[1].state().Schema.FeatureEnabled(features.ZoneRecoveryName) {
		t.Error("n2 has a node record, or the feature is enabled though n2 may restart without it; want neither")
	}
}
