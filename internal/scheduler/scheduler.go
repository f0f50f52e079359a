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

// Scheduler is what the scheduler remembers between plans.
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
	capacity   *capacity.Accounts
	wake       notify.Signal

	GangStates     map[string]*gangState
	GangsToRelease map[string]bool      // gangs whose claims are to be released
	RetryAt        map[string]time.Time // jobs that failed, when they are tried again
	ErrorsSeen     map[string]int
	lastPlan       lastPlan      // for the next round of rentals
	PlanningTime   time.Duration // processor time of plans since the last decision
}

// Deps is what a scheduler rests on.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Schema     *schema.State
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
	Room       *capacity.Room
	Estimates  *estimate.Estimates
	Zones      *zonestate.Zones
	Capacity   *capacity.Accounts
	Wake       notify.Signal
}

func New(d Deps) *Scheduler {
	return &Scheduler{
		node: d.Node, cache: d.Cache, schema: d.Schema, leadership: d.Leadership, catalog: d.Catalog, agents: d.Agents,
		room: d.Room, estimates: d.Estimates, zones: d.Zones, capacity: d.Capacity, wake: d.Wake,
		GangStates: map[string]*gangState{}, GangsToRelease: map[string]bool{},
		RetryAt: map[string]time.Time{}, ErrorsSeen: map[string]int{},
	}
}
