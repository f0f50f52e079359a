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

// zoneSums are the outcomes of many returns.
type zoneSums struct {
	name              string
	readers, arrays   *hdrhistogram.Histogram // milliseconds
	wasted            int
	machines, changes float64
	failed            int
	series            []zoneOutcome
}

func newZoneSums(name string) *zoneSums {
	const longest = int64(10 * time.Minute / time.Millisecond)
	return &zoneSums{name: name, readers: hdrhistogram.New(1, longest, 3), arrays: hdrhistogram.New(1, longest, 3)}
}

func (s *zoneSums) add(b testing.TB, o zoneOutcome, runs bool) {
	if !runs {
		s.failed++
		return
	}
	for _, x := range []struct {
		to *hdrhistogram.Histogram
		d  time.Duration
	}{{s.readers, o.readers}, {s.arrays, o.arrays}} {
		if err := x.to.RecordValue(max(x.d.Milliseconds(), 1)); err != nil {
			b.Fatal(err)
		}
	}
	s.wasted += o.wasted
	s.machines += o.machines
	s.changes += o.changes
	s.series = append(s.series, o)
}

// returnOf plays one return of a zone: cut off for one to three leases, perhaps flapping,
// and then a part of its machines returns without those of the readers.
func returnOf(t testing.TB, seed uint64, on bool) (o zoneOutcome, runs bool) {
	started := func(*simNode) {}
	if on {
		started = switchOn
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	z := newZoneWorld(t, started)
	withReaders, others := z.in()
	cutAll(withReaders, true)
	cutAll(others, true)
	lease := int(z.w.Lease / (500 * time.Millisecond))
	z.play(lease/2 + rnd.IntN(2*lease))
	if rnd.IntN(2) == 0 { // it flaps
		cutAll(others, false)
		z.play(4 + rnd.IntN(lease))
		cutAll(others, true)
		z.play(4 + rnd.IntN(lease))
	}
	for _, x := range withReaders {
		z.w.Cloud.Kill(x.Host)
	}
	staying := others[:readerTasks/2+rnd.IntN(len(others)-readerTasks/2)]
	for _, x := range others[len(staying):] {
		z.w.Cloud.Kill(x.Host)
	}
	cutAll(staying, false)
	return z.follow(staying)
}

// follow measures from the return of machines on.
func (z *zoneWorld) follow(staying []*simulator.Worker) (o zoneOutcome, runs bool) {
	returned, writes, from := z.w.Now, z.w.Store.Writes, len(z.starts)
	room := 2*len(staying) - readerTasks
	const most = 600
	for range most {
		z.round()
		for _, x := range z.w.Cloud.Workers() {
			if x.Zone == "x" {
				o.machines += 0.5
			}
		}
		past := z.w.Now.Sub(returned)
		if o.readers == 0 && z.readersUp() == readerTasks {
			o.readers = past
		}
		if o.arrays == 0 && o.readers > 0 && z.arraysUp() >= room {
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
	o.wasted = max(0, o.wasted-z.arraysUp())
	o.changes = float64(z.w.Store.Writes-writes) / z.w.Now.Sub(returned).Seconds()
	return o, o.readers > 0 && o.arrays > 0 && len(z.w.Violations) == 0
}

// BenchmarkZoneRecovery measures returns of a zone with and without the feature, each over
// the same seeds, in simulated time with simulated services; ZONE_REPORT names an HTML file for the
// plots.
func BenchmarkZoneRecovery(b *testing.B) {
	const seeds = 60
	for range b.N {
		off, on := newZoneSums("off"), newZoneSums("on")
		for seed := range uint64(seeds) {
			for _, s := range []*zoneSums{off, on} {
				o, runs := returnOf(b, seed, s == on)
				s.add(b, o, runs)
			}
		}
		for _, s := range []*zoneSums{off, on} {
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
			if err := reportZones(path, off, on); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// reportZones writes the plots.
func reportZones(path string, sums ...*zoneSums) error {
	page := components.NewPage()
	page.SetPageTitle("Zone recovery, simulated time with stand-ins")
	for _, x := range []struct {
		title string
		of    func(*zoneSums) *hdrhistogram.Histogram
	}{
		{"Seconds until all readers run again", func(s *zoneSums) *hdrhistogram.Histogram { return s.readers }},
		{"Seconds until arrays fill what is left", func(s *zoneSums) *hdrhistogram.Histogram { return s.arrays }},
	} {
		line := charts.NewLine()
		line.SetGlobalOptions(
			charts.WithTitleOpts(opts.Title{Title: x.title, Subtitle: "stand-ins, simulated time, by share of the returns"}),
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
