// Package peer is the link between controllers: protobuf messages in the body
// of POST /peer on the cluster address.
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

// Client asks other controllers.
type Client struct {
	http *transport.Client
}

// New makes a client.
func New(h *transport.Client) *Client { return &Client{http: h} }

// Ask sends a request to the controller at addr.
func (c *Client) Ask(ctx context.Context, addr string, r *Request, deadline time.Duration) (*Reply, error) {
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("peer request: %w", err)
	}
	m, err := c.http.Do(ctx, addr, "POST", Path, b, deadline)
	if err != nil {
		return nil, err
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("peer: status %d", m.Status)
	}
	var a Reply
	if err := proto.Unmarshal(m.Body, &a); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &a, nil
}
