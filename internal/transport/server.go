// Package transport carries HTTP over gnet: a server whose handlers answer in
// the event loop when they can, clients with deadlines, and rate budgets with
// ranks of work.
package transport

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

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
	idle     time.Duration

	mu        sync.Mutex
	engine    gnet.Engine
	listening chan struct{}

	conns list.List // of *serverConn, those that were idle longest first; only the event loop touches it
}

// NewServer makes a server that takes requests within lim and holds at most
// maxConns connections, each for as long as idle between two requests.
//
// Connections are kept while there is room. Beyond half of maxConns each answer
// closes its connection, and at maxConns a new one takes the place of the one
// that was idle longest: when one controller is left, the workers of all come to
// it, and none may be starved of answers because others hold connections that
// they use once in a heartbeat interval. The same bounds what half requests and
// connections that say nothing cost; those to machines that were cut off never
// end by themselves.
func NewServer(h Handler, lim httpwire.Limits, maxConns int, idle time.Duration) *Server {
	return &Server{handler: h, limits: lim, maxConns: maxConns, idle: idle, listening: make(chan struct{})}
}

type serverConn struct {
	conn   gnet.Conn
	parser *httpwire.Parser
	busy   bool // a request is being answered; only the event loop touches it
	last   time.Time
	at     *list.Element
}

// Run serves until Stop, or until the address can't be had.
func (s *Server) Run(addr string) error {
	return gnet.Run(
		s,
		"tcp://"+addr,
		gnet.WithMulticore(false),
		gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(
			gnet.TCPNoDelay,
		),
		gnet.WithReadBufferCap(16<<10),
		gnet.WithLogger(quiet{}),
		gnet.WithLogLevel(logging.ErrorLevel),
	)
}

// Listening is closed once the server listens.
func (s *Server) Listening() <-chan struct{} { return s.listening }

// Stop ends the server if it has started.
func (s *Server) Stop(ctx context.Context) error {
	select {
	case <-s.listening:
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
	close(s.listening)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	now := time.Now()
	s.closeIdle(now)
	if s.conns.Len() >= s.maxConns && !s.evict() {
		return nil, gnet.Close
	}
	sc := &serverConn{conn: c, parser: httpwire.NewParser(false, s.limits), last: now}
	sc.at = s.conns.PushBack(sc)
	c.SetContext(sc)
	return nil, gnet.None
}

// closeIdle closes the connections that were idle for too long.
func (s *Server) closeIdle(now time.Time) {
	for e := s.conns.Front(); e != nil && now.Sub(e.Value.(*serverConn).last) > s.idle; e = s.conns.Front() {
		s.drop(e.Value.(*serverConn))
	}
}

// evict closes the connection that was idle longest; false if all are busy.
func (s *Server) evict() bool {
	for e := s.conns.Front(); e != nil; e = e.Next() {
		if sc := e.Value.(*serverConn); !sc.busy {
			s.drop(sc)
			return true
		}
	}
	return false
}

// drop forgets a connection and closes it.
func (s *Server) drop(sc *serverConn) {
	if sc.at != nil {
		s.conns.Remove(sc.at)
		sc.at = nil
		_ = sc.conn.Close()
	}
}

// used notes that a connection was not idle just now.
func (s *Server) used(sc *serverConn) {
	if sc.last = time.Now(); sc.at != nil {
		s.conns.MoveToBack(sc.at)
	}
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if sc, ok := c.Context().(*serverConn); ok && sc.at != nil {
		s.conns.Remove(sc.at)
		sc.at = nil
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
		closing := req.Close || s.conns.Len() > s.maxConns/2
		sc.busy = true
		s.used(sc)
		resp, now := s.handler(req, func(r Response) {
			out := httpwire.AppendResponse(nil, r.Status, r.Body, r.RetryAfter, closing)
			_ = c.AsyncWrite(out, func(c gnet.Conn, err error) error {
				sc.busy = false
				s.used(sc)
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
