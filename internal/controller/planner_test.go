package controller

import (
	"testing"

	"violetturn/internal/scheduler"
)

// Rentals take the plan that the last decision made, but once only, for they fill its
// machines, and not one that is older than their own pause.
func TestPlanIsTakenOnce(t *testing.T) {
	c := warmSim().nodes[0].c
	now := c.node.Now()
	first := &scheduler.Plan{}
	c.testState().Scheduler.RememberPlan(first, now)
	if c.testState().Scheduler.ReusePlan(now) != first {
		t.Fatal("the newest plan is not taken")
	}
	if c.testState().Scheduler.ReusePlan(now) == first {
		t.Fatal("taken twice")
	}
	c.testState().Scheduler.RememberPlan(first, now)
	if c.testState().Scheduler.ReusePlan(now.Add(c.node.Settings.AutoscaleInterval()+1)) == first {
		t.Fatal("taken though it is old")
	}
}
