package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"violetturn/internal/simulator"
)

// zoneOutcome is the result of one simulated return of a zone.
type zoneOutcome struct {
	serviceDelay    time.Duration // until all replicas of services ran again
	arrayDelay      time.Duration // until as many array tasks ran as fit beside the services
	stoppedTasks    int           // array tasks that started and were stopped again
	machineSeconds  float64       // paid machine time
	writesPerSecond float64       // to the state service
}

// zoneOutcomes collects the outcomes of many returns of a zone, with or without zone recovery.
type zoneOutcomes struct {
	name                            string
	serviceDelays, arrayDelays      *hdrhistogram.Histogram // milliseconds
	stoppedTasks                    int                     // sum over all outcomes
	machineSeconds, writesPerSecond float64                 // sums over all outcomes
	failed                          int                     // returns after which not everything ran again in time, or a rule was violated
	outcomes                        []zoneOutcome
}

// newZoneOutcomes returns an empty collection.
func newZoneOutcomes(name string) *zoneOutcomes {
	const maxDelayMS = int64(10 * time.Minute / time.Millisecond)
	return &zoneOutcomes{name: name, serviceDelays: hdrhistogram.New(1, maxDelayMS, 3), arrayDelays: hdrhistogram.New(1, maxDelayMS, 3)}
}

// add adds an outcome. recovered is set if everything ran again in time and no rule of the
// simulator was violated; other outcomes only count as failed.
func (s *zoneOutcomes) add(tb testing.TB, outcome zoneOutcome, recovered bool) {
	tb.Helper()
	if !recovered {
		s.failed++
		return
	}
	for _, measured := range []struct {
		histogram *hdrhistogram.Histogram
		delay     time.Duration
	}{{s.serviceDelays, outcome.serviceDelay}, {s.arrayDelays, outcome.arrayDelay}} {
		if err := measured.histogram.RecordValue(max(measured.delay.Milliseconds(), 1)); err != nil {
			tb.Fatal(err)
		}
	}
	s.stoppedTasks += outcome.stoppedTasks
	s.machineSeconds += outcome.machineSeconds
	s.writesPerSecond += outcome.writesPerSecond
	s.outcomes = append(s.outcomes, outcome)
}

// measureZoneReturn simulates one return of a zone: it is partitioned for one half to two and a
// half leases, may return and fail again, and then some of its machines return, but not those
// that ran services.
func measureZoneReturn(tb testing.TB, seed uint64, enabled bool) (outcome zoneOutcome, recovered bool) {
	tb.Helper()
	onStart := func(*testNode) {}
	if enabled {
		onStart = enableZoneRecovery
	}
	random := rand.New(rand.NewPCG(seed, 7))
	z := newZoneScenario(tb, onStart)
	serviceMachines, otherMachines := z.zoneMachines()
	setPartitioned(serviceMachines, true)
	setPartitioned(otherMachines, true)
	leaseRounds := rounds(z.environment.WorkerLease)
	z.runChecked(leaseRounds/2 + random.IntN(2*leaseRounds))
	if random.IntN(2) == 0 { // the zone returns and fails again
		setPartitioned(otherMachines, false)
		z.runChecked(4 + random.IntN(leaseRounds))
		setPartitioned(otherMachines, true)
		z.runChecked(4 + random.IntN(leaseRounds))
	}
	for _, worker := range serviceMachines {
		z.environment.Cloud.Terminate(worker.Host)
	}
	returning := otherMachines[:serviceReplicas/2+random.IntN(len(otherMachines)-serviceReplicas/2)]
	for _, worker := range otherMachines[len(returning):] {
		z.environment.Cloud.Terminate(worker.Host)
	}
	setPartitioned(returning, false)
	return z.measureRecovery(returning)
}

// measureRecovery measures the recovery from the return of the given machines on.
func (z *zoneScenario) measureRecovery(returning []*simulator.Worker) (outcome zoneOutcome, recovered bool) {
	returnedAt, writesBefore, firstStart := z.environment.Now, z.environment.Store.SentWrites, len(z.taskStarts)
	spareSlots := 2*len(returning) - serviceReplicas
	const maxRounds = 600
	for range maxRounds {
		z.runRound()
		for _, worker := range z.environment.Cloud.Workers() {
			if worker.Zone == "x" {
				outcome.machineSeconds += 0.5
			}
		}
		elapsed := z.environment.Now.Sub(returnedAt)
		if outcome.serviceDelay == 0 && z.runningReplicas() == serviceReplicas {
			outcome.serviceDelay = elapsed
		}
		if outcome.arrayDelay == 0 && outcome.serviceDelay > 0 && z.runningArrayTasks() >= spareSlots {
			outcome.arrayDelay = elapsed
		}
		if outcome.serviceDelay > 0 && outcome.arrayDelay > 0 {
			break
		}
	}
	for _, start := range z.taskStarts[firstStart:] {
		if !start.isReplica {
			outcome.stoppedTasks++
		}
	}
	outcome.stoppedTasks = max(0, outcome.stoppedTasks-z.runningArrayTasks())
	outcome.writesPerSecond = float64(z.environment.Store.SentWrites-writesBefore) / z.environment.Now.Sub(returnedAt).Seconds()
	return outcome, outcome.serviceDelay > 0 && outcome.arrayDelay > 0 && len(z.environment.Violations) == 0
}

// BenchmarkZoneRecovery measures returns of a zone with and without zone recovery, each with the
// same seeds, in simulated time with simulated services. The environment variable ZONE_REPORT
// names an HTML file for the plots.
func BenchmarkZoneRecovery(b *testing.B) {
	const seeds = 60
	for range b.N {
		off, on := newZoneOutcomes("off"), newZoneOutcomes("on")
		for seed := range uint64(seeds) {
			for _, result := range []*zoneOutcomes{off, on} {
				outcome, recovered := measureZoneReturn(b, seed, result == on)
				result.add(b, outcome, recovered)
			}
		}
		for _, result := range []*zoneOutcomes{off, on} {
			n := float64(max(len(result.outcomes), 1))
			fmt.Printf(
				"%-3s %d returns, %d not recovered in time; services run after %.1f s (median) %.1f (p95) %.1f (worst); "+
					"arrays after %.1f %.1f %.1f; %.2f array tasks stopped again, %.0f s of machine time, %.1f writes per second\n",
				result.name, len(result.outcomes), result.failed,
				quantileSeconds(result.serviceDelays, 50), quantileSeconds(result.serviceDelays, 95),
				quantileSeconds(result.serviceDelays, 100),
				quantileSeconds(result.arrayDelays, 50), quantileSeconds(result.arrayDelays, 95), quantileSeconds(result.arrayDelays, 100),
				float64(result.stoppedTasks)/n, result.machineSeconds/n, result.writesPerSecond/n,
			)
		}
		if path := os.Getenv("ZONE_REPORT"); path != "" {
			if err := plotZoneOutcomes(path, off, on); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// quantileSeconds returns a quantile, given in percent, of a histogram of milliseconds, in
// seconds.
func quantileSeconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// plotZoneOutcomes writes the plots to an HTML file.
func plotZoneOutcomes(path string, results ...*zoneOutcomes) error {
	page := components.NewPage()
	page.SetPageTitle("Zone recovery, simulated time and services")
	for _, chart := range []struct {
		title     string
		histogram func(*zoneOutcomes) *hdrhistogram.Histogram
	}{
		{"Seconds until all services run again", func(s *zoneOutcomes) *hdrhistogram.Histogram { return s.serviceDelays }},
		{"Seconds until arrays fill the remaining capacity", func(s *zoneOutcomes) *hdrhistogram.Histogram { return s.arrayDelays }},
	} {
		line := charts.NewLine()
		line.SetGlobalOptions(
			charts.WithTitleOpts(opts.Title{Title: chart.title, Subtitle: "simulated time and services, by share of the returns"}),
			charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
		)
		var shares []string
		for share := 0; share <= 100; share += 5 {
			shares = append(shares, fmt.Sprintf("%d %%", share))
		}
		line.SetXAxis(shares)
		for _, result := range results {
			var points []opts.LineData
			for share := 0; share <= 100; share += 5 {
				points = append(points, opts.LineData{Value: quantileSeconds(chart.histogram(result), float64(share))})
			}
			line.AddSeries("feature "+result.name, points)
		}
		page.AddCharts(line)
	}
	bar := charts.NewBar()
	bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: "Array tasks started and stopped again", Subtitle: "by return"}))
	var labels []string
	for i := range results[0].outcomes {
		labels = append(labels, fmt.Sprint(i))
	}
	bar.SetXAxis(labels)
	for _, result := range results {
		var points []opts.BarData
		for _, outcome := range result.outcomes {
			points = append(points, opts.BarData{Value: outcome.stoppedTasks})
		}
		bar.AddSeries("feature "+result.name, points)
	}
	page.AddCharts(bar)
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := page.Render(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
