package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
	"violetturn/internal/zonehealth"
)

// Half of a zone returns, without the machines that ran its services and before these services have
// certainly ended. With zone recovery the services run again before any array uses the capacity
// that they need, and the arrays follow gradually. Without it arrays use all the capacity first and
// are stopped again.
func TestServicesRestartFirstWhenHalfOfZoneReturns(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		t.Run(fmt.Sprintf("feature %t", enabled), func(t *testing.T) {
			onStart := func(*testNode) {}
			if enabled {
				onStart = enableZoneRecovery
			}
			z := newZoneScenario(t, onStart)
			_, otherMachines := z.zoneMachines()
			spareSlots := 2*len(otherMachines) - serviceReplicas
			returnedAt := z.returnMachinesWithoutServices(enabled)
			z.runUntil(t, 200, "all replicas run again", func() bool { return z.runningReplicas() == serviceReplicas })
			elapsed := z.environment.Now.Sub(returnedAt)
			startedBefore := z.arrayStartsBeforeServices(returnedAt)
			t.Logf("feature %t: all replicas run after %v, %d array tasks started before", enabled, elapsed, startedBefore)
			if enabled && startedBefore > spareSlots {
				t.Errorf("%d array tasks started before all replicas ran again, want at most %d, which fit beside them",
					startedBefore, spareSlots)
			}
			if !enabled && startedBefore <= spareSlots {
				t.Errorf("without zone recovery %d array tasks started first, want more than %d: the test shows nothing",
					startedBefore, spareSlots)
			}
			z.runUntil(t, 400, "arrays run again", func() bool { return z.runningArrayTasks() >= 2*arrayTasks-serviceReplicas })
		})
	}
}

// The zone fails twice within minutes, the second time during the first recovery. Each failure
// raises the transition count, the second halves the slow start share, and the services run
// before the arrays after both.
func TestZoneFailsAgainDuringRecovery(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	serviceMachines, otherMachines := z.partitionUntilDown()
	firstFailure := z.zoneRecord(1)
	setPartitioned(otherMachines, false)
	z.runUntilZoneState(zonehealth.Recovering, 1, 40)
	z.runChecked(3)
	setPartitioned(otherMachines, true)
	z.runUntilZoneState(zonehealth.Down, 1, 60)
	secondFailure := z.zoneRecord(1)
	if secondFailure.Transitions <= firstFailure.Transitions || secondFailure.SlowStartShare != firstFailure.SlowStartShare/2 {
		t.Errorf(
			"second failure: %d transitions after %d, slow start share %g after %g; want more transitions and half the share",
			secondFailure.Transitions,
			firstFailure.Transitions,
			secondFailure.SlowStartShare,
			firstFailure.SlowStartShare,
		)
	}
	for _, worker := range serviceMachines {
		z.environment.Cloud.Terminate(worker.Host)
	}
	returnedAt := z.environment.Now
	setPartitioned(otherMachines, false)
	z.runUntil(t, 200, "all replicas run again", func() bool { return z.runningReplicas() == serviceReplicas })
	if started := z.arrayStartsBeforeServices(returnedAt); started > 2*len(otherMachines)-serviceReplicas {
		t.Errorf("%d array tasks started before all replicas ran again, want at most %d", started, 2*len(otherMachines)-serviceReplicas)
	}
	z.runUntilRecovered(2*arrayTasks - serviceReplicas)
}

// Capacity stays reserved for a production task until its end is committed and it is queued
// again. There were once two gaps in which arrays got it: the seconds in which a new leader has not
// received any heartbeat yet, and those between the return of the task's machine to the cloud and
// the commit.
func TestCapacityIsReservedUntilEndsAreCommitted(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	serviceMachines, _ := z.partitionUntilDown()
	leader := slices.IndexFunc(z.nodes, func(n *testNode) bool { return n.state().Leadership.Leads("n0") })
	leaderController := z.nodes[leader].controller
	waitingTasks := func() (tasks int) {
		observations := leaderController.testState().Zones.Observe(leaderController.node.Now()).Observations
		for _, demand := range observations["x"]["n0"].WaitingProduction {
			tasks += demand.Tasks
		}
		return tasks
	}
	if reserved := waitingTasks(); reserved != serviceReplicas {
		t.Fatalf("machines lost: capacity reserved for %d tasks, want %d", reserved, serviceReplicas)
	}
	for _, worker := range serviceMachines {
		leaderController.testState().Agents.Agent(worker.Host).Terminated = true
	}
	if reserved := waitingTasks(); reserved != serviceReplicas {
		t.Errorf("machines terminated: capacity reserved for %d tasks, want %d", reserved, serviceReplicas)
	}
	for _, worker := range serviceMachines {
		leaderController.testState().Agents.Remove(worker.Host)
		leadership := leaderController.testState().Leadership.Lookup(leaderController.testState().Cache.Machines[worker.Host].Shard)
		leaderController.testState().Agents.Ensure(worker.Host, leadership).LastAnswered = leaderController.node.Now()
	}
	if reserved := waitingTasks(); reserved != serviceReplicas {
		t.Errorf("no heartbeat received yet: capacity reserved for %d tasks, want %d", reserved, serviceReplicas)
	}
}

// So few machines return that the services don't all fit, and the missing capacity can't be rented.
// The reservation must end, so that arrays that fit beside the services run after a while.
func TestReservationEndsWhenCapacityIsMissing(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	serviceMachines, otherMachines := z.partitionUntilDown()
	for _, worker := range slices.Concat(serviceMachines, otherMachines[2:]) {
		z.environment.Cloud.Terminate(worker.Host)
	}
	smallArray := z.submitJob(func(j *api.Job, runTime *time.Duration) {
		j.Priority, j.Tasks, j.Zone, j.GPUs, *runTime = "idle", 4, "x", 0, 5*time.Second
	})
	setPartitioned(otherMachines[:2], false)
	z.runUntil(t, 300, "small array is done beside the services", z.isDone(smallArray))
	z.runUntilZoneState(zonehealth.Healthy, 1, 300)
	z.runUntil(t, 100, "replicas fill both machines", func() bool { return z.runningReplicas() == 4 })
}

// The state service is down while the zone returns: nothing is placed during the outage, and
// afterwards the services run before the arrays.
func TestZoneReturnsDuringStoreOutage(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	serviceMachines, otherMachines := z.partitionUntilDown()
	z.environment.Store.Down = true
	for _, worker := range serviceMachines {
		z.environment.Cloud.Terminate(worker.Host)
	}
	setPartitioned(otherMachines, false)
	z.runChecked(20)
	z.environment.Store.Down = false
	storeRecoveredAt := z.environment.Now
	z.runUntil(t, 300, "all replicas run again", func() bool { return z.runningReplicas() == serviceReplicas })
	if started := z.arrayStartsBeforeServices(storeRecoveredAt); started > 2*len(otherMachines)-serviceReplicas {
		t.Errorf("%d array tasks started before all replicas ran again, want at most %d", started, 2*len(otherMachines)-serviceReplicas)
	}
	z.runUntilRecovered(2*arrayTasks - serviceReplicas)
}

// The partition is one-way: heartbeats arrive, responses and commands don't. The machines of the
// zone run nothing, so the zone counts as lost.
func TestZoneWithOneWayPartition(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	serviceMachines, otherMachines := z.zoneMachines()
	allMachines := slices.Concat(serviceMachines, otherMachines)
	for _, worker := range allMachines {
		worker.InboundLost = true
	}
	z.runUntilZoneState(zonehealth.Down, 1, 120)
	for _, worker := range allMachines {
		worker.InboundLost = false
	}
	z.runUntilRecovered(2 * arrayTasks)
}

// Two zones fail at once: the controller of the third zone records both as down, and both
// recover.
func TestTwoZonesFailAtOnce(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	var partitioned []*simulator.Worker
	for _, worker := range z.environment.Cloud.Workers() {
		if worker.Zone != "z" {
			partitioned = append(partitioned, worker)
		}
	}
	setPartitioned(partitioned, true)
	z.runUntilZoneState(zonehealth.Down, 2, 60)
	z.runUntil(t, 60, "zone y is down", func() bool {
		record := z.nodes[2].state().Cache.Zones["y"].Record
		return record != nil && record.State == zonehealth.Down
	})
	setPartitioned(partitioned, false)
	z.runUntilRecovered(2 * arrayTasks)
}

// A gang is bound to the zone, and an array there is cancelled while the zone is down. The gang
// restarts as a whole after the services, no team exceeds its limit, and no task of the cancelled
// array runs again.
func TestZoneRecoveryWithGangsAndCancellations(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	gang := z.submitJob(func(j *api.Job, runTime *time.Duration) {
		j.Kind, j.Tasks, j.Zone, j.SingleZone, j.GPUs, *runTime = api.Gang, 4, "x", true, 0, 400*time.Second
	})
	z.runUntil(t, 120, "gang runs", func() bool { return z.runningTasks(gang) == 4 })
	_, otherMachines := z.partitionUntilDown()
	cancelled := z.arrays[0]
	z.cancel(1, cancelled)
	z.runChecked(10)
	serviceMachines, _ := z.zoneMachines()
	setPartitioned(slices.Concat(serviceMachines, otherMachines), false)
	z.runUntil(t, 300, "all replicas run again", func() bool { return z.runningReplicas() == serviceReplicas })
	z.runUntil(t, 400, "gang runs again", func() bool { return z.runningTasks(gang) == 4 })
	if z.runningTasks(cancelled) > 0 {
		t.Errorf("%d tasks of the cancelled array run again, want 0", z.runningTasks(cancelled))
	}
	z.runUntilRecovered(arrayTasks)
}

// All replicas of a service that is spread over zones run again after the zone has returned, and
// replicas that were placed in other zones in the meantime stay there.
func TestSpreadServicesKeepReplicasInOtherZones(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	z.environment.Cloud.NoCapacity = false
	spreadService := z.submitJob(func(j *api.Job, _ *time.Duration) {
		j.Kind, j.Priority, j.Tasks, j.Spread, j.Image = api.Service, "production", 6, true, "spread"
	})
	z.runUntil(t, 200, "spread replicas run", func() bool { return z.runningTasks(spreadService) == 6 })
	z.environment.Cloud.NoCapacity = true
	serviceMachines, otherMachines := z.partitionUntilDown()
	z.runChecked(40)
	replicasElsewhere := z.runningTasksByHost(spreadService)
	setPartitioned(slices.Concat(serviceMachines, otherMachines), false)
	z.runUntil(t, 300, "all replicas run", func() bool {
		return z.runningTasks(spreadService) == 6 && z.runningReplicas() == serviceReplicas
	})
	z.runChecked(40)
	for host, before := range replicasElsewhere {
		if worker := z.environment.Cloud.WorkersByHost[host]; worker != nil && worker.Zone != "x" &&
			z.runningTasksByHost(spreadService)[host] < before {
			t.Errorf("%d replicas on %s in zone %s, want at least the %d before",
				z.runningTasksByHost(spreadService)[host], host, worker.Zone, before)
		}
	}
}

// The record of a zone is written rarely: a recovery takes few writes.
func TestZoneRecordIsWrittenRarely(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	writes := 0
	lastVersion := uint64(0)
	countWrites := func() {
		if zone := z.nodes[1].state().Cache.Zones["x"]; zone.Version != lastVersion {
			lastVersion = zone.Version
			writes++
		}
	}
	startedAt := z.environment.Now
	serviceMachines, otherMachines := z.zoneMachines()
	setPartitioned(slices.Concat(serviceMachines, otherMachines), true)
	for range 40 {
		z.runRound()
		countWrites()
	}
	setPartitioned(slices.Concat(serviceMachines, otherMachines), false)
	for range 200 {
		z.runRound()
		countWrites()
	}
	elapsed := z.environment.Now.Sub(startedAt)
	if maxWrites := int(elapsed / z.nodes[0].controller.node.Settings.HeartbeatInterval() / 4); writes > maxWrites || writes < 3 {
		t.Errorf("%d writes of the zone record in %v, want 3 to %d", writes, elapsed, maxWrites)
	}
	if record := z.nodes[1].state().Cache.Zones["x"].Record; record.State != zonehealth.Healthy || len(record.Observations) > 0 {
		t.Errorf("zone record after the recovery: %+v, want healthy and without observations", *record)
	}
}
