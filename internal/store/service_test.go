package store

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// scriptedService is a state service that gives a preset response for each path and records the
// requests.
type scriptedService struct {
	mu        sync.Mutex                    // guards the fields below, shared by the server's event loop and the test
	responses map[string]transport.Response // by target, or by path without the query
	requests  []string                      // method, target and body of each, separated by spaces
}

// serve records the request and returns the preset response; it is a transport.Handler.
func (s *scriptedService) serve(req *httpwire.Message, _ func(transport.Response)) (transport.Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, strings.TrimSpace(req.Method+" "+req.Target+" "+string(req.Body)))
	if response, ok := s.responses[req.Target]; ok {
		return response, true
	}
	path, _, _ := strings.Cut(req.Target, "?")
	return s.responses[path], true
}

// setResponse sets the response to all later requests for a target or a path.
func (s *scriptedService) setResponse(target string, status int, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[target] = transport.Response{Status: status, Body: []byte(body)}
}

// takeRequests returns and clears the recorded requests.
func (s *scriptedService) takeRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.requests
	s.requests = nil
	return requests
}

// fixture is a scripted service and a client of it.
type fixture struct {
	service           *scriptedService
	client            *Client
	reportedAvailable bool // argument of the last call of OnResponse
}

// newFixture starts a scripted service and a client of it, which are stopped when the test ends.
// The announced write rate of the client is half of its current one.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{service: &scriptedService{responses: map[string]transport.Response{}}, reportedAvailable: true}
	server := transport.NewServer(f.service.serve, httpwire.RequestLimits, 4, time.Minute)
	addr := freeAddress(t)
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run(addr) }()
	select {
	case <-server.Listening():
	case err := <-runErr:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	client, err := transport.NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	})
	f.client = NewClient(Options{
		HTTP:            client,
		Addr:            addr,
		Timeout:         time.Minute,
		Limits:          Limits{RPS: 1000, WriteRPS: 1000},
		AnnouncedLimits: Limits{RPS: 1000, WriteRPS: 500},
		ControllerCount: 1,
		OnResponse:      func(ok bool) { f.reportedAvailable = ok },
	})
	return f
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}
