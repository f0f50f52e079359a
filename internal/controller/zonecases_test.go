package controller

import (
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/features"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// play plays so many rounds and fails on a broken rule.
func (z *zoneWorld) play(rounds int) {
	z.t.Helper()
	for range rounds {
		z.round()
		if len(z.w.Violations) > 0 {
			z.t.Fatal(z.w.Violations)
		}
	}
}

// drop cuts all machines of zone x off until the zone is down.
func (z *zoneWorld) drop() (withReaders, others []*simulator.Worker) {
	z.t.Helper()
	withReaders, others = z.in()
	cutAll(withReaders, true)
	cutAll(others, true)
	z.until(zonehealth.Down, 1, 60)
	return withReaders, others
}

// recovers waits until readers and arrays run again and the zone is healthy.
func (z *zoneWorld) recovers(arrays int) {
	z.t.Helper()
	z.rounds(z.t, 300, "readers run again", func() bool { return z.readersUp() == readerTasks })
	z.rounds(z.t, 600, "arrays are back", func() bool { return z.arraysUp() >= arrays })
	z.until(zonehealth.Healthy, 1, 200)
}

// The zone flaps twice within minutes, the second time in the middle of the first recovery.
// Each failure raises the number, the second halves the slow start, and the readers are
// ahead both times.
func TestZoneFlaps(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	withReaders, others := z.drop()
	first := z.state(1)
	cutAll(others, false)
	z.until(zonehealth.Recovering, 1, 40)
	z.play(3)
	cutAll(others, true)
	z.until(zonehealth.Down, 1, 60)
	second := z.state(1)
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
		z.w.Cloud.Kill(x.Host)
	}
	returned := z.w.Now
	cutAll(others, false)
	z.rounds(t, 200, "readers run again", func() bool { return z.readersUp() == readerTasks })
	if n := z.arraysBefore(returned); n > 2*len(others)-readerTasks {
		t.Errorf("%d tasks of arrays started before the readers", n)
	}
	z.recovers(2*arrayTasks - readerTasks)
}

// Room is kept for a production task until its end is committed and it waits in the queue:
// also in the seconds in which a new leader has heard of nothing yet, and in those between
// its machine's return to the cloud and the commit. Arrays took it in both.
func TestRoomIsKeptUntilEndsAreCommitted(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	withReaders, _ := z.drop()
	owner := slices.IndexFunc(z.nodes, func(n *simNode) bool { return n.c.testState().Leadership.Leads("n0") })
	c := z.nodes[owner].c
	waiting := func() (tasks int) {
		observations, _ := c.testState().Zones.ObserveZones(c.node.Now())
		for _, d := range observations["x"]["n0"].Waiting {
			tasks += d.Tasks
		}
		return tasks
	}
	if n := waiting(); n != readerTasks {
		t.Fatalf("lost: room for %d tasks", n)
	}
	for _, x := range withReaders {
		c.testState().Agents.ByHost[x.Host].Terminated = true
	}
	if n := waiting(); n != readerTasks {
		t.Errorf("gone: room for %d tasks", n)
	}
	for _, x := range withReaders {
		c.testState().Agents.ByHost[x.Host] = shard.NewAgent(c.testState().Agents.ByHost[x.Host].Term, c.node.Now(), c.node.Now())
	}
	if n := waiting(); n != readerTasks {
		t.Errorf("not heard of yet: room for %d tasks", n)
	}
}

// A reservation ends when what the readers lack can't be had: so little returns that they
// don't all fit, and some arrays that fit nowhere else still go on after a while.
func TestReservationEnds(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	withReaders, others := z.drop()
	for _, x := range slices.Concat(withReaders, others[2:]) {
		z.w.Cloud.Kill(x.Host)
	}
	small := z.job(func(r *api.Job, d *time.Duration) {
		r.Priority, r.Tasks, r.Zone, r.GPUs, *d = "idle", 4, "x", 0, 5*time.Second
	})
	cutAll(others[:2], false)
	z.rounds(t, 300, "small work is done beside the readers", z.done(small))
	z.until(zonehealth.Healthy, 1, 300)
	z.rounds(t, 100, "two machines are full of replicas", func() bool { return z.readersUp() == 4 })
}

// The zone's own controller goes with it, and comes back last, or first and alone while the
// machines stay away.
func TestZonesOwnController(t *testing.T) {
	for _, first := range []bool{true, false} {
		z := newZoneWorld(t, switchOn)
		z.nodes[0].up = false
		withReaders, others := z.drop()
		if first {
			z.start(0)
			z.play(30)
			if s := z.state(1).State; s == zonehealth.Healthy {
				t.Error("the zone is healthy as soon as its controller is back")
			}
		}
		returned := z.w.Now
		for _, x := range withReaders {
			z.w.Cloud.Kill(x.Host)
		}
		cutAll(others, false)
		z.rounds(t, 300, "readers run again", func() bool { return z.readersUp() == readerTasks })
		// What is beyond the readers' room goes to arrays by the slow start.
		if n, beyond := z.arraysBefore(returned), 2*len(others)-readerTasks; n > beyond {
			t.Errorf("back first %t: %d tasks of arrays started before the readers, with room for %d", first, n, beyond)
		}
		if !first {
			z.start(0)
		}
		z.recovers(2*arrayTasks - readerTasks)
	}
}

// Whoever wrote the zone's states ends, or stands still and wakes late: what it then would
// write rests on an old record and on a shard that it no longer owns, and is refused.
func TestZoneWriterWakesLate(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	_, others := z.drop()
	writer := slices.IndexFunc(z.nodes, func(n *simNode) bool { return n.c.testState().Leadership.Leads("n0") })
	late := z.nodes[writer].c
	old := z.state(writer)
	z.nodes[writer].still = true
	cutAll(others, false)
	reader := (writer + 1) % 3
	z.rounds(t, 100, "another goes on", func() bool { return z.state(reader).Transitions > old.Transitions })
	now := z.state(reader)

	// It wakes: its replica is old, its lease long over by now. Even if it could act, the
	// record has moved on.
	stale := statecache.NewTransaction()
	stale.Require(statecache.ZoneKey("x"), late.testState().Cache.Zones["x"].Version)
	stale.Require(statecache.LeaderKey("n0"), late.testState().Leadership.Known("n0").Version)
	stale.Put(statecache.ZoneKey("x"), zonehealth.Record{State: zonehealth.Down, Transitions: old.Transitions})
	done, failed, _ := late.sync.Commit(t.Context(), "zones", stale, 0)
	if done || !slices.Contains(failed, statecache.ZoneKey("x")) || !slices.Contains(failed, statecache.LeaderKey("n0")) {
		t.Errorf("a late write is taken: %t, failed %v", done, failed)
	}
	z.nodes[writer].still = false
	z.play(10)
	if got := z.state(reader); got.Transitions < now.Transitions {
		t.Errorf("the number fell from %d to %d", now.Transitions, got.Transitions)
	}
	z.recovers(2*arrayTasks - readerTasks)
}

// The state service is down as the zone returns: nothing is placed meanwhile, and
// afterwards the readers are ahead.
func TestZoneReturnsInOutage(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	withReaders, others := z.drop()
	z.w.Store.Down = true
	for _, x := range withReaders {
		z.w.Cloud.Kill(x.Host)
	}
	cutAll(others, false)
	z.play(20)
	z.w.Store.Down = false
	back := z.w.Now
	z.rounds(t, 300, "readers run again", func() bool { return z.readersUp() == readerTasks })
	if n := z.arraysBefore(back); n > 2*len(others)-readerTasks {
		t.Errorf("%d tasks of arrays started before the readers", n)
	}
	z.recovers(2*arrayTasks - readerTasks)
}

// The split is one-way: reports arrive, answers and commands don't. The zone's machines run
// nothing, so it counts as lost.
func TestZoneOneWaySplit(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	withReaders, others := z.in()
	all := slices.Concat(withReaders, others)
	for _, x := range all {
		x.InboundLost = true
	}
	z.until(zonehealth.Down, 1, 120)
	for _, x := range all {
		x.InboundLost = false
	}
	z.recovers(2 * arrayTasks)
}

// Two zones drop at once: the third is witness for both, and both recover.
func TestTwoZonesAtOnce(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	var lost []*simulator.Worker
	for _, x := range z.w.Cloud.Workers() {
		if x.Zone != "z" {
			lost = append(lost, x)
		}
	}
	cutAll(lost, true)
	z.until(zonehealth.Down, 2, 60)
	z.rounds(t, 60, "zone y is down", func() bool {
		v := z.nodes[2].c.testState().Cache.Zones["y"].Record
		return v != nil && v.State == zonehealth.Down
	})
	cutAll(lost, false)
	z.recovers(2 * arrayTasks)
}

// With one zone only nobody can tell a lost zone from being cut off: it is never down, and
// nothing is held back.
func TestOneZoneOnly(t *testing.T) {
	s := newSim()
	s.w.Zones = []string{"x"}
	s.sim1(switchOn)
	id := s.job(func(r *api.Job, d *time.Duration) { r.Priority, r.Tasks, *d = "idle", 8, time.Hour })
	s.rounds(t, 100, "array runs", func() bool { return s.running(id) == 8 })
	for _, x := range s.w.Cloud.Workers() {
		x.Partitioned = true
	}
	for range 60 {
		s.round()
		for _, n := range s.nodes {
			if v := n.c.testState().Cache.Zones["x"].Record; v != nil && v.Restricts() {
				t.Fatalf("the only zone is %s", v.State)
			}
		}
	}
	for _, x := range s.w.Cloud.Workers() {
		x.Partitioned = false
	}
	s.rounds(t, 200, "array runs again", func() bool { return s.running(id) == 8 })
}

// sim1 starts all controllers of a world anew.
func (s *sim) sim1(started func(*simNode)) {
	s.started = started
	for i := range s.nodes {
		s.start(i)
	}
	for range 10 {
		s.round()
	}
}

// A controller that lacks the feature turns it off for all, and back on when it has it.
func TestMixedFleet(t *testing.T) {
	with := map[string]bool{"n0": true, "n1": true}
	z := newZoneWorld(t, func(n *simNode) { n.c.node.Features.ZoneRecovery.Enabled = with[n.name] })
	_, others := z.in()
	cutAll(others, true)
	z.play(60)
	for i, n := range z.nodes {
		if n.c.testState().Schema.FeatureEnabled(features.ZoneRecoveryName) || len(n.c.testState().Cache.Zones) > 0 {
			t.Fatalf("controller %d acts on a feature that another lacks", i)
		}
	}
	cutAll(others, false)
	z.play(60)
	with["n2"] = true
	z.start(2)
	z.rounds(t, 40, "all have it", func() bool {
		return !slices.ContainsFunc(z.nodes, func(n *simNode) bool { return !n.c.testState().Schema.FeatureEnabled(features.ZoneRecoveryName) })
	})
	z.drop()
	with["n0"] = false
	z.start(0)
	z.rounds(t, 40, "it is off again", func() bool { return !z.nodes[1].c.testState().Schema.FeatureEnabled(features.ZoneRecoveryName) })
	if z.nodes[1].c.testState().Zones.Admission(z.w.Now) != nil {
		t.Error("work is held back though the feature is off")
	}
}

// A controller that has ended before it had the feature keeps it off: its mark lacks it.
func TestDeadControllerWithoutFeature(t *testing.T) {
	with := map[string]bool{"n0": true, "n1": true}
	z := newZoneWorld(t, func(n *simNode) { n.c.node.Features.ZoneRecovery.Enabled = with[n.name] })
	z.nodes[2].up = false
	z.play(60)
	if z.nodes[1].c.testState().Cache.Nodes["n2"].Record != nil || z.nodes[1].c.testState().Schema.FeatureEnabled(features.ZoneRecoveryName) {
		t.Error("a feature is on that a controller which may come back lacks")
	}
}

// Gangs bound to the zone, a team at its limit and cancellations during the outage: gangs
// begin again as a whole behind the readers, nothing passes a limit, and what was cancelled
// does not come back.
func TestZoneRecoveryMeetsOthers(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	gang := z.job(func(r *api.Job, d *time.Duration) {
		r.Kind, r.Tasks, r.Zone, r.Together, r.GPUs, *d = api.Gang, 4, "x", true, 0, 400*time.Second
	})
	z.rounds(t, 120, "gang runs", func() bool { return z.running(gang) == 4 })
	_, others := z.drop()
	cancelled := z.arrays[0]
	z.cancel(1, cancelled)
	z.play(10)
	withReaders, _ := z.in()
	cutAll(slices.Concat(withReaders, others), false)
	z.rounds(t, 300, "readers run again", func() bool { return z.readersUp() == readerTasks })
	z.rounds(t, 400, "gang runs again", func() bool { return z.running(gang) == 4 })
	if z.running(cancelled) > 0 {
		t.Error("a cancelled array runs again")
	}
	z.recovers(arrayTasks)
}

// Services spread over zones get their replicas back that may only be in this zone, and
// those that found room elsewhere stay there.
func TestScatteredServices(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	z.w.Cloud.Full = false
	spread := z.job(func(r *api.Job, _ *time.Duration) {
		r.Kind, r.Priority, r.Tasks, r.Spread, r.Image = api.Service, "production", 6, true, "spread"
	})
	z.rounds(t, 200, "scattered replicas run", func() bool { return z.running(spread) == 6 })
	z.w.Cloud.Full = true
	withReaders, others := z.drop()
	z.play(40)
	stays := z.hostsOf(spread)
	cutAll(slices.Concat(withReaders, others), false)
	z.rounds(t, 300, "all replicas run", func() bool { return z.running(spread) == 6 && z.readersUp() == readerTasks })
	z.play(40)
	for host, n := range stays {
		if x := z.w.Cloud.Hosts[host]; x != nil && x.Zone != "x" && z.hostsOf(spread)[host] < n {
			t.Errorf("a replica on %s in %s was moved", host, x.Zone)
		}
	}
}

// The record of a zone is written seldom: a recovery takes few changes.
func TestZoneRecordIsWrittenSeldom(t *testing.T) {
	z := newZoneWorld(t, switchOn)
	writes := 0
	last := uint64(0)
	watch := func() {
		if v := z.nodes[1].c.testState().Cache.Zones["x"]; v.Version != last {
			last = v.Version
			writes++
		}
	}
	began := z.w.Now
	withReaders, others := z.in()
	cutAll(slices.Concat(withReaders, others), true)
	for range 40 {
		z.round()
		watch()
	}
	cutAll(slices.Concat(withReaders, others), false)
	for range 200 {
		z.round()
		watch()
	}
	took := z.w.Now.Sub(began)
	if most := int(took / z.nodes[0].c.node.Settings.HeartbeatInterval() / 4); writes > most || writes < 3 {
		t.Errorf("%d writes in %v, at most %d", writes, took, most)
	}
	if v := z.nodes[1].c.testState().Cache.Zones["x"].Record; v.State != zonehealth.Healthy || len(v.Observations) > 0 {
		t.Errorf("the record is left as %+v", *v)
	}
}
