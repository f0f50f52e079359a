package scheduler

import (
	"math"
	"slices"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// shardView is where a plan reads the free room of a shard's machines.
type shardView struct {
	own     bool               // computed from what is placed there
	offered shard.FreeCapacity // of a peer's shard: what its capacity record offers
}

// shardViews returns the shards whose machines can take tasks.
func (s *Scheduler) shardViews() map[string]shardView {
	views := map[string]shardView{}
	for _, name := range s.node.Shards {
		leader, record := s.cache.Leaders[name].Record, s.cache.Capacities[name].Record
		if leader == nil || record == nil {
			continue
		}
		if s.leadership.Leads(name) {
			views[name] = shardView{own: true}
		} else if leader.Node != s.node.Settings.HostName {
			views[name] = shardView{offered: record.Free}
		}
	}
	return views
}

// SchedulableHosts lists the machines with their free room, by name: of own shards as computed,
// of peers' as their capacity records say.
func (s *Scheduler) SchedulableHosts(now time.Time) []*sched.Host {
	views := s.shardViews()
	names := s.cache.MachineNames()
	hosts := make([]sched.Host, 0, len(names)) // one allocation for all
	out := make([]*sched.Host, 0, len(names))
	for _, name := range names {
		machine := s.cache.Machines[name]
		view, ok := views[machine.Shard]
		if !ok {
			continue
		}
		var free, size sched.Resources
		if view.own {
			free, size, ok = s.room.FreeOnMachine(name, now)
		} else {
			free, ok = view.offered[name]
			size, _ = s.catalog.MachineCapacity(machine.MachineType)
		}
		if !ok {
			continue
		}
		load := s.room.LoadOf(name)
		hosts = append(hosts, sched.Host{
			Name:         name,
			Shard:        machine.Shard,
			MachineType:  machine.MachineType,
			Zone:         machine.Zone,
			Spot:         machine.Spot,
			Capacity:     size,
			Free:         free,
			Stopping:     load.Stopping,
			Images:       s.cache.PlacedImages[name],
			ServiceTasks: load.Services,
			ArrayTasks:   load.Arrays,
			StartDelayS:  s.room.StartDelay(name, load, now),
		})
		out = append(out, &hosts[len(hosts)-1])
	}
	return out
}

// smallestRequest returns the smallest amounts that any waiting task asks for: a machine
// with less has no room for any.
func smallestRequest(queue []*queueEntry) sched.Resources {
	smallest := sched.Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemGB: math.Inf(1)}
	for _, entry := range queue {
		if len(entry.job.PendingTasks()) == 0 {
			continue
		}
		need := statecache.ResourcesOf(&entry.job.Record.Spec)
		smallest = sched.Resources{
			CPUs:  min(smallest.CPUs, need.CPUs),
			GPUs:  min(smallest.GPUs, need.GPUs),
			MemGB: min(smallest.MemGB, need.MemGB),
		}
	}
	return smallest
}

// hostsWithRoom returns the machines that have as much room, by shard.
func hostsWithRoom(hosts []*sched.Host, need sched.Resources) map[string][]*sched.Host {
	byShard := map[string][]*sched.Host{}
	for _, host := range hosts {
		if host.Free.Fits(need) {
			byShard[host.Shard] = append(byShard[host.Shard], host)
		}
	}
	return byShard
}

// removeHost removes a machine from a list, which it changes.
func removeHost(list []*sched.Host, host *sched.Host) []*sched.Host {
	if i := slices.Index(list, host); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// releaseStopping adds to what is free on machines the room that tasks that were told to stop
// will leave.
func releaseStopping(hosts []*sched.Host) {
	for _, host := range hosts {
		if host.Stopping != (sched.Resources{}) {
			host.Free = host.Free.Add(host.Stopping)
		}
	}
}
