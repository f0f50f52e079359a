package autoscaler

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/capacity"
	"violetturn/internal/catalog"
	"violetturn/internal/estimate"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/scheduler"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// Autoscaler is what the autoscaler remembers between rounds.
type Autoscaler struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
	room       *capacity.Room
	estimates  *estimate.Estimates
	zones      *zonestate.Zones
	capacity   *capacity.Accounts
	scheduler  *scheduler.Scheduler
	wake       notify.Signal

	sufficientHeadroom sufficientHeadroom
	scaleInCheckedAt   time.Time // when machines were last looked over for scale-in
	migratedAt         time.Time // when replicas were last migrated to save a machine
}

// Deps is what an autoscaler rests on.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
	Room       *capacity.Room
	Estimates  *estimate.Estimates
	Zones      *zonestate.Zones
	Capacity   *capacity.Accounts
	Scheduler  *scheduler.Scheduler
	Wake       notify.Signal
}

func New(d Deps) *Autoscaler {
	return &Autoscaler{
		node: d.Node, cache: d.Cache, leadership: d.Leadership, catalog: d.Catalog, agents: d.Agents, room: d.Room,
		estimates: d.Estimates, zones: d.Zones, capacity: d.Capacity, scheduler: d.Scheduler, wake: d.Wake,
	}
}
