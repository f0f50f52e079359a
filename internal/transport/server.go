package transport

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"violetturn/internal/httpwire"
)

// serverReadBufferBytes is the most bytes that a server's event loop reads from a connection at once.
const serverReadBufferBytes = 16 << 10

// badRequestBody is the response body for a request that can't be parsed.
const badRequestBody = `{"error":"bad request"}`

// Response statuses for requests that can't be parsed.
const (
	statusBadRequest      = 400
	statusContentTooLarge = 413
)

// Response is a handler's response to a request.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds after which the client may retry; 0: no Retry-After header
}

// Handler handles a request. It either returns the response and true, or returns false and calls
// respondLater exactly once afterwards, from any goroutine. It runs in the event loop and must
// not block.
type Handler func(req *httpwire.Message, respondLater func(Response)) (Response, bool)

// Server serves HTTP on one address with one event loop.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	limits  httpwire.Limits

	mu        sync.Mutex // guards engine
	engine    gnet.Engine
	listening chan struct{} // closed by the event loop once engine is set

	connections connectionTable // accessed by the event loop only
}

// NewServer makes a server that accepts requests within the limits and holds at most maxConns
// connections. When a new connection opens, the server closes those that were last used longer ago
// than the given idle time.
//
// Connections are persistent while the server has few of them. Above half of maxConns each
// response closes its connection, and at maxConns a new connection replaces the longest idle
// one. When only one controller is left, the workers of all controllers connect to it; without
// these rules, connections that are used once per heartbeat interval would keep other workers
// from connecting. The rules also bound the cost of incomplete requests and silent connections:
// a connection to a partitioned machine never closes by itself.
func NewServer(h Handler, limits httpwire.Limits, maxConns int, idle time.Duration) *Server {
	return &Server{
		handler:     h,
		limits:      limits,
		listening:   make(chan struct{}),
		connections: connectionTable{maxConns: maxConns, maxIdle: idle},
	}
}

// Run serves requests on addr until Stop is called. It returns an error if it can't listen on addr.
func (s *Server) Run(addr string) error {
	err := gnet.Run(
		s,
		"tcp://"+addr,
		gnet.WithMulticore(false),
		gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(serverReadBufferBytes),
		gnet.WithLogger(silentLogger{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	)
	if err != nil {
		return fmt.Errorf("serve on %s: %w", addr, err)
	}
	return nil
}

// Listening returns a channel that is closed when the server has started to listen.
func (s *Server) Listening() <-chan struct{} { return s.listening }

// Stop stops the server if it has started.
func (s *Server) Stop(ctx context.Context) error {
	select {
	case <-s.listening:
	default:
		return nil
	}
	s.mu.Lock()
	engine := s.engine
	s.mu.Unlock()
	return engine.Stop(ctx)
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.mu.Lock()
	s.engine = engine
	s.mu.Unlock()
	close(s.listening)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	sc := &serverConn{conn: c, parser: httpwire.NewParser(false, s.limits), lastUsed: time.Now()}
	if !s.connections.add(sc) {
		return nil, gnet.Close
	}
	c.SetContext(sc)
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if sc, ok := c.Context().(*serverConn); ok {
		s.connections.remove(sc)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	sc, ok := c.Context().(*serverConn)
	if !ok {
		return gnet.Close
	}
	b, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	sc.parser.Feed(b)
	return s.serveRequests(sc)
}

// serveRequests handles the complete requests that a connection has received, in order, until
// one gets a delayed response.
func (s *Server) serveRequests(sc *serverConn) gnet.Action {
	for !sc.busy {
		req, err := sc.parser.Next()
		if err != nil {
			_, _ = sc.conn.Write(httpwire.AppendResponse(nil, parseErrorStatus(err), []byte(badRequestBody), 0, true))
			return gnet.Close
		}
		if req == nil {
			return gnet.None
		}
		closeAfter := req.Close || s.connections.aboveHalfCapacity()
		sc.busy = true
		s.connections.markUsed(sc)
		resp, responded := s.handler(req, func(r Response) { s.sendDelayedResponse(sc, r, closeAfter) })
		if !responded {
			return gnet.None
		}
		sc.busy = false
		if _, err := sc.conn.Write(encodeResponse(resp, closeAfter)); err != nil || closeAfter {
			return gnet.Close
		}
	}
	return gnet.None
}

// sendDelayedResponse sends the response that a handler passes to respondLater, then handles the
// connection's next requests in the event loop. It may be called from any goroutine.
func (s *Server) sendDelayedResponse(sc *serverConn, r Response, closeAfter bool) {
	_ = sc.conn.AsyncWrite(encodeResponse(r, closeAfter), func(c gnet.Conn, err error) error {
		sc.busy = false
		s.connections.markUsed(sc)
		if closeAfter || err != nil {
			return c.Close()
		}
		if s.serveRequests(sc) == gnet.Close {
			return c.Close()
		}
		return nil
	})
}

// encodeResponse returns the HTTP encoding of a response.
func encodeResponse(r Response, closeAfter bool) []byte {
	return httpwire.AppendResponse(nil, r.Status, r.Body, r.RetryAfter, closeAfter)
}

// parseErrorStatus returns the response status for a request that the parser rejected with err.
func parseErrorStatus(err error) int {
	if errors.Is(err, httpwire.ErrTooLarge) {
		return statusContentTooLarge
	}
	return statusBadRequest
}
