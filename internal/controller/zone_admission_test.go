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

// setZoneRecord switches zone recovery on everywhere and sets the record of zone x.
func (c *Controller) setZoneRecord(r zonehealth.Record) {
	c.node.Features.ZoneRecovery.Enabled = true
	for _, node := range c.node.Shards {
		c.testState().Cache.Capabilities[node] = statecache.Versioned[shard.CapabilityRecord]{
			Record: &shard.CapabilityRecord{SchemaVersion: schema.Version, Features: c.node.Features.Names()},
		}
	}
	c.testState().Cache.Zones["x"] = statecache.Versioned[zonehealth.Record]{Record: &r}
}

// Arrays start again in place on a share of the machines that grows, and never on what the
// readers need; which machines follows from their names.
func TestSlowStartAdmitsMachinesGradually(t *testing.T) {
	const machines = 64
	for _, x := range []struct {
		start   float64
		waiting int // tasks, two of which fill a machine
		state   zonehealth.State
		open    int
	}{
		{1. / 16, 0, zonehealth.Recovering, 4},
		{1. / 4, 0, zonehealth.Recovering, 16},
		{1, 0, zonehealth.Recovering, 64},
		{1, 32, zonehealth.Recovering, 48},
		{1. / 4, 32, zonehealth.Recovering, 16},
		{1, 200, zonehealth.Recovering, 0},
		{1, 0, zonehealth.Down, 0},
		{0, 0, zonehealth.Healthy, 0}, // nothing is held back there
	} {
		c := newSizedController(machines, 0)
		r := zonehealth.Record{
			State:                 x.state,
			SinceMS:               c.node.Now().UnixMilli(),
			LastFailedMS:          1,
			SlowStartShare:        x.start,
			MachinesBeforeFailure: machines,
		}
		r = r.WithObservation("n0", zonehealth.Observation{Healthy: machines})
		waiting := []zonehealth.Demand{{Need: sched.Resources{CPUs: 5, GPUs: 1, MemGB: 40}, Tasks: x.waiting}}
		c.setZoneRecord(r.WithObservation("n1", zonehealth.Observation{Lost: 1, WaitingProduction: waiting}))
		names := c.testState().Cache.MachineNames()
		open := c.testState().Zones.AdmittedMachines(map[string][]string{"x": slices.Clone(names)}, c.node.Now())
		if len(open) != x.open {
			t.Errorf("%+v: %d machines are open", x, len(open))
		}
		for _, name := range names[:x.open] {
			if !open[name] {
				t.Errorf("%+v: %s is not open", x, name)
			}
		}
	}
}

// Room for production tasks whose machines are lost, and which may still be running there,
// is kept from all other work in the zone, also when the slow start is over.
func TestReservationKeepsRoom(t *testing.T) {
	placed := func(waiting int) int {
		c := newSizedController(256, 4) // with room for four tasks
		r := zonehealth.Record{
			State:                 zonehealth.Recovering,
			SinceMS:               c.node.Now().Add(-time.Second).UnixMilli(),
			SlowStartShare:        1,
			MachinesBeforeFailure: 256,
		}
		r = r.WithObservation("n1", zonehealth.Observation{
			Lost:              waiting,
			WaitingProduction: []zonehealth.Demand{{Need: sched.Resources{CPUs: 5, GPUs: 1, MemGB: 40}, Tasks: waiting}},
		})
		c.setZoneRecord(r)
		for _, j := range c.testState().Cache.Jobs { // none is production
			j.Record.Spec.Priority = "standard"
		}
		return len(c.testState().Scheduler.Plan(c.node.Now()).Placements)
	}
	for _, x := range []struct{ waiting, places int }{{0, 4}, {3, 1}, {4, 0}, {9, 0}} {
		if got := placed(x.waiting); got != x.places {
			t.Errorf("with %d tasks waiting %d are placed, not %d", x.waiting, got, x.places)
		}
	}
}
