package controller

import (
	"context"
	"maps"
	"math"
	"runtime"
	"slices"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/state"
	"violetturn/internal/timing"
)

const (
	// summaryIntervalLeases is the interval between two logged summaries, as a multiple of the worker
	// lease.
	summaryIntervalLeases = 4
	// minSummaryInterval is a lower bound on that interval.
	minSummaryInterval = time.Second
)

// summaryInterval returns the interval between two logged summaries.
func summaryInterval(settings *config.Settings) time.Duration {
	return max(summaryIntervalLeases*settings.WorkerLease(), minSummaryInterval)
}

// summaryLoop periodically logs this controller's request rates and the size of its state, and
// removes the in-memory state of finished jobs.
func (c *Controller) summaryLoop(ctx context.Context) {
	interval := summaryInterval(c.node.Settings)
	var previousRequests, previousWrites float64
	for timing.Sleep(ctx, interval) {
		totalRequests, totalWrites := c.services.Store.TokensUsed()
		c.logSummary(perSecond(totalRequests-previousRequests, interval), perSecond(totalWrites-previousWrites, interval))
		previousRequests, previousWrites = totalRequests, totalWrites
	}
}

// perSecond returns a count as a rate per second, rounded to a tenth.
func perSecond(count float64, d time.Duration) float64 { return math.Round(count/d.Seconds()*10) / 10 }

// logSummary logs the rates of requests and writes, and the size of the state. It then removes
// the in-memory state of finished jobs.
func (c *Controller) logSummary(requestRate, writeRate float64) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := c.guard.Lock()
	defer c.guard.Unlock()
	c.node.Log.Info(
		"summary",
		"store_rps", requestRate, "write_rps", writeRate,
		"jobs", len(s.Cache.Jobs), "hosts", len(s.Cache.Machines), "shards", len(s.Leadership.HeldShards()),
		"heap_kb", memory.HeapAlloc>>10,
	)
	c.logCommits(s)
	s.RemoveFinishedJobs()
}

// logCommits logs the outcomes of transactions since the last summary, by purpose, and resets
// the counts.
func (c *Controller) logCommits(s *state.State) {
	for _, purpose := range slices.Sorted(maps.Keys(s.Stats.Commits)) {
		count := s.Stats.Commits[purpose]
		c.node.Log.Info(
			"commits", "for", purpose,
			"transactions", count.Transactions, "changes", count.Writes,
			"conflicts", count.Conflicts, "conflicted_changes", count.ConflictedWrites, "failed", count.Failed,
		)
	}
	clear(s.Stats.Commits)
}
