package cloud

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// scriptedCloud is a cloud that gives a preset response and records the last request.
type scriptedCloud struct {
	mu      sync.Mutex // guards the fields below, shared by the server's goroutine and the test's
	status  int
	body    string
	request string // method, target and body, separated by spaces
}

// ServeHTTP implements http.Handler.
func (s *scriptedCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // after a read error the recorded request differs from the wanted one
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request = fmt.Sprintf("%s %s %s", r.Method, r.URL.RequestURI(), body)
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body) // after a write error the client fails to decode the response
}

// setResponse sets the response to all later requests.
func (s *scriptedCloud) setResponse(status int, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.body = status, body
}

// lastRequest returns the last request.
func (s *scriptedCloud) lastRequest() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request
}

// newClient starts a server with the handler and a client of it, which are stopped when the test ends.
func newClient(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := transport.NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	})
	return NewClient(client, server.Listener.Addr().String(), time.Minute, 1000)
}

// Calls send the requests of PROTOCOL and decode its responses.
func TestRequestsAndResponses(t *testing.T) {
	cloud := &scriptedCloud{}
	client := newClient(t, cloud)
	ctx := context.Background()
	for _, test := range []struct {
		name, response string
		call           func() (any, error)
		wantRequest    string
		want           any
	}{
		{
			"machine types", `{"builds":[{"label":"g8","cpus":8,"sites":["a"]}]}`,
			func() (any, error) { return client.MachineTypes(ctx) },
			"GET /flavors ",
			[]MachineType{{Name: "g8", CPUs: 8, Zones: []string{"a"}}},
		},
		{
			"rent", `{"hosts":["i-1","i-2"]}`,
			func() (any, error) {
				return client.Rent(ctx, RentalRequest{Name: "r-17", MachineType: "g8", Zone: "a", Spot: true, Count: 2})
			},
			`POST /rentals {"hire":"r-17","build":"g8","site":"a","loaners":true,"howMany":2}`,
			[]string{"i-1", "i-2"},
		},
		{
			"return", `{}`,
			func() (any, error) { return nil, client.Return(ctx, []string{"i-1"}) },
			`POST /rentals/return {"hosts":["i-1"]}`, nil,
		},
		{
			"page", `{"hosts":[{"uid":"i-3","phase":"failed","heldS":1.5}],"truncated":false}`,
			func() (any, error) {
				machines, truncated, err := client.ListPage(ctx, "i 2")
				if truncated {
					t.Error("ListPage of the last page: got truncated, want not truncated")
				}
				return machines, err
			},
			"GET /rentals?since=i+2&limit=500 ",
			[]Machine{{UID: "i-3", Phase: "failed", AgeS: 1.5}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			cloud.setResponse(200, test.response)
			got, err := test.call()
			if err != nil {
				t.Fatalf("got error %v, want none", err)
			}
			if d := cmp.Diff(test.want, got); d != "" {
				t.Errorf("response differs (-want +got):\n%s", d)
			}
			if gotRequest := cloud.lastRequest(); gotRequest != test.wantRequest {
				t.Errorf("got request %q, want %q", gotRequest, test.wantRequest)
			}
		})
	}
}

// Only a response with status 503 and the error text "no capacity" returns ErrNoCapacity. Every
// other failure returns ErrUnavailable.
func TestOnlyNoCapacityTextReturnsErrNoCapacity(t *testing.T) {
	cloud := &scriptedCloud{}
	client := newClient(t, cloud)
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"no capacity", 503, `{"error":"no capacity"}`, ErrNoCapacity},
		{"unavailable", 503, `{"error":"try again"}`, ErrUnavailable},
		{"unavailable without a body", 503, ``, ErrUnavailable},
		{"too many requests", 429, `{"error":"no capacity"}`, ErrUnavailable},
		{"malformed response", 200, `{"hosts":`, ErrUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			cloud.setResponse(test.status, test.body)
			_, err := client.Rent(context.Background(), RentalRequest{Name: "r-1"})
			if !errors.Is(err, test.want) || errors.Is(err, ErrNoCapacity) && errors.Is(err, ErrUnavailable) {
				t.Errorf("got error %v, want only %v", err, test.want)
			}
		})
	}
}

// A request whose context is cancelled while it waits for the rate limit returns ErrUnavailable.
func TestCancelledRateWaitReturnsErrUnavailable(t *testing.T) {
	client := newClient(t, &scriptedCloud{status: 200, body: `{}`})
	client.budget = transport.NewTokenBucket(1e-9, 1)
	if _, err := client.MachineTypes(context.Background()); err != nil {
		t.Fatalf("request within the rate limit: got error %v, want none", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := client.MachineTypes(ctx); !errors.Is(err, ErrUnavailable) {
		t.Errorf("request above the rate limit: got error %v, want %v", err, ErrUnavailable)
	}
}
