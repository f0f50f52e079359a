package frontend_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/transport"
)

// askAsPeer sends a peer's request and waits for its response.
func (n *testNode) askAsPeer(t *testing.T, method, target string, body []byte) transport.Response {
	t.Helper()
	answered := make(chan transport.Response, 1)
	response, now := n.frontend.HandlePeer(
		&httpwire.Message{Method: method, Target: target, Body: body}, func(r transport.Response) { answered <- r },
	)
	if now {
		return response
	}
	select {
	case response = <-answered:
		return response
	case <-time.After(10 * time.Second):
		t.Fatalf("%s %s: not answered", method, target)
		return response
	}
}

// A peer is told what this node sees of the state service; its users' requests are carried out only
// where this node can, and what they are answered with comes back as it is.
func TestPeerRequests(t *testing.T) {
	n := newTestNode(t)
	for _, x := range []struct {
		name    string
		before  func()
		request *peer.Request
		want    *peer.Reply
	}{
		{
			"user's request before loading", nil,
			&peer.Request{Kind: peer.Request_KIND_QUERY, Uid: "run-000100"},
			&peer.Reply{},
		},
		{
			"health", func() { n.load(t) },
			&peer.Request{Kind: peer.Request_KIND_HEALTH},
			&peer.Reply{StoreReached: true},
		},
		{
			"query of an unknown job", nil,
			&peer.Request{Kind: peer.Request_KIND_QUERY, Uid: "run-000100"},
			&peer.Reply{StoreReached: true, Status: 404, Body: []byte(noJob)},
		},
		{
			"submission", nil,
			&peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: submission(func(*api.Job) {})},
			&peer.Reply{StoreReached: true, Status: 201, Body: []byte(`{"phase":"pending","uid":"run-000100"}`)},
		},
		{
			"cancellation", nil,
			&peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: "run-000100"},
			&peer.Reply{StoreReached: true, Status: 200, Body: []byte(`{"phase":"withdrawn","uid":"run-000100"}`)},
		},
		{
			"gang before all read its form", nil,
			&peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: submission(func(j *api.Job) { j.UID, j.Kind = "run-000101", api.Gang })},
			&peer.Reply{StoreReached: true, Status: 503, Body: []byte(busy), RetryAfter: 1},
		},
		{"request of an unknown kind", nil, &peer.Request{Kind: 99}, &peer.Reply{StoreReached: true, Status: 404}},
	} {
		t.Run(x.name, func(t *testing.T) {
			if x.before != nil {
				x.before()
			}
			body, err := proto.Marshal(x.request)
			if err != nil {
				t.Fatal(err)
			}
			response := n.askAsPeer(t, "POST", peer.Path, body)
			var got peer.Reply
			if err := proto.Unmarshal(response.Body, &got); err != nil || response.Status != 200 {
				t.Fatalf("status %d: %v", response.Status, err)
			}
			if !proto.Equal(&got, x.want) {
				t.Errorf("%v, want %v", &got, x.want)
			}
		})
	}
}

func TestMalformedPeerRequests(t *testing.T) {
	n := newTestNode(t)
	for _, x := range []struct {
		name, method, target string
		body                 []byte
	}{
		{"other method", "GET", peer.Path, nil},
		{"other path", "POST", "/v2/runs", nil},
		{"no message", "POST", peer.Path, []byte{0xff}},
	} {
		t.Run(x.name, func(t *testing.T) {
			if got := n.askAsPeer(t, x.method, x.target, x.body); got.Status != 400 || len(got.Body) != 0 {
				t.Errorf("%d %s", got.Status, got.Body)
			}
		})
	}
}
