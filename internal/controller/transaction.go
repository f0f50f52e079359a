package controller

import (
	"encoding/json"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// transaction collects a transaction with what to tell the replica when it commits.
type transaction struct {
	preconditions map[string]uint64
	writes        map[string]json.RawMessage
	leases        map[string]uint64
	deletes       map[string]bool
	order         []string

	capacities map[string]*shard.CapacityRecord // of the writes, those of shards' free room
}

func newTransaction() *transaction {
	return &transaction{
		preconditions: map[string]uint64{},
		writes:        map[string]json.RawMessage{},
		leases:        map[string]uint64{},
		deletes:       map[string]bool{},
		capacities:    map[string]*shard.CapacityRecord{},
	}
}

func (t *transaction) require(key string, version uint64) { t.preconditions[key] = version }

func (t *transaction) put(key string, v any) {
	if _, ok := t.writes[key]; !ok {
		t.order = append(t.order, key)
	}
	t.writes[key] = api.JSON(v)
}

// putCapacity writes a shard's capacity record, which nobody changes from now on.
func (t *transaction) putCapacity(key string, r *shard.CapacityRecord) {
	t.put(key, r)
	t.capacities[key] = r
}

func (t *transaction) delete(key string) {
	if !t.deletes[key] {
		t.order = append(t.order, key)
	}
	t.deletes[key] = true
	delete(t.writes, key)
}

// changes is the number of changes so far.
func (t *transaction) changes() int {
	n := 0
	for _, k := range t.order {
		if t.deletes[k] || t.writes[k] != nil {
			n++
		}
	}
	return n
}

func (t *transaction) request() *store.Txn {
	w := &store.Txn{Preconditions: []store.Precondition{}, Ops: []store.Op{}}
	for k, s := range t.preconditions {
		w.Preconditions = append(w.Preconditions, store.Precondition{Key: k, Version: s})
	}
	seen := map[string]bool{}
	for _, k := range t.order {
		if seen[k] {
			continue
		}
		seen[k] = true
		if t.deletes[k] {
			w.Ops = append(w.Ops, store.Op{Drop: k})
		} else if v := t.writes[k]; v != nil {
			op := store.Op{Write: k, Value: v}
			if p, ok := t.leases[k]; ok {
				op.Lease = &p
			}
			w.Ops = append(w.Ops, op)
		}
	}
	return w
}

// applyCommitted takes a committed transaction into the replica.
func (m *replica) applyCommitted(t *transaction, revision uint64) {
	for k, v := range t.writes {
		m.applyRecord(k, v, revision, t.capacities[k])
	}
	for k := range t.deletes {
		m.apply(k, nil, revision)
	}
}
