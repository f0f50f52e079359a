package capacity

import (
	"time"

	"violetturn/internal/catalog"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/sched"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Accounting is what shards offer to peers and what teams use of their limits. The lock of
// internal/state guards it.
type Accounting struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table
	catalog    *catalog.Catalog
	room       *Calculator

	arrivals       *Arrivals
	demand         expectedDemand
	quotaShortages map[string]bool // teams whose limit left too little for a placement
}

// AccountingDeps is what accounts read.
type AccountingDeps struct {
	Node         *node.Info
	Cache        *statecache.Cache
	Schema       *schema.State
	Leadership   *leadership.Table
	Catalog      *catalog.Catalog
	FreeCapacity *Calculator
}

// NewAccounting returns accounts that have seen no job arrive.
func NewAccounting(d AccountingDeps) *Accounting {
	return &Accounting{
		node:           d.Node,
		cache:          d.Cache,
		schema:         d.Schema,
		leadership:     d.Leadership,
		catalog:        d.Catalog,
		room:           d.FreeCapacity,
		arrivals:       newArrivals(d.Node, d.Catalog),
		quotaShortages: map[string]bool{},
	}
}

// Arrivals returns the jobs that came lately.
func (a *Accounting) Arrivals() *Arrivals { return a.arrivals }

// putCapacityRecord adds the write of a shard's capacity record to a transaction, on the version
// that is known.
func (a *Accounting) putCapacityRecord(
	t *statecache.Transaction, shardName string, free shard.FreeCapacity, use map[string]sched.Resources,
) {
	before := a.cache.Capacities[shardName]
	t.Require(statecache.CapacityKey(shardName), before.Version)
	record := shard.CapacityRecord{
		Term:                 before.Record.Term,
		Leader:               before.Record.Leader,
		PredecessorMayAnswer: before.Record.PredecessorMayAnswer,
		Free:                 free,
		QuotaUse:             use,
	}
	if led := a.leadership.InForce(shardName); led != nil && a.node.Now().After(led.PredecessorAnswersUntil) {
		record.PredecessorMayAnswer = false // the grace of the leader before has ended
	}
	if left := a.trimCapacity(record.Free, use, a.node.Now()); left > 0 {
		const why = "the capacity record is full; left out are those that peers are least likely to use"
		a.node.Log.Info("machines not offered to peers", "shard", shardName, "machines", left, "why", why)
	}
	t.PutCapacity(statecache.CapacityKey(shardName), &record)
}

// quotaUseBytes is what a team's use takes of a capacity record, at most.
const quotaUseBytes = 128

// trimCapacity leaves out of a shard's free room what does not fit its record beside what
// teams use, and returns how many machines that are.
func (a *Accounting) trimCapacity(free shard.FreeCapacity, use map[string]sched.Resources, now time.Time) (left int) {
	size := a.schema.MaxGrowableBytes() - quotaUseBytes*len(use)
	if free.FitsIn(size) {
		return 0
	}
	return free.TrimTo(size, a.expectedPeerDemand(now))
}
