package frontend

import (
	"math"
	"testing"

	"violetturn/internal/peer"
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// Guards against a response that is no HTTP, or that a user never repeats, for any numbers in the reply
// of the peer that served a user's request.
func TestNumbersInReplyOfPeerAreBounded(t *testing.T) {
	for _, test := range []struct {
		status, retryAfter uint32
		want               transport.Response
	}{
		{200, 0, transport.Response{Status: 200}},
		{503, 1, transport.Response{Status: 503, RetryAfter: 1}},
		{599, math.MaxUint32, transport.Response{Status: 599, RetryAfter: 30}},
		{0, 0, respond.Busy},
		{199, 0, respond.Busy},
		{600, 0, respond.Busy},
		{math.MaxUint32, math.MaxUint32, respond.Busy},
	} {
		got := responseOfReply(&peer.Reply{Status: test.status, RetryAfter: test.retryAfter})
		if got.Status != test.want.Status || got.RetryAfter != test.want.RetryAfter {
			t.Errorf("reply with status %d and retry after %d: got status %d and retry after %d, want %d and %d",
				test.status, test.retryAfter, got.Status, got.RetryAfter, test.want.Status, test.want.RetryAfter)
		}
	}
}
