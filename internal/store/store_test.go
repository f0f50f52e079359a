package store

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetturn/internal/httpwire"
	"violetturn/internal/transport"
)

// The client against the answers that PROTOCOL lists.
func TestAnswers(t *testing.T) {
	answers := map[string]transport.Response{}
	var got []string
	s := transport.NewServer(func(req *httpwire.Message, _ func(transport.Response)) (transport.Response, bool) {
		got = append(got, strings.TrimSpace(req.Method+" "+req.Target+" "+string(req.Body)))
		path, _, _ := strings.Cut(req.Target, "?")
		return answers[path], true
	}, httpwire.RequestLimits, 4, time.Minute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(addr) }()
	select {
	case <-s.Listening():
	case err := <-ended:
		t.Fatal(err)
	}
	h, err := transport.NewClient(httpwire.ResponseLimits)
	if err != nil {
		t.Fatal(err)
	}
	served := true
	c := New(h, addr, time.Minute, Limits{RPS: 1000, WriteRPS: 1000}, Limits{RPS: 1000, WriteRPS: 500}, 1, func(ok bool) { served = ok })
	ctx := context.Background()
	set := func(path string, status int, body string) {
		answers[path] = transport.Response{Status: status, Body: []byte(body)}
	}

	set("/keys/a/b", 200, `{"k":"a/b","v":{"x":1},"stamp":412,"permit":7}`)
	if it, ok, err := c.Get(ctx, "a/b", PriorityDecision); err != nil || !ok || it.Version != 412 || string(it.Value) != `{"x":1}` {
		t.Error(it, ok, err)
	}
	set("/keys/a/c", 404, `{"epoch":431}`)
	if _, ok, err := c.Get(ctx, "a/c", PriorityDecision); ok || err != nil {
		t.Error(ok, err)
	}
	set("/keys", 200, `{"rows":[{"k":"c/1","v":1,"stamp":2}],"truncated":false,"epoch":431}`)
	if l, revision, err := c.List(ctx, "c/"); err != nil || revision != 431 || len(l) != 1 {
		t.Error(l, revision, err)
	}
	set("/changes", 200, `{"epoch":433,"log":[{"write":"c/9","v":{},"stamp":433},{"drop":"c/d","stamp":432}]}`)
	if l, revision, err := c.Changes(ctx, "c/", 431, 2*time.Second); err != nil || revision != 433 || len(l) != 2 || l[1].Drop != "c/d" {
		t.Error(l, revision, err)
	}
	set("/changes", 410, `{}`)
	if _, _, err := c.Changes(ctx, "c/", 1, 0); !errors.Is(err, ErrTooOld) {
		t.Error(err)
	}
	large := httpwire.ResponseLimits.Body + 1
	set("/changes", 200, strings.Repeat(" ", large))
	if _, _, err := c.Changes(ctx, "c/", 1, 0); !errors.Is(err, ErrTooOld) || !served {
		t.Errorf("changes of %d bytes: %v, served %t", large, err, served)
	}
	set("/holds", 200, `{"permit":7}`)
	if p, err := c.GrantLease(ctx, 5*time.Second); err != nil || p != 7 {
		t.Error(p, err)
	}
	set("/holds/7/touch", 404, `{}`)
	if err := c.RenewLease(ctx, 7); !errors.Is(err, ErrNoLease) {
		t.Error(err)
	}
	leaseID := uint64(7)
	txn := &Txn{Preconditions: []Precondition{{"a/b", 0}}, Ops: []Op{{Write: "a/b", Value: []byte(`{}`), Lease: &leaseID}, {Drop: "c/d"}}}
	set("/multi", 200, `{"epoch":432}`)
	if revision, ok, _, err := c.Multi(ctx, txn, PriorityDecision); err != nil || !ok || revision != 432 {
		t.Error(revision, ok, err)
	}
	set("/multi", 409, `{"failed":["a/b"],"epoch":431}`)
	if _, ok, failed, err := c.Multi(ctx, txn, PriorityDecision); err != nil || ok || cmp.Diff(failed, []string{"a/b"}) != "" {
		t.Error(ok, failed, err)
	}
	set("/multi", 400, `{"error":"no such lease"}`)
	if _, _, _, err := c.Multi(ctx, txn, PriorityDecision); !errors.Is(err, ErrNoLease) || !served {
		t.Error(err)
	}
	set("/multi", 400, `{"error":"too many changes"}`)
	if _, _, _, err := c.Multi(ctx, txn, PriorityDecision); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
	for _, status := range []int{503, 429, 429, 429} {
		if status == 429 && c.limits == c.next {
			t.Error("slows down before it is refused several times")
		}
		set("/multi", status, `{}`)
		if _, _, _, err := c.Multi(ctx, txn, PriorityDecision); !errors.Is(err, ErrRefused) || served != (status == 429) {
			t.Error(status, err, served)
		}
	}
	if c.limits != c.next {
		t.Error("goes on at a rate that is refused")
	}
	if err := s.Stop(ctx); err != nil {
		t.Error(err)
	}
	if err := h.Close(); err != nil {
		t.Error(err)
	}
	if d := cmp.Diff([]string{
		"GET /keys/a/b", "GET /keys/a/c", "GET /keys?prefix=c%2F&limit=1000", "GET /changes?prefix=c%2F&since=431&blockMs=2000",
		"GET /changes?prefix=c%2F&since=1&blockMs=0", "GET /changes?prefix=c%2F&since=1&blockMs=0",
		`POST /holds {"ttlMs":5000}`, "POST /holds/7/touch {}",
		`POST /multi {"guards":[{"k":"a/b","stamp":0}],"then":[{"write":"a/b","v":{},"permit":7},{"drop":"c/d"}]}`,
	}, got[:9]); d != "" {
		t.Error(d)
	}
}
