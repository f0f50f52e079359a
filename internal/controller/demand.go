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
	at    time.Time
	sizes []shard.Demand
}

// demandOfPeers tells what room peers are likely to look for in the parts of this node:
// what their jobs wait for now, and what came lately. It decides which machines a part's
// record names when it can't name all. Call with the lock held.
func (c *Controller) demandOfPeers(now time.Time) []shard.Demand {
	if !c.demand.at.IsZero() && now.Sub(c.demand.at) < c.cfg.Report() {
		return c.demand.sizes
	}
	tasks := map[sched.Resources]float64{}
	for _, j := range c.replica.jobs {
		if !j.main.Cancelled && c.owned(j.main.Part) == nil {
			tasks[need(&j.main.Spec)] += float64(len(j.pending()))
		}
	}
	for _, arrivals := range c.arrivals {
		for _, a := range arrivals {
			if now.Sub(a.at) < arrivalWindows*c.boot() {
				tasks[need(a.run)] += a.need / arrivalWindows // of a boot's time
			}
		}
	}
	sizes := make([]shard.Demand, 0, len(tasks))
	for _, size := range slices.SortedFunc(maps.Keys(tasks), compareResources) {
		sizes = append(sizes, shard.Demand{Need: size, Tasks: tasks[size]})
	}
	c.demand = peerDemand{now, sizes}
	return sizes
}

// trimOffer leaves out of a part's free room what does not fit its record beside what
// teams use, and tells how many machines that are. Call with the lock held.
func (c *Controller) trimOffer(free shard.Free, use map[string][3]float64, now time.Time) (left int) {
	size := c.valueRoom() - 128*len(use)
	if free.Fits(size) {
		return 0
	}
	return free.Trim(size, c.demandOfPeers(now))
}

// compareResources orders amounts.
func compareResources(a, b sched.Resources) int {
	return slices.Compare([]float64{a.GPUs, a.CPUs, a.MemGB}, []float64{b.GPUs, b.CPUs, b.MemGB})
}

// leastArrivals is how many arrivals of a class are remembered at the least.
const leastArrivals = 1024

// mostArrivals bounds the arrivals of a class that are remembered: each accepted job takes
// a change of the state service, so more can't come in the time that is looked at. Call
// with the lock held.
func (c *Controller) mostArrivals() int {
	window := arrivalWindows * c.boot().Seconds()
	return max(leastArrivals, int(c.cfg.Facts.State.WriteRPS*window))
}

// endedJobBytes is about what a remembered end of a job takes.
const endedJobBytes = 256

// mostEnded bounds the ends of jobs that are remembered: a sixty-fourth of the memory. One
// that is forgotten is read from the state service when it is asked for.
func mostEnded(cfg *config.Settings) int {
	return max(leastArrivals, int(cfg.Facts.Limits.MemoryMB*(1<<20)/64/endedJobBytes))
}

// remember keeps the end of a job in the bounded cache. Call with the lock held.
func (c *Controller) remember(uid string, p job.Past) {
	if _, ok := c.past[uid]; !ok {
		c.pastKeys = append(c.pastKeys, uid)
		if len(c.pastKeys) > mostEnded(c.cfg) {
			delete(c.past, c.pastKeys[0])
			c.pastKeys = c.pastKeys[1:]
		}
	}
	c.past[uid] = p
}
