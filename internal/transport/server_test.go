package transport

import (
	"context"
	"errors"
	"math"
	"net"
	"testing"
	"time"

	"violetturn/internal/httpwire"
)

// startServer starts a server that holds at most 10 connections and returns its address. The server
// is stopped when the test ends.
func startServer(t *testing.T, h Handler, idle time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, httpwire.RequestLimits, 10, idle)
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run(addr) }()
	select {
	case <-s.listening:
	case err := <-runErr:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return addr
}

// The client gets immediate and delayed responses over one persistent connection. The server
// rejects a body that is too large and a malformed request.
func TestClientReceivesImmediateAndDelayedResponses(t *testing.T) {
	addr := startServer(t, func(req *httpwire.Message, respondLater func(Response)) (Response, bool) {
		r := Response{Status: 200, Body: append([]byte(req.Method+" "+req.Target+" "), req.Body...)}
		if req.Target == "/later" {
			go respondLater(r)
			return Response{}, false
		}
		return r, true
	}, time.Hour)
	c, err := NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if closeErr := c.Close(); closeErr != nil {
			t.Error(closeErr)
		}
	}()
	ctx := context.Background()
	for range 5 {
		for _, target := range []string{"/now", "/later"} {
			m, doErr := c.Do(ctx, Request{Addr: addr, Method: "POST", Target: target, Body: []byte("abc"), Timeout: time.Minute})
			if doErr != nil || m.Status != 200 || string(m.Body) != "POST "+target+" abc" {
				t.Fatalf("POST %s: got %+v, error %v; want status 200 and the echoed request", target, m, doErr)
			}
		}
	}
	if len(c.idle[addr]) != 1 {
		t.Errorf("got %d idle connections after sequential requests, want 1", len(c.idle[addr]))
	}
	m, err := c.Do(ctx, Request{Addr: addr, Method: "POST", Target: "/now", Body: make([]byte, 65<<10), Timeout: time.Minute})
	if err != nil || m.Status != 413 || !m.Close {
		t.Errorf("request with a body above the limit: got %+v, error %v; want status 413 and a closed connection", m, err)
	}
	m, err = c.Do(ctx, Request{Addr: addr, Method: "BAD METHOD", Target: "/now", Timeout: time.Minute})
	if err != nil || m.Status != 400 {
		t.Errorf("malformed request: got %+v, error %v; want status 400", m, err)
	}
}

// A server that closes the connection without a response may have carried out the request. A
// request that was never sent must not be reported as ErrNoResponse.
func TestDoReturnsErrNoResponseWhenServerCloses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			accepted, acceptErr := l.Accept()
			if acceptErr != nil {
				return
			}
			_, _ = accepted.Read(make([]byte, 10))
			_ = accepted.Close()
		}
	}()
	c, err := NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := Request{Addr: l.Addr().String(), Method: "GET", Target: "/", Timeout: time.Minute}
	if _, err := c.Do(context.Background(), request); !errors.Is(err, ErrNoResponse) {
		t.Errorf("server closed the connection: got error %v, want %v", err, ErrNoResponse)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.Do(ctx, request); err == nil || errors.Is(err, ErrNoResponse) {
		t.Errorf("request never sent: got error %v, want one other than %v", err, ErrNoResponse)
	}
}

// Take with a reserved share leaves that share of the burst to a Take without one.
func TestTokenBucketKeepsReserve(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewTokenBucket(10, 10)
	for range 7 {
		if _, ok := b.Take(now, 1, 0.3); !ok {
			t.Fatal("Take of a token above the reserve: got false, want true")
		}
	}
	wait, ok := b.Take(now, 1, 0.3)
	if ok {
		t.Fatal("Take of a token of the reserve with a reserved share of 0.3: got true, want false")
	}
	if _, ok := b.Take(now, 3, 0); !ok {
		t.Fatal("Take of the last 3 tokens without a reserved share: got false, want true")
	}
	now = now.Add(wait + 300*time.Millisecond)
	if _, ok := b.Take(now, 1, 0.3); !ok || wait <= 0 {
		t.Fatalf("Take after the returned wait of %v: got %t, want true and a positive wait", wait, ok)
	}
	if b.TokensUsed() != 11 {
		t.Fatalf("got %v tokens used, want 11", b.TokensUsed())
	}
}

// Guards against a wait that overflows to a negative duration, which does not wait at all, for a rate
// next to zero.
func TestTokenBucketWaitsAtLowestRate(t *testing.T) {
	now := time.Unix(0, 0)
	for _, rate := range []float64{0, math.SmallestNonzeroFloat64, 1e-300, 1e-9} {
		b := NewTokenBucket(rate, 1)
		if _, ok := b.Take(now, 1, 0); !ok {
			t.Fatalf("rate %g: Take from a full bucket: got false, want true", rate)
		}
		wait, ok := b.Take(now, 1, 0)
		if ok || wait < time.Hour || b.TimeToRefill(1) < time.Hour {
			t.Errorf("rate %g: Take from an empty bucket: got %t, wait %v, time to refill %v; want false and years",
				rate, ok, wait, b.TimeToRefill(1))
		}
	}
}

// openIdleConnection opens a connection and sends nothing on it, or only part of a request.
func openIdleConnection(t *testing.T, addr, partialRequest string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte(partialRequest)); err != nil {
		t.Fatal(err)
	}
	return c
}

// sendRequest sends one request on a new connection. It reports whether the server responded and
// whether the connection is closed with the response.
func sendRequest(t *testing.T, addr string) (responded, closes bool) {
	t.Helper()
	c := openIdleConnection(t, addr, "GET /now HTTP/1.1\r\nHost: x\r\n\r\n")
	p := httpwire.NewParser(true, httpwire.ResponseLimits)
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return false, true
		}
		p.Feed(b[:n])
		if m, err := p.Next(); err != nil {
			t.Fatal(err)
		} else if m != nil {
			return m.Status == 200, m.Close
		}
	}
}

// The last remaining controller is contacted by the workers of all controllers. It must respond
// to each request, even when many clients hold idle connections or never complete a request.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	addr := startServer(t, func(*httpwire.Message, func(Response)) (Response, bool) { return Response{Status: 200}, true }, time.Hour)
	if ok, closes := sendRequest(t, addr); !ok || closes {
		t.Fatalf("no other connections: responded %t, closes %t; want a response and an open connection", ok, closes)
	}
	for i := range 40 { // the server holds at most 10
		openIdleConnection(t, addr, []string{"", "POST /checkin HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"}[i%2])
	}
	for range 20 {
		if ok, closes := sendRequest(t, addr); !ok || !closes {
			t.Fatalf("connection table full: responded %t, closes %t; want a response that closes the connection", ok, closes)
		}
	}
}

// The server closes connections that were idle for too long, since a connection to a partitioned
// machine never closes by itself.
func TestIdleConnectionsAreClosed(t *testing.T) {
	addr := startServer(t, func(*httpwire.Message, func(Response)) (Response, bool) { return Response{Status: 200}, true }, 0)
	c := openIdleConnection(t, addr, "")
	sendRequest(t, addr)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("read from a connection that was idle for too long: got no error, want it closed by the server")
	}
}

// SetRate keeps the accumulated tokens, up to the new burst.
func TestTokenBucketSetRateKeepsTokens(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewTokenBucket(10, 10)
	if _, ok := b.Take(now, 8, 0); !ok {
		t.Fatal("Take of 8 of 10 tokens: got false, want true")
	}
	b.SetRate(now, 30, 30)
	if n := b.Available(now, 0); n != 2 {
		t.Fatalf("got %v tokens available after the rate was raised, want 2", n)
	}
	now = now.Add(time.Second / 2)
	if n := b.Available(now, 0); n != 17 {
		t.Fatalf("got %v tokens available after half a second at 30 per second, want 17", n)
	}
	b.SetRate(now, 10, 10)
	if n := b.Available(now, 0); n != 10 {
		t.Fatalf("got %v tokens available after the burst was lowered to 10, want 10", n)
	}
}
