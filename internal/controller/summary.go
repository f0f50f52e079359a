package controller

import (
	"context"
	"maps"
	"math"
	"runtime"
	"slices"
	"time"

	"violetturn/internal/state"
	"violetturn/internal/timing"
)

// summaryLeases is after how many leases of a worker a summary is logged.
const summaryLeases = 4

// summaryLoop logs from time to time what this controller uses and holds, and drops what is
// remembered of jobs that are over.
func (c *Controller) summaryLoop(ctx context.Context) {
	every := summaryLeases * c.node.Settings.WorkerLease()
	var requests, writes float64
	for timing.Sleep(ctx, every) {
		nowRequests, nowWrites := c.services.Store.TokensUsed()
		c.logSummary(rate(nowRequests-requests, every), rate(nowWrites-writes, every))
		requests, writes = nowRequests, nowWrites
	}
}

// rate returns a count by second, to a tenth.
func rate(count float64, d time.Duration) float64 { return math.Round(count/d.Seconds()*10) / 10 }

// logSummary logs the rates of requests and changes, and what the state holds.
func (c *Controller) logSummary(requestRate, writeRate float64) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	state := c.guard.Lock()
	defer c.guard.Unlock()
	c.node.Log.Info(
		"summary",
		"store_rps", requestRate, "write_rps", writeRate,
		"jobs", len(state.Cache.Jobs), "hosts", len(state.Cache.Machines), "shards", len(state.Leadership.HeldShards()),
		"heap_kb", memory.HeapAlloc>>10,
	)
	c.logCommits(state)
	state.DropFinishedJobs()
}

// logCommits logs what became of transactions since the last summary, by purpose, and begins
// to count anew.
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
