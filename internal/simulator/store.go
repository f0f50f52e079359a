package simulator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"violetturn/internal/store"
)

// Fault is what happens to one request.
type Fault int

// Faults of single requests.
const (
	None       Fault = iota
	LoseBefore       // it never arrives
	LoseAfter        // it is carried out, the answer is lost
	Late             // it is carried out when DeliverLate is called; the answer is lost
)

// Store is the state service.
type Store struct {
	w             *World
	Down          bool
	Refuse        map[string]bool  // nodes that get 503
	Unreachable   map[string]bool  // nodes whose requests don't arrive
	Writes        int              // changes in transactions so far, those of refused ones too
	Next          map[string]Fault // what happens to a node's next transaction
	MaxOps        int              // changes in a transaction, since its limits came down; 0: not yet
	MaxValueBytes int              // bytes of a value, likewise
	TooLarge      int              // transactions that were refused for their size
	revision      uint64
	keys          map[string]storedValue
	log           []store.Change
	leases        map[uint64]*lease
	lastLeaseID   uint64
	late          []*store.Txn
}

// History is how many changes the state service keeps for those who watch (PROTOCOL).
const History = 10_000

// note adds a change to the log, of which the oldest are dropped.
func (s *Store) note(c store.Change) {
	s.log = append(s.log, c)
	if len(s.log) >= 2*History {
		s.log = slices.Clone(s.log[len(s.log)-History:])
	}
}

// inHistory reports whether all changes after a revision are still in the log.
func (s *Store) inHistory(since uint64) bool {
	n := len(s.log)
	return n <= History || since >= s.log[n-History-1].Version
}

// ExpireHistory has so many changes pass that none of those before is kept.
func (s *Store) ExpireHistory() {
	for range History + 1 {
		s.revision++
		s.note(store.Change{Drop: "aged", Version: s.revision})
	}
}

// Item is a key as it stands.
type Item struct {
	Key   string
	Value json.RawMessage
}

// Items lists the keys with a prefix.
func (s *Store) Items(prefix string) []Item {
	var out []Item
	for k, it := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, Item{k, it.v})
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

type storedValue struct {
	v       json.RawMessage
	version uint64
	leaseID uint64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func (s *Store) tick() {
	for id, h := range s.leases {
		if s.Down {
			h.end = s.w.Now.Add(h.ttl) // holds get their full time back
		} else if !s.w.Now.Before(h.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var drop []string
	for k, it := range s.keys {
		if it.leaseID == id {
			drop = append(drop, k)
		}
	}
	if len(drop) == 0 {
		return
	}
	slices.Sort(drop)
	s.revision++
	for _, k := range drop {
		delete(s.keys, k)
		s.note(store.Change{Drop: k, Version: s.revision})
	}
}

// DeliverLate carries out the transactions that were held back.
func (s *Store) DeliverLate() {
	late := s.late
	s.late = nil
	for _, t := range late {
		_, _, _, _ = s.apply(t) // nobody hears the answer
	}
}

func (s *Store) apply(t *store.Txn) (uint64, bool, []string, error) {
	if s.MaxOps > 0 {
		large := len(t.Ops) > s.MaxOps || len(t.Preconditions) > 4*s.MaxOps
		for _, op := range t.Ops {
			large = large || len(op.Value) > s.MaxValueBytes
		}
		if large {
			s.TooLarge++
			return 0, false, nil, store.ErrTooLarge
		}
	}
	for _, op := range t.Ops {
		if op.Lease != nil && s.leases[*op.Lease] == nil {
			return 0, false, nil, store.ErrNoLease
		}
	}
	var failed []string
	for _, g := range t.Preconditions {
		if s.keys[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return s.revision, false, failed, nil
	}
	s.revision++
	for _, op := range t.Ops {
		if op.Drop != "" {
			if _, ok := s.keys[op.Drop]; ok {
				delete(s.keys, op.Drop)
				s.note(store.Change{Drop: op.Drop, Version: s.revision})
			}
			continue
		}
		it := storedValue{v: op.Value, version: s.revision}
		if op.Lease != nil {
			it.leaseID = *op.Lease
		}
		s.keys[op.Write] = it
		s.note(store.Change{Write: op.Write, Value: op.Value, Version: s.revision})
	}
	return s.revision, true, nil, nil
}

// Client is the state service as one node reaches it.
type Client struct {
	S             *Store
	Node          string
	TxnOps        int
	MaxValueBytes int
	OnServed      func(ok bool) // hears of each request whether it was served
	BeforeCommit  func()        // what happens before the next transaction is sent, once: its node stands still
}

// unavailable reports whether a request is not served: 503, or no answer at all.
func (c *Client) unavailable() error {
	var err error
	switch {
	case c.S.Unreachable[c.Node]:
		err = store.ErrUnknown
	case c.S.Down || c.S.Refuse[c.Node]:
		err = store.ErrRefused
	}
	if c.OnServed != nil {
		c.OnServed(err == nil)
	}
	return err
}

// Get reads a key.
func (c *Client) Get(_ context.Context, key string, _ store.Priority) (store.Item, bool, error) {
	if err := c.unavailable(); err != nil {
		return store.Item{}, false, err
	}
	it, ok := c.S.keys[key]
	return store.Item{Key: key, Value: it.v, Version: it.version}, ok, nil
}

// List reads the keys with a prefix.
func (c *Client) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := c.unavailable(); err != nil {
		return nil, 0, err
	}
	var out []store.Item
	for k, it := range c.S.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, store.Item{Key: k, Value: it.v, Version: it.version})
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, c.S.revision, nil
}

// Changes reads the changes since a revision; it never waits.
func (c *Client) Changes(_ context.Context, prefix string, since uint64, _ time.Duration) ([]store.Change, uint64, error) {
	if err := c.unavailable(); err != nil {
		return nil, 0, err
	}
	if !c.S.inHistory(since) {
		return nil, 0, store.ErrTooOld
	}
	var out []store.Change
	from, _ := slices.BinarySearchFunc(
		c.S.log,
		since+1,
		func(e store.Change, version uint64) int { return cmp.Compare(e.Version, version) },
	)
	for _, e := range c.S.log[from:] {
		if strings.HasPrefix(e.Write+e.Drop, prefix) {
			out = append(out, e)
		}
	}
	return out, c.S.revision, nil
}

// Multi commits a transaction, or meets the fault set for it.
func (c *Client) Multi(_ context.Context, t *store.Txn, _ store.Priority) (uint64, bool, []string, error) {
	if stall := c.BeforeCommit; stall != nil {
		c.BeforeCommit = nil
		stall()
	}
	if err := c.unavailable(); err != nil {
		return 0, false, nil, err
	}
	c.S.Writes += len(t.Ops)
	if len(t.Ops) > c.TxnOps || len(t.Preconditions) > 4*c.TxnOps {
		c.S.w.Violate("limits", "transaction of %d changes, %d guards", len(t.Ops), len(t.Preconditions))
	}
	for _, op := range t.Ops {
		if len(op.Value) > c.MaxValueBytes {
			c.S.w.Violate("limits", "%s has %d bytes", op.Write, len(op.Value))
		}
	}
	f := c.S.Next[c.Node]
	delete(c.S.Next, c.Node)
	switch f {
	case LoseBefore:
		return 0, false, nil, store.ErrUnknown
	case Late:
		c.S.late = append(c.S.late, t)
		return 0, false, nil, store.ErrUnknown
	case LoseAfter:
		_, _, _, _ = c.S.apply(t) // the answer is lost
		return 0, false, nil, store.ErrUnknown
	}
	return c.S.apply(t)
}

// AwaitWrites tells that any number of changes can be sent.
func (c *Client) AwaitWrites(_ context.Context, n int, _ store.Priority) int { return n }

// SetControllers changes nothing: any number of changes can be sent.
func (c *Client) SetControllers(int) {}

// ReserveForGangs changes nothing: any number of changes can be sent.
func (c *Client) ReserveForGangs(float64) {}

// LowerLimits changes nothing: the client has no limits of its own.
func (c *Client) LowerLimits() {}

// Used returns zeros: the client counts no requests.
func (c *Client) Used() (requests, writes float64) { return 0, 0 }

// GrantLease makes a lease.
func (c *Client) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := c.unavailable(); err != nil {
		return 0, err
	}
	c.S.lastLeaseID++
	c.S.leases[c.S.lastLeaseID] = &lease{ttl, c.S.w.Now.Add(ttl)}
	return c.S.lastLeaseID, nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(_ context.Context, leaseID uint64) error {
	if err := c.unavailable(); err != nil {
		return err
	}
	h := c.S.leases[leaseID]
	if h == nil {
		return store.ErrNoLease
	}
	h.end = c.S.w.Now.Add(h.ttl)
	return nil
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(_ context.Context, leaseID uint64) error {
	if err := c.unavailable(); err != nil {
		return err
	}
	c.S.endLease(leaseID)
	return nil
}
