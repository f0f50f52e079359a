package controller

import "testing"

// Rentals take the plan that the last decision made, but once only, for they fill its
// machines, and not one that is older than their own pause.
func TestPlanIsTakenOnce(t *testing.T) {
	c := warmSim().nodes[0].c
	now := c.now()
	first := &plan{}
	c.lastPlan = lastPlan{first, now}
	if c.reusePlan(now) != first {
		t.Fatal("the newest plan is not taken")
	}
	if c.reusePlan(now) == first {
		t.Fatal("taken twice")
	}
	c.lastPlan = lastPlan{first, now}
	if c.reusePlan(now.Add(c.cfg.AutoscaleInterval()+1)) == first {
		t.Fatal("taken though it is old")
	}
}
