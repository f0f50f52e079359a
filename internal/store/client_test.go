package store

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetturn/internal/httpwire"
)

// Answers to reads are told as PROTOCOL lists them.
func TestReads(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()

	f.service.set("/keys/a/b", 200, `{"k":"a/b","v":{"x":1},"stamp":412,"permit":7}`)
	item, found, err := f.client.Get(ctx, "a/b", PriorityDecision)
	if err != nil || !found || item.Version != 412 || string(item.Value) != `{"x":1}` {
		t.Error(item, found, err)
	}
	f.service.set("/keys/a/c", 404, `{"epoch":431}`)
	if _, found, err = f.client.Get(ctx, "a/c", PriorityDecision); found || err != nil {
		t.Error(found, err)
	}
	f.service.set("/keys", 200, `{"rows":[{"k":"c/1","v":1,"stamp":2}],"truncated":false,"epoch":431}`)
	items, revision, err := f.client.List(ctx, "c/")
	if err != nil || revision != 431 || len(items) != 1 {
		t.Error(items, revision, err)
	}
	f.service.set("/changes", 200, `{"epoch":433,"log":[{"write":"c/9","v":{},"stamp":433},{"drop":"c/d","stamp":432}]}`)
	changes, revision, err := f.client.Changes(ctx, "c/", 431, 2*time.Second)
	if err != nil || revision != 433 || len(changes) != 2 || changes[1].DeletedKey != "c/d" {
		t.Error(changes, revision, err)
	}
	want := []string{
		"GET /keys/a/b",
		"GET /keys/a/c",
		"GET /keys?prefix=c%2F&limit=1000",
		"GET /changes?prefix=c%2F&since=431&blockMs=2000",
	}
	if d := cmp.Diff(want, f.service.asked()); d != "" {
		t.Error(d)
	}
}

// A list goes on after the last key of a page until a page is the last one, and its revision is
// that of the first page.
func TestListPages(t *testing.T) {
	f := newFixture(t)
	f.service.set("/keys?prefix=c%2F&limit=1000", 200, `{"rows":[{"k":"c/1"},{"k":"c/2"}],"truncated":true,"epoch":9}`)
	f.service.set("/keys?prefix=c%2F&limit=1000&since=c%2F2", 200, `{"rows":[{"k":"c/3"}],"truncated":false,"epoch":12}`)
	items, revision, err := f.client.List(context.Background(), "c/")
	if err != nil || revision != 9 || len(items) != 3 || items[2].Key != "c/3" {
		t.Error(items, revision, err)
	}
	f.service.set("/keys?prefix=c%2F&limit=1000&since=c%2F2", 500, `{}`)
	var status *StatusError
	if _, _, err := f.client.List(context.Background(), "c/"); !errors.As(err, &status) || status.Status != 500 {
		t.Error(err)
	}
}

// Changes that are no longer kept, or are more than the client may hold, have to be read from a
// list; the service counts as reached.
func TestChangesTooOld(t *testing.T) {
	f := newFixture(t)
	large := strings.Repeat(" ", httpwire.ResponseLimits.BodyBytes+1)
	for _, x := range []struct {
		name   string
		status int
		body   string
	}{
		{"no longer kept", 410, `{}`},
		{"too large", 200, large},
	} {
		t.Run(x.name, func(t *testing.T) {
			f.service.set("/changes", x.status, x.body)
			if _, _, err := f.client.Changes(context.Background(), "c/", 1, 0); !errors.Is(err, ErrChangesUnavailable) || !f.served {
				t.Errorf("%v, served %t", err, f.served)
			}
			if d := cmp.Diff([]string{"GET /changes?prefix=c%2F&since=1&blockMs=0"}, f.service.asked()); d != "" {
				t.Error(d)
			}
		})
	}
}

// Leases are granted and renewed; one that has ended is told as such.
func TestLeases(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.service.set("/holds", 200, `{"permit":7}`)
	if leaseID, err := f.client.GrantLease(ctx, 5*time.Second); err != nil || leaseID != 7 {
		t.Error(leaseID, err)
	}
	f.service.set("/holds/7/touch", 200, `{}`)
	if err := f.client.RenewLease(ctx, 7); err != nil {
		t.Error(err)
	}
	f.service.set("/holds/7/touch", 404, `{}`)
	if err := f.client.RenewLease(ctx, 7); !errors.Is(err, ErrLeaseEnded) {
		t.Error(err)
	}
	f.service.set("/holds/7", 200, `{}`)
	if err := f.client.RevokeLease(ctx, 7); err != nil {
		t.Error(err)
	}
	want := []string{`POST /holds {"ttlMs":5000}`, "POST /holds/7/touch {}", "POST /holds/7/touch {}", "DELETE /holds/7"}
	if d := cmp.Diff(want, f.service.asked()); d != "" {
		t.Error(d)
	}
}

// transaction returns a transaction with a precondition, a write under a lease and a deletion.
func transaction() *Txn {
	leaseID := uint64(7)
	return &Txn{
		Preconditions: []Precondition{{"a/b", 0}},
		Ops:           []Op{{WriteKey: "a/b", Value: []byte(`{}`), Lease: &leaseID}, {DeleteKey: "c/d"}},
	}
}

// Each answer to a transaction has its outcome or its error.
func TestCommit(t *testing.T) {
	f := newFixture(t)
	for _, x := range []struct {
		name    string
		status  int
		body    string
		want    CommitResult
		wantErr error
	}{
		{"committed", 200, `{"epoch":432}`, CommitResult{Committed: true, Revision: 432}, nil},
		{"conflict", 409, `{"failed":["a/b"],"epoch":431}`, CommitResult{Revision: 431, Conflicts: []string{"a/b"}}, nil},
		{"no lease", 400, `{"error":"no such lease"}`, CommitResult{}, ErrLeaseEnded},
		{"too many changes", 400, `{"error":"too many changes"}`, CommitResult{}, ErrTooLarge},
		{"too long", 413, `{"error":"no such lease"}`, CommitResult{}, ErrTooLarge},
	} {
		t.Run(x.name, func(t *testing.T) {
			f.service.set("/multi", x.status, x.body)
			result, err := f.client.Commit(context.Background(), transaction(), PriorityDecision)
			if d := cmp.Diff(x.want, result); d != "" || !errors.Is(err, x.wantErr) || !f.served {
				t.Errorf("%s%v, served %t", d, err, f.served)
			}
			want := []string{`POST /multi {"guards":[{"k":"a/b","stamp":0}],"then":[{"write":"a/b","v":{},"permit":7},{"drop":"c/d"}]}`}
			if d := cmp.Diff(want, f.service.asked()); d != "" {
				t.Error(d)
			}
		})
	}
}

// Refusals are told as such, and only several in a row for the rate lower the limits. A 503
// means that the service is not reached, a 429 that it is.
func TestRefusals(t *testing.T) {
	f := newFixture(t)
	for _, status := range []int{503, 429, 429, 429} {
		if status == 429 && f.client.limits == f.client.next {
			t.Error("slows down before it is refused several times")
		}
		f.service.set("/multi", status, `{}`)
		_, err := f.client.Commit(context.Background(), transaction(), PriorityDecision)
		if !errors.Is(err, ErrRefused) || f.served != (status == 429) {
			t.Error(status, err, f.served)
		}
	}
	if f.client.limits != f.client.next {
		t.Error("goes on at a rate that is refused")
	}
}

// Priorities have names, and a value that is none of them says so.
func TestPriorityString(t *testing.T) {
	for p, want := range map[Priority]string{
		PriorityLease:      "lease",
		PriorityGang:       "gang",
		PriorityDecision:   "decision",
		PrioritySubmission: "submission",
		Priority(9):        "Priority(9)",
		Priority(-1):       "Priority(-1)",
	} {
		if p.String() != want {
			t.Errorf("%d: %s", int(p), p)
		}
	}
}
