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

// A returned machine is not registered again, neither because of a delayed heartbeat nor because the
// cloud's list of machines still contains it.
func TestReturnedMachineStaysDeregistered(t *testing.T) {
	s := newReadyCluster()
	id := s.submitJob(nil)
	s.runUntil(t, 60, "array done", s.isDone(id))
	host := s.environment.Cloud.HostNames()[0]
	lateHeartbeat := api.MustMarshal(s.environment.Cloud.WorkersByHost[host].Heartbeat())
	s.runUntil(
		t, 60, "machine returned and deregistered",
		func() bool {
			return s.environment.Cloud.WorkersByHost[host] == nil && s.nodes[0].state().Cache.Machines[host] == nil
		},
	)
	for range 20 {
		for i := range s.nodes {
			s.deliverHeartbeat(i, lateHeartbeat)
		}
		s.runRound()
		for _, n := range s.nodes {
			if n.state().Cache.Machines[host] != nil {
				t.Fatalf("returned machine %s is registered again at %s, want it to stay deregistered", host, n.name)
			}
		}
	}
}

// Rented machines are registered in groups, not with one write each.
func TestMachinesAreRegisteredInGroups(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[0].controller
	for i := range 60 {
		c.testState().Agents.Unregistered().SetRented(fmt.Sprintf("i-9%05d", i), shard.Machine{MachineType: "m", Zone: "x"})
	}
	before := s.environment.Store.SentWrites
	for c.testState().Agents.Unregistered().Count() > 0 && s.environment.Store.SentWrites < before+60 {
		c.decisions.RegisterMachines(context.Background())
	}
	if writes := s.environment.Store.SentWrites - before; writes > 6 || len(c.testState().Cache.Machines) < 60 {
		t.Fatalf("%d writes for %d registered machines, want at most 6 for at least 60", writes, len(c.testState().Cache.Machines))
	}
}

// Recently terminated machines stay recorded as terminated, however many were terminated: a late
// copy of a heartbeat must not register one again. All of them were once removed when a fixed
// number was reached.
func TestRecentTerminationsStayRecorded(t *testing.T) {
	cache := statecache.New(nil)
	name := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	const machines = 3 * statecache.MinTerminatedLimit
	for i := range machines {
		cache.RecordTerminated(name(i))
		for previous := range min(i, statecache.MinTerminatedLimit/2) {
			if previous%97 == 0 && !cache.Terminated[name(i-previous)] {
				t.Fatalf("of %d terminated machines, number %d from the end is not recorded, want it recorded", i+1, previous+1)
			}
		}
	}
	if len(cache.Terminated) > statecache.MinTerminatedLimit {
		t.Errorf("%d terminated machines are recorded, want at most %d", len(cache.Terminated), statecache.MinTerminatedLimit)
	}
}

// Machines in pages of a hundred are deregistered, and others registered, after the limits are
// lowered so that values hold ten: a finer page supersedes a coarser one for its machines.
func TestMachinePagesAreSplitWhenLimitsFall(t *testing.T) {
	s := newProductionVersionCluster(t)
	id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Tasks, j.Kind, j.CPUs = 30, api.Service, 1 })
	s.runUntil(t, 200, "all tasks run", func() bool { return s.runningTasks(id) == 30 })
	s.upgradeNodes()
	s.lowerStateLimits()
	s.cancel(0, id)
	s.runUntil(t, 400, "all machines are terminated and deregistered", func() bool {
		return len(s.environment.Cloud.WorkersByHost) == 0 && len(s.nodes[0].state().Cache.Machines) == 0
	})
	s.runUntil(t, 400, "machine pages are deleted", func() bool { return len(s.nodes[0].state().Cache.Pages) == 0 })
	secondJob := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Tasks = 30 })
	s.runUntil(t, 400, "second job done", s.isDone(secondJob))
	if s.environment.Store.RefusedTooLarge > 3 {
		t.Fatalf("%d transactions were refused because of their size, want at most 3", s.environment.Store.RefusedTooLarge)
	}
}

// A late write of the version in production to a coarser page has no effect on machines that a
// finer page covers.
func TestFinerPageSupersedesCoarserPage(t *testing.T) {
	s := newTestCluster()
	cache := s.nodes[0].state().Cache
	applyPage := func(id string, version uint64, hostNames ...string) {
		page := shard.MachinePage{}
		for _, host := range hostNames {
			page[host] = &shard.Machine{Shard: id, MachineType: "m"}
		}
		cache.Apply(statecache.MachinePageKey(id), api.MustMarshal(page), version)
	}
	applyPage("i-0002-", 1, "i-000231", "i-000232", "i-000247")
	applyPage("i-00023-", 2, "i-000231")
	if cache.Machines["i-000231"].Shard != "i-00023-" || cache.Machines["i-000232"] != nil || cache.Machines["i-000247"] == nil ||
		!cache.Terminated["i-000232"] {
		t.Fatalf("machines %v, want i-000231 of the finer page, i-000247 of the coarser one and i-000232 terminated", cache.Machines)
	}
	applyPage("i-0002-", 3, "i-000232", "i-000239", "i-000247")
	if cache.Machines["i-000232"] != nil || cache.Machines["i-000239"] != nil || len(cache.Machines) != 2 {
		t.Fatalf("after a late write to the coarser page: machines %v, want only i-000231 and i-000247", cache.Machines)
	}
	cache.Apply(statecache.MachinePageKey("i-0002-"), nil, 4)
	if len(cache.Machines) != 1 || cache.Machines["i-000231"] == nil {
		t.Fatalf("coarser page deleted: machines %v, want only i-000231", cache.Machines)
	}
}
