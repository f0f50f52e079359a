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

// Accounting computes what shards offer to peers and what teams use of their quotas, and adds the
// writes of these records to transactions. The lock of internal/state guards it.
type Accounting struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table
	catalog    *catalog.Catalog
	calculator *Calculator

	arrivals       *Arrivals
	peerDemand     cachedPeerDemand
	quotaShortages map[string]bool // teams whose quota did not suffice for a placement
}

// AccountingDeps are the dependencies that NewAccounting takes.
type AccountingDeps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Schema     *schema.State
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Calculator *Calculator
}

// NewAccounting returns the accounting of capacity and quotas, without any recorded arrival.
func NewAccounting(d AccountingDeps) *Accounting {
	return &Accounting{
		node:           d.Node,
		cache:          d.Cache,
		schema:         d.Schema,
		leadership:     d.Leadership,
		catalog:        d.Catalog,
		calculator:     d.Calculator,
		arrivals:       newArrivals(d.Node, d.Catalog),
		quotaShortages: map[string]bool{},
	}
}

// Arrivals returns the recently accepted jobs.
func (a *Accounting) Arrivals() *Arrivals { return a.arrivals }

// putCapacityRecord adds the write of a shard's capacity record to a transaction, conditional on
// the cached version of the record.
func (a *Accounting) putCapacityRecord(
	transaction *statecache.Transaction, shardName string, free shard.FreeCapacity, quotaUse map[string]sched.Resources,
) {
	current := a.cache.Capacities[shardName]
	transaction.Require(statecache.CapacityKey(shardName), current.Version)
	record := shard.CapacityRecord{
		Term:                 current.Record.Term,
		Leader:               current.Record.Leader,
		PredecessorMayAnswer: current.Record.PredecessorMayAnswer,
		Free:                 free,
		QuotaUse:             quotaUse,
	}
	if shardLeadership := a.leadership.InForce(shardName); shardLeadership != nil &&
		a.node.Now().After(shardLeadership.PredecessorAnswersUntil) {
		record.PredecessorMayAnswer = false // the grace periods of earlier leaders have ended
	}
	if omitted := a.trimCapacity(record.Free, quotaUse, a.node.Now()); omitted > 0 {
		const reason = "the capacity record is full; the machines that peers are least likely to use are omitted"
		a.node.Log.Info("machines not offered to peers", "shard", shardName, "machines", omitted, "why", reason)
	}
	transaction.PutCapacity(statecache.CapacityKey(shardName), &record)
}

// maxQuotaUseBytes is the maximum size of one team's usage in a capacity record.
const maxQuotaUseBytes = 128

// trimCapacity removes machines from a shard's free capacity until it fits in the capacity record
// together with the teams' usage. It returns the number of machines that it removed.
func (a *Accounting) trimCapacity(free shard.FreeCapacity, quotaUse map[string]sched.Resources, now time.Time) (omitted int) {
	maxBytes := a.schema.MaxGrowableBytes() - maxQuotaUseBytes*len(quotaUse)
	if free.FitsIn(maxBytes) {
		return 0
	}
	return free.TrimTo(maxBytes, a.expectedPeerDemand(now))
}
