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

// The zone's own controller goes with it, and comes back last, or first and alone while the
// machines stay away.
func TestZonesOwnController(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("its controller first %t", first), func(t *testing.T) {
			z := newZoneScenario(t, enableZoneRecovery)
			z.nodes[0].running = false
			withReaders, others := z.loseZone()
			if first {
				z.startNode(0)
				z.runChecked(30)
				if s := z.zoneRecord(1).State; s == zonehealth.Healthy {
					t.Error("the zone is healthy as soon as its controller is back")
				}
			}
			returned := z.environment.Now
			for _, x := range withReaders {
				z.environment.Cloud.Terminate(x.Host)
			}
			setPartitioned(others, false)
			z.runUntil(t, 300, "readers run again", func() bool { return z.runningReaders() == readerTasks })
			// What is beyond the readers' room goes to arrays by the slow start.
			if n, beyond := z.arrayStartsBeforeReaders(returned), 2*len(others)-readerTasks; n > beyond {
				t.Errorf("back first %t: %d tasks of arrays started before the readers, with room for %d", first, n, beyond)
			}
			if !first {
				z.startNode(0)
			}
			z.runUntilRecovered(2*arrayTasks - readerTasks)
		})
	}
}

// Whoever wrote the zone's states ends, or is paused and goes on late: what it then would
// write rests on an old record and on a shard that it no longer leads, and is refused.
func TestZoneWriterWakesLate(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	_, others := z.loseZone()
	writer := slices.IndexFunc(z.nodes, func(n *testNode) bool { return n.state().Leadership.Leads("n0") })
	late := z.nodes[writer].controller
	old := z.zoneRecord(writer)
	z.nodes[writer].paused = true
	setPartitioned(others, false)
	reader := (writer + 1) % 3
	z.runUntil(t, 100, "another goes on", func() bool { return z.zoneRecord(reader).Transitions > old.Transitions })
	now := z.zoneRecord(reader)

	// It wakes: its replica is old, its lease long over by now. Even if it could act, the
	// record has moved on.
	stale := statecache.NewTransaction()
	stale.Require(statecache.ZoneKey("x"), late.testState().Cache.Zones["x"].Version)
	stale.Require(statecache.LeaderKey("n0"), late.testState().Leadership.Lookup("n0").Version)
	stale.Put(statecache.ZoneKey("x"), zonehealth.Record{State: zonehealth.Down, Transitions: old.Transitions})
	done, failed, _ := late.sync.Commit(t.Context(), "zones", stale, 0)
	if done || !slices.Contains(failed, statecache.ZoneKey("x")) || !slices.Contains(failed, statecache.LeaderKey("n0")) {
		t.Errorf("a late write is taken: %t, failed %v", done, failed)
	}
	z.nodes[writer].paused = false
	z.runChecked(10)
	if got := z.zoneRecord(reader); got.Transitions < now.Transitions {
		t.Errorf("the number fell from %d to %d", now.Transitions, got.Transitions)
	}
	z.runUntilRecovered(2*arrayTasks - readerTasks)
}

// With one zone only nobody can tell a lost zone from being partitioned: it is never down, and
// nothing is held back.
func TestOneZoneOnly(t *testing.T) {
	s := newTestCluster()
	s.environment.Zones = []string{"x"}
	s.restartNodes(enableZoneRecovery)
	id := s.submitJob(func(r *api.Job, d *time.Duration) { r.Priority, r.Tasks, *d = "idle", 8, time.Hour })
	s.runUntil(t, 100, "array runs", func() bool { return s.runningTasks(id) == 8 })
	for _, x := range s.environment.Cloud.Workers() {
		x.Partitioned = true
	}
	for range 60 {
		s.runRound()
		for _, n := range s.nodes {
			if v := n.state().Cache.Zones["x"].Record; v != nil && v.RestrictsPlacement() {
				t.Fatalf("the only zone is %s", v.State)
			}
		}
	}
	for _, x := range s.environment.Cloud.Workers() {
		x.Partitioned = false
	}
	s.runUntil(t, 200, "array runs again", func() bool { return s.runningTasks(id) == 8 })
}

// A controller that lacks the feature turns it off for all, and back on when it has it.
func TestMixedFleet(t *testing.T) {
	with := map[string]bool{"n0": true, "n1": true}
	z := newZoneScenario(t, func(n *testNode) { n.controller.node.Features.ZoneRecovery.Enabled = with[n.name] })
	_, others := z.machines()
	setPartitioned(others, true)
	z.runChecked(60)
	for i, n := range z.nodes {
		if n.state().Schema.FeatureEnabled(features.ZoneRecoveryName) || len(n.state().Cache.Zones) > 0 {
			t.Fatalf("controller %d acts on a feature that another lacks", i)
		}
	}
	setPartitioned(others, false)
	z.runChecked(60)
	with["n2"] = true
	z.startNode(2)
	z.runUntil(t, 40, "all have it", func() bool {
		return !slices.ContainsFunc(z.nodes, func(n *testNode) bool {
			return !n.state().Schema.FeatureEnabled(features.ZoneRecoveryName)
		})
	})
	z.loseZone()
	with["n0"] = false
	z.startNode(0)
	z.runUntil(t, 40, "it is off again", func() bool {
		return !z.nodes[1].state().Schema.FeatureEnabled(features.ZoneRecoveryName)
	})
	if z.nodes[1].state().Zones.Admission(z.environment.Now) != nil {
		t.Error("work is held back though the feature is off")
	}
}

// A controller that has ended before it had the feature keeps it off: its mark lacks it.
func TestDeadControllerWithoutFeature(t *testing.T) {
	with := map[string]bool{"n0": true, "n1": true}
	z := newZoneScenario(t, func(n *testNode) { n.controller.node.Features.ZoneRecovery.Enabled = with[n.name] })
	z.nodes[2].running = false
	z.runChecked(60)
	if z.nodes[1].state().Cache.Nodes["n2"].Record != nil || z.nodes[1].state().Schema.FeatureEnabled(features.ZoneRecoveryName) {
		t.Error("a feature is on that a controller which may come back lacks")
	}
}
