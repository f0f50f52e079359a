// Package shard defines the records of the shards into which the controllers partition the
// machines: the controller that leads a shard, the free capacity of its machines, the machines
// themselves, and the shard's part of each team's quota. It also defines the records of the
// controllers. The package does no I/O.
//
// Invariants:
//   - the encoding of each record type is fixed (see package golden);
//   - terms rise globally, and every fencing token of a later term is higher than all tokens of
//     an earlier one;
//   - the encoded free capacity of a shard fits into one value of the state service, if necessary
//     after machines were removed from it.
package shard

import (
	"time"

	"violetturn/internal/sched"
)

// LeaderRecord is the record of a shard's leader. It is attached to the leader's lease and
// is deleted when the lease ends.
type LeaderRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"inc"` // identifies one run of the leader's process
	Term        uint64 `json:"term"`
}

// CapacityRecord is a shard's capacity record. Every controller that places a task on a machine of
// the shard, be it the leader or a peer that steals work, changes this record in the same
// transaction, so that of two conflicting placements one fails its precondition on the version.
type CapacityRecord struct {
	Term                 uint64                     `json:"term"`
	Leader               string                     `json:"by"`            // the leader in that term
	Released             bool                       `json:"rel,omitempty"` // the leader released the shard and no longer answers workers
	PredecessorMayAnswer bool                       `json:"d,omitempty"`   // an earlier leader may answer workers within its grace period
	Free                 FreeCapacity               `json:"free"`          // free capacity of the machines that can run further tasks
	QuotaUse             map[string]sched.Resources `json:"u,omitempty"`   // by limited team: resources that its tasks use in this shard
}

// Machine is the record of a machine: its shard and its properties.
type Machine struct {
	Shard        string `json:"p"`
	MachineType  string `json:"b"`
	Zone         string `json:"s"`
	Spot         bool   `json:"l,omitempty"`
	Addr         string `json:"a,omitempty"`
	RentedFor    string `json:"f,omitempty"` // the shard for whose jobs the machine was rented
	RegisteredMS int64  `json:"at"`          // when the machine was registered, Unix time in milliseconds
}

// Age returns how long ago the machine was registered.
func (m *Machine) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(m.RegisteredMS)) }

// MachinePage is the record of the machines whose names differ only in their last characters, by
// name. Machines come in groups with consecutive names, so that a group is recorded with few writes.
type MachinePage map[string]*Machine

// QuotaRecord is the record of a team's quota: the share of its limit that each shard may use. The
// resources that the team's tasks use in a shard are in the shard's CapacityRecord, which changes
// with every placement there. A share changes only in the same transaction as that record.
type QuotaRecord struct {
	Held map[string]sched.Resources `json:"u"` // by shard
}
