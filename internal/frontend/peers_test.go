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

// sendPeerRequest sends a peer's request and waits for its response.
func (n *testController) sendPeerRequest(t *testing.T, method, target string, body []byte) transport.Response {
	t.Helper()
	responses := make(chan transport.Response, 1)
	response, answered := n.frontend.HandlePeer(
		&httpwire.Message{Method: method, Target: target, Body: body}, func(r transport.Response) { responses <- r },
	)
	if answered {
		return response
	}
	select {
	case response = <-responses:
		return response
	case <-time.After(10 * time.Second):
		t.Fatalf("%s %s: got no response within 10 s", method, target)
		return response
	}
}

// A reply states whether this controller can serve users. A request that a peer forwards for its
// user is executed only if it can, and the reply then contains the exact response for the user.
func TestHandlePeerReturnsExactReplies(t *testing.T) {
	n := newTestController(t)
	for _, test := range []struct {
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
			&peer.Reply{StoreReached: true, Status: 404, Body: []byte(unknownJobBody)},
		},
		{
			"submission", nil,
			&peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: encodeJob(func(*api.Job) {})},
			&peer.Reply{StoreReached: true, Status: 201, Body: []byte(`{"phase":"pending","uid":"run-000100"}`)},
		},
		{
			"cancellation", nil,
			&peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: "run-000100"},
			&peer.Reply{StoreReached: true, Status: 200, Body: []byte(`{"phase":"withdrawn","uid":"run-000100"}`)},
		},
		{
			"gang before the upgrade is complete", nil,
			&peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: encodeJob(func(j *api.Job) { j.UID, j.Kind = "run-000101", api.Gang })},
			&peer.Reply{StoreReached: true, Status: 503, Body: []byte(busyBody), RetryAfter: 1},
		},
		{"request of an unknown kind", nil, &peer.Request{Kind: 99}, &peer.Reply{StoreReached: true, Status: 404}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.before != nil {
				test.before()
			}
			body, err := proto.Marshal(test.request)
			if err != nil {
				t.Fatal(err)
			}
			response := n.sendPeerRequest(t, "POST", peer.Path, body)
			var got peer.Reply
			if err := proto.Unmarshal(response.Body, &got); err != nil || response.Status != 200 {
				t.Fatalf("got status %d, decoding error %v, want status 200 and a reply", response.Status, err)
			}
			if !proto.Equal(&got, test.want) {
				t.Errorf("got reply %v, want %v", &got, test.want)
			}
		})
	}
}

func TestHandlePeerRejectsMalformedRequests(t *testing.T) {
	n := newTestController(t)
	for _, test := range []struct {
		name, method, target string
		body                 []byte
	}{
		{"other method", "GET", peer.Path, nil},
		{"other path", "POST", "/v2/runs", nil},
		{"body that is no message", "POST", peer.Path, []byte{0xff}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := n.sendPeerRequest(t, test.method, test.target, test.body); got.Status != 400 || len(got.Body) != 0 {
				t.Errorf("got status %d with body %q, want status 400 without a body", got.Status, got.Body)
			}
		})
	}
}
