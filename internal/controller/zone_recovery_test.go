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

// Half of a zone returns, without the readers' machines, before these are surely gone: the
// readers run again before any array has taken what they need there, and the arrays follow
// step by step. Without the feature arrays take all of it first, and are stopped again.
func TestReadersFirstWhenHalfReturns(t *testing.T) {
	for _, on := range []bool{true, false} {
		t.Run(fmt.Sprintf("feature %t", on), func(t *testing.T) {
			started := func(*testNode) {}
			if on {
				started = enableZoneRecovery
			}
			z := newZoneScenario(t, started)
			_, others := z.machines()
			beside := 2*len(others) - readerTasks
			returned := z.returnHalf(on)
			z.runUntil(t, 200, "readers run again", func() bool { return z.runningReaders() == readerTasks })
			after := z.environment.Now.Sub(returned)
			before := z.arrayStartsBeforeReaders(returned)
			t.Logf("feature %t: readers run after %v, %d tasks of arrays started before", on, after, before)
			if on && before > beside {
				t.Errorf("%d tasks of arrays started before the readers ran again, with room for %d beside them", before, beside)
			}
			if !on && before <= beside {
				t.Error("without the feature no array is ahead: the test shows nothing")
			}
			z.runUntil(t, 400, "arrays are back", func() bool { return z.runningArrays() >= 2*arrayTasks-readerTasks })
		})
	}
}

// The zone flaps twice within minutes, the second time in the middle of the first recovery.
// Each failure raises the number, the second halves the slow start, and the readers are
// ahead both times.
func TestZoneFlaps(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	withReaders, others := z.loseZone()
	first := z.zoneRecord(1)
	setPartitioned(others, false)
	z.runUntilZone(zonehealth.Recovering, 1, 40)
	z.runChecked(3)
	setPartitioned(others, true)
	z.runUntilZone(zonehealth.Down, 1, 60)
	second := z.zoneRecord(1)
	if second.Transitions <= first.Transitions || second.SlowStartShare != first.SlowStartShare/2 {
		t.Errorf(
			"number %d after %d, start %g after %g",
			second.Transitions,
			first.Transitions,
			second.SlowStartShare,
			first.SlowStartShare,
		)
	}
	for _, x := range withReaders {
		z.environment.Cloud.Terminate(x.Host)
	}
	returned := z.environment.Now
	setPartitioned(others, false)
	z.runUntil(t, 200, "readers run again", func() bool { return z.runningReaders() == readerTasks })
	if n := z.arrayStartsBeforeReaders(returned); n > 2*len(others)-readerTasks {
		t.Errorf("%d tasks of arrays started before the readers", n)
	}
	z.runUntilRecovered(2*arrayTasks - readerTasks)
}

// Room is kept for a production task until its end is committed and it waits in the queue:
// also in the seconds in which a new leader has heard of nothing yet, and in those between
// its machine's return to the cloud and the commit. Arrays took it in both.
func TestRoomIsKeptUntilEndsAreCommitted(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	withReaders, _ := z.loseZone()
	leader := slices.IndexFunc(z.nodes, func(n *testNode) bool { return n.state().Leadership.Leads("n0") })
	c := z.nodes[leader].controller
	waiting := func() (tasks int) {
		observations := c.testState().Zones.Observe(c.node.Now()).Observations
		for _, d := range observations["x"]["n0"].WaitingProduction {
			tasks += d.Tasks
		}
		return tasks
	}
	if n := waiting(); n != readerTasks {
		t.Fatalf("lost: room for %d tasks", n)
	}
	for _, x := range withReaders {
		c.testState().Agents.Agent(x.Host).Terminated = true
	}
	if n := waiting(); n != readerTasks {
		t.Errorf("gone: room for %d tasks", n)
	}
	for _, x := range withReaders {
		c.testState().Agents.Drop(x.Host)
		leadership := c.testState().Leadership.Lookup(c.testState().Cache.Machines[x.Host].Shard)
		c.testState().Agents.Ensure(x.Host, leadership).LastAnswered = c.node.Now()
	}
	if n := waiting(); n != readerTasks {
		t.Errorf("not heard of yet: room for %d tasks", n)
	}
}

// A reservation ends when what the readers lack can't be had: so little returns that they
// don't all fit, and some arrays that fit nowhere else still go on after a while.
func TestReservationEnds(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	withReaders, others := z.loseZone()
	for _, x := range slices.Concat(withReaders, others[2:]) {
		z.environment.Cloud.Terminate(x.Host)
	}
	small := z.submitJob(func(r *api.Job, d *time.Duration) {
		r.Priority, r.Tasks, r.Zone, r.GPUs, *d = "idle", 4, "x", 0, 5*time.Second
	})
	setPartitioned(others[:2], false)
	z.runUntil(t, 300, "small work is done beside the readers", z.isDone(small))
	z.runUntilZone(zonehealth.Healthy, 1, 300)
	z.runUntil(t, 100, "two machines are full of replicas", func() bool { return z.runningReaders() == 4 })
}

// The state service is down as the zone returns: nothing is placed meanwhile, and
// afterwards the readers are ahead.
func TestZoneReturnsInOutage(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	withReaders, others := z.loseZone()
	z.environment.Store.Down = true
	for _, x := range withReaders {
		z.environment.Cloud.Terminate(x.Host)
	}
	setPartitioned(others, false)
	z.runChecked(20)
	z.environment.Store.Down = false
	back := z.environment.Now
	z.runUntil(t, 300, "readers run again", func() bool { return z.runningReaders() == readerTasks })
	if n := z.arrayStartsBeforeReaders(back); n > 2*len(others)-readerTasks {
		t.Errorf("%d tasks of arrays started before the readers", n)
	}
	z.runUntilRecovered(2*arrayTasks - readerTasks)
}

// The split is one-way: heartbeats arrive, responses and commands don't. The zone's machines run
// nothing, so it counts as lost.
func TestZoneOneWaySplit(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	withReaders, others := z.machines()
	all := slices.Concat(withReaders, others)
	for _, x := range all {
		x.InboundLost = true
	}
	z.runUntilZone(zonehealth.Down, 1, 120)
	for _, x := range all {
		x.InboundLost = false
	}
	z.runUntilRecovered(2 * arrayTasks)
}

// Two zones drop at once: the third observes both, and both recover.
func TestTwoZonesAtOnce(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	var lost []*simulator.Worker
	for _, x := range z.environment.Cloud.Workers() {
		if x.Zone != "z" {
			lost = append(lost, x)
		}
	}
	setPartitioned(lost, true)
	z.runUntilZone(zonehealth.Down, 2, 60)
	z.runUntil(t, 60, "zone y is down", func() bool {
		v := z.nodes[2].state().Cache.Zones["y"].Record
		return v != nil && v.State == zonehealth.Down
	})
	setPartitioned(lost, false)
	z.runUntilRecovered(2 * arrayTasks)
}

// Gangs bound to the zone, a team at its limit and cancellations during the outage: gangs
// begin again as a whole behind the readers, nothing passes a limit, and what was cancelled
// does not come back.
func TestZoneRecoveryWithGangsAndCancellations(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	gang := z.submitJob(func(r *api.Job, d *time.Duration) {
		r.Kind, r.Tasks, r.Zone, r.SingleZone, r.GPUs, *d = api.Gang, 4, "x", true, 0, 400*time.Second
	})
	z.runUntil(t, 120, "gang runs", func() bool { return z.runningTasks(gang) == 4 })
	_, others := z.loseZone()
	cancelled := z.arrays[0]
	z.cancel(1, cancelled)
	z.runChecked(10)
	withReaders, _ := z.machines()
	setPartitioned(slices.Concat(withReaders, others), false)
	z.runUntil(t, 300, "readers run again", func() bool { return z.runningReaders() == readerTasks })
	z.runUntil(t, 400, "gang runs again", func() bool { return z.runningTasks(gang) == 4 })
	if z.runningTasks(cancelled) > 0 {
		t.Error("a cancelled array runs again")
	}
	z.runUntilRecovered(arrayTasks)
}

// Services spread over zones get their replicas back that may only be in this zone, and
// those that found room elsewhere stay there.
func TestSpreadServices(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	z.environment.Cloud.NoCapacity = false
	spread := z.submitJob(func(r *api.Job, _ *time.Duration) {
		r.Kind, r.Priority, r.Tasks, r.Spread, r.Image = api.Service, "production", 6, true, "spread"
	})
	z.runUntil(t, 200, "spread replicas run", func() bool { return z.runningTasks(spread) == 6 })
	z.environment.Cloud.NoCapacity = true
	withReaders, others := z.loseZone()
	z.runChecked(40)
	stays := z.runningTasksByHost(spread)
	setPartitioned(slices.Concat(withReaders, others), false)
	z.runUntil(t, 300, "all replicas run", func() bool { return z.runningTasks(spread) == 6 && z.runningReaders() == readerTasks })
	z.runChecked(40)
	for host, n := range stays {
		if x := z.environment.Cloud.WorkersByHost[host]; x != nil && x.Zone != "x" && z.runningTasksByHost(spread)[host] < n {
			t.Errorf("a replica on %s in %s was moved", host, x.Zone)
		}
	}
}

// The record of a zone is written seldom: a recovery takes few changes.
func TestZoneRecordIsWrittenSeldom(t *testing.T) {
	z := newZoneScenario(t, enableZoneRecovery)
	writes := 0
	last := uint64(0)
	watch := func() {
		if v := z.nodes[1].state().Cache.Zones["x"]; v.Version != last {
			last = v.Version
			writes++
		}
	}
	began := z.environment.Now
	withReaders, others := z.machines()
	setPartitioned(slices.Concat(withReaders, others), true)
	for range 40 {
		z.runRound()
		watch()
	}
	setPartitioned(slices.Concat(withReaders, others), false)
	for range 200 {
		z.runRound()
		watch()
	}
	took := z.environment.Now.Sub(began)
	if most := int(took / z.nodes[0].controller.node.Settings.HeartbeatInterval() / 4); writes > most || writes < 3 {
		t.Errorf("%d writes in %v, at most %d", writes, took, most)
	}
	if v := z.nodes[1].state().Cache.Zones["x"].Record; v.State != zonehealth.Healthy || len(v.Observations) > 0 {
		t.Errorf("the record is left as %+v", *v)
	}
}
