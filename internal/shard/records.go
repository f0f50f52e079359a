// Package shard holds the records of the shards into which the controllers
// partition the machines: which controller leads a shard, what room its machines have, what
// the machines are, and what teams' quotas the shard holds; and those of the controllers
// themselves. It does no I/O.
//
// Invariants:
//   - the recorded form of each type is fixed (see package golden);
//   - terms rise globally, and every fencing token of a later term is above all of an earlier
//     one;
//   - the recorded form of a shard's free capacity fits one value of the state service, after
//     trimming where needed.
package shard

import "violetturn/internal/sched"

// LeaderRecord is the record of a shard's leader. It is attached to the leader's lease and
// is deleted when the lease ends.
type LeaderRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"inc"` // one run of the node's process
	Term        uint64 `json:"term"`
}

// CapacityRecord is a shard's capacity record. Whoever places a task on a machine of
// the shard, its leader or a peer that steals work, changes it in the same transaction, so
// its version is what they contend for.
type CapacityRecord struct {
	Term                 uint64                     `json:"term"`
	Leader               string                     `json:"by"`            // the leader of that term
	Released             bool                       `json:"rel,omitempty"` // that leader has stopped answering workers and said so
	PredecessorMayAnswer bool                       `json:"d,omitempty"`   // the leader before may still answer workers, within its grace
	Free                 FreeCapacity               `json:"free"`          // room of the machines that can take tasks
	QuotaUse             map[string]sched.Resources `json:"u,omitempty"`   // by limited team, what its tasks use in this shard
}

// Machine is a machine's record: which shard it belongs to, and what it is.
type Machine struct {
	Shard        string `json:"p"`
	MachineType  string `json:"b"`
	Zone         string `json:"s"`
	Spot         bool   `json:"l,omitempty"`
	Addr         string `json:"a,omitempty"`
	RentedFor    string `json:"f,omitempty"` // the shard that rented it for its jobs
	RegisteredMS int64  `json:"at"`          // when it was registered, Unix time in milliseconds
}

// MachinePage is the record of the machines whose names differ only in their last
// characters: machines come in groups with names in a row, so that a group is
// recorded with few changes.
type MachinePage map[string]*Machine

// QuotaRecord is a team's record: the share of its limit that each shard may use. What
// the team's tasks use in a shard is in the shard's capacity record, which changes
// with every placement there; a share changes only together with that record.
type QuotaRecord struct {
	Held map[string]sched.Resources `json:"u"` // by shard
}
