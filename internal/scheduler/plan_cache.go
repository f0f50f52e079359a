package scheduler

import (
	"time"
)

// cachedPlan is the plan of the latest decision step and the time when it was made.
type cachedPlan struct {
	plan      *Plan
	createdAt time.Time
}

// CachePlan stores a plan for the next run of the autoscaler.
func (s *Scheduler) CachePlan(plan *Plan, createdAt time.Time) {
	s.cachedPlan = cachedPlan{plan: plan, createdAt: createdAt}
}

// RecentPlan returns the cached plan if it was made within the last autoscaling interval, or else a
// new one. A plan is the most expensive computation of a controller, and the unmet demand of a
// decision step is also the demand for which machines are rented. Each plan is returned only once,
// because the planning of rentals assigns tasks to its machines.
func (s *Scheduler) RecentPlan(now time.Time) *Plan {
	cached := s.cachedPlan
	s.cachedPlan = cachedPlan{}
	if cached.plan != nil && now.Sub(cached.createdAt) <= s.node.Settings.AutoscaleInterval() {
		return cached.plan
	}
	return s.Plan(now)
}
