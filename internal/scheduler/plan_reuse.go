package scheduler

import (
	"time"
)

// lastPlan is the newest plan that a decision made, and when.
type lastPlan struct {
	plan *Plan
	at   time.Time
}

// RememberPlan keeps a plan for the next round of rentals.
func (sch *Scheduler) RememberPlan(p *Plan, at time.Time) { sch.lastPlan = lastPlan{p, at} }

// ReusePlan returns a plan that was made since the last round of rentals, or else makes
// one: a plan is the dearest thing that a controller works out, and what a decision
// found to lack room lacks it for rentals too. Each plan is given once, for who rents
// fills its machines.
func (sch *Scheduler) ReusePlan(now time.Time) *Plan {
	recent := sch.lastPlan
	sch.lastPlan = lastPlan{}
	if recent.plan != nil && now.Sub(recent.at) <= sch.node.Settings.AutoscaleInterval() {
		return recent.plan
	}
	return sch.Plan(now)
}
