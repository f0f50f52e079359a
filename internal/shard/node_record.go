package shard

// NodeRecord is the record of a running controller. It is attached to the controller's lease and
// is deleted when the lease ends.
type NodeRecord struct {
	Node               string   `json:"node"`
	Incarnation        uint64   `json:"inc"`         // identifies one run of the controller's process
	Term               uint64   `json:"term"`        // always 0; the record once had the format of LeaderRecord
	WorkersUnreachable bool     `json:"m,omitempty"` // workers can't reach the controller
	HasWorkerContact   bool     `json:"h,omitempty"` // at least one worker reaches the controller
	SchemaVersion      int      `json:"v,omitempty"` // the newest record formats that the controller reads
	Features           []string `json:"f,omitempty"` // names of the enabled features
}

// CapabilityRecord is the record of the record formats that a controller reads and the features
// that it has enabled. It remains after the NodeRecord is deleted with the controller's lease.
type CapabilityRecord struct {
	SchemaVersion int      `json:"v"`           // the newest record formats that the controller reads
	Features      []string `json:"f,omitempty"` // names of the features that were enabled last
}
