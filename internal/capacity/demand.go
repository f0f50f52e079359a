package capacity

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// expectedDemand is what room peers are likely to look for, as it was worked out last.
type expectedDemand struct {
	computedAt time.Time
	sizes      []shard.PeerDemand
}

// expectedPeerDemand returns what room peers are likely to look for in the shards of this
// controller: what their jobs wait for now, and what came lately. It decides which machines a
// shard's record names when it can't name all. It is worked out once in a heartbeat interval.
func (a *Accounting) expectedPeerDemand(now time.Time) []shard.PeerDemand {
	if !a.demand.computedAt.IsZero() && now.Sub(a.demand.computedAt) < a.node.Settings.HeartbeatInterval() {
		return a.demand.sizes
	}
	tasks := map[sched.Resources]float64{}
	for _, job := range a.cache.Jobs {
		if !job.Record.Cancelled && !a.leadership.Leads(job.Record.Shard) {
			tasks[statecache.ResourcesOf(&job.Record.Spec)] += float64(len(job.PendingTasks()))
		}
	}
	for _, arrivals := range a.arrivals.ByClass() {
		for _, arrival := range arrivals {
			if now.Sub(arrival.AcceptedAt) < ArrivalWindowBoots*a.catalog.ShortestBoot() {
				tasks[statecache.ResourcesOf(arrival.Spec)] += arrival.Tasks / ArrivalWindowBoots // in the time of a boot
			}
		}
	}
	sizes := make([]shard.PeerDemand, 0, len(tasks))
	for _, size := range slices.SortedFunc(maps.Keys(tasks), compareResources) {
		sizes = append(sizes, shard.PeerDemand{Need: size, Tasks: tasks[size]})
	}
	a.demand = expectedDemand{computedAt: now, sizes: sizes}
	return sizes
}

// compareResources orders amounts.
func compareResources(a, b sched.Resources) int {
	return slices.Compare([]float64{a.GPUs, a.CPUs, a.MemGB}, []float64{b.GPUs, b.CPUs, b.MemGB})
}
