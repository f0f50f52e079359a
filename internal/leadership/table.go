package leadership

import (
	"time"

	"violetturn/internal/node"
	"violetturn/internal/respond"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/transport"
)

// Table keeps which shards this controller leads, the lease that it leads them under, and what
// it knows of its peers. The lock of internal/state guards it.
//
// There is at most one leadership a shard, and none while there is no lease that was granted.
type Table struct {
	node   *node.Info
	cache  *statecache.Cache
	schema *schema.State

	byShard           map[string]*Leadership
	lease             lease
	acknowledgedUntil map[string]time.Time // by peer: up to when it has told what it did
	contact           *WorkerContact
	rates             *RateSharing
	planner           *Planner
}

// NewTable makes the table of a controller that leads nothing and has no lease.
func NewTable(node *node.Info, cache *statecache.Cache, schema *schema.State) *Table {
	t := &Table{
		node: node, cache: cache, schema: schema,
		byShard:           map[string]*Leadership{},
		acknowledgedUntil: map[string]time.Time{},
		contact:           &WorkerContact{node: node, cache: cache},
		rates:             newRateSharing(node, cache),
	}
	t.planner = newPlanner(t)
	return t
}

// Contact returns what this node knows of whether its workers reach it.
func (t *Table) Contact() *WorkerContact { return t.contact }

// Rates returns how many controllers share the state service's rates.
func (t *Table) Rates() *RateSharing { return t.rates }

// Planner returns what decides which shards are acquired and released.
func (t *Table) Planner() *Planner { return t.planner }

// Redirect answers a worker whose shard this node may not answer for. It does so at once: a
// 200 that the worker has to drop would hold it here while its lease runs out.
func (t *Table) Redirect(shard string) transport.Response {
	me := t.node.Settings.HostName
	if known := t.byShard[shard]; known != nil && known.successor != "" && known.successor != me {
		return respond.Misdirected(known.successor)
	}
	if leader := t.cache.Leaders[shard].Record; leader != nil && leader.Node != me {
		return respond.Misdirected(leader.Node)
	}
	return respond.Misdirected("")
}

// isOwnLife reports whether a record of a leader or node, with that node and incarnation, was
// made by this life of this process.
func (t *Table) isOwnLife(node string, incarnation uint64) bool {
	return node == t.node.Settings.HostName && incarnation == t.node.Incarnation
}
