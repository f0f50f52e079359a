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

// Scheduler plans where tasks go and prepares the transactions that commit it. Between plans it
// remembers how each gang's search for room goes, which jobs wait after failures, and the
// newest plan. The lock of internal/state guards it.
type Scheduler struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
	room       *capacity.Room
	estimates  *estimate.Estimates
	zones      *zonestate.Zones
	accounts   *capacity.Accounts
	wake       notify.Signal

	gangs        gangTable
	backoffs     backoffTable
	lastPlan     lastPlan
	planningTime time.Duration // processor time of plans since ResetPlanningTime
}

// Deps is what a scheduler reads.
type Deps struct {
	Node         *node.Info
	Cache        *statecache.Cache
	Schema       *schema.State
	Leadership   *leadership.Table
	Catalog      *catalog.Catalog
	Agents       *agent.Registry
	FreeCapacity *capacity.Room
	Estimates    *estimate.Estimates
	Zones        *zonestate.Zones
	Accounts     *capacity.Accounts
	Wake         notify.Signal
}

// New returns a scheduler that has planned nothing yet.
func New(d Deps) *Scheduler {
	return &Scheduler{
		node:       d.Node,
		cache:      d.Cache,
		schema:     d.Schema,
		leadership: d.Leadership,
		catalog:    d.Catalog,
		agents:     d.Agents,
		room:       d.FreeCapacity,
		estimates:  d.Estimates,
		zones:      d.Zones,
		accounts:   d.Accounts,
		wake:       d.Wake,
		gangs:      newGangTable(),
		backoffs:   backoffTable{},
	}
}

// HasPendingTasks reports whether a job of an own shard has tasks to place.
func (s *Scheduler) HasPendingTasks() bool {
	for _, job := range s.cache.Jobs {
		if !job.Record.Cancelled && len(job.PendingTasks()) > 0 && s.leadership.Leads(job.Record.Shard) {
			return true
		}
	}
	return false
}

// DropFinishedJobs drops what is remembered of jobs that no longer exist.
func (s *Scheduler) DropFinishedJobs() {
	exists := func(uid string) bool { return s.cache.Jobs[uid] != nil }
	s.backoffs.dropExcept(exists)
	s.gangs.dropExcept(exists)
}

// ResetPlanningTime returns the processor time that plans took since the last call, and begins
// anew.
func (s *Scheduler) ResetPlanningTime() time.Duration {
	spent := s.planningTime
	s.planningTime = 0
	return spent
}
