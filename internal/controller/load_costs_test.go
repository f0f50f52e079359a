package controller

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"runtime"
	"runtime/metrics"
	"runtime/pprof"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
	"violetturn/internal/state"
)

// phaseCost is the cost of a phase, for all controllers together.
type phaseCost struct {
	simulated      time.Duration
	busy           map[string]time.Duration // by kind of work
	allocatedBytes uint64
	longestStep    time.Duration // longest single call of measured work
	lockUses       map[string]*state.LockUse
}

// measure runs a piece of work of a controller and charges its cost to the current phase.
func (l *loadScenario) measure(work string, call func()) {
	cost := l.costs[l.phase]
	if cost == nil {
		cost = &phaseCost{busy: map[string]time.Duration{}, lockUses: map[string]*state.LockUse{}}
		l.costs[l.phase] = cost
	}
	before := allocatedBytes()
	startedAt := time.Now()
	pprof.Do(context.Background(), pprof.Labels("phase", l.phase, "work", work), func(context.Context) { call() })
	elapsed := time.Since(startedAt)
	cost.allocatedBytes += allocatedBytes() - before
	cost.busy[work] += elapsed
	cost.longestStep = max(cost.longestStep, elapsed)
}

// allocatedBytes returns the number of bytes that the process has allocated since its start.
func allocatedBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// printCosts prints the cost of each phase per simulated second, for all controllers together.
func (l *loadScenario) printCosts() {
	for _, phase := range []string{"fill", "steady", "takeover", "start", "outage", "return", "last"} {
		cost := l.costs[phase]
		total := time.Duration(0)
		for _, duration := range cost.busy {
			total += duration
		}
		perSecond := func(duration time.Duration) float64 { return duration.Seconds() * 1000 / cost.simulated.Seconds() }
		fmt.Printf(
			"%-8s %6.1f ms/s  %6.2f MB/s allocated  longest step %v\n", phase, perSecond(total),
			float64(cost.allocatedBytes)/1e6/cost.simulated.Seconds(), cost.longestStep.Round(time.Microsecond),
		)
		for _, work := range []string{"watch", "lease", "decide", "cloud", "commands", "heartbeat", "user"} {
			fmt.Printf("    %-9s %5.1f %%\n", work, 100*cost.busy[work].Seconds()/total.Seconds())
		}
		for _, lockUse := range longestHeld(cost.lockUses, 6) {
			fmt.Printf(
				"    lock %5.1f %% of the time used, longest %8v, %6d times: %s\n",
				100*lockUse.TotalHeld.Seconds()/total.Seconds(), lockUse.LongestHold.Round(time.Microsecond),
				lockUse.Holds, lockUse.Function,
			)
		}
	}
	jobs := map[api.JobPhase]int{}
	for _, j := range l.environment.Jobs {
		jobs[j.FinalPhase]++
	}
	fmt.Printf("machines %d, jobs %v, violations %d\n", len(l.environment.Cloud.WorkersByHost), jobs, len(l.environment.Violations))
}

// longestHeld returns the functions that held a lock longest in total, at most limit of them.
func longestHeld(lockUses map[string]*state.LockUse, limit int) []*state.LockUse {
	uses := slices.SortedFunc(maps.Values(lockUses), func(a, b *state.LockUse) int { return cmp.Compare(b.TotalHeld, a.TotalHeld) })
	return uses[:min(limit, len(uses))]
}

// BenchmarkDeployment runs the most expensive phases of simulated deployments of three sizes.
// With -cpuprofile and -memprofile it shows where a controller spends time and memory; the
// profile labels "phase" and "work" separate the phases and kinds of work (pprof -tagfocus,
// -tagroot).
func BenchmarkDeployment(b *testing.B) {
	for _, deployment := range []*simulator.Deployment{simulator.Deployment300(), simulator.Deployment2000(), simulator.Deployment4000()} {
		b.Run(deployment.Name, func(b *testing.B) {
			for range b.N {
				scenario := newLoadScenario(deployment)
				scenario.runPhases()
				scenario.printCosts()
				if len(scenario.environment.Violations) > 0 {
					b.Fatal(scenario.environment.Violations[0])
				}
				runtime.GC()
				runtime.KeepAlive(scenario)
			}
		})
	}
}
