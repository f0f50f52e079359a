package store

import "encoding/json"

// Item is a key with its value and version.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"` // the revision at which the value was written
}

// Change is one entry of the change log: a write or a deletion of a key.
type Change struct {
	WrittenKey string          `json:"write"` // the key that was written; "" for a deletion
	DeletedKey string          `json:"drop"`  // the key that was deleted; "" for a write
	Value      json.RawMessage `json:"v"`
	Version    uint64          `json:"stamp"`
}

// Precondition is a condition of a transaction: the key has the version, or does not exist if
// the version is 0.
type Precondition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Write is a write of a transaction: it sets or deletes a key.
type Write struct {
	WriteKey  string          `json:"write,omitempty"` // the key to write; "" for a deletion
	Value     json.RawMessage `json:"v,omitempty"`
	Lease     *uint64         `json:"permit,omitempty"` // the key is deleted when the lease ends; nil: no lease
	DeleteKey string          `json:"drop,omitempty"`   // the key to delete; "" for a write
}

// Txn is a transaction: all of its writes are applied if all preconditions hold, else none.
type Txn struct {
	Preconditions []Precondition `json:"guards"`
	Writes        []Write        `json:"then"`
}

// CommitResult is the outcome of a transaction that the service has evaluated.
type CommitResult struct {
	// Committed reports whether the preconditions held and the writes were applied.
	Committed bool
	// Revision is that of the commit, or the one at which the preconditions were evaluated.
	Revision uint64
	// Conflicts are the keys whose preconditions did not hold.
	Conflicts []string
}

// Bodies of requests and responses.
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
	commitResponse struct {
		Revision  uint64   `json:"epoch"`
		Conflicts []string `json:"failed"`
		Error     string   `json:"error"`
	}
	leaseRequest struct {
		TTLMS int64 `json:"ttlMs"`
	}
	leaseResponse struct {
		LeaseID uint64 `json:"permit"`
	}
)
