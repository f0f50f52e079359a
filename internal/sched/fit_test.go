package sched

import (
	"testing"

	"pgregory.net/rapid"
)

// FullestFit returns a machine that fits and is allowed, and no other such machine would be left
// fuller.
func TestFullestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		request := &TaskRequest{
			Need:      drawResources(t, "need", 6),
			AllowSpot: rapid.Bool().Draw(t, "spot"),
			Zone:      rapid.SampledFrom([]string{"", "x"}).Draw(t, "zone"),
		}
		got := FullestFit(hosts, request)
		for _, h := range hosts {
			fits := h.Free.Fits(request.Need) && (request.AllowSpot || !h.Spot) && (request.Zone == "" || request.Zone == h.Zone)
			if got == h && !fits {
				t.Fatalf("FullestFit() = %+v, which does not fit", *h)
			}
			if fits && (got == nil || freeShareAfter(h, request.Need) < freeShareAfter(got, request.Need)-epsilon) {
				t.Fatalf("FullestFit() = %v, want the fuller machine %+v", got, *h)
			}
		}
	})
}
