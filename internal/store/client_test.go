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

// Reads send the requests of PROTOCOL and decode its responses.
func TestReadRequestsAndResponses(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()

	f.service.setResponse("/keys/a/b", 200, `{"k":"a/b","v":{"x":1},"stamp":412,"permit":7}`)
	item, found, err := f.client.Get(ctx, "a/b", PriorityDecision)
	if err != nil || !found || item.Version != 412 || string(item.Value) != `{"x":1}` {
		t.Errorf("Get of a key: got %+v, found %t, error %v; want version 412 and value %s", item, found, err, `{"x":1}`)
	}
	f.service.setResponse("/keys/a/c", 404, `{"epoch":431}`)
	if _, found, err = f.client.Get(ctx, "a/c", PriorityDecision); found || err != nil {
		t.Errorf("Get of a missing key: got found %t, error %v; want neither", found, err)
	}
	f.service.setResponse("/keys", 200, `{"rows":[{"k":"c/1","v":1,"stamp":2}],"truncated":false,"epoch":431}`)
	items, revision, err := f.client.List(ctx, "c/")
	if err != nil || revision != 431 || len(items) != 1 {
		t.Errorf("List: got %v at revision %d, error %v; want 1 item at revision 431", items, revision, err)
	}
	f.service.setResponse("/changes", 200, `{"epoch":433,"log":[{"write":"c/9","v":{},"stamp":433},{"drop":"c/d","stamp":432}]}`)
	changes, revision, err := f.client.Changes(ctx, "c/", 431, 2*time.Second)
	if err != nil || revision != 433 || len(changes) != 2 || changes[1].DeletedKey != "c/d" {
		t.Errorf("Changes: got %v up to revision %d, error %v; want a write and a deletion up to 433", changes, revision, err)
	}
	want := []string{
		"GET /keys/a/b",
		"GET /keys/a/c",
		"GET /keys?prefix=c%2F&limit=1000",
		"GET /changes?prefix=c%2F&since=431&blockMs=2000",
	}
	if d := cmp.Diff(want, f.service.takeRequests()); d != "" {
		t.Errorf("requests differ (-want +got):\n%s", d)
	}
}

// List requests pages, each starting after the last key of the previous one, until a page is not
// truncated. The revision of the list is that of the first page.
func TestListReadsAllPages(t *testing.T) {
	f := newFixture(t)
	f.service.setResponse("/keys?prefix=c%2F&limit=1000", 200, `{"rows":[{"k":"c/1"},{"k":"c/2"}],"truncated":true,"epoch":9}`)
	f.service.setResponse("/keys?prefix=c%2F&limit=1000&since=c%2F2", 200, `{"rows":[{"k":"c/3"}],"truncated":false,"epoch":12}`)
	items, revision, err := f.client.List(context.Background(), "c/")
	if err != nil || revision != 9 || len(items) != 3 || items[2].Key != "c/3" {
		t.Errorf("got %v at revision %d, error %v; want 3 items to c/3 at revision 9", items, revision, err)
	}
	f.service.setResponse("/keys?prefix=c%2F&limit=1000&since=c%2F2", 500, `{}`)
	var statusError *StatusError
	if _, _, err := f.client.List(context.Background(), "c/"); !errors.As(err, &statusError) || statusError.Status != 500 {
		t.Errorf("status 500 for the second page: got error %v, want a StatusError with status 500", err)
	}
}

// When changes are no longer in the change log, or their response exceeds the client's size limit,
// Changes returns ErrChangesUnavailable, so that the caller lists the keys instead. The service is
// reported as available.
func TestUnavailableChangesRequireListing(t *testing.T) {
	f := newFixture(t)
	large := strings.Repeat(" ", httpwire.ResponseLimits.BodyBytes+1)
	for _, test := range []struct {
		name   string
		status int
		body   string
	}{
		{"no longer in the log", 410, `{}`},
		{"response too large", 200, large},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.service.setResponse("/changes", test.status, test.body)
			if _, _, err := f.client.Changes(context.Background(), "c/", 1, 0); !errors.Is(err, ErrChangesUnavailable) ||
				!f.reportedAvailable {
				t.Errorf("got error %v, service available %t; want %v and true", err, f.reportedAvailable, ErrChangesUnavailable)
			}
			if d := cmp.Diff([]string{"GET /changes?prefix=c%2F&since=1&blockMs=0"}, f.service.takeRequests()); d != "" {
				t.Errorf("requests differ (-want +got):\n%s", d)
			}
		})
	}
}

// Guards against watch requests that the service refuses as malformed, so that a controller never
// receives changes by a watch: for a worker lease of more than two minutes, the caller asks to wait
// for longer than PROTOCOL allows.
func TestWatchWaitsNoLongerThanAllowed(t *testing.T) {
	f := newFixture(t)
	f.service.setResponse("/changes", 200, `{"epoch":2,"log":[]}`)
	for _, maxBlock := range []time.Duration{time.Minute, time.Minute + time.Millisecond, 1<<63 - 1} {
		if _, revision, err := f.client.Changes(context.Background(), "c/", 1, maxBlock); err != nil || revision != 2 {
			t.Errorf("watch for %v: got revision %d, error %v; want revision 2", maxBlock, revision, err)
		}
		if d := cmp.Diff([]string{"GET /changes?prefix=c%2F&since=1&blockMs=60000"}, f.service.takeRequests()); d != "" {
			t.Errorf("requests differ (-want +got):\n%s", d)
		}
	}
}

// Leases are granted, renewed and revoked. The renewal of a lease that has ended returns
// ErrLeaseEnded.
func TestLeaseRequests(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.service.setResponse("/holds", 200, `{"permit":7}`)
	if leaseID, err := f.client.GrantLease(ctx, 5*time.Second); err != nil || leaseID != 7 {
		t.Errorf("GrantLease: got lease %d, error %v; want lease 7", leaseID, err)
	}
	f.service.setResponse("/holds/7/touch", 200, `{}`)
	if err := f.client.RenewLease(ctx, 7); err != nil {
		t.Errorf("RenewLease: got error %v, want none", err)
	}
	f.service.setResponse("/holds/7/touch", 404, `{}`)
	if err := f.client.RenewLease(ctx, 7); !errors.Is(err, ErrLeaseEnded) {
		t.Errorf("RenewLease of a lease that has ended: got error %v, want %v", err, ErrLeaseEnded)
	}
	f.service.setResponse("/holds/7", 200, `{}`)
	if err := f.client.RevokeLease(ctx, 7); err != nil {
		t.Errorf("RevokeLease: got error %v, want none", err)
	}
	want := []string{`POST /holds {"ttlMs":5000}`, "POST /holds/7/touch {}", "POST /holds/7/touch {}", "DELETE /holds/7"}
	if d := cmp.Diff(want, f.service.takeRequests()); d != "" {
		t.Errorf("requests differ (-want +got):\n%s", d)
	}
}

// newTestTransaction returns a transaction with a precondition, a write under a lease and a deletion.
func newTestTransaction() *Txn {
	leaseID := uint64(7)
	return &Txn{
		Preconditions: []Precondition{{"a/b", 0}},
		Writes:        []Write{{WriteKey: "a/b", Value: []byte(`{}`), Lease: &leaseID}, {DeleteKey: "c/d"}},
	}
}

// Commit maps each response to its result or its error, and the service is reported as available.
func TestCommitOutcomes(t *testing.T) {
	f := newFixture(t)
	for _, test := range []struct {
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
		t.Run(test.name, func(t *testing.T) {
			f.service.setResponse("/multi", test.status, test.body)
			result, err := f.client.Commit(context.Background(), newTestTransaction(), PriorityDecision)
			if d := cmp.Diff(test.want, result); d != "" || !errors.Is(err, test.wantErr) || !f.reportedAvailable {
				t.Errorf("error %v, available %t; want %v and true; result (-want +got):\n%s", err, f.reportedAvailable, test.wantErr, d)
			}
			want := []string{`POST /multi {"guards":[{"k":"a/b","stamp":0}],"then":[{"write":"a/b","v":{},"permit":7},{"drop":"c/d"}]}`}
			if d := cmp.Diff(want, f.service.takeRequests()); d != "" {
				t.Errorf("requests differ (-want +got):\n%s", d)
			}
		})
	}
}

// A refused transaction returns ErrRefused. Only several refusals because of the rate limit (429)
// lower the limits. After a 503 the service is reported as unavailable, after a 429 as available.
func TestRefusalsLowerLimits(t *testing.T) {
	f := newFixture(t)
	for _, status := range []int{503, 429, 429, 429} {
		if status == 429 && f.client.limits == f.client.announcedLimits {
			t.Errorf("got the announced limits %+v after fewer than 3 refusals, want the initial ones", f.client.limits)
		}
		f.service.setResponse("/multi", status, `{}`)
		_, err := f.client.Commit(context.Background(), newTestTransaction(), PriorityDecision)
		if !errors.Is(err, ErrRefused) || f.reportedAvailable != (status == 429) {
			t.Errorf("status %d: got error %v, available %t; want %v and %t", status, err, f.reportedAvailable, ErrRefused, status == 429)
		}
	}
	if f.client.limits != f.client.announcedLimits {
		t.Errorf("got limits %+v after 3 refusals, want the announced %+v", f.client.limits, f.client.announcedLimits)
	}
}

// String returns the name of a priority, or the number of an invalid one.
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
			t.Errorf("priority %d: got name %s, want %s", int(p), p, want)
		}
	}
}
