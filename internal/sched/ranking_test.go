package sched

import (
	"testing"

	"pgregory.net/rapid"
)

// Tasks of a job go where one look for each of them would have put them, however the
// zones that its other tasks leave change from task to task.
func TestRankingIsRepeatedFullestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		for _, h := range hosts {
			h.ArrayTasks = rapid.IntRange(0, 1).Draw(t, "arrays")
			if rapid.Bool().Draw(t, "has image") {
				h.Images = map[string]bool{"i": true}
			}
		}
		plain := make([]*Host, len(hosts))
		for i, h := range hosts {
			same := *h
			plain[i] = &same
		}
		a := &TaskRequest{
			Need:         drawResources(t, "need", 6),
			AllowSpot:    rapid.Bool().Draw(t, "spot"),
			Zone:         rapid.SampledFrom([]string{"", "x"}).Draw(t, "asked"),
			Image:        "i",
			PreferImage:  rapid.Bool().Draw(t, "prefers its image"),
			RequireImage: rapid.Bool().Draw(t, "requires its image"),
			Service:      rapid.Bool().Draw(t, "service"),
		}
		r := NewRanking(nil, nil, &TaskRequest{})
		r = NewRanking(r, hosts[:len(hosts)/2], a)
		for _, h := range hosts[len(hosts)/2:] {
			r.Add(h)
		}
		for range rapid.IntRange(1, 12).Draw(t, "tasks") {
			barred := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "barred")
			one := *a
			one.ZoneAllowed = func(zone string) bool { return zone != barred }
			got, want := r.Best(one.ZoneAllowed), FullestFit(plain, &one)
			if (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
				t.Fatalf("%v, one look gives %v", got, want)
			}
			if got == nil {
				continue
			}
			for _, h := range []*Host{got, want} {
				if h.Free = h.Free.Sub(a.Need); a.Service {
					h.ServiceTasks++
				} else {
					h.ArrayTasks++
				}
			}
		}
	})
}
