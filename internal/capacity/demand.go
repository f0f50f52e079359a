package capacity

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// cachedPeerDemand is the most recently computed expected demand of peers.
type cachedPeerDemand struct {
	computedAt time.Time
	demands    []shard.PeerDemand
}

// expectedPeerDemand returns the capacity that peers are likely to claim in the shards of this
// controller, estimated from the pending tasks of their jobs and from recent arrivals. It
// determines which machines a capacity record contains if it cannot contain all. The result is
// computed at most once per heartbeat interval.
func (a *Accounting) expectedPeerDemand(now time.Time) []shard.PeerDemand {
	if !a.peerDemand.computedAt.IsZero() && now.Sub(a.peerDemand.computedAt) < a.node.Settings.HeartbeatInterval() {
		return a.peerDemand.demands
	}
	tasks := map[sched.Resources]float64{}
	for _, job := range a.cache.Jobs {
		if !job.Record.Cancelled && !a.leadership.Leads(job.Record.Shard) {
			tasks[demandOf(&job.Record.Spec)] += float64(len(job.PendingTasks()))
		}
	}
	for _, arrivals := range a.arrivals.ByClass() {
		for _, arrival := range arrivals {
			if now.Sub(arrival.AcceptedAt) < ArrivalWindowBoots*a.catalog.ShortestBoot() {
				tasks[demandOf(arrival.Spec)] += arrival.Tasks / ArrivalWindowBoots // average per boot time
			}
		}
	}
	demands := make([]shard.PeerDemand, 0, len(tasks))
	for _, size := range slices.SortedFunc(maps.Keys(tasks), compareResources) {
		demands = append(demands, shard.PeerDemand{Need: size, Tasks: tasks[size]})
	}
	a.peerDemand = cachedPeerDemand{computedAt: now, demands: demands}
	return demands
}

// demandOf returns what a task needs of the free capacity in a capacity record, which has no
// ReportBytes.
func demandOf(spec *api.Job) sched.Resources {
	need := statecache.ResourcesOf(spec)
	need.ReportBytes = 0
	return need
}

// compareResources orders resources by GPUs, then CPUs, then memory.
func compareResources(a, b sched.Resources) int {
	return slices.Compare([]float64{a.GPUs, a.CPUs, a.MemGB}, []float64{b.GPUs, b.CPUs, b.MemGB})
}
