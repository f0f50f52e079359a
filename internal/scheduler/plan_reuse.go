package scheduler

import (
	"time"
)

// lastPlan is the newest plan that a decision made, and when.
type lastPlan struct {
	plan   *Plan
	madeAt time.Time
}

// CachePlan keeps a plan for the next round of rentals.
func (s *Scheduler) CachePlan(plan *Plan, at time.Time) {
	s.lastPlan = lastPlan{plan: plan, madeAt: at}
}

// RecentPlan returns a plan that was made since the last round of rentals, or else makes
// one: a plan is the most expensive computation of a controller, and what a decision found to
// lack room lacks it for rentals too. Each plan is returned once, because rentals fill its
// machines.
func (s *Scheduler) RecentPlan(now time.Time) *Plan {
	last := s.lastPlan
	s.lastPlan = lastPlan{}
	if last.plan != nil && now.Sub(last.madeAt) <= s.node.Settings.AutoscaleInterval() {
		return last.plan
	}
	return s.Plan(now)
}
