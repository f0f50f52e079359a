package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// scriptedWorker is a worker that gives one answer, and notes its requests.
type scriptedWorker struct {
	status   int
	body     string
	requests []string // method, path and body, separated by spaces
}

// ServeHTTP implements http.Handler.
func (s *scriptedWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // what can't be read differs from what is expected
	s.requests = append(s.requests, fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body))
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body) // the client notices what is missing
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
	return New(h, time.Minute), server.Listener.Addr().String()
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
			worker.status, worker.body, worker.requests = x.status, x.body, nil
			h, executed, err := client.SendCommands(context.Background(), addr, batch)
			if (err == nil) != x.ok || (h != nil) != x.ok || executed != x.executed {
				t.Errorf("%+v, carried out %t, %v", h, executed, err)
			}
			want := `POST /commands {"baton":41,"tenure":2,"orders":[{"verb":"halt","piece":"run-1/0","try":3}]}`
			if len(worker.requests) != 1 || worker.requests[0] != want {
				t.Error(worker.requests)
			}
		})
	}
}

// A launch is never sent directly, nor is what goes with it.
func TestLaunchIsNeverSent(t *testing.T) {
	worker := &scriptedWorker{status: 200, body: heartbeat}
	client, addr := newClient(t, worker)
	batch := api.CommandBatch{Token: 41, Commands: []api.Command{{Action: api.Stop}, {Action: api.Launch, Task: "run-1/0"}}}
	if _, executed, err := client.SendCommands(context.Background(), addr, batch); !errors.Is(err, ErrLaunch) || executed {
		t.Error(executed, err)
	}
	if len(worker.requests) != 0 {
		t.Error(worker.requests)
	}
}

// A worker is asked for its heartbeat; an answer that is none is an error.
func TestStatus(t *testing.T) {
	worker := &scriptedWorker{status: 200, body: heartbeat}
	client, addr := newClient(t, worker)
	h, err := client.Status(context.Background(), addr)
	if err != nil || h.Host != "i-1" || h.AgentEpoch != 2 {
		t.Error(h, err)
	}
	worker.status = 500
	var status *StatusError
	if _, err := client.Status(context.Background(), addr); !errors.As(err, &status) || status.Status != 500 {
		t.Error(err)
	}
	worker.status, worker.body = 200, `{"host":""}`
	var refused *api.RequestError
	if _, err := client.Status(context.Background(), addr); !errors.As(err, &refused) {
		t.Error(err)
	}
}
