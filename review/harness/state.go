package main

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// historyLength is the number of changes that the state service keeps.
const historyLength = 10_000

// entry is the value of a key.
type entry struct {
	row
	permit uint64 // the lease to which the key is attached; 0: none
}

// stateService is the stand-in for the state service.
type stateService struct {
	mu       sync.Mutex
	epoch    uint64
	keys     map[string]entry
	log      []change
	holds    map[uint64]*hold
	lastHold uint64
	changed  chan struct{} // closed and replaced with every change
	requests bucket
	writes   bucket
	txnOps   int
	valueKB  float64
}

// hold is a lease.
type hold struct {
	ttl time.Duration
	end time.Time
}

// bucket limits a rate, with bursts of one second.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

// take takes n tokens and reports whether the bucket held them.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	if !b.at.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	} else {
		b.tokens = b.rate
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// newStateService returns an empty state service with the limits of a small deployment.
func newStateService() *stateService {
	return &stateService{
		keys: map[string]entry{}, holds: map[uint64]*hold{}, changed: make(chan struct{}),
		requests: bucket{rate: stateRPS}, writes: bucket{rate: stateWriteRPS},
		txnOps: stateTxnOps, valueKB: stateValueKB,
	}
}

// tick ends the leases that were not renewed in time.
func (s *stateService) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.holds {
		if time.Now().After(h.end) {
			s.endHold(id)
		}
	}
}

// endHold ends a lease and drops its keys.
func (s *stateService) endHold(id uint64) {
	delete(s.holds, id)
	var dropped []string
	for key, e := range s.keys {
		if e.permit == id {
			dropped = append(dropped, key)
		}
	}
	if len(dropped) == 0 {
		return
	}
	slices.Sort(dropped)
	s.epoch++
	for _, key := range dropped {
		s.apply(change{Drop: key})
	}
	s.notify()
}

// apply applies one change at the current epoch.
func (s *stateService) apply(c change) {
	if c.Drop != "" {
		if _, found := s.keys[c.Drop]; !found {
			return
		}
		delete(s.keys, c.Drop)
		s.log = append(s.log, change{Drop: c.Drop, Stamp: s.epoch})
	} else {
		e := entry{row: row{Key: c.Write, Value: c.Value, Stamp: s.epoch}}
		if c.Permit != nil {
			e.permit = *c.Permit
		}
		s.keys[c.Write] = e
		s.log = append(s.log, change{Write: c.Write, Value: c.Value, Stamp: s.epoch})
	}
	if len(s.log) > historyLength {
		s.log = s.log[len(s.log)-historyLength:]
	}
}

// notify wakes the waiting watches.
func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// multi carries out a transaction. It returns the status, and the keys whose conditions failed.
func (s *stateService) multi(t *transaction, size int) (status int, failed []string, text string) {
	if len(t.Then) > s.txnOps || len(t.Guards) > 4*s.txnOps || size > 64<<10 {
		return 400, nil, "too large"
	}
	for _, c := range t.Then {
		if float64(len(c.Value)) > s.valueKB*1024 {
			return 400, nil, "value too large"
		}
		if c.Permit != nil && s.holds[*c.Permit] == nil {
			return 400, nil, "no such lease"
		}
	}
	for _, g := range t.Guards {
		if s.keys[g.Key].Stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, failed, ""
	}
	if len(t.Then) > 0 {
		s.epoch++
		for _, c := range t.Then {
			s.apply(c)
		}
		s.notify()
	}
	return 200, nil, ""
}

// since returns the changes with a prefix after an epoch. ok is false if some are not kept any more.
func (s *stateService) since(prefix string, epoch uint64) (changes []change, ok bool) {
	if len(s.log) == historyLength && s.log[0].Stamp > epoch+1 {
		return nil, false
	}
	changes = []change{}
	for _, c := range s.log {
		if c.Stamp > epoch && strings.HasPrefix(c.Write+c.Drop, prefix) {
			changes = append(changes, c)
		}
	}
	return changes, true
}

// list returns the keys with a prefix after a key, in order.
func (s *stateService) list(prefix, after string, limit int) (rows []row, truncated bool) {
	rows = []row{}
	for key, e := range s.keys {
		if key > after && strings.HasPrefix(key, prefix) {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i, r := range rows {
		if size += len(r.Key) + len(r.Value) + 40; i >= min(limit, 1000) || size > 512<<10 {
			return rows[:i], true
		}
	}
	return rows, false
}
