// Package transport carries HTTP over gnet: a server whose handlers answer in
// the event loop when they can, clients with deadlines, and rate budgets with
// ranks of work.
package transport

import (
	"context"
	"errors"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"violetturn/internal/httpwire"
)

// Response is what a handler answers.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int
}

// Handler answers a request at once (true), or takes it over and calls later
// exactly once from any goroutine (false). It runs in the event loop and must
// not block.
type Handler func(req *httpwire.Message, later func(Response)) (Response, bool)

// Server serves HTTP on one address with one event loop.
type Server struct {
	gnet.BuiltinEventEngine
	handler  Handler
	limits   httpwire.Limits
	maxConns int

	mu     sync.Mutex
	engine gnet.Engine
	booted chan struct{}
	conns  int
}

// NewServer makes a server that takes requests within lim and holds at most maxConns connections.
func NewServer(h Handler, lim httpwire.Limits, maxConns int) *Server {
	return &Server{handler: h, limits: lim, maxConns: maxConns, booted: make(chan struct{})}
}

type serverConn struct {
	parser *httpwire.Parser
	busy   bool // a request is being answered; only the event loop touches it
}

// Run serves until Stop, or until the address can't be had.
func (s *Server) Run(addr string) error {
	return gnet.Run(s, "tcp://"+addr, gnet.WithMulticore(false), gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(16<<10), gnet.WithLogger(quiet{}), gnet.WithLogLevel(logging.ErrorLevel))
}

// Booted is closed once the server listens.
func (s *Server) Booted() <-chan struct{} { return s.booted }

// Stop ends the server if it has started.
func (s *Server) Stop(ctx context.Context) error {
	select {
	case <-s.booted:
	default:
		return nil
	}
	s.mu.Lock()
	e := s.engine
	s.mu.Unlock()
	return e.Stop(ctx)
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(e gnet.Engine) gnet.Action {
	s.mu.Lock()
	s.engine = e
	s.mu.Unlock()
	close(s.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.conns++
	if s.conns > s.maxConns {
		return nil, gnet.Close
	}
	c.SetContext(&serverConn{parser: httpwire.NewParser(false, s.limits)})
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(gnet.Conn, error) gnet.Action {
	s.conns--
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
	return s.serve(c, sc)
}

func (s *Server) serve(c gnet.Conn, sc *serverConn) gnet.Action {
	for !sc.busy {
		req, err := sc.parser.Next()
		if err != nil {
			status := 400
			if errors.Is(err, httpwire.ErrTooLarge) {
				status = 413
			}
			_, _ = c.Write(httpwire.AppendResponse(nil, status, []byte(`{"error":"bad request"}`), 0, true))
			return gnet.Close
		}
		if req == nil {
			return gnet.None
		}
		closing := req.Close
		sc.busy = true
		resp, now := s.handler(req, func(r Response) {
			out := httpwire.AppendResponse(nil, r.Status, r.Body, r.RetryAfter, closing)
			_ = c.AsyncWrite(out, func(c gnet.Conn, err error) error {
				sc.busy = false
				if closing || err != nil {
					return c.Close()
				}
				if s.serve(c, sc) == gnet.Close {
					return c.Close()
				}
				return nil
			})
		})
		if !now {
			return gnet.None
		}
		sc.busy = false
		if _, err := c.Write(httpwire.AppendResponse(nil, resp.Status, resp.Body, resp.RetryAfter, closing)); err != nil || closing {
			return gnet.Close
		}
	}
	return gnet.None
}

// quiet drops gnet's own log lines: what matters is logged by the service.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}
