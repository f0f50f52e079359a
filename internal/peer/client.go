// Package peer is the link between controllers: protobuf messages in the body of POST /peer on
// the cluster address. peer.proto describes the messages; peer.pb.go is generated from it by
//
//	protoc --go_out=. --go_opt=module=violetturn internal/peer/peer.proto
//
// Versions next to each other talk to each other, so numbers and types of fields stay.
//
// Nothing that a peer answers is a decision, and a question that fails means that the peer
// does not help now. A Client's methods may be called from any goroutine.
package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"violetturn/internal/transport"
)

// Path is where a controller takes its peers' requests.
const Path = "/peer"

// statusOK is the status of an answer that holds a reply.
const statusOK = 200

// StatusError is an answer without a reply.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Client asks other controllers.
type Client struct {
	http *transport.Client
}

// NewClient makes a client.
func NewClient(h *transport.Client) *Client { return &Client{http: h} }

// Call sends a request to the controller at addr and returns its reply.
func (c *Client) Call(ctx context.Context, addr string, r *Request, deadline time.Duration) (*Reply, error) {
	body, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("request to peer %s: %w", addr, err)
	}
	m, err := c.http.Do(ctx, transport.Request{Addr: addr, Method: "POST", Target: Path, Body: body, Timeout: deadline})
	if err != nil {
		return nil, fmt.Errorf("ask peer %s: %w", addr, err)
	}
	if m.Status != statusOK {
		return nil, fmt.Errorf("ask peer %s: %w", addr, &StatusError{m.Status})
	}
	var reply Reply
	if err := proto.Unmarshal(m.Body, &reply); err != nil {
		return nil, fmt.Errorf("reply of peer %s: %w", addr, err)
	}
	return &reply, nil
}
