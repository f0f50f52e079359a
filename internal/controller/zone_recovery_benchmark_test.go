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

// zoneOutcome is what one return of a zone came to.
type zoneOutcome struct {
	readers  time.Duration // until all readers ran again
	arrays   time.Duration // until as many arrays ran as had room
	wasted   int           // tasks of arrays that started and were stopped again
	machines float64       // seconds of machines, which is what is paid for
	changes  float64       // a second
}

// zoneOutcomes are the outcomes of many returns.
type zoneOutcomes struct {
	name              string
	readers, arrays   *hdrhistogram.Histogram // milliseconds
	wasted            int
	machines, changes float64
	failed            int
	series            []zoneOutcome
}

// newZoneOutcomes returns no outcomes.
func newZoneOutcomes(name string) *zoneOutcomes {
	const longest = int64(10 * time.Minute / time.Millisecond)
	return &zoneOutcomes{name: name, readers: hdrhistogram.New(1, longest, 3), arrays: hdrhistogram.New(1, longest, 3)}
}

// add adds an outcome. runs says that it is one: all ran again in time and no rule broke.
func (s *zoneOutcomes) add(tb testing.TB, o zoneOutcome, runs bool) {
	tb.Helper()
	if !runs {
		s.failed++
		return
	}
	for _, x := range []struct {
		to *hdrhistogram.Histogram
		d  time.Duration
	}{{s.readers, o.readers}, {s.arrays, o.arrays}} {
		if err := x.to.RecordValue(max(x.d.Milliseconds(), 1)); err != nil {
			tb.Fatal(err)
		}
	}
	s.wasted += o.wasted
	s.machines += o.machines
	s.changes += o.changes
	s.series = append(s.series, o)
}

// measureZoneReturn plays one return of a zone: partitioned for one to three leases, perhaps flapping,
// and then some of its machines return without those of the readers.
func measureZoneReturn(tb testing.TB, seed uint64, on bool) (o zoneOutcome, runs bool) {
	tb.Helper()
	started := func(*testNode) {}
	if on {
		started = enableZoneRecovery
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	z := newZoneScenario(tb, started)
	withReaders, others := z.machines()
	setPartitioned(withReaders, true)
	setPartitioned(others, true)
	lease := rounds(z.environment.WorkerLease)
	z.runChecked(lease/2 + rnd.IntN(2*lease))
	if rnd.IntN(2) == 0 { // it flaps
		setPartitioned(others, false)
		z.runChecked(4 + rnd.IntN(lease))
		setPartitioned(others, true)
		z.runChecked(4 + rnd.IntN(lease))
	}
	for _, x := range withReaders {
		z.environment.Cloud.Terminate(x.Host)
	}
	staying := others[:readerTasks/2+rnd.IntN(len(others)-readerTasks/2)]
	for _, x := range others[len(staying):] {
		z.environment.Cloud.Terminate(x.Host)
	}
	setPartitioned(staying, false)
	return z.follow(staying)
}

// follow measures from the return of machines on.
func (z *zoneScenario) follow(staying []*simulator.Worker) (o zoneOutcome, runs bool) {
	returned, writes, from := z.environment.Now, z.environment.Store.SentWrites, len(z.starts)
	room := 2*len(staying) - readerTasks
	const most = 600
	for range most {
		z.runRound()
		for _, x := range z.environment.Cloud.Workers() {
			if x.Zone == "x" {
				o.machines += 0.5
			}
		}
		past := z.environment.Now.Sub(returned)
		if o.readers == 0 && z.runningReaders() == readerTasks {
			o.readers = past
		}
		if o.arrays == 0 && o.readers > 0 && z.runningArrays() >= room {
			o.arrays = past
		}
		if o.readers > 0 && o.arrays > 0 {
			break
		}
	}
	for _, s := range z.starts[from:] {
		if !s.reader {
			o.wasted++
		}
	}
	o.wasted = max(0, o.wasted-z.runningArrays())
	o.changes = float64(z.environment.Store.SentWrites-writes) / z.environment.Now.Sub(returned).Seconds()
	return o, o.readers > 0 && o.arrays > 0 && len(z.environment.Violations) == 0
}

// BenchmarkZoneRecovery measures returns of a zone with and without the feature, each over
// the same seeds, in simulated time with simulated services; ZONE_REPORT names an HTML file for the
// plots.
func BenchmarkZoneRecovery(b *testing.B) {
	const seeds = 60
	for range b.N {
		off, on := newZoneOutcomes("off"), newZoneOutcomes("on")
		for seed := range uint64(seeds) {
			for _, s := range []*zoneOutcomes{off, on} {
				o, runs := measureZoneReturn(b, seed, s == on)
				s.add(b, o, runs)
			}
		}
		for _, s := range []*zoneOutcomes{off, on} {
			n := float64(max(len(s.series), 1))
			fmt.Printf(
				"%-3s %d returns, %d not over in time; readers again after %.1f s (median) %.1f (p95) %.1f (worst); "+
					"arrays after %.1f %.1f %.1f; %.2f tasks of arrays stopped again, %.0f s of machines, %.1f changes a second\n",
				s.name, len(s.series), s.failed, quantile(s.readers, 50), quantile(s.readers, 95), quantile(s.readers, 100),
				quantile(s.arrays, 50), quantile(s.arrays, 95), quantile(s.arrays, 100),
				float64(s.wasted)/n, s.machines/n, s.changes/n,
			)
		}
		if path := os.Getenv("ZONE_REPORT"); path != "" {
			if err := plotZoneOutcomes(path, off, on); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// quantile returns a quantile, in percent, in seconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// plotZoneOutcomes writes the plots to a file.
func plotZoneOutcomes(path string, sums ...*zoneOutcomes) error {
	page := components.NewPage()
	page.SetPageTitle("Zone recovery, simulated time and services")
	for _, x := range []struct {
		title string
		of    func(*zoneOutcomes) *hdrhistogram.Histogram
	}{
		{"Seconds until all readers run again", func(s *zoneOutcomes) *hdrhistogram.Histogram { return s.readers }},
		{"Seconds until arrays fill what is left", func(s *zoneOutcomes) *hdrhistogram.Histogram { return s.arrays }},
	} {
		line := charts.NewLine()
		line.SetGlobalOptions(
			charts.WithTitleOpts(opts.Title{Title: x.title, Subtitle: "simulated time and services, by share of the returns"}),
			charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
		)
		var shares []string
		for share := 0; share <= 100; share += 5 {
			shares = append(shares, fmt.Sprintf("%d %%", share))
		}
		line.SetXAxis(shares)
		for _, s := range sums {
			var points []opts.LineData
			for share := 0; share <= 100; share += 5 {
				points = append(points, opts.LineData{Value: quantile(x.of(s), float64(share))})
			}
			line.AddSeries("feature "+s.name, points)
		}
		page.AddCharts(line)
	}
	bar := charts.NewBar()
	bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: "Tasks of arrays started and stopped again", Subtitle: "by return"}))
	var names []string
	for i := range sums[0].series {
		names = append(names, fmt.Sprint(i))
	}
	bar.SetXAxis(names)
	for _, s := range sums {
		var points []opts.BarData
		for _, o := range s.series {
			points = append(points, opts.BarData{Value: o.wasted})
		}
		bar.AddSeries("feature "+s.name, points)
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
