// Package peer contains the protocol between controllers and its client: protobuf messages in the
// body of POST /peer on the cluster address. peer.proto defines the messages; peer.pb.go is
// generated from it by
//
//	protoc --go_out=. --go_opt=module=violetturn internal/peer/peer.proto
//
// Controllers of adjacent versions exchange these messages, so the numbers and types of fields must
// not change.
//
// A reply never contains a decision: all decisions are committed to the state service. A request
// that fails only means that the peer cannot help now; the peer may have executed it nevertheless.
// A Client's methods may be called from any goroutine.
package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"violetturn/internal/transport"
)

// Path is the HTTP path at which a controller serves the requests of its peers.
const Path = "/peer"

// statusOK is the HTTP status of a response that contains a reply.
const statusOK = 200

// StatusError is the error for a response whose HTTP status is not 200. It contains no reply.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// Client sends requests to peers, the other controllers.
type Client struct {
	http *transport.Client
}

// NewClient returns a client that uses the HTTP client h.
func NewClient(h *transport.Client) *Client { return &Client{http: h} }

// Call sends a request to the controller at addr and waits at most timeout for its reply.
func (c *Client) Call(ctx context.Context, addr string, r *Request, timeout time.Duration) (*Reply, error) {
	body, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode request to peer %s: %w", addr, err)
	}
	m, err := c.http.Do(ctx, transport.Request{Addr: addr, Method: "POST", Target: Path, Body: body, Timeout: timeout})
	if err != nil {
		return nil, fmt.Errorf("send request to peer %s: %w", addr, err)
	}
	if m.Status != statusOK {
		return nil, fmt.Errorf("response of peer %s: %w", addr, &StatusError{m.Status})
	}
	var reply Reply
	if err := proto.Unmarshal(m.Body, &reply); err != nil {
		return nil, fmt.Errorf("decode reply of peer %s: %w", addr, err)
	}
	return &reply, nil
}
