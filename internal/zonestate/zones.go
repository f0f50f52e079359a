package zonestate

import (
	"violetturn/internal/agent"
	"violetturn/internal/catalog"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// Zones is what this controller sees of zones.
type Zones struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry

	View View
}

// Deps is what a zoneState rests on.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Schema     *schema.State
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
}

func New(d Deps) *Zones {
	return &Zones{
		node: d.Node, cache: d.Cache, schema: d.Schema, leadership: d.Leadership, catalog: d.Catalog, agents: d.Agents,
	}
}
