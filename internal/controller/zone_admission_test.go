package controller

import (
	"slices"
	"testing"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// setZoneRecord enables zone recovery on all controllers and sets the record of zone x.
func (c *Controller) setZoneRecord(record zonehealth.Record) {
	c.node.Features.ZoneRecovery.Enabled = true
	for _, controller := range c.node.Shards {
		c.testState().Cache.Capabilities[controller] = statecache.Versioned[shard.CapabilityRecord]{
			Record: &shard.CapabilityRecord{SchemaVersion: schema.Version, Features: c.node.Features.Names()},
		}
	}
	c.testState().Cache.Zones["x"] = statecache.Versioned[zonehealth.Record]{Record: &record}
}

// The slow start of a recovering zone admits a growing share of its machines, on which arrays restart
// in place, but never the capacity that waiting production tasks need. Machines are admitted in the
// order of their names.
func TestSlowStartAdmitsMachinesGradually(t *testing.T) {
	const machines = 64
	for _, test := range []struct {
		slowStartShare float64
		waitingTasks   int // waiting production tasks, two of which fill a machine
		state          zonehealth.State
		wantAdmitted   int
	}{
		{1. / 16, 0, zonehealth.Recovering, 4},
		{1. / 4, 0, zonehealth.Recovering, 16},
		{1, 0, zonehealth.Recovering, 64},
		{1, 32, zonehealth.Recovering, 48},
		{1. / 4, 32, zonehealth.Recovering, 16},
		{1, 200, zonehealth.Recovering, 0},
		{1, 0, zonehealth.Down, 0},
		{0, 0, zonehealth.Healthy, 0}, // a healthy zone restricts no tasks, so no machines have to be admitted
	} {
		c := newSizedController(machines, 0)
		record := zonehealth.Record{
			State:                 test.state,
			SinceMS:               c.node.Now().UnixMilli(),
			LastFailedMS:          1,
			SlowStartShare:        test.slowStartShare,
			MachinesBeforeFailure: machines,
		}
		record = record.WithObservation("n0", zonehealth.Observation{Healthy: machines})
		waitingProduction := []zonehealth.Demand{{Need: sched.Resources{CPUs: 5, GPUs: 1, MemGB: 40}, Tasks: test.waitingTasks}}
		c.setZoneRecord(record.WithObservation("n1", zonehealth.Observation{Lost: 1, WaitingProduction: waitingProduction}))
		hosts := c.testState().Cache.HostNames()
		admitted := c.testState().Zones.AdmittedMachines(map[string][]string{"x": slices.Clone(hosts)}, c.node.Now())
		if len(admitted) != test.wantAdmitted {
			t.Errorf("%+v: %d machines admitted, want %d", test, len(admitted), test.wantAdmitted)
		}
		for _, host := range hosts[:test.wantAdmitted] {
			if !admitted[host] {
				t.Errorf("%+v: machine %s is not admitted, want the first machines by name admitted", test, host)
			}
		}
	}
}

// In a recovering zone, capacity is reserved for production tasks that may still be running on lost
// machines: no other task is placed on it, not even after the slow start has ended.
func TestReservationKeepsCapacityForProduction(t *testing.T) {
	countPlacements := func(waitingTasks int) int {
		c := newSizedController(256, 4) // free capacity for four tasks
		record := zonehealth.Record{
			State:                 zonehealth.Recovering,
			SinceMS:               c.node.Now().Add(-time.Second).UnixMilli(),
			SlowStartShare:        1,
			MachinesBeforeFailure: 256,
		}
		record = record.WithObservation("n1", zonehealth.Observation{
			Lost:              waitingTasks,
			WaitingProduction: []zonehealth.Demand{{Need: sched.Resources{CPUs: 5, GPUs: 1, MemGB: 40}, Tasks: waitingTasks}},
		})
		c.setZoneRecord(record)
		for _, j := range c.testState().Cache.Jobs { // none is production
			j.Record.Spec.Priority = "standard"
		}
		return len(c.testState().Scheduler.Plan(c.node.Now()).Placements)
	}
	for _, test := range []struct{ waitingTasks, wantPlacements int }{{0, 4}, {3, 1}, {4, 0}, {9, 0}} {
		if got := countPlacements(test.waitingTasks); got != test.wantPlacements {
			t.Errorf("with %d production tasks waiting: placed %d other tasks, want %d", test.waitingTasks, got, test.wantPlacements)
		}
	}
}
