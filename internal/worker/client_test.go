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

// scriptedWorker is a worker that gives one answer, and notes its requests.
type scriptedWorker struct {
	mu       sync.Mutex // the server's goroutine and the test's take turns
	status   int
	body     string
	requests []string // method, path and body, separated by spaces
}

// ServeHTTP implements http.Handler.
func (s *scriptedWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // what can't be read differs from what is expected
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body))
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body) // the client notices what is missing
}

// answerWith has the worker give an answer from now on, and forget what it was asked.
func (s *scriptedWorker) answerWith(status int, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.body, s.requests = status, body, nil
}

// asked returns the requests since the answer was set.
func (s *scriptedWorker) asked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// newClient starts a scripted worker and returns a client and the worker's address.
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

// heartbeat is the least heartbeat that is taken.
const heartbeat = `{"host":"i-1","tenure":2}`

// Commands are sent in the form of PROTOCOL; whether they were carried out is told by the status.
func TestSendCommands(t *testing.T) {
	worker := &scriptedWorker{}
	client, addr := newClient(t, worker)
	batch := api.CommandBatch{Token: 41, AgentEpoch: 2, Commands: []api.Command{{Action: api.Stop, Task: "run-1/0", Attempt: 3}}}
	for _, x := range []struct {
		name     string
		status   int
		body     string
		executed bool
		ok       bool
	}{
		{"carried out", 200, heartbeat, true, true},
		{"out of date", 409, heartbeat, false, true},
		{"no heartbeat", 200, `{}`, true, false},
		{"unavailable", 503, heartbeat, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			worker.answerWith(x.status, x.body)
			h, executed, err := client.SendCommands(context.Background(), addr, batch)
			if (err == nil) != x.ok || (h != nil) != x.ok || executed != x.executed {
				t.Errorf("%+v, carried out %t, %v", h, executed, err)
			}
			want := `POST /commands {"baton":41,"tenure":2,"orders":[{"verb":"halt","piece":"run-1/0","try":3}]}`
			if asked := worker.asked(); len(asked) != 1 || asked[0] != want {
				t.Error(asked)
			}
		})
	}
}

// A launch is never sent directly, nor is what goes with it.
func TestLaunchIsNeverSent(t *testing.T) {
	worker := &scriptedWorker{status: 200, body: heartbeat}
	client, addr := newClient(t, worker)
	batch := api.CommandBatch{Token: 41, Commands: []api.Command{{Action: api.Stop}, {Action: api.Launch, Task: "run-1/0"}}}
	if _, executed, err := client.SendCommands(context.Background(), addr, batch); !errors.Is(err, ErrLaunchNotAllowed) || executed {
		t.Error(executed, err)
	}
	if asked := worker.asked(); len(asked) != 0 {
		t.Error(asked)
	}
}

// A worker is asked for its heartbeat; an answer that is none is an error.
func TestStatus(t *testing.T) {
	worker := &scriptedWorker{status: 200, body: heartbeat}
	client, addr := newClient(t, worker)
	h, err := client.FetchHeartbeat(context.Background(), addr)
	if err != nil || h.Host != "i-1" || h.AgentEpoch != 2 {
		t.Error(h, err)
	}
	worker.answerWith(500, heartbeat)
	var status *StatusError
	if _, err := client.FetchHeartbeat(context.Background(), addr); !errors.As(err, &status) || status.Status != 500 {
		t.Error(err)
	}
	worker.answerWith(200, `{"host":""}`)
	var refused *api.RequestError
	if _, err := client.FetchHeartbeat(context.Background(), addr); !errors.As(err, &refused) {
		t.Error(err)
	}
}
