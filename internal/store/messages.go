package store

import "encoding/json"

// Item is a key with its value and version.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"` // the revision at which the value was written
}

// Change is one entry of the log of changes: the write of a value, or a deletion.
type Change struct {
	WrittenKey string          `json:"write"` // the key that was written; "" for a deletion
	DeletedKey string          `json:"drop"`  // the key that was deleted; "" for a write
	Value      json.RawMessage `json:"v"`
	Version    uint64          `json:"stamp"`
}

// Precondition is a condition of a transaction: the key has that version, or does not exist if
// it is 0.
type Precondition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Op is a change of a transaction: the write of a value, or a deletion.
type Op struct {
	WriteKey  string          `json:"write,omitempty"` // the key to write; "" for a deletion
	Value     json.RawMessage `json:"v,omitempty"`
	Lease     *uint64         `json:"permit,omitempty"` // the key is deleted when that lease ends; nil: never
	DeleteKey string          `json:"drop,omitempty"`   // the key to delete; "" for a write
}

// Txn is a transaction: all of its changes are made if all preconditions hold, else none.
type Txn struct {
	Preconditions []Precondition `json:"guards"`
	Ops           []Op           `json:"then"`
}

// CommitResult is the outcome of a transaction that the service judged.
type CommitResult struct {
	// Committed reports whether the preconditions held and the changes were made.
	Committed bool
	// Revision is that of the commit, or else the one at which the preconditions were judged.
	Revision uint64
	// Conflicts are the keys whose preconditions did not hold.
	Conflicts []string
}

// The bodies of requests and answers.
type (
	listPage struct {
		Items     []Item `json:"rows"`
		Truncated bool   `json:"truncated"`
		Revision  uint64 `json:"epoch"`
	}
	changesPage struct {
		Revision uint64   `json:"epoch"`
		Changes  []Change `json:"log"`
	}
	commitAnswer struct {
		Revision  uint64   `json:"epoch"`
		Conflicts []string `json:"failed"`
		Error     string   `json:"error"`
	}
	leaseRequest struct {
		TTLMS int64 `json:"ttlMs"`
	}
	leaseAnswer struct {
		LeaseID uint64 `json:"permit"`
	}
)
