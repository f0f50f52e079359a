package controller

import (
	"encoding/json"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// txn collects a transaction with what to tell the replica when it commits.
type txn struct {
	guards map[string]uint64
	writes map[string]json.RawMessage
	permit map[string]uint64
	drops  map[string]bool
	order  []string

	records map[string]*shard.Record // of the writes, those of parts' free room
}

func newTxn() *txn {
	return &txn{
		guards:  map[string]uint64{},
		writes:  map[string]json.RawMessage{},
		permit:  map[string]uint64{},
		drops:   map[string]bool{},
		records: map[string]*shard.Record{},
	}
}

func (t *txn) guard(key string, stamp uint64) { t.guards[key] = stamp }

func (t *txn) write(key string, v any) {
	if _, ok := t.writes[key]; !ok {
		t.order = append(t.order, key)
	}
	t.writes[key] = api.JSON(v)
}

// writePart writes a part's free-room record, which nobody changes from now on.
func (t *txn) writePart(key string, r *shard.Record) {
	t.write(key, r)
	t.records[key] = r
}

func (t *txn) drop(key string) {
	if !t.drops[key] {
		t.order = append(t.order, key)
	}
	t.drops[key] = true
	delete(t.writes, key)
}

// ops is the number of changes so far.
func (t *txn) ops() int {
	n := 0
	for _, k := range t.order {
		if t.drops[k] || t.writes[k] != nil {
			n++
		}
	}
	return n
}

func (t *txn) wire() *store.Txn {
	w := &store.Txn{Guards: []store.Guard{}, Ops: []store.Op{}}
	for k, s := range t.guards {
		w.Guards = append(w.Guards, store.Guard{Key: k, Version: s})
	}
	seen := map[string]bool{}
	for _, k := range t.order {
		if seen[k] {
			continue
		}
		seen[k] = true
		if t.drops[k] {
			w.Ops = append(w.Ops, store.Op{Drop: k})
		} else if v := t.writes[k]; v != nil {
			op := store.Op{Write: k, Value: v}
			if p, ok := t.permit[k]; ok {
				op.Lease = &p
			}
			w.Ops = append(w.Ops, op)
		}
	}
	return w
}

// applied takes a committed transaction into the replica.
func (m *replica) applied(t *txn, epoch uint64) {
	for k, v := range t.writes {
		m.applyRecord(k, v, epoch, t.records[k])
	}
	for k := range t.drops {
		m.apply(k, nil, epoch)
	}
}
