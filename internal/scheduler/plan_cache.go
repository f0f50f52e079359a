package scheduler

import (
	"time"
)

// cachedPlan is the newest plan of a decision round and the time when it was made.
type cachedPlan struct {
	plan      *Plan
	createdAt time.Time
}

// CachePlan stores a plan for the next round of rentals.
func (s *Scheduler) CachePlan(plan *Plan, createdAt time.Time) {
	s.cachedPlan = cachedPlan{plan: plan, createdAt: createdAt}
}

// RecentPlan returns the stored plan if it was made within the last autoscaling interval, or else a
// new one. A plan is the most expensive computation of a controller, and the demand that was unmet
// for a decision is unmet for rentals too. Each plan is returned once only, because rentals assign
// tasks to its machines.
func (s *Scheduler) RecentPlan(now time.Time) *Plan {
	cached := s.cachedPlan
	s.cachedPlan = cachedPlan{}
	if cached.plan != nil && now.Sub(cached.createdAt) <= s.node.Settings.AutoscaleInterval() {
		return cached.plan
	}
	return s.Plan(now)
}
