package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
)

// A machine that was fenced before its first report was answered once counted
// as silent since long before it was rented, and went back at once.
func TestNewMachineIsKept(t *testing.T) {
	s := newSim()
	for range 60 { // terms grow old
		s.round()
	}
	id := s.job(nil)
	s.rounds(t, 20, "machine rented", func() bool { return len(s.w.Cloud.Hosts) > 0 })
	first := s.w.Cloud.Names()[0]
	for range 30 { // the controllers hear of it only by their own fences
		for i := range s.nodes {
			s.step(i)
		}
		s.w.Advance(500 * time.Millisecond)
		if s.w.Cloud.Hosts[first] == nil {
			t.Fatal("the machine went back")
		}
	}
	s.rounds(t, 60, "array done", s.done(id))
}

// A machine that was returned is not recorded again when a heartbeat that a cut
// held back arrives, or because the list still shows it.
func TestReturnedMachineStaysGone(t *testing.T) {
	s := warmSim()
	id := s.job(nil)
	s.rounds(t, 60, "array done", s.done(id))
	host := s.w.Cloud.Names()[0]
	late := api.JSON(s.w.Cloud.Hosts[host].Heartbeat())
	s.rounds(
		t, 60, "machine returned and forgotten",
		func() bool {
			return s.w.Cloud.Hosts[host] == nil && s.nodes[0].c.testState().Cache.Machines[host] == nil
		},
	)
	for range 20 {
		for i := range s.nodes {
			s.deliver(i, late)
		}
		s.round()
		for _, n := range s.nodes {
			if n.c.testState().Cache.Machines[host] != nil {
				t.Fatal("recorded again")
			}
		}
	}
}

// A shard that changes leaders and comes back must not carry the first owner's
// patience with a machine that was still booting then: it came up meanwhile.
func TestMachineOutlivesChangesOfOwner(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.rounds(t, 20, "machine known", func() bool { return len(s.nodes[0].c.testState().Cache.Machines) > 0 })
	home := 0
	for _, m := range s.nodes[0].c.testState().Cache.Machines {
		home = int(m.Shard[1] - '0')
	}
	s.w.Store.Refuse[s.nodes[home].name] = true // before the machine is up
	s.rounds(t, 60, "replica runs", func() bool { return s.running(id) == 1 })
	for range 100 {
		s.round()
	}
	s.w.Store.Refuse[s.nodes[home].name] = false
	for range 60 {
		s.round()
		if s.running(id) != 1 {
			t.Fatal("the replica was stopped")
		}
	}
}

// A machine that was lost under an earlier leader is given up by the next one
// soon, not after the time of a whole boot once more.
func TestLostMachineIsGivenUpByTheNextOwner(t *testing.T) {
	s := warmSim()
	s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.rounds(t, 60, "machine up", func() bool { return len(s.w.Cloud.Hosts) > 0 && s.running("run-000000") == 1 })
	host := s.w.Cloud.Names()[0]
	for range 90 { // long enough for any boot
		s.round()
	}
	home := int(s.nodes[0].c.testState().Cache.Machines[host].Shard[1] - '0')
	s.w.Cloud.Hosts[host].Partitioned = true
	s.w.Store.Refuse[s.nodes[home].name] = true
	cfg := s.nodes[0].c.node.Settings
	bound := cfg.LeadershipGrace() + cfg.WorkerLeaseBound() + 2*cfg.ControllerLeaseTTL() + 2*time.Second // its task is surely dead then
	s.rounds(t, int(bound/(500*time.Millisecond)), "machine returned", func() bool { return s.w.Cloud.Hosts[host] == nil })
}

// Rented machines are recorded in groups, not by a change each, and forgotten
// likewise.
func TestMachinesAreRecordedInGroups(t *testing.T) {
	s := warmSim()
	c := s.nodes[0].c
	for i := range 60 {
		c.testState().Agents.Unregistered[fmt.Sprintf("i-9%05d", i)] = shard.Machine{MachineType: "m", Zone: "x"}
	}
	before := s.w.Store.Writes
	for len(c.testState().Agents.Unregistered) > 0 && s.w.Store.Writes < before+60 {
		c.decisions.RegisterMachines(context.Background())
	}
	if n := s.w.Store.Writes - before; n > 6 || len(c.testState().Cache.Machines) < 60 {
		t.Fatalf("%d changes for %d machines", n, len(c.testState().Cache.Machines))
	}
}

// A machine whose reports arrive while answers and commands don't reach it lets
// its lease run out again and again. It was answered, so it once counted as
// alive for ever: its tasks waited there and were launched with each answer. Now
// its sessions show that it doesn't hear, its tasks go elsewhere, and it takes no
// more until it obeys; also when its shard has changed hands meanwhile.
func TestOneWayMachine(t *testing.T) {
	for _, handover := range []bool{false, true} {
		s := warmSim()
		id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
		s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 2 })
		var deaf *simulator.Worker
		for h := range s.hostsOf(id) {
			deaf = s.w.Cloud.Hosts[h]
		}
		deaf.InboundLost = true
		if handover {
			s.start(int(s.nodes[0].c.testState().Cache.Machines[deaf.Host].Shard[1] - '0'))
		}
		elsewhere := func() bool {
			on := s.hostsOf(id)
			return on[deaf.Host] == 0 && s.running(id) == 2
		}
		lease := int(s.w.Lease / (500 * time.Millisecond))
		s.rounds(t, 4*lease, "replicas run elsewhere", elsewhere)
		if s.w.Cloud.Hosts[deaf.Host] == nil {
			continue // it was returned as idle, which is as good
		}
		more := s.job(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 4, time.Second })
		s.rounds(t, 100, "other work done", s.done(more))
		if !elsewhere() {
			t.Fatal("a replica is back")
		}
	}
}

// Copies of reports that come late change no belief: not that a machine lives
// that was lost, and not, for a controller that has just started and remembers
// nothing, that one exists which is long gone.
func TestLateCopies(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
	s.rounds(t, 60, "replicas run", func() bool { return s.running(id) == 2 })
	var host string
	for h := range s.hostsOf(id) {
		host = h
	}
	var copies [][]byte
	for range 8 {
		copies = append(copies, api.JSON(s.w.Cloud.Hosts[host].Heartbeat()))
		s.deliver(int(s.nodes[0].c.testState().Cache.Machines[host].Shard[1]-'0'), copies[len(copies)-1])
	}
	s.w.Cloud.Kill(host)
	again := func() {
		for _, b := range copies {
			for i := range s.nodes {
				s.deliver(i, b)
			}
		}
		s.round()
	}
	bound := int((s.w.Lease + 4*time.Second) / (500 * time.Millisecond))
	for k := 0; k < bound+40 && s.running(id) < 2; k++ {
		again()
	}
	if s.running(id) < 2 {
		t.Fatalf("%d of 2 replicas run while copies of the lost machine's reports come in", s.running(id))
	}
	s.rounds(t, 60, "machine forgotten", func() bool { return s.nodes[0].c.testState().Cache.Machines[host] == nil })
	for i := range s.nodes {
		s.start(i)
	}
	for range 40 {
		again()
		for _, n := range s.nodes {
			if n.c.testState().Cache.Machines[host] != nil {
				t.Fatal("a machine that is long gone is recorded again")
			}
		}
	}
	if len(s.w.Violations) > 0 {
		t.Fatal(s.w.Violations)
	}
}

// A worker learns whom to report to, and a node that may not answer never holds
// it with a 200.
func TestOtherNodesSendWorkersOn(t *testing.T) {
	s := warmSim()
	s.job(nil)
	s.rounds(t, 40, "machine known", func() bool { return len(s.nodes[0].c.testState().Cache.Machines) > 0 && len(s.w.Cloud.Hosts) > 0 })
	for h, m := range s.nodes[0].c.testState().Cache.Machines {
		x := s.w.Cloud.Hosts[h]
		for i, n := range s.nodes {
			status, _, leader := s.deliver(i, api.JSON(x.Heartbeat()))
			switch own := n.name == m.Shard; {
			case own && status != 200, !own && (status != 421 || leader != m.Shard):
				t.Errorf("%s of part %s at %s: %d %q", h, m.Shard, n.name, status, leader)
			}
		}
	}
	for range 100 { // a node refused by the state service alone
		s.w.Store.Refuse["n0"] = true
		s.round()
	}
	for h := range s.nodes[1].c.testState().Cache.Machines {
		if x := s.w.Cloud.Hosts[h]; x != nil {
			if status, _, _ := s.deliver(0, api.JSON(x.Heartbeat())); status == 200 {
				t.Error("answers 200 long after its hold has ended")
			}
		}
	}
}

// A worker takes raises of its token for news only now and then. Stops were once
// announced by them, and a start on the same machine soon after waited for the
// worker's next heartbeat: stops go directly, and the raise is kept for the start.
func TestRaisesAreKeptForStarts(t *testing.T) {
	s := warmSim()
	id := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.rounds(t, 60, "replica runs", func() bool { return s.running(id) == 1 })
	host := ""
	for h := range s.hostsOf(id) {
		host = h
	}
	home := int(s.nodes[0].c.testState().Cache.Machines[host].Shard[1] - '0')
	c := s.nodes[home].c
	for range 2 * int(s.w.Lease/time.Second) { // raises count again
		s.round()
	}
	raises := c.testState().Agents.ByHost[host].TokenSequence
	s.cancel(home, id)
	s.step(home)
	if s.running(id) != 0 || c.testState().Agents.ByHost[host].TokenSequence != raises {
		t.Fatalf("stopped: %d run, %d raises", s.running(id), c.testState().Agents.ByHost[host].TokenSequence-raises)
	}
	s.rounds(t, 6, "machine empty", func() bool {
		return len(c.testState().Cache.Placements[host]) == 0 && len(c.testState().Agents.ByHost[host].Heartbeat.Tasks) == 0
	})
	next := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	for range 2 {
		s.step(0)
		s.step(home)
	}
	if on := c.testState().Cache.Placements[host]; len(on) != 1 || c.testState().Agents.ByHost[host].TokenSequence != raises+1 {
		t.Fatalf("%s placed on %d, %d raises", next, len(on), c.testState().Agents.ByHost[host].TokenSequence-raises)
	}
}
