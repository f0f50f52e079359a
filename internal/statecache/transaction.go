package statecache

import (
	"encoding/json"
	"errors"
	"fmt"

	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// MaxTransactionBytes is the size of the written records above which nothing is added to a
// transaction. PROTOCOL allows 64 KiB; the rest is reserved for keys, preconditions, JSON syntax and
// what estimates leave out.
const MaxTransactionBytes = 48 << 10

// Transaction collects the preconditions and writes of one compare-and-swap, with the writes in
// the order in which they are added. Create it with NewTransaction.
type Transaction struct {
	preconditions map[string]uint64
	writes        map[string]json.RawMessage
	leases        map[string]uint64 // leases to which writes are attached, by key
	deletes       map[string]bool
	changedKeys   []string // keys of the writes, deletions included, in the order in which they were added

	capacities map[string]*shard.CapacityRecord // written capacity records in decoded form, by key
	err        error                            // records that can't be encoded
}

// NewTransaction returns an empty transaction.
func NewTransaction() *Transaction {
	return &Transaction{
		preconditions: map[string]uint64{},
		writes:        map[string]json.RawMessage{},
		leases:        map[string]uint64{},
		deletes:       map[string]bool{},
		capacities:    map[string]*shard.CapacityRecord{},
	}
}

// Require adds the precondition that a key has the given version; 0 requires that the key does not
// exist.
func (t *Transaction) Require(key string, version uint64) { t.preconditions[key] = version }

// Preconditions returns the number of preconditions.
func (t *Transaction) Preconditions() int { return len(t.preconditions) }

// ClearPreconditions removes all preconditions.
func (t *Transaction) ClearPreconditions() { clear(t.preconditions) }

// Put adds a write of a record. It must not follow a Delete of the same record. A record that can't
// be encoded is not added, and Err reports it.
func (t *Transaction) Put(key string, record any) {
	value, err := json.Marshal(record)
	if err != nil {
		t.err = errors.Join(t.err, fmt.Errorf("encode record %s: %w", key, err))
		return
	}
	if _, ok := t.writes[key]; !ok {
		t.changedKeys = append(t.changedKeys, key)
	}
	t.writes[key] = value
}

// Err returns why the transaction can't be sent: some of its records can't be encoded. It returns nil
// if there are none.
func (t *Transaction) Err() error { return t.err }

// PutWithLease adds a write of a record that the state service deletes when a lease ends.
func (t *Transaction) PutWithLease(key string, record any, leaseID uint64) {
	t.Put(key, record)
	t.leases[key] = leaseID
}

// PutCapacity adds a write of a shard's capacity record, which must not be changed afterwards.
func (t *Transaction) PutCapacity(key string, record *shard.CapacityRecord) {
	t.Put(key, record)
	t.capacities[key] = record
}

// Delete adds the deletion of a record. It replaces a write of the record in this transaction.
func (t *Transaction) Delete(key string) {
	if !t.deletes[key] {
		t.changedKeys = append(t.changedKeys, key)
	}
	t.deletes[key] = true
	delete(t.writes, key)
}

// Writes returns the number of writes, which include deletions. A record that is both written and
// deleted in this transaction counts twice.
func (t *Transaction) Writes() int {
	n := 0
	for _, key := range t.changedKeys {
		if t.deletes[key] || t.writes[key] != nil {
			n++
		}
	}
	return n
}

// Size returns the size in bytes of the record to be written under a key; 0 if there is no write.
func (t *Transaction) Size(key string) int { return len(t.writes[key]) }

// Bytes returns the total size in bytes of the records to be written.
func (t *Transaction) Bytes() int {
	bytes := 0
	for _, value := range t.writes {
		bytes += len(value)
	}
	return bytes
}

// Keys returns the keys of the writes, in order. A key may occur twice.
func (t *Transaction) Keys() []string { return t.changedKeys }

// Request returns the transaction as a request to the state service.
func (t *Transaction) Request() *store.Txn {
	request := &store.Txn{Preconditions: []store.Precondition{}, Writes: []store.Write{}}
	for key, version := range t.preconditions {
		request.Preconditions = append(request.Preconditions, store.Precondition{Key: key, Version: version})
	}
	seen := map[string]bool{}
	for _, key := range t.changedKeys {
		if seen[key] {
			continue
		}
		seen[key] = true
		if write, ok := t.requestedWrite(key); ok {
			request.Writes = append(request.Writes, write)
		}
	}
	return request
}

// requestedWrite returns the write of a key; ok is false if there is none.
func (t *Transaction) requestedWrite(key string) (write store.Write, ok bool) {
	if t.deletes[key] {
		return store.Write{DeleteKey: key}, true
	}
	value := t.writes[key]
	if value == nil {
		return store.Write{}, false
	}
	write = store.Write{WriteKey: key, Value: value}
	if leaseID, ok := t.leases[key]; ok {
		write.Lease = &leaseID
	}
	return write, true
}
