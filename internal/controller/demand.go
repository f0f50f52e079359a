package controller

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// peerDemand is what peers are likely to look for, as it was worked out last.
type peerDemand struct {
	computedAt time.Time
	sizes      []shard.PeerDemand
}

// expectedPeerDemand returns what room peers are likely to look for in the shards of this node:
// what their jobs wait for now, and what came lately. It decides which machines a shard's
// record names when it can't name all.
func (acc *capacityAccounts) expectedPeerDemand(now time.Time) []shard.PeerDemand {
	if !acc.demand.computedAt.IsZero() && now.Sub(acc.demand.computedAt) < acc.node.settings.HeartbeatInterval() {
		return acc.demand.sizes
	}
	tasks := map[sched.Resources]float64{}
	for _, j := range acc.cache.jobs {
		if !j.record.Cancelled && acc.leadership.of(j.record.Shard) == nil {
			tasks[resourcesOf(&j.record.Spec)] += float64(len(j.pendingTasks()))
		}
	}
	for _, arrivals := range acc.arrivals {
		for _, a := range arrivals {
			if now.Sub(a.at) < arrivalWindows*acc.catalog.shortestBoot() {
				tasks[resourcesOf(a.spec)] += a.tasks / arrivalWindows // of a boot's time
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

// trimCapacity leaves out of a shard's free room what does not fit its record beside what
// teams use, and tells how many machines that are.
func (acc *capacityAccounts) trimCapacity(free shard.FreeCapacity, use map[string][3]float64, now time.Time) (left int) {
	size := acc.schema.maxValueBytes() - 128*len(use)
	if free.FitsIn(size) {
		return 0
	}
	return free.TrimTo(size, acc.expectedPeerDemand(now))
}

// compareResources orders amounts.
func compareResources(a, b sched.Resources) int {
	return slices.Compare([]float64{a.GPUs, a.CPUs, a.MemGB}, []float64{b.GPUs, b.CPUs, b.MemGB})
}

// minArrivals is how many arrivals of a class are remembered at the least.
const minArrivals = 1024

// maxArrivals bounds the arrivals of a class that are remembered: each accepted job takes
// a change of the state service, so more can't come in the time that is looked at.
func (acc *capacityAccounts) maxArrivals() int {
	window := arrivalWindows * acc.catalog.shortestBoot().Seconds()
	return max(minArrivals, int(acc.node.settings.Facts.State.WriteRPS*window))
}

// endedJobBytes is about what a remembered end of a job takes.
const endedJobBytes = 256

// maxFinalStates bounds the ends of jobs that are remembered: a sixty-fourth of the memory. One
// that is forgotten is read from the state service when it is asked for.
func maxFinalStates(cfg *config.Settings) int {
	return max(minArrivals, int(cfg.Facts.Limits.MemoryMB*(1<<20)/64/endedJobBytes))
}

// remember keeps the end of a job in the bounded cache.
func (f *finalStateCache) remember(uid string, p job.FinalState) {
	if _, ok := f.byJob[uid]; !ok {
		f.order = append(f.order, uid)
		if len(f.order) > maxFinalStates(f.node.settings) {
			delete(f.byJob, f.order[0])
			f.order = f.order[1:]
		}
	}
	f.byJob[uid] = p
}
