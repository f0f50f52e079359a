package sched

import (
	"testing"

	"pgregory.net/rapid"
)

// The rented and provisioning machines have capacity for all unmet tasks that fit an offer, and no
// rented machine stays empty.
func TestPlanRentalsCoversUnmetDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := Resources{4, 2, 8}
		offers := []Offer{{"m", "x", false, capacity, 3}, {"m", "x", true, capacity, 1}, {"m", "y", false, capacity, 3}}
		unmet := []UnmetDemand{{
			Request: TaskRequest{Need: Resources{1, 1, 1}, AllowSpot: rapid.Bool().Draw(t, "spot")},
			Count:   rapid.IntRange(0, 9).Draw(t, "count"),
		}}
		provisioning := []*Host{}
		for range rapid.IntRange(0, 2).Draw(t, "provisioning") {
			provisioning = append(provisioning, &Host{Name: "c", MachineType: "m", Zone: "x", Capacity: capacity, Free: capacity})
		}
		slots := 2 * len(provisioning)
		rented := 0
		for _, order := range PlanRentals(unmet, provisioning, offers, "y") {
			rented += order.Count
			if order.Offer.Spot != unmet[0].Request.AllowSpot || !order.Offer.Spot && order.Offer.Zone != "y" {
				t.Fatalf("PlanRentals() orders %+v, want the cheapest offer in the preferred zone", order)
			}
		}
		unplaced := max(0, unmet[0].Count-slots)
		if rented != (unplaced+1)/2 {
			t.Fatalf("PlanRentals() orders %d machines for %d tasks, want %d", rented, unplaced, (unplaced+1)/2)
		}
		if got := PlanRentals(unmet, nil, nil, "y"); got != nil {
			t.Fatalf("PlanRentals() without offers = %v, want nil", got)
		}
	})
}
