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

// scriptedService is a state service that answers each path as it was told, and notes what it
// was asked.
type scriptedService struct {
	mu       sync.Mutex
	answers  map[string]transport.Response // by target, or by path without the query
	requests []string                      // method, target and body of each, separated by spaces
}

// serve implements transport.Handler.
func (s *scriptedService) serve(req *httpwire.Message, _ func(transport.Response)) (transport.Response, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, strings.TrimSpace(req.Method+" "+req.Target+" "+string(req.Body)))
	if answer, ok := s.answers[req.Target]; ok {
		return answer, true
	}
	path, _, _ := strings.Cut(req.Target, "?")
	return s.answers[path], true
}

// set says how a target or a path is answered from now on.
func (s *scriptedService) set(target string, status int, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[target] = transport.Response{Status: status, Body: []byte(body)}
}

// asked returns the requests so far, and forgets them.
func (s *scriptedService) asked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.requests
	s.requests = nil
	return requests
}

// fixture is a client of a scripted service.
type fixture struct {
	service *scriptedService
	client  *Client
	served  bool // what OnResponse was told last
}

// newFixture starts a scripted service and a client of it, both ended with the test. The rate
// of changes of the client is halved at some moment.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{service: &scriptedService{answers: map[string]transport.Response{}}, served: true}
	server := transport.NewServer(f.service.serve, httpwire.RequestLimits, 4, time.Minute)
	addr := freeAddress(t)
	ended := make(chan error, 1)
	go func() { ended <- server.Run(addr) }()
	select {
	case <-server.Listening():
	case err := <-ended:
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
		OnResponse:      func(ok bool) { f.served = ok },
	})
	return f
}

// freeAddress returns a loopback address that nothing listens on.
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
