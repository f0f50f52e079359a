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

// serverReadBuffer is how many bytes the event loop of a server reads at once.
const serverReadBuffer = 16 << 10

// badRequestBody is the body of the answer to a request that can't be parsed.
const badRequestBody = `{"error":"bad request"}`

// Statuses of answers to requests that can't be parsed.
const (
	statusBadRequest      = 400
	statusContentTooLarge = 413
)

// Response is what a handler answers.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds until the client may come back; 0: not named
}

// Handler answers a request. Either it returns the response and true, or it returns false,
// takes the request over and calls later exactly once, from any goroutine. It runs in the
// event loop and must not block.
type Handler func(req *httpwire.Message, later func(Response)) (Response, bool)

// Server serves HTTP on one address with one event loop.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	limits  httpwire.Limits

	mu        sync.Mutex // guards engine
	engine    gnet.Engine
	listening chan struct{} // closed by the event loop once engine is set

	connections connectionTable // only the event loop touches it
}

// NewServer makes a server that takes requests within the limits and holds at most maxConns
// connections, each for as long as idle between two requests.
//
// Connections are kept while there is room. Beyond half of maxConns each answer closes its
// connection, and at maxConns a new one takes the place of the one that was idle longest:
// when one controller is left, the workers of all come to it, and none may be starved of
// answers because others hold connections that they use once in a heartbeat interval. The
// same bounds what half requests and silent connections cost; those to machines that were cut
// off never end by themselves.
func NewServer(h Handler, limits httpwire.Limits, maxConns int, idle time.Duration) *Server {
	return &Server{
		handler:     h,
		limits:      limits,
		listening:   make(chan struct{}),
		connections: connectionTable{maxConns: maxConns, maxIdle: idle},
	}
}

// Run serves until Stop. It returns an error if the address can't be listened on.
func (s *Server) Run(addr string) error {
	err := gnet.Run(
		s,
		"tcp://"+addr,
		gnet.WithMulticore(false),
		gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(serverReadBuffer),
		gnet.WithLogger(silentLogger{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	)
	if err != nil {
		return fmt.Errorf("serve on %s: %w", addr, err)
	}
	return nil
}

// Listening returns a channel that is closed once the server listens.
func (s *Server) Listening() <-chan struct{} { return s.listening }

// Stop ends the server if it has started.
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
	return s.serve(sc)
}

// serve answers the whole requests that a connection holds, in their order, up to one that is
// answered later.
func (s *Server) serve(sc *serverConn) gnet.Action {
	for !sc.busy {
		req, err := sc.parser.Next()
		if err != nil {
			_, _ = sc.conn.Write(httpwire.AppendResponse(nil, refusalStatus(err), []byte(badRequestBody), 0, true))
			return gnet.Close
		}
		if req == nil {
			return gnet.None
		}
		closing := req.Close || s.connections.crowded()
		sc.busy = true
		s.connections.touch(sc)
		resp, now := s.handler(req, func(r Response) { s.answerLater(sc, r, closing) })
		if !now {
			return gnet.None
		}
		sc.busy = false
		if _, err := sc.conn.Write(encodeResponse(resp, closing)); err != nil || closing {
			return gnet.Close
		}
	}
	return gnet.None
}

// answerLater sends the answer to a request that a handler took over, and goes on in the
// event loop with what the connection holds. Any goroutine may call it.
func (s *Server) answerLater(sc *serverConn, r Response, closing bool) {
	_ = sc.conn.AsyncWrite(encodeResponse(r, closing), func(c gnet.Conn, err error) error {
		sc.busy = false
		s.connections.touch(sc)
		if closing || err != nil {
			return c.Close()
		}
		if s.serve(sc) == gnet.Close {
			return c.Close()
		}
		return nil
	})
}

// encodeResponse returns the bytes of a response.
func encodeResponse(r Response, closing bool) []byte {
	return httpwire.AppendResponse(nil, r.Status, r.Body, r.RetryAfter, closing)
}

// refusalStatus returns the status for a request that the parser refuses.
func refusalStatus(err error) int {
	if errors.Is(err, httpwire.ErrTooLarge) {
		return statusContentTooLarge
	}
	return statusBadRequest
}
