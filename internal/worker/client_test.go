package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// scriptedWorker is a worker that gives a preset response and records its requests.
type scriptedWorker struct {
	mu       sync.Mutex // guards the fields below, shared by the server's goroutine and the test's
	status   int
	body     string
	requests []string // method, path and body, separated by spaces
}

// ServeHTTP implements http.Handler.
func (s *scriptedWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // after a read error the recorded request differs from the wanted one
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body))
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body) // after a write error the client fails to parse the response
}

// setResponse sets the response to all later requests and clears the recorded requests.
func (s *scriptedWorker) setResponse(status int, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.body, s.requests = status, body, nil
}

// receivedRequests returns the requests since the last setResponse.
func (s *scriptedWorker) receivedRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// newClient starts a server for the worker and returns a client and the server's address.
func newClient(t *testing.T, worker *scriptedWorker) (client *Client, addr string) {
	t.Helper()
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	h, err := transport.NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := h.Close(); err != nil {
			t.Error(err)
		}
	})
	return NewClient(h, time.Minute), server.Listener.Addr().String()
}

// minimalHeartbeat is a heartbeat with only the required fields.
const minimalHeartbeat = `{"host":"i-1","tenure":2}`

// SendCommands sends the request of PROTOCOL and derives from the status whether the worker
// executed the commands.
func TestSendCommands(t *testing.T) {
	worker := &scriptedWorker{}
	client, addr := newClient(t, worker)
	batch := api.CommandBatch{Token: 41, AgentEpoch: 2, Commands: []api.Command{{Action: api.Stop, Task: "run-1/0", Attempt: 3}}}
	for _, test := range []struct {
		name         string
		status       int
		body         string
		wantExecuted bool
		wantOK       bool
	}{
		{"executed", 200, minimalHeartbeat, true, true},
		{"out of date", 409, minimalHeartbeat, false, true},
		{"no heartbeat", 200, `{}`, true, false},
		{"unavailable", 503, minimalHeartbeat, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker.setResponse(test.status, test.body)
			h, executed, err := client.SendCommands(context.Background(), addr, batch)
			if (err == nil) != test.wantOK || (h != nil) != test.wantOK || executed != test.wantExecuted {
				t.Errorf("got heartbeat %+v, executed %t, error %v; want executed %t, success %t",
					h, executed, err, test.wantExecuted, test.wantOK)
			}
			want := `POST /commands {"baton":41,"tenure":2,"orders":[{"verb":"halt","piece":"run-1/0","try":3}]}`
			if requests := worker.receivedRequests(); len(requests) != 1 || requests[0] != want {
				t.Errorf("got requests %q, want only %q", requests, want)
			}
		})
	}
}

// A batch with a launch is rejected as a whole and not sent.
func TestLaunchIsNeverSent(t *testing.T) {
	worker := &scriptedWorker{status: 200, body: minimalHeartbeat}
	client, addr := newClient(t, worker)
	batch := api.CommandBatch{Token: 41, Commands: []api.Command{{Action: api.Stop}, {Action: api.Launch, Task: "run-1/0"}}}
	if _, executed, err := client.SendCommands(context.Background(), addr, batch); !errors.Is(err, ErrLaunchNotAllowed) || executed {
		t.Errorf("got executed %t, error %v; want executed false, error %v", executed, err, ErrLaunchNotAllowed)
	}
	if requests := worker.receivedRequests(); len(requests) != 0 {
		t.Errorf("got requests %q, want none", requests)
	}
}

// FetchHeartbeat returns the worker's heartbeat. A response with a status other than 200 or with an
// invalid heartbeat is an error.
func TestFetchHeartbeat(t *testing.T) {
	worker := &scriptedWorker{status: 200, body: minimalHeartbeat}
	client, addr := newClient(t, worker)
	h, err := client.FetchHeartbeat(context.Background(), addr)
	if err != nil || h.Host != "i-1" || h.AgentEpoch != 2 {
		t.Errorf("got heartbeat %+v, error %v; want host i-1 with agent epoch 2", h, err)
	}
	worker.setResponse(500, minimalHeartbeat)
	var statusError *StatusError
	if _, err := client.FetchHeartbeat(context.Background(), addr); !errors.As(err, &statusError) || statusError.Status != 500 {
		t.Errorf("status 500: got error %v, want a StatusError with status 500", err)
	}
	worker.setResponse(200, `{"host":""}`)
	var requestError *api.RequestError
	if _, err := client.FetchHeartbeat(context.Background(), addr); !errors.As(err, &requestError) {
		t.Errorf("heartbeat without a host: got error %v, want an api.RequestError", err)
	}
}
