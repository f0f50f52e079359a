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
	w      *World
	Down   bool
	Refuse map[string]bool  // nodes that get 503
	Cut    map[string]bool  // nodes whose requests don't arrive
	Writes int              // changes in transactions so far, those of refused ones too
	Next   map[string]Fault // what happens to a node's next transaction
	Ops    int              // changes in a transaction, since its limits came down; 0: not yet
	ValueB int              // bytes of a value, likewise
	Large  int              // transactions that were refused for their size
	epoch  uint64
	keys   map[string]item
	log    []store.Change
	holds  map[uint64]*hold
	permit uint64
	late   []*store.Txn
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

// kept tells whether all changes after a revision are still in the log.
func (s *Store) kept(since uint64) bool {
	n := len(s.log)
	return n <= History || since >= s.log[n-History-1].Version
}

// Age has so many changes pass that none of those before is kept.
func (s *Store) Age() {
	for range History + 1 {
		s.epoch++
		s.note(store.Change{Drop: "aged", Version: s.epoch})
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

type item struct {
	v      json.RawMessage
	stamp  uint64
	permit uint64
}

type hold struct {
	ttl time.Duration
	end time.Time
}

func (s *Store) tick() {
	for id, h := range s.holds {
		if s.Down {
			h.end = s.w.Now.Add(h.ttl) // holds get their full time back
		} else if !s.w.Now.Before(h.end) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.holds, id)
	var drop []string
	for k, it := range s.keys {
		if it.permit == id {
			drop = append(drop, k)
		}
	}
	if len(drop) == 0 {
		return
	}
	slices.Sort(drop)
	s.epoch++
	for _, k := range drop {
		delete(s.keys, k)
		s.note(store.Change{Drop: k, Version: s.epoch})
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
	if s.Ops > 0 {
		large := len(t.Ops) > s.Ops || len(t.Guards) > 4*s.Ops
		for _, op := range t.Ops {
			large = large || len(op.Value) > s.ValueB
		}
		if large {
			s.Large++
			return 0, false, nil, store.ErrTooLarge
		}
	}
	for _, op := range t.Ops {
		if op.Lease != nil && s.holds[*op.Lease] == nil {
			return 0, false, nil, store.ErrNoLease
		}
	}
	var failed []string
	for _, g := range t.Guards {
		if s.keys[g.Key].stamp != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return s.epoch, false, failed, nil
	}
	s.epoch++
	for _, op := range t.Ops {
		if op.Drop != "" {
			if _, ok := s.keys[op.Drop]; ok {
				delete(s.keys, op.Drop)
				s.note(store.Change{Drop: op.Drop, Version: s.epoch})
			}
			continue
		}
		it := item{v: op.Value, stamp: s.epoch}
		if op.Lease != nil {
			it.permit = *op.Lease
		}
		s.keys[op.Write] = it
		s.note(store.Change{Write: op.Write, Value: op.Value, Version: s.epoch})
	}
	return s.epoch, true, nil, nil
}

// Client is the state service as one node reaches it.
type Client struct {
	S      *Store
	Node   string
	TxnOps int
	ValueB int
	Heard  func(ok bool) // hears of each request whether it was served
	Stall  func()        // what happens before the next transaction is sent, once: its node stands still
}

// lost tells whether a request is not served: 503, or no answer at all.
func (c *Client) lost() error {
	var err error
	switch {
	case c.S.Cut[c.Node]:
		err = store.ErrUnknown
	case c.S.Down || c.S.Refuse[c.Node]:
		err = store.ErrRefused
	}
	if c.Heard != nil {
		c.Heard(err == nil)
	}
	return err
}

// Get reads a key.
func (c *Client) Get(_ context.Context, key string, _ store.Priority) (store.Item, bool, error) {
	if err := c.lost(); err != nil {
		return store.Item{}, false, err
	}
	it, ok := c.S.keys[key]
	return store.Item{Key: key, Value: it.v, Version: it.stamp}, ok, nil
}

// List reads the keys with a prefix.
func (c *Client) List(_ context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := c.lost(); err != nil {
		return nil, 0, err
	}
	var out []store.Item
	for k, it := range c.S.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, store.Item{Key: k, Value: it.v, Version: it.stamp})
		}
	}
	slices.SortFunc(out, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, c.S.epoch, nil
}

// Changes reads the changes since a revision; it never waits.
func (c *Client) Changes(_ context.Context, prefix string, since uint64, _ time.Duration) ([]store.Change, uint64, error) {
	if err := c.lost(); err != nil {
		return nil, 0, err
	}
	if !c.S.kept(since) {
		return nil, 0, store.ErrTooOld
	}
	var out []store.Change
	from, _ := slices.BinarySearchFunc(c.S.log, since+1, func(e store.Change, stamp uint64) int { return cmp.Compare(e.Version, stamp) })
	for _, e := range c.S.log[from:] {
		if strings.HasPrefix(e.Write+e.Drop, prefix) {
			out = append(out, e)
		}
	}
	return out, c.S.epoch, nil
}

// Multi commits a transaction, or meets the fault set for it.
func (c *Client) Multi(_ context.Context, t *store.Txn, _ store.Priority) (uint64, bool, []string, error) {
	if stall := c.Stall; stall != nil {
		c.Stall = nil
		stall()
	}
	if err := c.lost(); err != nil {
		return 0, false, nil, err
	}
	c.S.Writes += len(t.Ops)
	if len(t.Ops) > c.TxnOps || len(t.Guards) > 4*c.TxnOps {
		c.S.w.Break("limits", "transaction of %d changes, %d guards", len(t.Ops), len(t.Guards))
	}
	for _, op := range t.Ops {
		if len(op.Value) > c.ValueB {
			c.S.w.Break("limits", "%s has %d bytes", op.Write, len(op.Value))
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

// Ready tells that any number of changes can be sent.
func (c *Client) Ready(_ context.Context, n int, _ store.Priority) int { return n }

// Among changes nothing: any number of changes can be sent.
func (c *Client) Among(int) {}

// GrantLease makes a lease.
func (c *Client) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := c.lost(); err != nil {
		return 0, err
	}
	c.S.permit++
	c.S.holds[c.S.permit] = &hold{ttl, c.S.w.Now.Add(ttl)}
	return c.S.permit, nil
}

// RenewLease renews a hold.
func (c *Client) RenewLease(_ context.Context, permit uint64) error {
	if err := c.lost(); err != nil {
		return err
	}
	h := c.S.holds[permit]
	if h == nil {
		return store.ErrNoLease
	}
	h.end = c.S.w.Now.Add(h.ttl)
	return nil
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(_ context.Context, permit uint64) error {
	if err := c.lost(); err != nil {
		return err
	}
	c.S.end(permit)
	return nil
}
