package scheduler

import (
	"math"
	"slices"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// SchedulableHosts lists the machines with their free room: of own shards as computed, of
// peers' as their records say.
func (sch *Scheduler) SchedulableHosts(now time.Time) []*sched.Host {
	type view struct {
		own  bool
		free shard.FreeCapacity // of a peer's shard
	}
	shards := map[string]view{}
	for _, p := range sch.node.Shards {
		own, rec := sch.cache.Leaders[p].Record, sch.cache.Capacities[p].Record
		if own == nil || rec == nil {
			continue
		}
		if sch.leadership.Leads(p) {
			shards[p] = view{own: true}
		} else if own.Node != sch.node.Settings.HostName {
			shards[p] = view{free: rec.Free}
		}
	}
	names := sch.cache.MachineNames()
	room := make([]sched.Host, 0, len(names))
	out := make([]*sched.Host, 0, len(names))
	for _, h := range names {
		m := sch.cache.Machines[h]
		v, ok := shards[m.Shard]
		if !ok {
			continue
		}
		var free, size sched.Resources
		if v.own {
			free, size, ok = sch.room.FreeOnMachine(h, now)
		} else {
			var vec [3]float64
			vec, ok = v.free[h]
			free = shard.Unvec(vec)
			size, _ = sch.catalog.MachineCapacity(m.MachineType)
		}
		if !ok {
			continue
		}
		l := sch.room.LoadOf(h)
		room = append(
			room,
			sched.Host{
				StartDelayS: sch.room.StartDelay(h, l, now), Name: h, Shard: m.Shard, MachineType: m.MachineType, Zone: m.Zone,
				Spot: m.Spot, Cap: size, Free: free, Stopping: l.Stopping, Images: sch.cache.Images[h],
				Services: l.Services, Arrays: l.Arrays,
			},
		)
		out = append(out, &room[len(room)-1])
	}
	return out
}

// smallestRequest returns the smallest amounts that any waiting task asks for: a machine
// with less has no room for anybody.
func smallestRequest(queue []*QueueEntry) sched.Resources {
	inf := math.Inf(1)
	m := sched.Resources{CPUs: inf, GPUs: inf, MemGB: inf}
	for _, q := range queue {
		if len(q.Job.PendingTasks()) > 0 {
			n := statecache.ResourcesOf(&q.Job.Record.Spec)
			m = sched.Resources{CPUs: min(m.CPUs, n.CPUs), GPUs: min(m.GPUs, n.GPUs), MemGB: min(m.MemGB, n.MemGB)}
		}
	}
	return m
}

// hostsWithRoom returns the machines that have as much room, by shard.
func hostsWithRoom(hosts []*sched.Host, n sched.Resources) map[string][]*sched.Host {
	out := map[string][]*sched.Host{}
	for _, h := range hosts {
		if h.Free.Fits(n) {
			out[h.Shard] = append(out[h.Shard], h)
		}
	}
	return out
}

// removeHost takes a machine from a list, which it changes.
func removeHost(l []*sched.Host, h *sched.Host) []*sched.Host {
	if i := slices.Index(l, h); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// releaseStopping adds to what is free on machines the room that tasks on their way out
// will leave.
func releaseStopping(hosts []*sched.Host) {
	for _, h := range hosts {
		if h.Stopping != (sched.Resources{}) {
			h.Free = h.Free.Add(h.Stopping)
		}
	}
}
