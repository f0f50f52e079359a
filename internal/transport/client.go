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
	// ErrNoResponse says that the request may or may not have been carried out.
	ErrNoResponse = errors.New("no response")
	// errConnectionClosed says that the connection ended before the request was sent.
	errConnectionClosed = errors.New("connection closed")
)

// clientReadBuffer is how many bytes the event loop of a client reads at once.
const clientReadBuffer = 64 << 10

// firstFinalStatus is the lowest status that ends a request; lower ones are interim answers.
const firstFinalStatus = 200

// Request is one HTTP request.
type Request struct {
	Addr    string // host:port of the server
	Method  string
	Target  string        // path and query
	Body    []byte        // nil: a request without a body
	Timeout time.Duration // how long to wait for the answer, the connection's setup included

	// CloseAfter closes the connection after the answer. It is for addresses of which there
	// are more than sockets to keep.
	CloseAfter bool
}

// Client sends HTTP requests over kept connections, one request at a time on each. All its
// connections share one event loop. Its methods may be called from any goroutine.
type Client struct {
	gnet.BuiltinEventEngine
	engine *gnet.Client
	limits httpwire.Limits // of answers

	mu   sync.Mutex               // guards idle
	idle map[string][]*clientConn // connections without a request, by address; the last one was used last
}

// clientConn is one connection of a client.
type clientConn struct {
	conn   gnet.Conn        // set before the first request
	parser *httpwire.Parser // only the event loop touches it

	mu       sync.Mutex    // guards what follows
	response chan response // of the request in flight; nil without one
	closed   bool
}

// response is what a request in flight ends with: a message or an error.
type response struct {
	message *httpwire.Message
	err     error
}

// NewClient starts a client that takes answers within the limits.
func NewClient(limits httpwire.Limits) (*Client, error) {
	c := &Client{limits: limits, idle: map[string][]*clientConn{}}
	engine, err := gnet.NewClient(
		c,
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(clientReadBuffer),
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

// Close ends all connections and the event loop.
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
			cc.deliver(response{err: fmt.Errorf("%w: %w", ErrNoResponse, err)})
			return gnet.Close
		}
		if m == nil {
			return gnet.None
		}
		if m.Status < firstFinalStatus {
			continue
		}
		if !cc.deliver(response{message: m}) { // an answer that nobody asked for
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
		cc.deliver(response{message: m})
	} else {
		cc.deliver(response{err: ErrNoResponse})
	}
	return gnet.None
}

// Do sends one request and waits for the answer or the deadline. An error that is
// ErrNoResponse leaves open whether the request was carried out; any other error means that
// it was never sent.
func (c *Client) Do(ctx context.Context, r Request) (*httpwire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	cc, err := c.connection(ctx, r.Addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	answered, err := cc.expect()
	if err != nil {
		return nil, err
	}
	if err := cc.conn.AsyncWrite(httpwire.AppendRequest(nil, r.Method, r.Target, r.Addr, r.Body), nil); err != nil {
		_ = cc.conn.Close()
		return nil, ErrNoResponse
	}
	select {
	case a := <-answered:
		if a.err != nil {
			return nil, a.err
		}
		if !a.message.Close { // else the event loop closes the connection
			c.release(cc, r)
		}
		return a.message, nil
	case <-ctx.Done():
		cc.abandon()
		return nil, ErrNoResponse
	}
}

// connection returns an idle connection to an address, or a new one.
func (c *Client) connection(ctx context.Context, addr string) (*clientConn, error) {
	if cc := c.idleConnection(addr); cc != nil {
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

// idleConnection takes the idle connection to an address that was used last, nil if there is
// none. It drops those that have been closed meanwhile.
func (c *Client) idleConnection(addr string) *clientConn {
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

// release keeps a connection whose request was answered for the next one, or closes it.
func (c *Client) release(cc *clientConn, r Request) {
	if r.CloseAfter {
		_ = cc.conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[r.Addr] = append(c.idle[r.Addr], cc)
}

// expect makes the connection ready for an answer, which comes on the channel.
func (cc *clientConn) expect() (<-chan response, error) {
	ch := make(chan response, 1) // so that the event loop never waits for who asked
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return nil, errConnectionClosed
	}
	cc.response = ch
	return ch, nil
}

// deliver ends the request in flight; it reports whether there was one.
func (cc *clientConn) deliver(r response) bool {
	cc.mu.Lock()
	ch := cc.response
	cc.response = nil
	cc.mu.Unlock()
	if ch == nil {
		return false
	}
	ch <- r
	return true
}

// abandon closes a connection whose answer is awaited no longer.
func (cc *clientConn) abandon() {
	cc.mu.Lock()
	cc.response = nil
	cc.mu.Unlock()
	_ = cc.conn.Close()
}

// isClosed reports whether the event loop has seen the connection's end.
func (cc *clientConn) isClosed() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closed
}
