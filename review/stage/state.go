package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxLog is how many changes the state service keeps, as PROTOCOL states.
const maxLog = 10_000

// storedKey is the value of a key with its version and lease.
type storedKey struct {
	Value json.RawMessage
	Stamp uint64
	Hold  uint64 // lease whose end removes the key; 0: none
}

// logEntry is one change: a write or a deletion.
type logEntry struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Value json.RawMessage `json:"v,omitempty"`
	Stamp uint64          `json:"stamp"`
}

// hold is a lease.
type hold struct {
	controller string // that holds it
	ttl        time.Duration
	end        time.Time
}

// guardEntry is a condition of a transaction.
type guardEntry struct {
	Key   string `json:"k"`
	Stamp uint64 `json:"stamp"`
}

// changeEntry is a write or a deletion of a transaction.
type changeEntry struct {
	Write  string          `json:"write"`
	Value  json.RawMessage `json:"v"`
	Permit *uint64         `json:"permit"`
	Drop   string          `json:"drop"`
}

// transaction is the body of POST /multi.
type transaction struct {
	Guards []guardEntry  `json:"guards"`
	Then   []changeEntry `json:"then"`
}

// txnResult is the outcome of a transaction.
type txnResult struct {
	status int
	body   map[string]any
}

// stateService is the stand-in of the state service.
type stateService struct {
	limits stateLimits
	record *recorder

	mu       sync.Mutex
	epoch    uint64
	keys     map[string]storedKey
	log      []logEntry
	holds    map[uint64]*hold
	lastHold uint64
	changed  chan struct{}                    // closed and replaced at each change
	before   map[string]func(r *http.Request) // by controller: called before a request is answered

	endedHolds map[string]time.Time // by controller: when a lease of it ended last

	requests, writes bucket
}

// stateLimits are the limits that the settings announce.
type stateLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

// bucket is a rate limit that allows bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

// take takes n tokens and reports whether there were as many.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// newStateService returns an empty state service.
func newStateService(limits stateLimits, record *recorder) *stateService {
	s := &stateService{
		limits: limits, record: record, keys: map[string]storedKey{}, holds: map[uint64]*hold{}, changed: make(chan struct{}),
		before: map[string]func(r *http.Request){}, endedHolds: map[string]time.Time{},
	}
	s.requests = bucket{rate: limits.rps, tokens: limits.rps, at: time.Now()}
	s.writes = bucket{rate: limits.writeRPS, tokens: limits.writeRPS, at: time.Now()}
	go s.expireHolds()
	return s
}

// expireHolds ends leases that were not renewed in time.
func (s *stateService) expireHolds() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, h := range s.holds {
			if now.After(h.end) {
				s.endHold(id)
			}
		}
		s.mu.Unlock()
	}
}

// endHold ends a lease and removes its keys. The caller holds mu.
func (s *stateService) endHold(id uint64) {
	s.endedHolds[s.holds[id].controller] = time.Now()
	s.record.note("state: a lease of %s ends", s.holds[id].controller)
	delete(s.holds, id)
	var ended []string
	for key, stored := range s.keys {
		if stored.Hold == id {
			ended = append(ended, key)
		}
	}
	if len(ended) == 0 {
		return
	}
	s.epoch++
	for _, key := range ended {
		delete(s.keys, key)
		s.appendLog(logEntry{Drop: key, Stamp: s.epoch})
	}
	s.announce()
}

// appendLog adds a change to the log. The caller holds mu.
func (s *stateService) appendLog(e logEntry) {
	s.log = append(s.log, e)
	if len(s.log) > maxLog {
		s.log = slices.Clone(s.log[len(s.log)-maxLog:])
	}
}

// announce wakes the open watches. The caller holds mu.
func (s *stateService) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply carries out a transaction. The caller holds mu.
func (s *stateService) apply(t *transaction) txnResult {
	if reason := s.invalid(t); reason != "" {
		return txnResult{400, map[string]any{"error": reason}}
	}
	failed := []string{}
	for _, g := range t.Guards {
		if s.keys[g.Key].Stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return txnResult{409, map[string]any{"failed": failed, "epoch": s.epoch}}
	}
	if len(t.Then) == 0 {
		return txnResult{200, map[string]any{"epoch": s.epoch}}
	}
	s.epoch++
	for _, c := range t.Then {
		if c.Drop != "" {
			if _, found := s.keys[c.Drop]; found {
				delete(s.keys, c.Drop)
				s.appendLog(logEntry{Drop: c.Drop, Stamp: s.epoch})
			}
			continue
		}
		stored := storedKey{Value: c.Value, Stamp: s.epoch}
		if c.Permit != nil {
			stored.Hold = *c.Permit
		}
		s.keys[c.Write] = stored
		s.appendLog(logEntry{Write: c.Write, Value: c.Value, Stamp: s.epoch})
	}
	s.announce()
	return txnResult{200, map[string]any{"epoch": s.epoch}}
}

// invalid returns why a transaction gets 400; "" if it does not. The caller holds mu.
func (s *stateService) invalid(t *transaction) string {
	if len(t.Then) > s.limits.txnOps || len(t.Guards) > 4*s.limits.txnOps {
		return "too many operations"
	}
	for _, c := range t.Then {
		if c.Permit != nil && s.holds[*c.Permit] == nil {
			return "no such lease"
		}
		if float64(len(c.Value)) > s.limits.valueKB*1024 {
			return "value too large"
		}
	}
	return ""
}

// list returns the keys with a prefix that sort after since, in order.
func (s *stateService) list(prefix, since string) []string {
	var keys []string
	for key := range s.keys {
		if key > since && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// changesSince returns the changes after an epoch; ok is false if they are no longer kept. The
// caller holds mu.
func (s *stateService) changesSince(prefix string, since uint64) (changes []logEntry, ok bool) {
	if len(s.log) == maxLog && s.log[0].Stamp > since+1 {
		return nil, false
	}
	changes = []logEntry{}
	first, _ := slices.BinarySearchFunc(s.log, since+1, func(e logEntry, stamp uint64) int { return cmp.Compare(e.Stamp, stamp) })
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.Write, prefix) || strings.HasPrefix(e.Drop, prefix) {
			changes = append(changes, e)
		}
	}
	return changes, true
}

// setBefore sets what is called before a request of a controller, other than a transaction, is answered.
func (s *stateService) setBefore(controller string, before func(r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before[controller] = before
}

// leaseEnded returns when a lease of a controller ended last, and whether that happened after a moment
// and the controller has no other lease.
func (s *stateService) leaseEnded(controller string, after time.Time) (at time.Time, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		if h.controller == controller {
			return time.Time{}, false
		}
	}
	at = s.endedHolds[controller]
	return at, at.After(after)
}
