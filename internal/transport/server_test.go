package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"violetturn/internal/httpwire"
)

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
	ended := make(chan error, 1)
	go func() { ended <- s.Run(addr) }()
	select {
	case <-s.listening:
	case err := <-ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return addr
}

// Requests that are answered at once and later, kept connections, refused ones.
func TestServerAndClient(t *testing.T) {
	addr := startServer(t, func(req *httpwire.Message, later func(Response)) (Response, bool) {
		r := Response{Status: 200, Body: append([]byte(req.Method+" "+req.Target+" "), req.Body...)}
		if req.Target == "/later" {
			go later(r)
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
				t.Fatalf("%s: %+v %v", target, m, doErr)
			}
		}
	}
	if len(c.idle[addr]) != 1 {
		t.Errorf("%d kept connections after requests in turn", len(c.idle[addr]))
	}
	m, err := c.Do(ctx, Request{Addr: addr, Method: "POST", Target: "/now", Body: make([]byte, 65<<10), Timeout: time.Minute})
	if err != nil || m.Status != 413 || !m.Close {
		t.Errorf("large body: %+v %v", m, err)
	}
	m, err = c.Do(ctx, Request{Addr: addr, Method: "BAD METHOD", Target: "/now", Timeout: time.Minute})
	if err != nil || m.Status != 400 {
		t.Errorf("malformed: %+v %v", m, err)
	}
}

// A server that closes without an answer leaves open what it did.
func TestNoResponse(t *testing.T) {
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
		t.Error(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.Do(ctx, request); err == nil || errors.Is(err, ErrNoResponse) {
		t.Errorf("a request never sent counts as unanswered: %v", err)
	}
}

func TestTokenBucketKeepsReserve(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewTokenBucket(10, 10)
	for range 7 {
		if _, ok := b.Take(now, 1, 0.3); !ok {
			t.Fatal("refused within the budget")
		}
	}
	wait, ok := b.Take(now, 1, 0.3)
	if ok {
		t.Fatal("the reserve is touched")
	}
	if _, ok := b.Take(now, 3, 0); !ok {
		t.Fatal("the reserve can't be used")
	}
	now = now.Add(wait + 300*time.Millisecond)
	if _, ok := b.Take(now, 1, 0.3); !ok || wait <= 0 {
		t.Fatalf("refused after the wait it was told, %v", wait)
	}
	if b.TokensUsed() != 11 {
		t.Fatal(b.TokensUsed())
	}
}

// openSilentConnection opens a connection that says nothing, or only half a request.
func openSilentConnection(t *testing.T, addr, half string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte(half)); err != nil {
		t.Fatal(err)
	}
	return c
}

// sendRequest sends one request and reports whether it was answered and whether the
// connection is closed with it.
func sendRequest(t *testing.T, addr string) (answered, closed bool) {
	t.Helper()
	c := openSilentConnection(t, addr, "GET /now HTTP/1.1\r\nHost: x\r\n\r\n")
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

// The last controller left gets the workers of all: whoever asks is answered,
// however many hold connections that they don't use or never finish a request.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	addr := startServer(t, func(*httpwire.Message, func(Response)) (Response, bool) { return Response{Status: 200}, true }, time.Hour)
	if ok, closed := sendRequest(t, addr); !ok || closed {
		t.Fatalf("with room: answered %t, closed %t", ok, closed)
	}
	for i := range 40 { // the server holds 10
		openSilentConnection(t, addr, []string{"", "POST /checkin HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"}[i%2])
	}
	for range 20 {
		if ok, closed := sendRequest(t, addr); !ok || !closed {
			t.Fatalf("crowded: answered %t, closed %t", ok, closed)
		}
	}
}

// What is idle for long goes: a connection to a machine that was cut off never
// ends by itself.
func TestIdleConnectionsAreClosed(t *testing.T) {
	addr := startServer(t, func(*httpwire.Message, func(Response)) (Response, bool) { return Response{Status: 200}, true }, 0)
	c := openSilentConnection(t, addr, "")
	sendRequest(t, addr)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("kept")
	}
}

// A budget that is set anew keeps what was saved up, within the new burst.
func TestTokenBucketSetRate(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewTokenBucket(10, 10)
	if _, ok := b.Take(now, 8, 0); !ok {
		t.Fatal("refused within the budget")
	}
	b.SetRate(now, 30, 30)
	if n := b.Available(now, 0); n != 2 {
		t.Fatalf("%v of 2 are left", n)
	}
	now = now.Add(time.Second / 2)
	if n := b.Available(now, 0); n != 17 {
		t.Fatalf("%v after half a second at 30 a second", n)
	}
	b.SetRate(now, 10, 10)
	if n := b.Available(now, 0); n != 10 {
		t.Fatalf("%v in a burst of 10", n)
	}
}
