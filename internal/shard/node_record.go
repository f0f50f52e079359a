package shard

// NodeRecord is the record of a living controller. It is attached to the controller's lease and
// is deleted when the lease ends.
type NodeRecord struct {
	Node               string   `json:"node"`
	Incarnation        uint64   `json:"inc"`         // one run of the node's process
	Term               uint64   `json:"term"`        // always 0: the form was once that of a LeaderRecord
	WorkersUnreachable bool     `json:"m,omitempty"` // its workers don't reach it
	HasWorkerContact   bool     `json:"h,omitempty"` // some worker does
	SchemaVersion      int      `json:"v,omitempty"` // the newest forms of records that it reads
	Features           []string `json:"f,omitempty"` // what is switched on there
}

// CapabilityRecord is what remains recorded of the forms that a node reads and the features
// that it has switched on, after its NodeRecord is deleted with its lease.
type CapabilityRecord struct {
	SchemaVersion int      `json:"v"`           // the newest forms of records that it reads
	Features      []string `json:"f,omitempty"` // what was switched on there last
}
