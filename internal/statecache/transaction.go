package statecache

import (
	"encoding/json"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// Transaction collects a transaction with what to tell the replica when it commits.
type Transaction struct {
	Preconditions map[string]uint64
	Writes        map[string]json.RawMessage
	Leases        map[string]uint64
	deletes       map[string]bool
	Order         []string

	capacities map[string]*shard.CapacityRecord // of the writes, those of shards' free room
}

func NewTransaction() *Transaction {
	return &Transaction{
		Preconditions: map[string]uint64{},
		Writes:        map[string]json.RawMessage{},
		Leases:        map[string]uint64{},
		deletes:       map[string]bool{},
		capacities:    map[string]*shard.CapacityRecord{},
	}
}

func (t *Transaction) Put(key string, v any) {
	if _, ok := t.Writes[key]; !ok {
		t.Order = append(t.Order, key)
	}
	t.Writes[key] = api.JSON(v)
}

// PutCapacity writes a shard's capacity record, which nobody changes from now on.
func (t *Transaction) PutCapacity(key string, r *shard.CapacityRecord) {
	t.Put(key, r)
	t.capacities[key] = r
}

func (t *Transaction) Delete(key string) {
	if !t.deletes[key] {
		t.Order = append(t.Order, key)
	}
	t.deletes[key] = true
	delete(t.Writes, key)
}

// Changes is the number of changes so far.
func (t *Transaction) Changes() int {
	n := 0
	for _, k := range t.Order {
		if t.deletes[k] || t.Writes[k] != nil {
			n++
		}
	}
	return n
}

func (t *Transaction) Request() *store.Txn {
	w := &store.Txn{Preconditions: []store.Precondition{}, Ops: []store.Op{}}
	for k, s := range t.Preconditions {
		w.Preconditions = append(w.Preconditions, store.Precondition{Key: k, Version: s})
	}
	seen := map[string]bool{}
	for _, k := range t.Order {
		if seen[k] {
			continue
		}
		seen[k] = true
		if t.deletes[k] {
			w.Ops = append(w.Ops, store.Op{Drop: k})
		} else if v := t.Writes[k]; v != nil {
			op := store.Op{Write: k, Value: v}
			if p, ok := t.Leases[k]; ok {
				op.Lease = &p
			}
			w.Ops = append(w.Ops, op)
		}
	}
	return w
}

// ApplyCommitted takes a committed transaction into the replica.
func (m *Cache) ApplyCommitted(t *Transaction, revision uint64) {
	for k, v := range t.Writes {
		m.applyRecord(k, v, revision, t.capacities[k])
	}
	for k := range t.deletes {
		m.Apply(k, nil, revision)
	}
}
