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

// scriptedCloud is a cloud that gives one answer, and notes the last request.
type scriptedCloud struct {
	mu      sync.Mutex // the server's goroutine and the test's take turns
	status  int
	body    string
	request string // method, target and body, separated by spaces
}

// ServeHTTP implements http.Handler.
func (s *scriptedCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // what can't be read differs from what is expected
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request = fmt.Sprintf("%s %s %s", r.Method, r.URL.RequestURI(), body)
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body) // the client notices what is missing
}

// answerWith has the cloud give an answer from now on.
func (s *scriptedCloud) answerWith(status int, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.body = status, body
}

// lastRequest returns what was asked last.
func (s *scriptedCloud) lastRequest() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request
}

// newClient starts a scripted cloud and a client of it, both ended with the test.
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

// Requests are those of PROTOCOL, and their answers are read.
func TestRequests(t *testing.T) {
	cloud := &scriptedCloud{}
	client := newClient(t, cloud)
	ctx := context.Background()
	for _, x := range []struct {
		name, answer string
		call         func() (any, error)
		request      string
		want         any
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
				hosts, truncated, err := client.ListPage(ctx, "i 2")
				if truncated {
					t.Error("the last page counts as truncated")
				}
				return hosts, err
			},
			"GET /rentals?since=i+2&limit=500 ",
			[]Machine{{UID: "i-3", Phase: "failed", AgeS: 1.5}},
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			cloud.answerWith(200, x.answer)
			got, err := x.call()
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(x.want, got); d != "" {
				t.Error(d)
			}
			if asked := cloud.lastRequest(); asked != x.request {
				t.Errorf("asked %q, not %q", asked, x.request)
			}
		})
	}
}

// Only an answer that says so means that there are no machines; everything else means that the
// cloud is unavailable.
func TestFailures(t *testing.T) {
	cloud := &scriptedCloud{}
	client := newClient(t, cloud)
	for _, x := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"no capacity", 503, `{"error":"no capacity"}`, ErrNoCapacity},
		{"in trouble", 503, `{"error":"try again"}`, ErrUnavailable},
		{"in trouble without a reason", 503, ``, ErrUnavailable},
		{"too many requests", 429, `{"error":"no capacity"}`, ErrUnavailable},
		{"malformed answer", 200, `{"hosts":`, ErrUnavailable},
	} {
		t.Run(x.name, func(t *testing.T) {
			cloud.answerWith(x.status, x.body)
			_, err := client.Rent(context.Background(), RentalRequest{Name: "r-1"})
			if !errors.Is(err, x.want) || errors.Is(err, ErrNoCapacity) && errors.Is(err, ErrUnavailable) {
				t.Error(err)
			}
		})
	}
}

// A request that has to wait for the rate when its time is over was not served.
func TestRateAndCancellation(t *testing.T) {
	client := newClient(t, &scriptedCloud{status: 200, body: `{}`})
	client.budget = transport.NewTokenBucket(1e-9, 1)
	if _, err := client.MachineTypes(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := client.MachineTypes(ctx); !errors.Is(err, ErrUnavailable) {
		t.Error(err)
	}
}
