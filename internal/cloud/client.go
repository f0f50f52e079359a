package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// Errors of the cloud.
var (
	// ErrNoCapacity says that the cloud has no such machines at present.
	ErrNoCapacity = errors.New("cloud has no capacity")
	// ErrUnavailable says that the cloud did not serve the call, which it may have carried out.
	ErrUnavailable = errors.New("cloud unavailable")
)

const (
	// MaxMachinesPerRental is the most machines that one request may ask for.
	MaxMachinesPerRental = 50
	// MaxMachinesPerReturn is the most machines that one request may return.
	MaxMachinesPerReturn = 100
)

// Statuses of the cloud's answers.
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
)

// errorNoCapacity is the error text of a rental that the cloud has no machines for.
const errorNoCapacity = "no capacity"

// burstSeconds is for how many seconds a client may save up its share of the rate.
const burstSeconds = 2

// Client talks to the cloud within the controller's share of its rate.
type Client struct {
	http     *transport.Client
	addr     string
	deadline time.Duration // of one request
	budget   *transport.TokenBucket
}

// NewClient makes a client that sends rps requests a second to addr, each with the deadline.
func NewClient(h *transport.Client, addr string, deadline time.Duration, rps float64) *Client {
	return &Client{http: h, addr: addr, deadline: deadline, budget: transport.NewTokenBucket(rps, burstSeconds*rps)}
}

// MachineTypes reads the machine types.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var answer struct {
		MachineTypes []MachineType `json:"builds"`
	}
	if err := c.do(ctx, "GET", "/flavors", nil, &answer); err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	return answer.MachineTypes, nil
}

// Rent rents machines and returns their names.
func (c *Client) Rent(ctx context.Context, r RentalRequest) ([]string, error) {
	var answer struct {
		Hosts []string `json:"hosts"`
	}
	if err := c.do(ctx, "POST", "/rentals", r, &answer); err != nil {
		return nil, fmt.Errorf("rent %s: %w", r.Name, err)
	}
	return answer.Hosts, nil
}

// Return returns machines to the cloud, MaxMachinesPerReturn at most. When it succeeds they are terminated.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	if err := c.do(ctx, "POST", "/rentals/return", returnRequest{Hosts: hosts}, nil); err != nil {
		return fmt.Errorf("return machines: %w", err)
	}
	return nil
}

// ListPage reads the machines whose names come after since, MaxMachinesPerPage at most. truncated reports
// whether there are more.
func (c *Client) ListPage(ctx context.Context, since string) (hosts []Machine, truncated bool, err error) {
	var answer struct {
		Hosts     []Machine `json:"hosts"`
		Truncated bool      `json:"truncated"`
	}
	target := fmt.Sprintf("/rentals?since=%s&limit=%d", url.QueryEscape(since), MaxMachinesPerPage)
	if err := c.do(ctx, "GET", target, nil, &answer); err != nil {
		return nil, false, fmt.Errorf("list machines: %w", err)
	}
	return answer.Hosts, answer.Truncated, nil
}

// do sends a request with a JSON body, none if it is nil, and decodes the answer into out,
// unless that is nil.
func (c *Client) do(ctx context.Context, method, target string, body, out any) error {
	if err := c.awaitBudget(ctx); err != nil {
		return err
	}
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode: %w", err)
		}
	}
	m, err := c.http.Do(ctx, transport.Request{Addr: c.addr, Method: method, Target: target, Body: encoded, Timeout: c.deadline})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return decode(m, out)
}

// awaitBudget waits until the rate allows one more request.
func (c *Client) awaitBudget(ctx context.Context) error {
	for {
		wait, ok := c.budget.Take(time.Now(), 1, 0)
		if ok {
			return nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ErrUnavailable
		}
	}
}

// decode decodes an answer into out, unless that is nil, or returns the error that it tells.
func decode(m *httpwire.Message, out any) error {
	if m.Status != statusOK {
		return refusal(m)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(m.Body, out); err != nil {
		return fmt.Errorf("%w: decode: %w", ErrUnavailable, err)
	}
	return nil
}

// refusal returns the error that an answer tells. One that can't be read is ErrUnavailable.
func refusal(m *httpwire.Message) error {
	var answer struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(m.Body, &answer) // what can't be read has no text
	if m.Status == statusServiceUnavailable && answer.Error == errorNoCapacity {
		return ErrNoCapacity
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, m.Status)
}
