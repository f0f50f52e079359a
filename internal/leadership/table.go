package leadership

import (
	"time"

	"violetturn/internal/node"
	"violetturn/internal/respond"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/transport"
)

// Table holds the shards that this controller leads, the lease under which it leads them, and
// up to when its peers have acknowledged their actions. The lock of internal/state guards it.
//
// There is at most one leadership per shard, and none before a lease was granted.
type Table struct {
	node   *node.Info
	cache  *statecache.Cache
	schema *schema.State

	byShard           map[string]*Leadership
	lease             lease
	acknowledgedUntil map[string]time.Time // by peer, the time up to which it has acknowledged its actions
	contact           *WorkerContact
	rates             *RateSharing
	planner           *Planner
}

// NewTable creates the table of a controller that leads no shard and has no lease.
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

// Contact returns the record of whether workers reach this controller.
func (t *Table) Contact() *WorkerContact { return t.contact }

// Rates returns the count of controllers that share the state service's rate limits.
func (t *Table) Rates() *RateSharing { return t.rates }

// Planner returns the planner that decides which shards are acquired and released.
func (t *Table) Planner() *Planner { return t.planner }

// Redirect returns the response to a worker of a shard for which this controller may not answer. It
// names the shard's leader if that is known. The worker is redirected at once: after a 200, which
// the worker has to drop, the worker would stay with this controller while its lease expires.
func (t *Table) Redirect(shard string) transport.Response {
	self := t.node.Settings.HostName
	if held := t.byShard[shard]; held != nil && held.successor != "" && held.successor != self {
		return respond.Misdirected(held.successor)
	}
	if leader := t.cache.Leaders[shard].Record; leader != nil && leader.Node != self {
		return respond.Misdirected(leader.Node)
	}
	return respond.Misdirected("")
}

// isOwnIncarnation reports whether the controller and incarnation in a record are those of this
// controller process.
func (t *Table) isOwnIncarnation(controller string, incarnation uint64) bool {
	return controller == t.node.Settings.HostName && incarnation == t.node.Incarnation
}
