package scheduler

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/capacity"
	"violetturn/internal/catalog"
	"violetturn/internal/estimate"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// Scheduler plans the placement of tasks and prepares the transactions that commit the placements.
// Between plans it keeps the state of each gang's search for capacity, the backoff of jobs whose
// tasks fail, and the newest plan. The lock of internal/state guards it.
type Scheduler struct {
	node               *node.Info
	cache              *statecache.Cache
	schema             *schema.State
	leadership         *leadership.Table
	catalog            *catalog.Catalog
	agents             *agent.Registry
	capacityCalculator *capacity.Calculator
	estimates          *estimate.Estimates
	zones              *zonestate.Zones
	accounting         *capacity.Accounting
	wake               notify.Signal // triggers a decision step

	gangs        gangTable
	backoffs     backoffTable
	cachedPlan   cachedPlan
	planningTime time.Duration // time spent in Plan since the last ResetPlanningTime
}

// Deps holds the dependencies of a Scheduler.
type Deps struct {
	Node               *node.Info
	Cache              *statecache.Cache
	Schema             *schema.State
	Leadership         *leadership.Table
	Catalog            *catalog.Catalog
	Agents             *agent.Registry
	CapacityCalculator *capacity.Calculator
	Estimates          *estimate.Estimates
	Zones              *zonestate.Zones
	Accounting         *capacity.Accounting
	Wake               notify.Signal // triggers a decision step
}

// New returns a scheduler that has not made a plan yet.
func New(d Deps) *Scheduler {
	return &Scheduler{
		node:               d.Node,
		cache:              d.Cache,
		schema:             d.Schema,
		leadership:         d.Leadership,
		catalog:            d.Catalog,
		agents:             d.Agents,
		capacityCalculator: d.CapacityCalculator,
		estimates:          d.Estimates,
		zones:              d.Zones,
		accounting:         d.Accounting,
		wake:               d.Wake,
		gangs:              newGangTable(),
		backoffs:           backoffTable{},
	}
}

// HasPendingTasks reports whether a job of a shard that this controller leads has tasks to place.
func (s *Scheduler) HasPendingTasks() bool {
	for _, job := range s.cache.Jobs {
		if !job.Record.Cancelled && len(job.PendingTasks()) > 0 && s.leadership.Leads(job.Record.Shard) {
			return true
		}
	}
	return false
}

// RemoveFinishedJobs removes the state kept for jobs that no longer exist.
func (s *Scheduler) RemoveFinishedJobs() {
	exists := func(uid string) bool { return s.cache.Jobs[uid] != nil }
	s.backoffs.removeExcept(exists)
	s.gangs.removeExcept(exists)
}

// ResetPlanningTime returns the time spent in Plan since the last call and resets it.
func (s *Scheduler) ResetPlanningTime() time.Duration {
	planningTime := s.planningTime
	s.planningTime = 0
	return planningTime
}
