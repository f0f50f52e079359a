package simulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"violetturn/internal/store"
)

// guardsPerOp is how many preconditions a transaction may have for each change that it may
// have (PROTOCOL).
const guardsPerOp = 4

// StoreLimits are the sizes that the state service accepts since its limits came down.
type StoreLimits struct {
	MaxOps        int // changes in a transaction; 0: the limits have not come down
	MaxValueBytes int // bytes of a value
}

// accept reports whether a transaction is within the limits.
func (l *StoreLimits) accept(t *store.Txn) bool {
	if l.MaxOps == 0 {
		return true
	}
	if len(t.Ops) > l.MaxOps || len(t.Preconditions) > guardsPerOp*l.MaxOps {
		return false
	}
	return !slices.ContainsFunc(t.Ops, func(op store.Op) bool { return len(op.Value) > l.MaxValueBytes })
}

// StoreCounters count what the state service was asked for.
type StoreCounters struct {
	SentWrites      int // changes in transactions, those of refused ones too
	RefusedTooLarge int // transactions that were refused for their size
}

// Store is the state service: versioned keys, transactions, leases and a log of changes.
type Store struct {
	ServiceFaults
	StoreLimits
	StoreCounters
	RefusedNodes map[string]bool // nodes that get 503

	w           *Environment
	revision    uint64
	keys        map[string]storedValue
	log         []store.Change
	leases      map[uint64]*lease
	lastLeaseID uint64
	delayed     []*store.Txn // of the fault Delayed, until DeliverDelayed
}

// storedValue is the value of a key.
type storedValue struct {
	value   json.RawMessage
	version uint64 // the revision that wrote it
	leaseID uint64 // with which the key ends; 0: none
}

// newStore returns an empty state service.
func newStore(w *Environment) *Store {
	return &Store{
		ServiceFaults: newServiceFaults(),
		RefusedNodes:  map[string]bool{},
		w:             w,
		keys:          map[string]storedValue{},
		leases:        map[uint64]*lease{},
	}
}

// Item is a key as it stands.
type Item struct {
	Key   string
	Value json.RawMessage
}

// Items returns the keys with a prefix, in order.
func (s *Store) Items(prefix string) []Item {
	var out []Item
	for _, it := range s.list(prefix) {
		out = append(out, Item{it.Key, it.Value})
	}
	return out
}

// list returns the keys with a prefix and their versions, in order.
func (s *Store) list(prefix string) []store.Item {
	var out []store.Item
	for key, it := range s.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, store.Item{Key: key, Value: it.value, Version: it.version})
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// DeliverDelayed carries out the transactions of the fault Delayed.
func (s *Store) DeliverDelayed() {
	late := s.delayed
	s.delayed = nil
	for _, t := range late {
		_, _ = s.apply(t) // nobody hears the response
	}
}

// apply carries out a transaction and returns its outcome.
//
// It returns store.ErrTooLarge and store.ErrLeaseEnded for transactions that are refused.
func (s *Store) apply(t *store.Txn) (store.CommitResult, error) {
	if !s.accept(t) {
		s.RefusedTooLarge++
		return store.CommitResult{}, store.ErrTooLarge
	}
	for _, op := range t.Ops {
		if op.Lease != nil && s.leases[*op.Lease] == nil {
			return store.CommitResult{}, store.ErrLeaseEnded
		}
	}
	var conflicts []string
	for _, g := range t.Preconditions {
		if s.keys[g.Key].version != g.Version {
			conflicts = append(conflicts, g.Key)
		}
	}
	if conflicts != nil {
		return store.CommitResult{Revision: s.revision, Conflicts: conflicts}, nil
	}
	s.revision++
	for _, op := range t.Ops {
		s.applyOp(op)
	}
	return store.CommitResult{Committed: true, Revision: s.revision}, nil
}

// applyOp carries out one change of a transaction, at the current revision.
func (s *Store) applyOp(op store.Op) {
	if op.DeleteKey != "" {
		if _, ok := s.keys[op.DeleteKey]; ok {
			delete(s.keys, op.DeleteKey)
			s.note(store.Change{DeletedKey: op.DeleteKey, Version: s.revision})
		}
		return
	}
	it := storedValue{value: op.Value, version: s.revision}
	if op.Lease != nil {
		it.leaseID = *op.Lease
	}
	s.keys[op.WriteKey] = it
	s.note(store.Change{WrittenKey: op.WriteKey, Value: op.Value, Version: s.revision})
}

// lease is a lease of the state service; the keys that were written with it end with it.
type lease struct {
	ttl time.Duration
	end time.Time
}

// tick ends the leases whose time is over. During an outage all keep their full time.
func (s *Store) tick() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		if s.Down {
			l.end = s.w.Now.Add(l.ttl)
		} else if !s.w.Now.Before(l.end) {
			s.endLease(id)
		}
	}
}

// grantLease makes a lease and returns its ID.
func (s *Store) grantLease(ttl time.Duration) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, s.w.Now.Add(ttl)}
	return s.lastLeaseID
}

// renewLease gives a lease its full time again, or returns store.ErrLeaseEnded.
func (s *Store) renewLease(id uint64) error {
	l := s.leases[id]
	if l == nil {
		return store.ErrLeaseEnded
	}
	l.end = s.w.Now.Add(l.ttl)
	return nil
}

// endLease ends a lease, and with it its keys.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var drop []string
	for key, it := range s.keys {
		if it.leaseID == id {
			drop = append(drop, key)
		}
	}
	if len(drop) == 0 {
		return
	}
	slices.Sort(drop)
	s.revision++
	for _, key := range drop {
		delete(s.keys, key)
		s.note(store.Change{DeletedKey: key, Version: s.revision})
	}
}
