package leadership

import (
	"slices"

	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Registration returns the transaction that updates this controller's record and its capability
// record; nil if both are up to date.
func (t *Table) Registration() *statecache.Transaction {
	self := t.node.Settings.HostName
	record, desired := t.cache.Nodes[self].Record, t.nodeRecord()
	announced := t.capabilitiesAnnounced()
	if announced && record != nil && t.isOwnIncarnation(record.Node, record.Incarnation) &&
		record.WorkersUnreachable == desired.WorkersUnreachable && record.HasWorkerContact == desired.HasWorkerContact {
		return nil
	}
	txn := statecache.NewTransaction()
	txn.PutWithLease(statecache.NodeKey(self), desired, t.lease.id)
	if !announced {
		capabilities := shard.CapabilityRecord{SchemaVersion: schema.Version, Features: desired.Features}
		txn.Put(statecache.CapabilityKey(self), capabilities)
	}
	return txn
}

// capabilitiesAnnounced reports whether the capability record, which outlives this process,
// includes the schema version and the features that this controller supports.
func (t *Table) capabilitiesAnnounced() bool {
	capabilities := t.cache.Capabilities[t.node.Settings.HostName].Record
	return capabilities != nil && capabilities.SchemaVersion >= schema.Version &&
		slices.Equal(capabilities.Features, t.node.Features.Names())
}

// nodeRecord returns the record that describes the current state of this controller.
func (t *Table) nodeRecord() shard.NodeRecord {
	return shard.NodeRecord{
		Node:               t.node.Settings.HostName,
		Incarnation:        t.node.Incarnation,
		WorkersUnreachable: t.contact.unreachable,
		HasWorkerContact:   t.contact.hasContact,
		SchemaVersion:      schema.Version,
		Features:           t.node.Features.Names(),
	}
}
