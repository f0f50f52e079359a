package leadership

import (
	"time"

	"violetturn/internal/node"
	"violetturn/internal/respond"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/transport"
)

// Leadership is a shard that this node owns.
type Leadership struct {
	Term                    uint64
	Version                 uint64    // version of the leader's key
	PredecessorAnswersUntil time.Time // latest time at which an earlier leader can have answered
	Releasing               bool      // being handed over: nothing is answered
	Successor               string    // a peer says that this node has taken it since: nothing is answered
	CapacityRecordedAt      time.Time // when its record was last brought up to date by itself
	NeedsNewTerm            bool      // a worker has seen a higher term: take a new one
}

// MayAct reports whether this node may launch and commit as a leader.
func (l *Table) MayAct(now time.Time) bool {
	return l.cache.Loaded && now.Before(l.LeaseValidUntil)
}

// Require makes a transaction conditional on this node's leadership of a shard: a leader
// that was superseded commits nothing more.
func (l *Table) Require(t *statecache.Transaction, p string) bool {
	o := l.Of(p)
	if o == nil {
		return false
	}
	t.Require(statecache.LeaderKey(p), o.Version)
	return true
}

// Table is which shards this controller leads, and what it knows of its peers' claims.
type Table struct {
	node   *node.Info
	cache  *statecache.Cache
	schema *schema.State

	ByShard            map[string]*Leadership
	LeaseID            uint64               // of the state service; 0: none
	LeaseValidUntil    time.Time            // the lease surely lasts until then
	acknowledgedUntil  map[string]time.Time // by peer: up to when it has answered for what it did
	leaderlessSince    map[string]time.Time // shards without a leader, since when
	peerReachableSince map[string]time.Time // living controllers that workers reach, since when
	peerAbsentSince    map[string]time.Time // controllers that have not registered, since when
	RateSharers        int                  // controllers that share the state service's rates
	Contact            WorkerContact
}

func NewTable(node *node.Info, cache *statecache.Cache, schema *schema.State) *Table {
	return &Table{
		node: node, cache: cache, schema: schema,
		ByShard:            map[string]*Leadership{},
		acknowledgedUntil:  map[string]time.Time{},
		leaderlessSince:    map[string]time.Time{},
		peerReachableSince: map[string]time.Time{},
		peerAbsentSince:    map[string]time.Time{},
		RateSharers:        node.Settings.Facts.Size,
	}
}

// Of returns the shard if this node owns it.
func (l *Table) Of(p string) *Leadership {
	o := l.ByShard[p]
	if o == nil || o.Releasing || o.Successor != "" || l.cache.Leaders[p].Version != o.Version {
		return nil
	}
	return o
}

// Redirect answers a worker whose shard this node may not answer for. It does so at once: a
// 200 that the worker has to drop would hold it here while its lease runs out.
func (l *Table) Redirect(shard string) transport.Response {
	if led := l.ByShard[shard]; led != nil && led.Successor != "" && led.Successor != l.node.Settings.HostName {
		return respond.JSON(421, map[string]string{"steward": led.Successor})
	}
	if own := l.cache.Leaders[shard]; own.Record != nil && own.Record.Node != l.node.Settings.HostName {
		return respond.JSON(421, map[string]string{"steward": own.Record.Node})
	}
	return respond.JSON(421, struct{}{})
}
