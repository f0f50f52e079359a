package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"violetturn/internal/store"
)

// newTestWorld returns a world with one machine type and short times.
func newTestWorld() *Environment {
	w := NewEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	w.MachineType = MachineType{Name: "m", CPUs: 8, GPUs: 2, MemGB: 64, BootTime: time.Second, FetchTime: time.Second}
	w.Zones = []string{"x"}
	w.WorkerLease, w.CancelTimeout = 10*time.Second, 40*time.Second
	w.GangStartTimeout, w.PeerLossTimeout = 5*time.Second, 2*time.Second
	return w
}

// newTestClient returns a node's client of a world's state service.
func newTestClient(w *Environment) *StoreClient {
	return &StoreClient{Store: w.Store, Node: "n0", TxnOps: 8, MaxValueBytes: 100}
}

// write returns a transaction that writes keys.
func write(keys ...string) *store.Txn {
	t := &store.Txn{}
	for _, key := range keys {
		t.Ops = append(t.Ops, store.Op{WriteKey: key, Value: json.RawMessage("1")})
	}
	return t
}

// A fault of a transaction applies to the next one only: what it does, and when.
func TestTransactionFaults(t *testing.T) {
	for _, x := range []struct {
		fault                   Fault
		err                     error
		atOnce, afterDeliveries int // keys that there are
	}{
		{NoFault, nil, 1, 1},
		{RequestLost, store.ErrOutcomeUnknown, 0, 0},
		{ResponseLost, store.ErrOutcomeUnknown, 1, 1},
		{Delayed, store.ErrOutcomeUnknown, 0, 1},
	} {
		t.Run(x.fault.String(), func(t *testing.T) {
			w := newTestWorld()
			c := newTestClient(w)
			w.Store.NextFault["n0"] = x.fault
			if _, err := c.Commit(context.Background(), write("a"), 0); !errors.Is(err, x.err) {
				t.Errorf("error %v", err)
			}
			if n := len(w.Store.Items("")); n != x.atOnce {
				t.Errorf("%d keys at once", n)
			}
			w.Store.DeliverDelayed()
			if n := len(w.Store.Items("")); n != x.afterDeliveries {
				t.Errorf("%d keys after all deliveries", n)
			}
			if result, err := c.Commit(context.Background(), write("b"), 0); !result.Committed || err != nil {
				t.Errorf("the next transaction: %+v, %v", result, err)
			}
		})
	}
}

// A transaction is committed only if all its preconditions hold, and then as a whole.
func TestPreconditions(t *testing.T) {
	w := newTestWorld()
	c := newTestClient(w)
	first, _ := c.Commit(context.Background(), write("a", "b"), 0) // a failure shows below
	stale := write("a")
	stale.Preconditions = []store.Precondition{{Key: "a", Version: first.Revision}, {Key: "b"}}
	result, err := c.Commit(context.Background(), stale, 0)
	if result.Committed || err != nil || len(result.Conflicts) != 1 || result.Conflicts[0] != "b" {
		t.Errorf("%+v, %v", result, err)
	}
	changes, now, err := c.Changes(context.Background(), "", 0, 0)
	if err != nil || now != first.Revision || len(changes) != 2 {
		t.Errorf("revision %d, changes %v, %v", now, changes, err)
	}
}

// Keys end with their lease, which keeps its full time during an outage. Leases that end at
// once end in the order in which they were granted.
func TestLeases(t *testing.T) {
	w := newTestWorld()
	c := newTestClient(w)
	for _, key := range []string{"c", "b", "a"} {
		id, err := c.GrantLease(context.Background(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		txn := write(key)
		txn.Ops[0].Lease = &id
		if result, err := c.Commit(context.Background(), txn, 0); !result.Committed {
			t.Fatal(err)
		}
	}
	since := w.Store.revision
	w.Store.Down = true
	w.Advance(5 * time.Second)
	w.Store.Down = false
	w.Advance(900 * time.Millisecond)
	if n := len(w.Store.Items("")); n != 3 {
		t.Fatalf("%d of 3 keys are left before the leases end", n)
	}
	w.Advance(100 * time.Millisecond)
	changes, _, err := c.Changes(context.Background(), "", since, 0)
	if err != nil || len(changes) != 3 || changes[0].DeletedKey != "c" || changes[1].DeletedKey != "b" || changes[2].DeletedKey != "a" {
		t.Errorf("%v, %v", changes, err)
	}
	if err := c.RenewLease(context.Background(), 1); !errors.Is(err, store.ErrLeaseEnded) {
		t.Errorf("an ended lease is renewed: %v", err)
	}
}

// A watch that falls behind by more changes than are kept is told so.
func TestExpiredHistory(t *testing.T) {
	w := newTestWorld()
	c := newTestClient(w)
	result, _ := c.Commit(context.Background(), write("a"), 0) // a failure shows below
	w.Store.ExpireHistory()
	if _, _, err := c.Changes(context.Background(), "", result.Revision, 0); !errors.Is(err, store.ErrChangesUnavailable) {
		t.Errorf("changes since %d: %v", result.Revision, err)
	}
	if _, _, err := c.Changes(context.Background(), "", w.Store.revision-1, 0); err != nil {
		t.Errorf("the last change: %v", err)
	}
}
