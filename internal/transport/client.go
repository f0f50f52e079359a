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

// ErrNoResponse means that the request may or may not have been carried out.
var ErrNoResponse = errors.New("no response")

// Client sends HTTP requests over kept connections, one request at a time on
// each. All its connections share one event loop.
type Client struct {
	gnet.BuiltinEventEngine
	g *gnet.Client

	limits httpwire.Limits // of answers

	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	addr   string
	conn   gnet.Conn
	parser *httpwire.Parser
	mu     sync.Mutex
	reply  chan result // of the request in flight
	dead   bool
}

type result struct {
	msg *httpwire.Message
	err error
}

// NewClient starts a client that takes answers within the limits.
func NewClient(limits httpwire.Limits) (*Client, error) {
	c := &Client{limits: limits, idle: map[string][]*clientConn{}}
	g, err := gnet.NewClient(c, gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(64<<10),
		gnet.WithLogger(quiet{}), gnet.WithLogLevel(logging.ErrorLevel))
	if err != nil {
		return nil, err
	}
	c.g = g
	return c, g.Start()
}

// Close ends all connections.
func (c *Client) Close() error { return c.g.Stop() }

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
		if m.Status < 200 {
			continue
		}
		if !cc.deliver(result{msg: m}) { // an answer nobody asked for
			return gnet.Close
		}
		if m.Close {
			return gnet.Close
		}
	}
}

// OnClose implements gnet.EventHandler.
func (c *Client) OnClose(gc gnet.Conn, _ error) gnet.Action {
	if cc, ok := gc.Context().(*clientConn); ok {
		cc.mu.Lock()
		cc.dead = true
		cc.mu.Unlock()
		if m := cc.parser.End(); m != nil {
			cc.deliver(result{msg: m})
		} else {
			cc.deliver(result{err: ErrNoResponse})
		}
	}
	return gnet.None
}

func (cc *clientConn) deliver(r result) bool {
	cc.mu.Lock()
	ch := cc.reply
	cc.reply = nil
	cc.mu.Unlock()
	if ch == nil {
		return false
	}
	ch <- r
	return true
}

func (c *Client) connection(ctx context.Context, addr string) (*clientConn, error) {
	c.mu.Lock()
	for l := c.idle[addr]; len(l) > 0; l = c.idle[addr] {
		cc := l[len(l)-1]
		c.idle[addr] = l[:len(l)-1]
		cc.mu.Lock()
		dead := cc.dead
		cc.mu.Unlock()
		if !dead {
			c.mu.Unlock()
			return cc, nil
		}
	}
	c.mu.Unlock()
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{addr: addr, parser: httpwire.NewParser(true, c.limits)}
	gc, err := c.g.EnrollContext(nc, cc)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	cc.conn = gc
	return cc, nil
}

// Do sends one request and waits for the answer or the deadline. An error that
// is ErrNoResponse leaves open whether the request was carried out; any other
// error means that it was never sent.
func (c *Client) Do(ctx context.Context, addr, method, target string, body []byte, deadline time.Duration) (*httpwire.Message, error) {
	return c.do(ctx, addr, method, target, body, deadline, true)
}

// DoOnce does the same over a connection that is closed afterwards: for addresses
// of which there are more than sockets to keep.
func (c *Client) DoOnce(ctx context.Context, addr, method, target string, body []byte, deadline time.Duration) (*httpwire.Message, error) {
	return c.do(ctx, addr, method, target, body, deadline, false)
}

func (c *Client) do(
	ctx context.Context, addr, method, target string, body []byte, deadline time.Duration, keep bool,
) (*httpwire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	cc, err := c.connection(ctx, addr)
	if err != nil {
		return nil, err
	}
	ch := make(chan result, 1)
	cc.mu.Lock()
	if cc.dead {
		cc.mu.Unlock()
		return nil, errors.New("connection closed")
	}
	cc.reply = ch
	cc.mu.Unlock()
	if err := cc.conn.AsyncWrite(httpwire.AppendRequest(nil, method, target, addr, body), nil); err != nil {
		_ = cc.conn.Close()
		return nil, ErrNoResponse
	}
	select {
	case r := <-ch:
		if r.err != nil {
			return nil, r.err
		}
		switch {
		case r.msg.Close:
		case !keep:
			_ = cc.conn.Close()
		default:
			c.mu.Lock()
			c.idle[addr] = append(c.idle[addr], cc)
			c.mu.Unlock()
		}
		return r.msg, nil
	case <-ctx.Done():
		cc.mu.Lock()
		cc.reply = nil
		cc.mu.Unlock()
		_ = cc.conn.Close()
		return nil, ErrNoResponse
	}
}
