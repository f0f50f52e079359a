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
// record names when it can't name all. Call with the lock held.
func (c *Controller) expectedPeerDemand(now time.Time) []shard.PeerDemand {
	if !c.demand.computedAt.IsZero() && now.Sub(c.demand.computedAt) < c.cfg.HeartbeatInterval() {
		return c.demand.sizes
	}
	tasks := map[sched.Resources]float64{}
	for _, j := range c.replica.jobs {
		if !j.record.Cancelled && c.leadershipOf(j.record.Shard) == nil {
			tasks[resourcesOf(&j.record.Spec)] += float64(len(j.pendingTasks()))
		}
	}
	for _, arrivals := range c.arrivals {
		for _, a := range arrivals {
			if now.Sub(a.at) < arrivalWindows*c.shortestBoot() {
				tasks[resourcesOf(a.spec)] += a.tasks / arrivalWindows // of a boot's time
			}
		}
	}
	sizes := make([]shard.PeerDemand, 0, len(tasks))
	for _, size := range slices.SortedFunc(maps.Keys(tasks), compareResources) {
		sizes = append(sizes, shard.PeerDemand{Need: size, Tasks: tasks[size]})
	}
	c.demand = peerDemand{now, sizes}
	return sizes
}

// trimCapacity leaves out of a shard's free room what does not fit its record beside what
// teams use, and tells how many machines that are. Call with the lock held.
func (c *Controller) trimCapacity(free shard.FreeCapacity, use map[string][3]float64, now time.Time) (left int) {
	size := c.maxValueBytes() - 128*len(use)
	if free.FitsIn(size) {
		return 0
	}
	return free.TrimTo(size, c.expectedPeerDemand(now))
}

// compareResources orders amounts.
func compareResources(a, b sched.Resources) int {
	return slices.Compare([]float64{a.GPUs, a.CPUs, a.MemGB}, []float64{b.GPUs, b.CPUs, b.MemGB})
}

// minArrivals is how many arrivals of a class are remembered at the least.
const minArrivals = 1024

// maxArrivals bounds the arrivals of a class that are remembered: each accepted job takes
// a change of the state service, so more can't come in the time that is looked at. Call
// with the lock held.
func (c *Controller) maxArrivals() int {
	window := arrivalWindows * c.shortestBoot().Seconds()
	return max(minArrivals, int(c.cfg.Facts.State.WriteRPS*window))
}

// endedJobBytes is about what a remembered end of a job takes.
const endedJobBytes = 256

// maxFinalStates bounds the ends of jobs that are remembered: a sixty-fourth of the memory. One
// that is forgotten is read from the state service when it is asked for.
func maxFinalStates(cfg *config.Settings) int {
	return max(minArrivals, int(cfg.Facts.Limits.MemoryMB*(1<<20)/64/endedJobBytes))
}

// rememberFinalState keeps the end of a job in the bounded cache. Call with the lock held.
func (c *Controller) rememberFinalState(uid string, p job.FinalState) {
	if _, ok := c.finalStates[uid]; !ok {
		c.finalStateOrder = append(c.finalStateOrder, uid)
		if len(c.finalStateOrder) > maxFinalStates(c.cfg) {
			delete(c.finalStates, c.finalStateOrder[0])
			c.finalStateOrder = c.finalStateOrder[1:]
		}
	}
	c.finalStates[uid] = p
}
