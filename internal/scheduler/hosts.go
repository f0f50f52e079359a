package scheduler

import (
	"math"
	"slices"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// shardView is the source from which a plan takes the free capacity of a shard's machines.
type shardView struct {
	ledLocally bool               // free capacity is computed from the placements
	offered    shard.FreeCapacity // from the capacity record of a peer's shard
}

// shardViews returns the shards whose machines can take tasks. It leaves out shards without a
// leader or a capacity record, and those whose record names this controller as the leader although
// it does not lead them now.
func (s *Scheduler) shardViews() map[string]shardView {
	views := map[string]shardView{}
	for _, name := range s.node.Shards {
		leader, record := s.cache.Leaders[name].Record, s.cache.Capacities[name].Record
		if leader == nil || record == nil {
			continue
		}
		if s.leadership.Leads(name) {
			views[name] = shardView{ledLocally: true}
		} else if leader.Node != s.node.Settings.HostName {
			views[name] = shardView{offered: record.Free}
		}
	}
	return views
}

// SchedulableHosts lists the machines with their free capacity, by name. The capacity of machines
// in shards that this controller leads is computed; that of the peers' machines comes from their
// capacity records.
func (s *Scheduler) SchedulableHosts(now time.Time) []*sched.Host {
	views := s.shardViews()
	names := s.cache.HostNames()
	hostStorage := make([]sched.Host, 0, len(names)) // one allocation for all machines
	hosts := make([]*sched.Host, 0, len(names))
	for _, name := range names {
		machine := s.cache.Machines[name]
		view, ok := views[machine.Shard]
		if !ok {
			continue
		}
		var free, size sched.Resources
		if view.ledLocally {
			free, size, ok = s.capacityCalculator.FreeOnMachine(name, now)
		} else {
			free, ok = view.offered[name]
			free.ReportBytes = s.capacityCalculator.FreeReportBytes(name)
			size, _ = s.catalog.MachineCapacity(machine.MachineType)
		}
		if !ok {
			continue
		}
		load := s.capacityCalculator.LoadOf(name)
		hostStorage = append(hostStorage, sched.Host{
			Name:         name,
			Shard:        machine.Shard,
			MachineType:  machine.MachineType,
			Zone:         machine.Zone,
			Spot:         machine.Spot,
			Capacity:     size,
			Free:         free,
			Stopping:     load.Stopping,
			Images:       s.cache.PlacedImages[name],
			ServiceTasks: load.ServiceTasks,
			OtherTasks:   load.OtherTasks,
			StartDelayS:  s.capacityCalculator.StartDelay(name, load, now),
		})
		hosts = append(hosts, &hostStorage[len(hostStorage)-1])
	}
	return hosts
}

// smallestRequest returns the least amount of each resource that any task to be placed requests. No
// task fits on a machine with less free capacity.
func smallestRequest(queue []*queueEntry) sched.Resources {
	smallest := sched.Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemGB: math.Inf(1), ReportBytes: math.Inf(1)}
	for _, entry := range queue {
		if len(entry.job.PendingTasks()) == 0 {
			continue
		}
		smallest = smallest.Min(statecache.ResourcesOf(&entry.job.Record.Spec))
	}
	return smallest
}

// hostsWithCapacity returns the machines with free capacity for the need, by shard.
func hostsWithCapacity(hosts []*sched.Host, need sched.Resources) map[string][]*sched.Host {
	byShard := map[string][]*sched.Host{}
	for _, host := range hosts {
		if host.Free.Fits(need) {
			byShard[host.Shard] = append(byShard[host.Shard], host)
		}
	}
	return byShard
}

// removeHost removes a machine from a list in place.
func removeHost(list []*sched.Host, host *sched.Host) []*sched.Host {
	if i := slices.Index(list, host); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// addStoppingCapacity adds the capacity of tasks that are stopping to the free capacity of their
// machines.
func addStoppingCapacity(hosts []*sched.Host) {
	for _, host := range hosts {
		if host.Stopping != (sched.Resources{}) {
			host.Free = host.Free.Add(host.Stopping)
		}
	}
}
