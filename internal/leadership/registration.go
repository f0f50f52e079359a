package leadership

import (
	"slices"

	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Registration returns the transaction that makes this node's record and its capabilities tell
// what is so now; nil if they do.
func (t *Table) Registration() *statecache.Transaction {
	me := t.node.Settings.HostName
	record, wanted := t.cache.Nodes[me].Record, t.nodeRecord()
	announced := t.capabilitiesAnnounced()
	if announced && record != nil && t.isOwnLife(record.Node, record.Incarnation) &&
		record.WorkersUnreachable == wanted.WorkersUnreachable && record.HasWorkerContact == wanted.HasWorkerContact {
		return nil
	}
	txn := statecache.NewTransaction()
	txn.PutWithLease(statecache.NodeKey(me), wanted, t.lease.id)
	if !announced {
		capabilities := shard.CapabilityRecord{SchemaVersion: schema.Version, Features: wanted.Features}
		txn.Put(statecache.CapabilityKey(me), capabilities)
	}
	return txn
}

// capabilitiesAnnounced reports whether the record that outlives this process tells which forms
// of records and which features it knows.
func (t *Table) capabilitiesAnnounced() bool {
	capabilities := t.cache.Capabilities[t.node.Settings.HostName].Record
	return capabilities != nil && capabilities.SchemaVersion >= schema.Version &&
		slices.Equal(capabilities.Features, t.node.Features.Names())
}

// nodeRecord returns what this node says of itself.
func (t *Table) nodeRecord() shard.NodeRecord {
	return shard.NodeRecord{
		Node:               t.node.Settings.HostName,
		Incarnation:        t.node.Incarnation,
		WorkersUnreachable: t.contact.unreachable,
		HasWorkerContact:   t.contact.hearsWorkers,
		SchemaVersion:      schema.Version,
		Features:           t.node.Features.Names(),
	}
}
