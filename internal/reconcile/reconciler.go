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

// Reconciler compares the tasks that workers report with the tasks that are committed for their
// machines. It has no state of its own: what it observes is stored in its dependencies, most of
// it in the agent registry.
type Reconciler struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
	estimates  *estimate.Estimates
	zones      *zonestate.Zones
	wake       notify.Signal // wakes the decision loop
}

// Deps are the dependencies of a Reconciler.
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

// New returns a Reconciler with the given dependencies.
func New(deps Deps) *Reconciler {
	return &Reconciler{
		node: deps.Node, cache: deps.Cache, leadership: deps.Leadership, catalog: deps.Catalog, agents: deps.Agents,
		estimates: deps.Estimates, zones: deps.Zones, wake: deps.Wake,
	}
}
