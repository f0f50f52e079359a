package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// fakePeer is a controller that always sends the same response, and records the last request.
type fakePeer struct {
	t            *testing.T
	mu           sync.Mutex // guards the fields below, which the goroutines of the server and the test use
	status       int
	body         []byte
	method, path string
	request      *Request
}

// ServeHTTP implements http.Handler.
func (s *fakePeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	encoded, err := io.ReadAll(r.Body)
	if err != nil {
		s.t.Error(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.method, s.path, s.request = r.Method, r.URL.Path, &Request{}
	if err := proto.Unmarshal(encoded, s.request); err != nil {
		s.t.Error(err)
	}
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body) // the client detects an incomplete body
}

// setResponse sets the response of the peer.
func (s *fakePeer) setResponse(status int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.body = status, body
}

// lastRequest returns the last request that the peer received.
func (s *fakePeer) lastRequest() (method, path string, request *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.method, s.path, s.request
}

// newClient starts a server for the peer and returns a client and the server.
func newClient(t *testing.T, peer *fakePeer) (*Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	httpClient, err := transport.NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if closeErr := httpClient.Close(); closeErr != nil {
			t.Error(closeErr)
		}
	})
	return NewClient(httpClient), server
}

// testRequest returns the request that the tests send.
func testRequest() *Request { return &Request{Kind: Request_KIND_QUERY, From: "n0", Uid: "run-1"} }

func TestClientSendsRequestAndReturnsReply(t *testing.T) {
	want := &Reply{StoreReached: true, Status: 200, Body: []byte("b"), RetryAfter: 3}
	encoded, err := proto.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	peer := &fakePeer{t: t, status: 200, body: encoded}
	client, server := newClient(t, peer)
	got, err := client.Call(context.Background(), server.Listener.Addr().String(), testRequest(), time.Minute)
	if err != nil || !proto.Equal(want, got) {
		t.Errorf("got reply %v and error %v, want %v", got, err, want)
	}
	if method, path, request := peer.lastRequest(); method != "POST" || path != Path || !proto.Equal(testRequest(), request) {
		t.Errorf("peer received %s %s %v, want POST %s %v", method, path, request, Path, testRequest())
	}
}

// A request fails if the response has another status than 200 or its body is not a reply, or if the
// peer cannot be reached.
func TestClientFailsWithoutReply(t *testing.T) {
	peer := &fakePeer{t: t, status: 404}
	client, server := newClient(t, peer)
	send := func() (*Reply, error) {
		return client.Call(context.Background(), server.Listener.Addr().String(), testRequest(), time.Minute)
	}
	var statusError *StatusError
	if reply, err := send(); !errors.As(err, &statusError) || statusError.Status != 404 || reply != nil {
		t.Errorf("status 404: got reply %v and error %v, want a StatusError with status 404", reply, err)
	}
	peer.setResponse(200, []byte{0xff})
	if reply, err := send(); err == nil || reply != nil {
		t.Errorf("malformed body: got reply %v and error %v, want an error", reply, err)
	}
	server.Close()
	if reply, err := send(); err == nil || reply != nil {
		t.Errorf("closed server: got reply %v and error %v, want an error", reply, err)
	}
}
