// Package cloud is the client of the cloud that rents machines.
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
	ErrNoCapacity  = errors.New("cloud has no capacity")
	ErrUnavailable = errors.New("cloud in trouble")
)

// MachineType is a machine type.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"memGb"`
	CacheGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"pullGbPerS"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"marketPrice"`
	BootS       float64  `json:"startupS"`
	Zones       []string `json:"sites"`
}

// Host is a rented machine as listed.
type Host struct {
	UID         string  `json:"uid"`
	Addr        string  `json:"addr"`
	MachineType string  `json:"build"`
	Zone        string  `json:"site"`
	Spot        bool    `json:"loaners"`
	Phase       string  `json:"phase"`
	AgeS        float64 `json:"heldS"`
}

// RentalRequest asks for machines. Hire names the request and is never used again.
type RentalRequest struct {
	Name        string `json:"hire"`
	MachineType string `json:"build"`
	Zone        string `json:"site"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"howMany"`
}

// MaxRental is the most machines one request may ask for; MaxReturn the most
// that one may give back.
const (
	MaxRental = 50
	MaxReturn = 100
)

// Client talks to the cloud within the controller's share of its rate.
type Client struct {
	http     *transport.Client
	addr     string
	deadline time.Duration
	budget   *transport.TokenBucket
}

// New makes a client.
func New(h *transport.Client, addr string, deadline time.Duration, rps float64) *Client {
	return &Client{http: h, addr: addr, deadline: deadline, budget: transport.NewTokenBucket(rps, 2*rps)}
}

func (c *Client) do(ctx context.Context, method, target string, body, v any) error {
	for {
		d, ok := c.budget.Take(time.Now(), 1, 0)
		if ok {
			break
		}
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return ErrUnavailable
		}
	}
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return fmt.Errorf("cloud request: %w", err)
		}
	}
	m, err := c.http.Do(ctx, c.addr, method, target, b, c.deadline)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return answer(m, v)
}

func answer(m *httpwire.Message, v any) error {
	if m.Status == 200 {
		if v == nil {
			return nil
		}
		if err := json.Unmarshal(m.Body, v); err != nil {
			return fmt.Errorf("cloud: %w", err)
		}
		return nil
	}
	var e struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(m.Body, &e) // an unreadable error counts as trouble
	if m.Status == 503 && e.Error == "no capacity" {
		return ErrNoCapacity
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, m.Status)
}

// MachineTypes reads the machine types.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var a struct {
		Builds []MachineType `json:"builds"`
	}
	err := c.do(ctx, "GET", "/flavors", nil, &a)
	return a.Builds, err
}

// Rent rents machines and gives their names.
func (c *Client) Rent(ctx context.Context, r RentalRequest) ([]string, error) {
	var a struct {
		Hosts []string `json:"hosts"`
	}
	err := c.do(ctx, "POST", "/rentals", r, &a)
	return a.Hosts, err
}

// Return returns machines back. When it succeeds they are gone.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	return c.do(ctx, "POST", "/rentals/return", map[string][]string{"hosts": hosts}, nil)
}

// Page reads the machines whose names come after since, MaxPage at most. truncated tells
// that there are more.
func (c *Client) Page(ctx context.Context, since string) (hosts []Host, truncated bool, err error) {
	var a struct {
		Hosts     []Host `json:"hosts"`
		Truncated bool   `json:"truncated"`
	}
	target := fmt.Sprintf("/rentals?since=%s&limit=%d", url.QueryEscape(since), MaxPage)
	if err := c.do(ctx, "GET", target, nil, &a); err != nil {
		return nil, false, err
	}
	return a.Hosts, a.Truncated, nil
}
