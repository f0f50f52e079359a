package capacity

import (
	"violetturn/internal/catalog"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// PutCapacityRecord writes a shard's capacity record.
func (acc *Accounts) PutCapacityRecord(t *statecache.Transaction, p string, free shard.FreeCapacity, use map[string][3]float64) {
	rec := acc.cache.Capacities[p]
	t.Require(statecache.CapacityKey(p), rec.Version)
	r := shard.CapacityRecord{
		Term:               rec.Record.Term,
		Leader:             rec.Record.Leader,
		PredecessorInDoubt: rec.Record.PredecessorInDoubt,
		Free:               free,
		QuotaUse:           use,
	}
	if o := acc.leadership.InForce(p); o != nil && acc.node.Now().After(o.PredecessorAnswersUntil) {
		r.PredecessorInDoubt = false // the grace of whoever came before us is over
	}
	if n := acc.TrimCapacity(r.Free, use, acc.node.Now()); n > 0 {
		acc.node.Log.Info(
			"machines not offered to peers", "shard", p, "machines", n, "why",
			"the capacity record is full; left out are those that peers are least likely to use",
		)
	}
	t.PutCapacity(statecache.CapacityKey(p), &r)
}

// StillOffered reports whether every machine that is offered has the room that it is offered
// with.
func StillOffered(now, offered shard.FreeCapacity) bool {
	for h, v := range offered {
		if r, ok := now[h]; !ok || !shard.Unvec(r).Fits(shard.Unvec(v)) {
			return false
		}
	}
	return true
}

// Accounts is what shards offer and what teams use of their limits.
type Accounts struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table
	catalog    *catalog.Catalog
	room       *Room

	Arrivals       map[string][]Arrival // by class, the recent ones
	demand         peerDemand
	QuotaShortages map[string]bool // teams whose limit left too little for a placement
}

// AccountDeps is what capacityAccounts rest on.
type AccountDeps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Schema     *schema.State
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Room       *Room
}

func NewAccounts(d AccountDeps) *Accounts {
	return &Accounts{
		node: d.Node, cache: d.Cache, schema: d.Schema, leadership: d.Leadership, catalog: d.Catalog, room: d.Room,
		Arrivals: map[string][]Arrival{}, QuotaShortages: map[string]bool{},
	}
}
