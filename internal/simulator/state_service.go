package simulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"violetturn/internal/store"
)

// maxPreconditionsPerWrite is the maximum number of preconditions in a transaction, as a multiple
// of the maximum number of writes (PROTOCOL).
const maxPreconditionsPerWrite = 4

// StoreLimits are the limits that the state service enforces once it accepts less than announced.
type StoreLimits struct {
	MaxWrites     int // writes in a transaction; 0: the limits were not lowered
	MaxValueBytes int // bytes of a value
}

// accept reports whether a transaction is within the limits.
func (l *StoreLimits) accept(t *store.Txn) bool {
	if l.MaxWrites == 0 {
		return true
	}
	if len(t.Writes) > l.MaxWrites || len(t.Preconditions) > maxPreconditionsPerWrite*l.MaxWrites {
		return false
	}
	return !slices.ContainsFunc(t.Writes, func(write store.Write) bool { return len(write.Value) > l.MaxValueBytes })
}

// StoreCounters count requests to the state service.
type StoreCounters struct {
	SentWrites      int // writes in all transactions sent, including those that are refused
	RefusedTooLarge int // transactions that were refused because of their size
}

// Store is the simulated state service: versioned keys, transactions, leases and a change log.
type Store struct {
	ServiceFaults
	StoreLimits
	StoreCounters
	RefusedControllers map[string]bool // controllers whose requests get status 503

	env         *Environment
	revision    uint64
	keys        map[string]storedValue
	log         []store.Change // change log; see logChange
	leases      map[uint64]*lease
	lastLeaseID uint64
	delayed     []*store.Txn       // transactions with the fault Delayed, until DeliverDelayed is called
	copies      copies[*store.Txn] // copies of transactions that were sent, until DeliverCopies is called
}

// storedValue is the value of a key.
type storedValue struct {
	value   json.RawMessage
	version uint64 // revision that wrote the value
	leaseID uint64 // lease whose end deletes the key; 0: none
}

// newStore returns an empty state service.
func newStore(env *Environment) *Store {
	return &Store{
		ServiceFaults:      newServiceFaults(),
		RefusedControllers: map[string]bool{},
		env:                env,
		keys:               map[string]storedValue{},
		leases:             map[uint64]*lease{},
	}
}

// Item is a key with its current value.
type Item struct {
	Key   string
	Value json.RawMessage
}

// Items returns the keys with a prefix and their values, in order of the keys.
func (s *Store) Items(prefix string) []Item {
	var out []Item
	for _, item := range s.sortedItems(prefix) {
		out = append(out, Item{item.Key, item.Value})
	}
	return out
}

// sortedItems returns the keys with a prefix, their values and versions, in order of the keys.
func (s *Store) sortedItems(prefix string) []store.Item {
	var out []store.Item
	for key, stored := range s.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, store.Item{Key: key, Value: stored.value, Version: stored.version})
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// DeliverDelayed applies the transactions that the fault Delayed has held back.
func (s *Store) DeliverDelayed() {
	delayed := s.delayed
	s.delayed = nil
	for _, t := range delayed {
		_, _ = s.apply(t) // the response is lost
	}
}

// maxTransactionCopies is the number of copies that the state service keeps.
const maxTransactionCopies = 64

// DeliverCopies applies copies of the transactions that were sent, whose originals were carried out or
// not, and forgets them.
func (s *Store) DeliverCopies() {
	s.copies.deliver(func(t *store.Txn) { _, _ = s.apply(t) }) // nobody waits for the responses
}

// apply applies a transaction and returns its result.
//
// It returns store.ErrTooLarge for a transaction above the limits, and store.ErrLeaseEnded if a
// write names a lease that does not exist.
func (s *Store) apply(t *store.Txn) (store.CommitResult, error) {
	if !s.accept(t) {
		s.RefusedTooLarge++
		return store.CommitResult{}, store.ErrTooLarge
	}
	for _, write := range t.Writes {
		if write.Lease != nil && s.leases[*write.Lease] == nil {
			return store.CommitResult{}, store.ErrLeaseEnded
		}
	}
	var conflicts []string
	for _, precondition := range t.Preconditions {
		if s.keys[precondition.Key].version != precondition.Version {
			conflicts = append(conflicts, precondition.Key)
		}
	}
	if conflicts != nil {
		return store.CommitResult{Revision: s.revision, Conflicts: conflicts}, nil
	}
	s.revision++
	for _, write := range t.Writes {
		s.applyWrite(write)
	}
	return store.CommitResult{Committed: true, Revision: s.revision}, nil
}

// applyWrite applies one write of a transaction at the current revision.
func (s *Store) applyWrite(write store.Write) {
	if write.DeleteKey != "" {
		if _, ok := s.keys[write.DeleteKey]; ok {
			delete(s.keys, write.DeleteKey)
			s.logChange(store.Change{DeletedKey: write.DeleteKey, Version: s.revision})
		}
		return
	}
	stored := storedValue{value: write.Value, version: s.revision}
	if write.Lease != nil {
		stored.leaseID = *write.Lease
	}
	s.keys[write.WriteKey] = stored
	s.logChange(store.Change{WrittenKey: write.WriteKey, Value: write.Value, Version: s.revision})
}

// lease is a lease of the state service. Keys written with it are deleted when it ends.
type lease struct {
	ttl time.Duration
	end time.Time
}

// tick ends expired leases. During an outage of the state service no lease expires: each keeps its
// full duration.
func (s *Store) tick() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		if s.Down {
			l.end = s.env.Now.Add(l.ttl)
		} else if !s.env.Now.Before(l.end) {
			s.endLease(id)
		}
	}
}

// grantLease grants a lease and returns its ID.
func (s *Store) grantLease(ttl time.Duration) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, s.env.Now.Add(ttl)}
	return s.lastLeaseID
}

// renewLease renews a lease for its full duration, or returns store.ErrLeaseEnded if it has ended.
func (s *Store) renewLease(id uint64) error {
	l := s.leases[id]
	if l == nil {
		return store.ErrLeaseEnded
	}
	l.end = s.env.Now.Add(l.ttl)
	return nil
}

// endLease ends a lease and deletes its keys.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var expiredKeys []string
	for key, stored := range s.keys {
		if stored.leaseID == id {
			expiredKeys = append(expiredKeys, key)
		}
	}
	if len(expiredKeys) == 0 {
		return
	}
	slices.Sort(expiredKeys)
	s.revision++
	for _, key := range expiredKeys {
		delete(s.keys, key)
		s.logChange(store.Change{DeletedKey: key, Version: s.revision})
	}
}
