package reconcile

import (
	"violetturn/internal/agent"
	"violetturn/internal/catalog"
	"violetturn/internal/estimate"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// Reconciler compares what workers report with what is committed for them.
type Reconciler struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
	estimates  *estimate.Estimates
	zones      *zonestate.Zones
	wake       notify.Signal
}

// Deps is what a heartbeatReconciler rests on.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
	Estimates  *estimate.Estimates
	Zones      *zonestate.Zones
	Wake       notify.Signal
}

func New(d Deps) *Reconciler {
	return &Reconciler{
		node: d.Node, cache: d.Cache, leadership: d.Leadership, catalog: d.Catalog, agents: d.Agents,
		estimates: d.Estimates, zones: d.Zones, wake: d.Wake,
	}
}
