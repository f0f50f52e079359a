package capacity

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// peerDemand is what peers are likely to look for, as it was worked out last.
type peerDemand struct {
	computedAt time.Time
	sizes      []shard.PeerDemand
}

// expectedPeerDemand returns what room peers are likely to look for in the shards of this node:
// what their jobs wait for now, and what came lately. It decides which machines a shard's
// record names when it can't name all.
func (acc *Accounts) expectedPeerDemand(now time.Time) []shard.PeerDemand {
	if !acc.demand.computedAt.IsZero() && now.Sub(acc.demand.computedAt) < acc.node.Settings.HeartbeatInterval() {
		return acc.demand.sizes
	}
	tasks := map[sched.Resources]float64{}
	for _, j := range acc.cache.Jobs {
		if !j.Record.Cancelled && !acc.leadership.Leads(j.Record.Shard) {
			tasks[statecache.ResourcesOf(&j.Record.Spec)] += float64(len(j.PendingTasks()))
		}
	}
	for _, arrivals := range acc.Arrivals {
		for _, a := range arrivals {
			if now.Sub(a.At) < ArrivalWindows*acc.catalog.ShortestBoot() {
				tasks[statecache.ResourcesOf(a.Spec)] += a.Tasks / ArrivalWindows // of a boot's time
			}
		}
	}
	sizes := make([]shard.PeerDemand, 0, len(tasks))
	for _, size := range slices.SortedFunc(maps.Keys(tasks), compareResources) {
		sizes = append(sizes, shard.PeerDemand{Need: size, Tasks: tasks[size]})
	}
	acc.demand = peerDemand{now, sizes}
	return sizes
}

// TrimCapacity leaves out of a shard's free room what does not fit its record beside what
// teams use, and tells how many machines that are.
func (acc *Accounts) TrimCapacity(free shard.FreeCapacity, use map[string][3]float64, now time.Time) (left int) {
	size := acc.schema.MaxValueBytes() - 128*len(use)
	if free.FitsIn(size) {
		return 0
	}
	return free.TrimTo(size, acc.expectedPeerDemand(now))
}

// compareResources orders amounts.
func compareResources(a, b sched.Resources) int {
	return slices.Compare([]float64{a.GPUs, a.CPUs, a.MemGB}, []float64{b.GPUs, b.CPUs, b.MemGB})
}

// MinArrivals is how many arrivals of a class are remembered at the least.
const MinArrivals = 1024

// maxArrivals bounds the arrivals of a class that are remembered: each accepted job takes
// a change of the state service, so more can't come in the time that is looked at.
func (acc *Accounts) maxArrivals() int {
	window := ArrivalWindows * acc.catalog.ShortestBoot().Seconds()
	return max(MinArrivals, int(acc.node.Settings.Facts.State.WriteRPS*window))
}

// NoteArrival notes a job for the headroom.
func (acc *Accounts) NoteArrival(m *job.Record) {
	const lanes = 64
	if acc.Arrivals[m.Spec.Class] == nil && len(acc.Arrivals) >= lanes {
		clear(acc.Arrivals) // users may name classes at will
	}
	l := append(acc.Arrivals[m.Spec.Class], Arrival{time.UnixMilli(m.AcceptedMS), &m.Spec, float64(m.Spec.Tasks)})
	if len(l) > acc.maxArrivals() {
		l = l[1:]
	}
	acc.Arrivals[m.Spec.Class] = l
}

// Arrival is a job that came.
type Arrival struct {
	At    time.Time
	Spec  *api.Job
	Tasks float64 // tasks
}

// ArrivalWindows is over how many boots arrivals are looked at.
const ArrivalWindows = 4
