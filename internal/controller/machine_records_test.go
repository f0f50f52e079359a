package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// A machine that was returned is not recorded again when a heartbeat that a partition
// delayed arrives, or because the list still shows it.
func TestReturnedMachineStaysDeregistered(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(nil)
	s.runUntil(t, 60, "array done", s.isDone(id))
	host := s.environment.Cloud.HostNames()[0]
	late := api.MustMarshal(s.environment.Cloud.WorkersByHost[host].Heartbeat())
	s.runUntil(
		t, 60, "machine returned and deregistered",
		func() bool {
			return s.environment.Cloud.WorkersByHost[host] == nil && s.nodes[0].state().Cache.Machines[host] == nil
		},
	)
	for range 20 {
		for i := range s.nodes {
			s.deliverHeartbeat(i, late)
		}
		s.runRound()
		for _, n := range s.nodes {
			if n.state().Cache.Machines[host] != nil {
				t.Fatal("registered again")
			}
		}
	}
}

// Rented machines are recorded in groups, not by a change each, and deregistered
// likewise.
func TestMachinesAreRecordedInGroups(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[0].controller
	for i := range 60 {
		c.testState().Agents.Unregistered().SetRented(fmt.Sprintf("i-9%05d", i), shard.Machine{MachineType: "m", Zone: "x"})
	}
	before := s.environment.Store.SentWrites
	for c.testState().Agents.Unregistered().Count() > 0 && s.environment.Store.SentWrites < before+60 {
		c.decisions.RegisterMachines(context.Background())
	}
	if n := s.environment.Store.SentWrites - before; n > 6 || len(c.testState().Cache.Machines) < 60 {
		t.Fatalf("%d changes for %d machines", n, len(c.testState().Cache.Machines))
	}
}

// Machines that went lately stay known as gone however many went: a late copy of one's
// heartbeat must not bring it back. All of them were once dropped at a fixed number.
func TestTerminatedMachinesAreRemembered(t *testing.T) {
	m := statecache.New(nil)
	name := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	const machines = 3 * statecache.MinTerminatedLimit
	for i := range machines {
		m.RecordTerminated(name(i))
		for back := range min(i, statecache.MinTerminatedLimit/2) {
			if back%97 == 0 && !m.Terminated[name(i-back)] {
				t.Fatalf("of %d that went the %dth last is not remembered", i+1, back+1)
			}
		}
	}
	if len(m.Terminated) > statecache.MinTerminatedLimit {
		t.Errorf("%d are remembered", len(m.Terminated))
	}
}

// Machines recorded in pages of a hundred are deregistered, and others registered, when
// values have room for ten; a fine page speaks for its machines before a coarse one.
func TestPagesGrowFiner(t *testing.T) {
	s := newClusterInProduction(t)
	id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Tasks, r.Kind, r.CPUs = 30, api.Service, 1 })
	s.runUntil(t, 200, "all run", func() bool { return s.runningTasks(id) == 30 })
	s.upgradeNodes()
	s.lowerStateLimits()
	s.cancel(0, id)
	s.runUntil(t, 400, "all machines are terminated and deregistered", func() bool {
		return len(s.environment.Cloud.WorkersByHost) == 0 && len(s.nodes[0].state().Cache.Machines) == 0
	})
	s.runUntil(t, 400, "their pages are gone", func() bool { return len(s.nodes[0].state().Cache.Pages) == 0 })
	again := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Tasks = 30 })
	s.runUntil(t, 400, "done", s.isDone(again))
	if s.environment.Store.RefusedTooLarge > 3 {
		t.Fatalf("%d transactions were refused for their size", s.environment.Store.RefusedTooLarge)
	}
}

// A machine whose coarse page a late write of the version before changes after a fine
// one has taken over stays as the fine one says.
func TestFinePageHidesCoarse(t *testing.T) {
	s := newTestCluster()
	m := s.nodes[0].state().Cache
	page := func(id string, version uint64, hosts ...string) {
		p := shard.MachinePage{}
		for _, h := range hosts {
			p[h] = &shard.Machine{Shard: id, MachineType: "m"}
		}
		m.Apply(statecache.MachinePageKey(id), api.MustMarshal(p), version)
	}
	page("i-0002-", 1, "i-000231", "i-000232", "i-000247")
	page("i-00023-", 2, "i-000231")
	if m.Machines["i-000231"].Shard != "i-00023-" || m.Machines["i-000232"] != nil || m.Machines["i-000247"] == nil ||
		!m.Terminated["i-000232"] {
		t.Fatal(m.Machines)
	}
	page("i-0002-", 3, "i-000232", "i-000239", "i-000247")
	if m.Machines["i-000232"] != nil || m.Machines["i-000239"] != nil || len(m.Machines) != 2 {
		t.Fatal("a late write brings machines back", m.Machines)
	}
	m.Apply(statecache.MachinePageKey("i-0002-"), nil, 4)
	if len(m.Machines) != 1 || m.Machines["i-000231"] == nil {
		t.Fatal(m.Machines)
	}
}
