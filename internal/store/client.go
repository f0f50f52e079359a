// Package store is the client of the state service.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// Errors of the state service.
var (
	// ErrRefused: the request was surely not executed (503, 429, never sent).
	ErrRefused = errors.New("state service refused")
	// ErrUnknown: the request may have been executed, or may still be later.
	ErrUnknown = errors.New("state service did not answer")
	// ErrNoLease: the lease has ended.
	ErrNoLease = errors.New("no such hold")
	// ErrTooLarge: a transaction or a value is larger than the service takes.
	ErrTooLarge = errors.New("state service refused the size")
	// ErrTooOld: changes since that revision are no longer kept.
	ErrTooOld = errors.New("changes no longer kept")
)

// Item is a key with its value and version. In a change without a value the
// key was dropped.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
}

// Change is one entry of the log of changes.
type Change struct {
	Write   string          `json:"write"`
	Drop    string          `json:"drop"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
}

// Precondition is a condition of a transaction.
type Precondition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Op is a change of a transaction.
type Op struct {
	Write string          `json:"write,omitempty"`
	Value json.RawMessage `json:"v,omitempty"`
	Lease *uint64         `json:"permit,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Preconditions []Precondition `json:"guards"`
	Ops           []Op           `json:"then"`
}

// Priority says how a request stands under load: the lower, the sooner.
type Priority int

// Ranks of requests: holds, then gangs, all tasks of which wait for one change, then what
// else reports and decisions need, then submissions.
const (
	PriorityLease Priority = iota
	PriorityGang
	PriorityDecision
	PrioritySubmission
)

// reservedShares is the share of the budget that a rank leaves to those above it.
var reservedShares = [...]float64{0, 0.05, 0.1, 0.15}

// ReserveForGangs has the ranks below gangs leave as many changes besides.
func (c *Client) ReserveForGangs(changes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gangReserve = changes
}

// reservedShare is the share of the changes that a rank leaves.
func (c *Client) reservedShare(r Priority) float64 {
	if r <= PriorityGang {
		return reservedShares[r]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(reservedShares[r]+c.gangReserve/c.writes.Burst(), 0.5)
}

// Client talks to the state service within the controller's share of its rates.
type Client struct {
	http          *transport.Client
	addr          string
	deadline      time.Duration
	mu            sync.Mutex // of those down to refusals
	limits        Limits     // as far as is known
	next          Limits     // what they become at some moment, or are
	controllers   int
	gangReserve   float64     // changes that lower ranks leave to gangs
	writeRefusals []time.Time // of changes, the last ones
	requests      *transport.TokenBucket
	writes        *transport.TokenBucket
	onAnswer      func(ok bool)
}

// New makes a client of one of so many controllers. deadline bounds an ordinary
// request. The limits become next at some moment, which shows in refusals. onAnswer
// hears of each request whether the service served it.
func New(h *transport.Client, addr string, deadline time.Duration, limits, next Limits, controllers int, onAnswer func(ok bool)) *Client {
	c := &Client{http: h, addr: addr, deadline: deadline, limits: limits, next: next, controllers: controllers, onAnswer: onAnswer}
	r, w, burst := c.rateShare(controllers)
	c.requests, c.writes = transport.NewTokenBucket(r, r), transport.NewTokenBucket(w, burst)
	return c
}

// Used returns how many requests and writes were sent in all.
func (c *Client) Used() (reqs, writes float64) { return c.requests.Used(), c.writes.Used() }

func waitForTokens(ctx context.Context, b *transport.TokenBucket, n, leave float64, until time.Time) error {
	for {
		d, ok := b.Take(time.Now(), n, leave)
		if ok {
			return nil
		}
		if time.Now().Add(d).After(until) {
			return ErrRefused
		}
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return ErrRefused
		}
	}
}

// AwaitWrites waits until some changes can be sent, n at best, and tells how many. What
// is put together only then rests on what is newest when it is sent: a
// transaction that first waits for its budget is beaten by a conflicting write by others meanwhile.
func (c *Client) AwaitWrites(ctx context.Context, n int, r Priority) int {
	until := time.Now().Add(c.deadline)
	leave := c.reservedShare(r)
	n = min(n, int(c.writes.Burst()*(1-leave)))
	for {
		now := time.Now()
		have := int(c.writes.Available(now, leave))
		if have >= n || now.After(until) {
			return have
		}
		select {
		case <-time.After(c.writes.TimeToRefill(float64(n - have))):
		case <-ctx.Done():
			return 0
		}
	}
}

func (c *Client) do(
	ctx context.Context, method, target string, body any, writes int, r Priority, extra time.Duration,
) (*httpwire.Message, error) {
	until := time.Now().Add(c.deadline)
	if writes > 0 {
		if err := waitForTokens(ctx, c.writes, float64(writes), c.reservedShare(r), until); err != nil {
			return nil, err
		}
	}
	if err := waitForTokens(ctx, c.requests, 1, reservedShares[r], until); err != nil {
		return nil, err
	}
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("state service request: %w", err)
		}
	}
	m, err := c.http.Do(ctx, transport.Request{Addr: c.addr, Method: method, Target: target, Body: b, Deadline: c.deadline + extra})
	if errors.Is(err, httpwire.ErrTooLarge) { // served, but more than we can hold
		c.onAnswer(true)
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if err != nil {
		c.onAnswer(false)
		if errors.Is(err, transport.ErrNoResponse) {
			return nil, ErrUnknown
		}
		return nil, ErrRefused
	}
	c.onAnswer(m.Status != 503)
	if m.Status == 429 && writes > 0 {
		c.writes.Drain() // several controllers spent what they had saved at once
		c.noteRefusal(time.Now())
	}
	if m.Status == 503 || m.Status == 429 {
		return nil, ErrRefused
	}
	return m, nil
}

func decode(m *httpwire.Message, v any) error {
	if m.Status != 200 {
		return fmt.Errorf("state service: status %d: %.100s", m.Status, m.Body)
	}
	if err := json.Unmarshal(m.Body, v); err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	return nil
}

// Get reads one key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, key string, r Priority) (it Item, found bool, err error) {
	m, err := c.do(ctx, "GET", "/keys/"+key, nil, 0, r, 0)
	if err != nil {
		return it, false, err
	}
	if m.Status == 404 {
		return it, false, nil
	}
	return it, true, decode(m, &it)
}

// List reads all keys with a prefix. The pages are of different revisions;
// epoch is that of the first, from which a watch misses nothing.
func (c *Client) List(ctx context.Context, prefix string) (items []Item, revision uint64, err error) {
	since := ""
	for first := true; ; first = false {
		q := "/keys?prefix=" + url.QueryEscape(prefix) + "&limit=1000"
		if since != "" {
			q += "&since=" + url.QueryEscape(since)
		}
		m, err := c.do(ctx, "GET", q, nil, 0, PriorityDecision, 0)
		if err != nil {
			return nil, 0, err
		}
		var page struct {
			Rows      []Item `json:"rows"`
			Truncated bool   `json:"truncated"`
			Epoch     uint64 `json:"epoch"`
		}
		if err := decode(m, &page); err != nil {
			return nil, 0, err
		}
		if first {
			revision = page.Epoch
		}
		items = append(items, page.Rows...)
		if !page.Truncated || len(page.Rows) == 0 {
			return items, revision, nil
		}
		since = page.Rows[len(page.Rows)-1].Key
	}
}

// Changes waits up to block for changes after a revision.
func (c *Client) Changes(ctx context.Context, prefix string, since uint64, block time.Duration) ([]Change, uint64, error) {
	q := fmt.Sprintf("/changes?prefix=%s&since=%d&blockMs=%d", url.QueryEscape(prefix), since, block.Milliseconds())
	m, err := c.do(ctx, "GET", q, nil, 0, PriorityDecision, block)
	if errors.Is(err, httpwire.ErrTooLarge) {
		// After a minute without the service a large fleet's changes can be more than a
		// controller may hold. Asked for again they would only have grown; all records
		// are read anew instead, in pages.
		return nil, 0, fmt.Errorf("%w: %w", ErrTooOld, err)
	}
	if err != nil {
		return nil, 0, err
	}
	if m.Status == 410 {
		return nil, 0, ErrTooOld
	}
	var page struct {
		Epoch uint64   `json:"epoch"`
		Log   []Change `json:"log"`
	}
	return page.Log, page.Epoch, decode(m, &page)
}

// Multi commits a transaction. ok is false, with the keys that differed, when
// its preconditions did not hold.
func (c *Client) Multi(ctx context.Context, t *Txn, r Priority) (revision uint64, ok bool, failed []string, err error) {
	m, err := c.do(ctx, "POST", "/multi", t, len(t.Ops), r, 0)
	if err != nil {
		return 0, false, nil, err
	}
	var a struct {
		Epoch  uint64   `json:"epoch"`
		Failed []string `json:"failed"`
		Error  string   `json:"error"`
	}
	if err := json.Unmarshal(m.Body, &a); err != nil {
		return 0, false, nil, fmt.Errorf("state service: %w", err)
	}
	switch {
	case m.Status == 200:
		return a.Epoch, true, nil, nil
	case m.Status == 409:
		return a.Epoch, false, a.Failed, nil
	case m.Status == 400 && a.Error == "no such lease":
		return 0, false, nil, ErrNoLease
	}
	if m.Status == 400 || m.Status == 413 { // nothing we send is malformed otherwise
		return 0, false, nil, fmt.Errorf("%w: %.100s", ErrTooLarge, m.Body)
	}
	return 0, false, nil, fmt.Errorf("state service: status %d: %.100s", m.Status, m.Body)
}

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	m, err := c.do(ctx, "POST", "/holds", map[string]int64{"ttlMs": ttl.Milliseconds()}, 0, PriorityLease, 0)
	if err != nil {
		return 0, err
	}
	var a struct {
		Permit uint64 `json:"permit"`
	}
	return a.Permit, decode(m, &a)
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	m, err := c.do(ctx, "POST", "/holds/"+strconv.FormatUint(leaseID, 10)+"/touch", struct{}{}, 0, PriorityLease, 0)
	if err != nil {
		return err
	}
	if m.Status == 404 {
		return ErrNoLease
	}
	if m.Status != 200 {
		return fmt.Errorf("state service: status %d", m.Status)
	}
	return nil
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	_, err := c.do(ctx, "DELETE", "/holds/"+strconv.FormatUint(leaseID, 10), nil, 0, PriorityLease, 0)
	return err
}
