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

// Response statuses of the state service.
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

// Options are the parameters of NewClient.
type Options struct {
	HTTP            *transport.Client
	Addr            string
	Timeout         time.Duration        // of a request, not counting the wait for tokens and for changes
	Limits          Limits               // the current limits
	AnnouncedLimits Limits               // announced lower limits; refused writes show when they take effect
	ControllerCount int                  // number of controllers that share the limits
	OnResponse      func(available bool) // called after each request with whether the service is available
}

// Client is a client of the state service that keeps within the controller's share of its rates.
type Client struct {
	http       *transport.Client
	addr       string
	timeout    time.Duration
	onResponse func(available bool)
	requests   *transport.TokenBucket // one token per request
	writes     *transport.TokenBucket // one token per changed key

	mu               sync.Mutex // guards the fields below
	limits           Limits     // the limits that the client assumes to be current
	announcedLimits  Limits     // announced lower limits; equal to limits once applied
	controllerCount  int
	reservedForGangs float64     // write tokens that priorities below PriorityGang leave besides their regular reserve
	writeRefusals    []time.Time // times of the latest refusals of writes
}

// NewClient makes a client of the state service.
func NewClient(o Options) *Client {
	requests, writes, burst := o.Limits.rateShare(o.ControllerCount)
	return &Client{
		http:            o.HTTP,
		addr:            o.Addr,
		timeout:         o.Timeout,
		onResponse:      o.OnResponse,
		requests:        transport.NewTokenBucket(requests, requests),
		writes:          transport.NewTokenBucket(writes, burst),
		limits:          o.Limits,
		announcedLimits: o.AnnouncedLimits,
		controllerCount: o.ControllerCount,
	}
}

// request describes a request to the state service.
type request struct {
	method, target string
	body           any // encoded as JSON; nil: no body
	writeCount     int // number of keys that the request writes or deletes
	priority       Priority
	maxBlock       time.Duration // how long the service may delay the response to wait for changes
}

// send waits for the tokens of a request, sends it and returns the response. Its error is
// ErrRefused or ErrOutcomeUnknown, unless the body can't be encoded.
func (c *Client) send(ctx context.Context, r request) (*httpwire.Message, error) {
	if err := c.awaitBudget(ctx, r); err != nil {
		return nil, err
	}
	var encoded []byte
	if r.body != nil {
		var err error
		if encoded, err = json.Marshal(r.body); err != nil {
			return nil, fmt.Errorf("encode request body: %w", err)
		}
	}
	m, err := c.http.Do(ctx, transport.Request{
		Addr:    c.addr,
		Method:  r.method,
		Target:  r.target,
		Body:    encoded,
		Timeout: c.timeout + r.maxBlock,
	})
	if err != nil {
		return nil, c.reportFailure(err)
	}
	c.onResponse(m.Status != statusServiceUnavailable)
	if m.Status == statusTooManyRequests && r.writeCount > 0 {
		c.writes.Drain() // several controllers spent their accumulated tokens at the same time
		c.recordWriteRefusal(time.Now())
	}
	if m.Status == statusServiceUnavailable || m.Status == statusTooManyRequests {
		return nil, ErrRefused
	}
	return m, nil
}

// awaitBudget waits for the tokens of a request, first for its write tokens.
func (c *Client) awaitBudget(ctx context.Context, r request) error {
	deadline := time.Now().Add(c.timeout)
	if r.writeCount > 0 {
		if err := awaitTokens(ctx, c.writes, float64(r.writeCount), c.reservedShare(r.priority), deadline); err != nil {
			return err
		}
	}
	return awaitTokens(ctx, c.requests, 1, reservedShares[r.priority], deadline)
}

// reportFailure reports a request without a usable response to onResponse and returns its error.
func (c *Client) reportFailure(err error) error {
	if errors.Is(err, httpwire.ErrTooLarge) { // the service responded, but the response exceeds the client's limit
		c.onResponse(true)
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	c.onResponse(false)
	if errors.Is(err, transport.ErrNoResponse) {
		return ErrOutcomeUnknown
	}
	return ErrRefused
}

// decodeResponse decodes the body of a response with status 200; another status is a StatusError.
func decodeResponse(m *httpwire.Message, out any) error {
	if m.Status != statusOK {
		return &StatusError{Status: m.Status, Body: bodyExcerpt(m.Body)}
	}
	if err := json.Unmarshal(m.Body, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
