package sched

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The rented and provisioning machines have capacity for all unmet tasks that fit an offer, and no
// rented machine stays empty.
func TestPlanRentalsCoversUnmetDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := Resources{CPUs: 4, GPUs: 2, MemGB: 8}
		offers := []Offer{{"m", "x", false, capacity, 3}, {"m", "x", true, capacity, 1}, {"m", "y", false, capacity, 3}}
		unmet := []UnmetDemand{{
			Request: TaskRequest{Need: Resources{CPUs: 1, GPUs: 1, MemGB: 1}, AllowSpot: rapid.Bool().Draw(t, "spot")},
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

// Guards against a negative price per task for tasks so small that any number of them fits, which made
// the first offer the cheapest.
func TestTinyTasksRentTheCheapestOffer(t *testing.T) {
	for _, need := range []float64{0, math.SmallestNonzeroFloat64, 1e-300, 1e-7} {
		capacity := Resources{CPUs: 8, MemGB: 64}
		offers := []Offer{{Zone: "x", Capacity: capacity, Price: 3}, {Zone: "y", Capacity: capacity, Price: 1}}
		unmet := []UnmetDemand{{Request: TaskRequest{Need: Resources{CPUs: need, MemGB: 1e-300}}, Count: 1}}
		orders := PlanRentals(unmet, nil, offers, "")
		if len(orders) != 1 || orders[0].Offer.Price != 1 {
			t.Errorf("task of %g CPUs: got orders %+v, want one of the cheaper offer", need, orders)
		}
	}
}
