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

// phaseCost is what the controllers used in a phase.
type phaseCost struct {
	simulated time.Duration
	busy      map[string]time.Duration // by kind of work
	allocated uint64
	longest   time.Duration // of a single step
	lockUses  map[string]*state.LockUse
}

// measure runs work of a controller and charges it to the phase.
func (l *loadScenario) measure(work string, f func()) {
	cost := l.costs[l.phase]
	if cost == nil {
		cost = &phaseCost{busy: map[string]time.Duration{}, lockUses: map[string]*state.LockUse{}}
		l.costs[l.phase] = cost
	}
	before := allocatedBytes()
	began := time.Now()
	pprof.Do(context.Background(), pprof.Labels("phase", l.phase, "work", work), func(context.Context) { f() })
	took := time.Since(began)
	cost.allocated += allocatedBytes() - before
	cost.busy[work] += took
	cost.longest = max(cost.longest, took)
}

// allocatedBytes returns how many bytes the process has allocated in all.
func allocatedBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// print prints what each phase cost, per simulated second of all controllers together.
func (l *loadScenario) print() {
	for _, phase := range []string{"fill", "steady", "takeover", "start", "outage", "return", "last"} {
		cost := l.costs[phase]
		all := time.Duration(0)
		for _, d := range cost.busy {
			all += d
		}
		perSecond := func(d time.Duration) float64 { return d.Seconds() * 1000 / cost.simulated.Seconds() }
		fmt.Printf(
			"%-8s %6.1f ms/s  %6.2f MB/s allocated  longest step %v\n", phase, perSecond(all),
			float64(cost.allocated)/1e6/cost.simulated.Seconds(), cost.longest.Round(time.Microsecond),
		)
		for _, work := range []string{"watch", "lease", "decide", "cloud", "commands", "heartbeat", "user"} {
			fmt.Printf("    %-9s %5.1f %%\n", work, 100*cost.busy[work].Seconds()/all.Seconds())
		}
		for _, use := range mostHeld(cost.lockUses, 6) {
			fmt.Printf(
				"    lock %5.1f %% of the time used, longest %8v, %6d times: %s\n",
				100*use.TotalHeld.Seconds()/all.Seconds(), use.LongestHold.Round(time.Microsecond), use.Holds, use.Function,
			)
		}
	}
	jobs := map[api.JobPhase]int{}
	for _, j := range l.environment.Jobs {
		jobs[j.FinalPhase]++
	}
	fmt.Printf("machines %d, jobs %v, broken rules %d\n", len(l.environment.Cloud.WorkersByHost), jobs, len(l.environment.Violations))
}

// mostHeld returns the functions that held a lock longest in all.
func mostHeld(holds map[string]*state.LockUse, most int) []*state.LockUse {
	uses := slices.SortedFunc(maps.Values(holds), func(a, b *state.LockUse) int { return cmp.Compare(b.TotalHeld, a.TotalHeld) })
	return uses[:min(most, len(uses))]
}

// BenchmarkDeployment plays a simulated deployment with its most expensive seconds. With
// -cpuprofile and -memprofile it shows where a controller's time and memory go; the
// labels "phase" and "work" tell them apart (pprof -tagfocus, -tagroot).
func BenchmarkDeployment(b *testing.B) {
	for _, d := range []*simulator.Deployment{simulator.Deployment300(), simulator.Deployment2000(), simulator.Deployment4000()} {
		b.Run(d.Name, func(b *testing.B) {
			for range b.N {
				l := newLoadScenario(d)
				l.playPhases()
				l.print()
				if len(l.environment.Violations) > 0 {
					b.Fatal(l.environment.Violations[0])
				}
				runtime.GC()
				runtime.KeepAlive(l)
			}
		})
	}
}
