package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// Statuses of the state service's answers.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusConflict           = 409
	statusGone               = 410
	statusContentTooLarge    = 413
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// Options are what a client is made with.
type Options struct {
	HTTP            *transport.Client
	Addr            string
	Timeout         time.Duration // of an ordinary request, its wait for tokens aside
	Limits          Limits        // those that hold now
	AnnouncedLimits Limits        // what they become at some moment, which shows in refusals
	ControllerCount int           // that share the limits
	OnResponse      func(ok bool) // called after each request: whether the service served it
}

// Client talks to the state service within the controller's share of its rates.
type Client struct {
	http     *transport.Client
	addr     string
	deadline time.Duration
	onAnswer func(ok bool)
	requests *transport.TokenBucket
	writes   *transport.TokenBucket // changes

	mu            sync.Mutex // guards what follows
	limits        Limits     // as far as is known
	next          Limits     // what they become at some moment, or are
	controllers   int
	gangReserve   float64     // changes that the priorities below gangs leave to them
	writeRefusals []time.Time // of changes, the last ones
}

// NewClient makes a client.
func NewClient(o Options) *Client {
	requests, writes, burst := o.Limits.rateShare(o.ControllerCount)
	return &Client{
		http:        o.HTTP,
		addr:        o.Addr,
		deadline:    o.Timeout,
		onAnswer:    o.OnResponse,
		requests:    transport.NewTokenBucket(requests, requests),
		writes:      transport.NewTokenBucket(writes, burst),
		limits:      o.Limits,
		next:        o.AnnouncedLimits,
		controllers: o.ControllerCount,
	}
}

// call is one request to the state service.
type call struct {
	method, target string
	body           any // encoded as JSON; nil: none
	writes         int // changes that it makes
	priority       Priority
	blocks         time.Duration // for how long the service may hold the answer back
}

// do sends a request once its tokens have come, and returns the answer. Its error is ErrRefused
// or ErrOutcomeUnknown, unless the body can't be encoded.
func (c *Client) do(ctx context.Context, r call) (*httpwire.Message, error) {
	if err := c.awaitBudget(ctx, r); err != nil {
		return nil, err
	}
	var encoded []byte
	if r.body != nil {
		var err error
		if encoded, err = json.Marshal(r.body); err != nil {
			return nil, fmt.Errorf("encode: %w", err)
		}
	}
	m, err := c.http.Do(ctx, transport.Request{
		Addr:    c.addr,
		Method:  r.method,
		Target:  r.target,
		Body:    encoded,
		Timeout: c.deadline + r.blocks,
	})
	if err != nil {
		return nil, c.noteFailure(err)
	}
	c.onAnswer(m.Status != statusServiceUnavailable)
	if m.Status == statusTooManyRequests && r.writes > 0 {
		c.writes.Drain() // several controllers spent what they had saved at once
		c.noteRefusal(time.Now())
	}
	if m.Status == statusServiceUnavailable || m.Status == statusTooManyRequests {
		return nil, ErrRefused
	}
	return m, nil
}

// awaitBudget waits for the tokens of a request, first those of its changes.
func (c *Client) awaitBudget(ctx context.Context, r call) error {
	until := time.Now().Add(c.deadline)
	if r.writes > 0 {
		if err := awaitTokens(ctx, c.writes, float64(r.writes), c.reservedShare(r.priority), until); err != nil {
			return err
		}
	}
	return awaitTokens(ctx, c.requests, 1, reservedShares[r.priority], until)
}

// noteFailure tells onAnswer of a request without a usable answer and returns its error.
func (c *Client) noteFailure(err error) error {
	if errors.Is(err, httpwire.ErrTooLarge) { // served, but more than we can hold
		c.onAnswer(true)
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	c.onAnswer(false)
	if errors.Is(err, transport.ErrNoResponse) {
		return ErrOutcomeUnknown
	}
	return ErrRefused
}

// decode decodes an answer with status 200.
func decode(m *httpwire.Message, out any) error {
	if m.Status != statusOK {
		return &StatusError{Status: m.Status, Body: errorText(m.Body)}
	}
	if err := json.Unmarshal(m.Body, out); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}
