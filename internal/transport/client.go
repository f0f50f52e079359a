package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"violetturn/internal/httpwire"
)

// Errors of a request.
var (
	// ErrNoResponse means that the server may or may not have carried out the request.
	ErrNoResponse = errors.New("no response")
	// errConnectionClosed means that the connection was closed before the request was sent.
	errConnectionClosed = errors.New("connection closed before the request was sent")
)

// clientReadBufferBytes is the most bytes that a client's event loop reads from a connection at once.
const clientReadBufferBytes = 64 << 10

// minFinalStatus is the lowest status of a final response; lower ones are interim responses.
const minFinalStatus = 200

// Request is one HTTP request.
type Request struct {
	Addr    string // host:port of the server
	Method  string
	Target  string        // path and query
	Body    []byte        // nil: a request without a body
	Timeout time.Duration // limit for the whole request, including connection setup

	// CloseAfter closes the connection after the response. It is meant for clients of more
	// servers than there are sockets, which can't keep a connection open to each.
	CloseAfter bool
}

// Client sends HTTP requests over persistent connections, one request at a time on each. All
// its connections share one event loop. Its methods may be called from any goroutine.
type Client struct {
	gnet.BuiltinEventEngine
	engine *gnet.Client
	limits httpwire.Limits // of responses

	mu   sync.Mutex               // guards idle
	idle map[string][]*clientConn // connections without a request, by address; most recently used last
}

// clientConn is one connection of a Client.
type clientConn struct {
	conn   gnet.Conn        // set before the first request is sent
	parser *httpwire.Parser // accessed by the event loop only

	mu       sync.Mutex  // guards the fields below
	resultCh chan result // of the request in flight; nil if there is none
	closed   bool
}

// result is the outcome of a request: a response message or an error.
type result struct {
	message *httpwire.Message
	err     error
}

// NewClient starts a client that rejects responses larger than the limits.
func NewClient(limits httpwire.Limits) (*Client, error) {
	c := &Client{limits: limits, idle: map[string][]*clientConn{}}
	engine, err := gnet.NewClient(
		c,
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(clientReadBufferBytes),
		gnet.WithLogger(silentLogger{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	)
	if err != nil {
		return nil, fmt.Errorf("HTTP client: %w", err)
	}
	c.engine = engine
	if err := engine.Start(); err != nil {
		return nil, fmt.Errorf("HTTP client: %w", err)
	}
	return c, nil
}

// Close closes all connections and stops the event loop.
func (c *Client) Close() error { return c.engine.Stop() }

// OnTraffic implements gnet.EventHandler.
func (c *Client) OnTraffic(gc gnet.Conn) gnet.Action {
	cc, ok := gc.Context().(*clientConn)
	if !ok {
		return gnet.Close
	}
	b, err := gc.Next(-1)
	if err != nil {
		return gnet.Close
	}
	cc.parser.Feed(b)
	for {
		m, err := cc.parser.Next()
		if err != nil {
			cc.deliver(result{err: fmt.Errorf("%w: %w", ErrNoResponse, err)})
			return gnet.Close
		}
		if m == nil {
			return gnet.None
		}
		if m.Status < minFinalStatus {
			continue
		}
		if !cc.deliver(result{message: m}) { // a response without a request
			return gnet.Close
		}
		if m.Close {
			return gnet.Close
		}
	}
}

// OnClose implements gnet.EventHandler.
func (c *Client) OnClose(gc gnet.Conn, _ error) gnet.Action {
	cc, ok := gc.Context().(*clientConn)
	if !ok {
		return gnet.None
	}
	cc.mu.Lock()
	cc.closed = true
	cc.mu.Unlock()
	if m := cc.parser.EndOfStream(); m != nil {
		cc.deliver(result{message: m})
	} else {
		cc.deliver(result{err: ErrNoResponse})
	}
	return gnet.None
}

// Do sends one request and waits for the response for at most r.Timeout. After ErrNoResponse the
// server may have carried out the request; any other error means that the request was never sent.
func (c *Client) Do(ctx context.Context, r Request) (*httpwire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	cc, err := c.acquireConn(ctx, r.Addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	resultCh, err := cc.expectResponse()
	if err != nil {
		return nil, err
	}
	if err := cc.conn.AsyncWrite(httpwire.AppendRequest(nil, r.Method, r.Target, r.Addr, r.Body), nil); err != nil {
		_ = cc.conn.Close()
		return nil, ErrNoResponse
	}
	select {
	case res := <-resultCh:
		if res.err != nil {
			return nil, res.err
		}
		if !res.message.Close { // otherwise the event loop closes the connection
			c.releaseConn(cc, r)
		}
		return res.message, nil
	case <-ctx.Done():
		cc.abandon()
		return nil, ErrNoResponse
	}
}

// acquireConn returns an idle connection to an address, or opens one.
func (c *Client) acquireConn(ctx context.Context, addr string) (*clientConn, error) {
	if cc := c.takeIdleConn(addr); cc != nil {
		return cc, nil
	}
	netConn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{parser: httpwire.NewParser(true, c.limits)}
	gc, err := c.engine.EnrollContext(netConn, cc)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	cc.conn = gc
	return cc, nil
}

// takeIdleConn removes and returns the most recently used idle connection to an address, or nil
// if there is none. It discards connections that were closed while idle.
func (c *Client) takeIdleConn(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for idle := c.idle[addr]; len(idle) > 0; idle = c.idle[addr] {
		cc := idle[len(idle)-1]
		c.idle[addr] = idle[:len(idle)-1]
		if !cc.isClosed() {
			return cc
		}
	}
	return nil
}

// releaseConn makes a connection available to later requests, or closes it if r.CloseAfter is set.
func (c *Client) releaseConn(cc *clientConn, r Request) {
	if r.CloseAfter {
		_ = cc.conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[r.Addr] = append(c.idle[r.Addr], cc)
}

// expectResponse registers a request on the connection and returns the channel for its result.
func (cc *clientConn) expectResponse() (<-chan result, error) {
	ch := make(chan result, 1) // buffered so that the event loop never blocks on it
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return nil, errConnectionClosed
	}
	cc.resultCh = ch
	return ch, nil
}

// deliver passes the result to the request in flight and reports whether there was one.
func (cc *clientConn) deliver(r result) bool {
	cc.mu.Lock()
	ch := cc.resultCh
	cc.resultCh = nil
	cc.mu.Unlock()
	if ch == nil {
		return false
	}
	ch <- r
	return true
}

// abandon closes a connection whose request has timed out or was cancelled.
func (cc *clientConn) abandon() {
	cc.mu.Lock()
	cc.resultCh = nil
	cc.mu.Unlock()
	_ = cc.conn.Close()
}

// isClosed reports whether the connection has been closed, by either side.
func (cc *clientConn) isClosed() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closed
}
