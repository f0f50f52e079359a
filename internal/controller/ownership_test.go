package controller

import (
	"context"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
)

// A shard taken by a transaction whose answer was lost once was nobody's: the
// key was ours and kept alive, but the shard was not among those we own.
func TestPartTakenWithoutAnswer(t *testing.T) {
	s := newSim()
	for i, n := range s.nodes { // the first transaction registers, the next takes the shard
		s.step(i)
		s.w.Store.Next[n.name] = simulator.LoseAfter
	}
	s.rounds(t, 40, "parts owned", func() bool {
		return s.owner("n0") != "" && s.owner("n1") != "" && s.owner("n2") != ""
	})
}

// A leader that restarts quickly must not forget that the leader before it may
// still be answering workers: the doubt stays in the shard's capacity record.
func TestDoubtOutlivesRestart(t *testing.T) {
	s := newSim()
	for range 20 {
		s.round()
	}
	s.w.Store.Refuse["n1"] = true // n1 lives on, cut from the state service
	s.rounds(t, 40, "part of n1 taken", func() bool { o := s.owner("n1"); return o != "" && o != "n1" })
	taker := int(s.owner("n1")[1] - '0')
	s.start(taker)
	s.rounds(t, 10, "taken again", func() bool { return s.owner("n1") == s.nodes[taker].name })
	c := s.nodes[taker].c
	if got := c.testState().Leadership.Known("n1").PredecessorAnswersUntil.Sub(c.node.Now()); got <= c.node.Settings.LeadershipGrace()/2 {
		t.Fatalf("bounds earlier answers by %v from now, n1 may go on for %v", got, c.node.Settings.LeadershipGrace())
	}
}

// A service survives the end of all controllers within the workers' lease, and
// an outage of the state service that is longer than the lease.
func TestReplicasOutliveControllersAndOutage(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
	s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 2 })
	for _, n := range s.nodes {
		n.up = false
	}
	for range 6 {
		s.round()
	}
	for i := range s.nodes {
		s.start(i)
	}
	check := func(rounds int) {
		for range rounds {
			s.round()
			if s.running(id) != 2 {
				t.Fatal("a replica was lost")
			}
		}
	}
	check(60)
	s.w.Store.Down = true
	check(26) // 13 s, the lease is 9 s
	s.w.Store.Down = false
	check(60)
}

// A shard that a peer took between the look and the take is left to it.
func TestPartIsNotTakenFromALivingOwner(t *testing.T) {
	s := warmSim()
	c := s.nodes[1].c
	before := c.testState().Leadership.Known("n1").Term
	old := c.testState().Cache.Leaders["n0"].Version
	s.nodes[0].up = false
	s.rounds(t, 40, "part of n0 taken", func() bool { o := s.owner("n0"); return o != "" })
	taker := s.owner("n0")
	other := s.nodes[1]
	if taker == "n1" {
		other = s.nodes[2]
	}
	s.round()
	other.c.election.AcquireShard(context.Background(), "n0", old) // it still looks at the old owner's key
	if s.owner("n0") != taker || other.c.testState().Leadership.Known("n0") != nil || c.testState().Leadership.Known("n1").Term != before {
		t.Fatal("the part changed hands")
	}
}

// Controllers that are back at once, in the middle of taking a shard and with
// transactions of their earlier lives still to arrive, leave every part with one
// owner and every replica running.
func TestBackAtOnceInElection(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 4 })
	s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 4 })
	s.nodes[1].up = false
	s.rounds(t, 40, "part of n1 without an owner", func() bool { return s.nodes[0].c.testState().Cache.Leaders["n1"].Record == nil })
	for _, n := range s.nodes {
		s.w.Store.Next[n.name] = simulator.Late // the take is on its way when its sender ends
	}
	for i := range s.nodes {
		s.step(i)
	}
	for i := range s.nodes {
		s.start(i)
	}
	for i := range s.nodes {
		s.step(i)
		s.w.Store.DeliverLate()
	}
	// Sooner than the holds of the earlier lives end: those are over.
	s.rounds(t, 5, "parts at home", func() bool {
		return s.owner("n0") == "n0" && s.owner("n1") == "n1" && s.owner("n2") == "n2"
	})
	for range 40 {
		s.round()
		if s.running(id) != 4 {
			t.Fatal("a replica was lost")
		}
	}
	if len(s.w.Violations) > 0 {
		t.Fatal(s.w.Violations)
	}
}

// A take that was beaten by a conflicting write by another's, which raised the term, is tried again at
// once, not with the next renewal of the lease: after the end of all controllers
// they come together, and the workers' leases run.
func TestOvertakenTakeIsTriedAgain(t *testing.T) {
	s := warmSim()
	s.start(1)
	c := s.nodes[1].c
	if err := c.sync.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	leaseID, err := c.services.Store.GrantLease(context.Background(), c.node.Settings.ControllerLeaseTTL())
	if err != nil {
		t.Fatal(err)
	}
	c.testState().Leadership.BeginLease(leaseID)
	for len(c.sync.LeaderlessShard) > 0 {
		<-c.sync.LeaderlessShard
	}
	old := c.testState().Cache.Leaders["n1"].Version
	s.nodes[0].c.election.AcquireShard(context.Background(), "n0", s.nodes[0].c.testState().Cache.Leaders["n0"].Version) // raises the term
	c.election.AcquireShard(context.Background(), "n1", old)
	if c.testState().Leadership.Known("n1") != nil || len(c.sync.LeaderlessShard) != 1 {
		t.Fatalf("taken %t, to be tried again %d", c.testState().Leadership.Known("n1") != nil, len(c.sync.LeaderlessShard))
	}
}

// A job whose tasks ran in several leaders' shards is done when its last task is:
// each owner once waited for ends that only the others could see, and committed
// its own no sooner than what can wait.
func TestDoneAcrossOwners(t *testing.T) {
	s := warmSim()
	stay := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Spread = api.Service, 2, true })
	s.rounds(t, 60, "a machine in each zone", func() bool { return s.running(stay) == 2 })
	id := s.job(func(r *api.Job, d *time.Duration) {
		r.Tasks, r.GPUs, r.CPUs, r.Spread, *d = 4, 0, 0.1, true, 10*time.Second
	})
	s.w.Jobs[id].Step = time.Second
	s.rounds(t, 120, "tasks done", func() bool { return len(s.w.Jobs[id].Done) == 4 })
	s.rounds(t, 6, "known to be done", s.done(id))
}

// A controller that loses its workers alone keeps its lease, and once kept its shard
// too, while the leases of all its workers ran out. It hands the shard to one that
// is heard, loses no replica, and has it back when it is heard again.
func TestControllerWithoutItsWorkers(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 8, "y" })
	near := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks, r.Zone = api.Service, 4, "x" })
	s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 8 && s.running(near) == 4 })
	home := "n1" // the only one in its zone
	n := s.nodes[1]
	n.direct.Cut = true
	for range 4 * int(s.w.Lease/(500*time.Millisecond)) {
		s.round()
		if s.running(id) != 8 || s.running(near) != 4 {
			t.Fatal("a replica was lost")
		}
	}
	if o := s.owner(home); o == home || o == "" {
		t.Fatalf("owned by %q", o)
	}
	more := s.job(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 4, time.Second })
	s.submit(int(home[1]-'0'), more)
	s.rounds(t, 100, "other work done", s.done(more))
	n.direct.Cut = false
	s.rounds(t, 40, "part back at home", func() bool { return s.owner(home) == home })
	// When nobody hears a worker, it may as well be the workers: shards stay owned.
	for _, n := range s.nodes {
		n.direct.Cut = true
	}
	for range 4 * int(s.w.Lease/(500*time.Millisecond)) {
		s.round()
	}
	for _, n := range s.nodes {
		if s.owner(n.name) == "" {
			t.Fatalf("part of %s has no owner", n.name)
		}
	}
	if len(s.w.Violations) > 0 {
		t.Fatal(s.w.Violations)
	}
}

// A controller that loses the state service, but not its workers, lets them go
// in time, and its shard is served by another without a task running twice.
func TestControllerWithWorkersButNoStore(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 4 })
	s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 4 })
	home := s.nodes[0].c.testState().Cache.Machines[s.w.Cloud.Names()[0]].Shard
	s.w.Store.Unreachable[home] = true
	cfg := s.nodes[0].c.node.Settings
	s.rounds(
		t,
		int((cfg.ControllerLeaseTTL()+cfg.LeadershipGrace()+cfg.WorkerLeaseBound())/(500*time.Millisecond))+20,
		"part served by another",
		func() bool {
			o := s.owner(home)
			if o == "" || o == home {
				return false
			}
			for h, m := range s.nodes[int(o[1]-'0')].c.testState().Cache.Machines {
				if x := s.w.Cloud.Hosts[h]; m.Shard == home && (x == nil || s.nodes[x.Node].name != o) {
					return false
				}
			}
			return true
		},
	)
	cut := int(home[1] - '0')
	for range int((cfg.ControllerLeaseTTL() + cfg.LeadershipGrace()) / (500 * time.Millisecond)) {
		s.round()
	}
	for _, x := range s.w.Cloud.Hosts { // a worker that the new leader's fence has not reached must not be held
		r := x.Heartbeat()
		r.Token = shard.FencingToken(s.nodes[cut].c.testState().Leadership.Known(home).Term, 0)
		if status, _, _ := s.deliver(cut, api.JSON(r)); status == 200 {
			t.Error("it answers reports beyond its grace")
		}
	}
	low := s.job(func(r *api.Job, _ *time.Duration) { r.Tasks = 6 })
	s.submit(1, low)
	s.rounds(t, 120, "replicas and new work run", func() bool { return s.done(low)() && s.running(id) == 4 })
	s.w.Store.Unreachable[home] = false
	s.rounds(t, 60, "part back at home", func() bool { return s.owner(home) == home })
}

// The rates of the state service are shared by the controllers that live: one that
// was left alone once had its fifth of them for the work of all.
func TestSurvivorHasAllOfTheRates(t *testing.T) {
	s := newSim()
	c := s.nodes[0].c
	s.step(0)
	s.step(0)
	if c.testState().Leadership.RateSharers() != 3 {
		t.Fatalf("%d share before the others have registered", c.testState().Leadership.RateSharers())
	}
	s.rounds(t, 4, "all three share", func() bool { return c.testState().Leadership.RateSharers() == 3 })
	s.nodes[1].up, s.nodes[2].up = false, false
	s.rounds(t, 20, "alone", func() bool {
		return c.testState().Leadership.RateSharers() == 1 && c.sync.WritesPerSecond() == int(c.node.Settings.LowestLimits().WriteRPS)
	})
	s.start(2)
	s.rounds(t, 20, "two share", func() bool { return c.testState().Leadership.RateSharers() == 2 })
}
