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

// scriptedPeer is a controller that gives one answer, and notes the last request.
type scriptedPeer struct {
	t            *testing.T
	mu           sync.Mutex // the server's goroutine and the test's take turns
	status       int
	body         []byte
	method, path string
	request      *Request
}

// ServeHTTP implements http.Handler.
func (s *scriptedPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	_, _ = w.Write(s.body) // the client notices what is missing
}

// answerWith has the peer give an answer from now on.
func (s *scriptedPeer) answerWith(status int, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.body = status, body
}

// asked returns the last request.
func (s *scriptedPeer) asked() (method, path string, request *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.method, s.path, s.request
}

// newClient starts a scripted peer and returns a client and the server.
func newClient(t *testing.T, peer *scriptedPeer) (*Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	h, err := transport.NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if closeErr := h.Close(); closeErr != nil {
			t.Error(closeErr)
		}
	})
	return NewClient(h), server
}

// question is what the tests ask.
func question() *Request { return &Request{Kind: Request_KIND_QUERY, From: "n0", Uid: "run-1"} }

// A question reaches the peer as it was asked, and its reply comes back.
func TestAsk(t *testing.T) {
	want := &Reply{StoreReached: true, Status: 200, Body: []byte("b"), RetryAfter: 3}
	encoded, err := proto.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	peer := &scriptedPeer{t: t, status: 200, body: encoded}
	client, server := newClient(t, peer)
	got, err := client.Call(context.Background(), server.Listener.Addr().String(), question(), time.Minute)
	if err != nil || !proto.Equal(want, got) {
		t.Error(got, err)
	}
	if method, path, request := peer.asked(); method != "POST" || path != Path || !proto.Equal(question(), request) {
		t.Errorf("%s %s %v", method, path, request)
	}
}

// Another status than 200, an answer that is no reply and no answer at all are errors.
func TestAskInVain(t *testing.T) {
	peer := &scriptedPeer{t: t, status: 404}
	client, server := newClient(t, peer)
	ask := func() (*Reply, error) {
		return client.Call(context.Background(), server.Listener.Addr().String(), question(), time.Minute)
	}
	var refused *StatusError
	if reply, err := ask(); !errors.As(err, &refused) || refused.Status != 404 || reply != nil {
		t.Error(reply, err)
	}
	peer.answerWith(200, []byte{0xff})
	if reply, err := ask(); err == nil || reply != nil {
		t.Error("taken for a reply:", reply)
	}
	server.Close()
	if reply, err := ask(); err == nil || reply != nil {
		t.Error("a peer that is not there answers:", reply)
	}
}
