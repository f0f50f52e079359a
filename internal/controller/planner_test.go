package controller

import "testing"

// Rentals take the plan that the last decision made, but once only, for they fill its
// machines, and not one that is older than their own pause.
func TestPlanIsTakenOnce(t *testing.T) {
	c := warmSim().nodes[0].c
	now := c.node.now()
	first := &plan{}
	c.testState().scheduler.rememberPlan(first, now)
	if c.testState().scheduler.reusePlan(now) != first {
		t.Fatal("the newest plan is not taken")
	}
	if c.testState().scheduler.reusePlan(now) == first {
		t.Fatal("taken twice")
	}
	c.testState().scheduler.rememberPlan(first, now)
	if c.testState().scheduler.reusePlan(now.Add(c.node.settings.AutoscaleInterval()+1)) == first {
		t.Fatal("taken though it is old")
	}
}
