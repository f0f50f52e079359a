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

	byShard            map[string]*Leadership
	lease              lease
	contact            workerContact
	acknowledgedUntil  map[string]time.Time // by peer: up to when it has told what it did
	leaderlessSince    map[string]time.Time // shards without a leader, since when
	peerReachableSince map[string]time.Time // living controllers that workers reach, since when
	peerAbsentSince    map[string]time.Time // controllers that have not registered, since when
	rateSharers        int                  // controllers that share the state service's rates
}

// NewTable makes the table of a controller that leads nothing and has no lease. Until the
// others' absence shows, all configured controllers share the state service's rates.
func NewTable(node *node.Info, cache *statecache.Cache, schema *schema.State) *Table {
	return &Table{
		node: node, cache: cache, schema: schema,
		byShard:            map[string]*Leadership{},
		acknowledgedUntil:  map[string]time.Time{},
		leaderlessSince:    map[string]time.Time{},
		peerReachableSince: map[string]time.Time{},
		peerAbsentSince:    map[string]time.Time{},
		rateSharers:        node.Settings.Facts.Size,
	}
}

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
