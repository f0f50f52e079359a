package sched

import (
	"testing"

	"pgregory.net/rapid"
)

// The fullest fit is a machine that fits and is allowed, and no other such
// machine is left fuller.
func TestFullestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		a := &TaskRequest{
			Need:      drawResources(t, "need", 6),
			AllowSpot: rapid.Bool().Draw(t, "spot"),
			Zone:      rapid.SampledFrom([]string{"", "x"}).Draw(t, "asked"),
		}
		got := FullestFit(hosts, a)
		for _, h := range hosts {
			fits := h.Free.Fits(a.Need) && (a.AllowSpot || !h.Spot) && (a.Zone == "" || a.Zone == h.Zone)
			if got == h && !fits {
				t.Fatalf("%+v does not fit", *h)
			}
			if fits && (got == nil || emptyShare(h, a.Need) < emptyShare(got, a.Need)-epsilon) {
				t.Fatalf("%+v is fuller", *h)
			}
		}
	})
}
