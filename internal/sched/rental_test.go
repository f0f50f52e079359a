package sched

import (
	"testing"

	"pgregory.net/rapid"
)

// What is rented, with what is coming, holds all unmet tasks that an offer fits,
// and no machine is rented that stays empty.
func TestPlanRentals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Resources{4, 2, 8}
		offers := []Offer{{"m", "x", false, c, 3}, {"m", "x", true, c, 1}, {"m", "y", false, c, 3}}
		u := []UnmetDemand{{
			Request: TaskRequest{Need: Resources{1, 1, 1}, AllowSpot: rapid.Bool().Draw(t, "spot")},
			Count:   rapid.IntRange(0, 9).Draw(t, "count"),
		}}
		coming := []*Host{}
		for range rapid.IntRange(0, 2).Draw(t, "coming") {
			coming = append(coming, &Host{Name: "c", MachineType: "m", Zone: "x", Capacity: c, Free: c})
		}
		slots := 2 * len(coming)
		n := 0
		for _, o := range PlanRentals(u, coming, offers, "y") {
			n += o.Count
			if o.Offer.Spot != u[0].Request.AllowSpot || !o.Offer.Spot && o.Offer.Zone != "y" {
				t.Fatalf("not the cheapest, or not at home: %+v", o)
			}
		}
		want := max(0, u[0].Count-slots)
		if n != (want+1)/2 {
			t.Fatalf("%d machines for %d tasks", n, want)
		}
		if got := PlanRentals(u, nil, nil, "y"); got != nil {
			t.Fatalf("rented without offers: %v", got)
		}
	})
}
