package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"violetturn/internal/store"
)

// newTestEnvironment returns an environment with one machine type and short timeouts.
func newTestEnvironment() *Environment {
	env := NewEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	env.MachineType = MachineType{Name: "m", CPUs: 8, GPUs: 2, MemGB: 64, BootTime: time.Second, FetchTime: time.Second}
	env.Zones = []string{"x"}
	env.WorkerLease, env.CancelTimeout = 10*time.Second, 40*time.Second
	env.GangStartTimeout, env.PeerLossTimeout = 5*time.Second, 2*time.Second
	return env
}

// newTestClient returns a controller's client of an environment's state service.
func newTestClient(env *Environment) *StoreClient {
	return &StoreClient{Store: env.Store, Controller: "n0", TxnOps: 8, MaxValueBytes: 100}
}

// writeTxn returns a transaction that writes the keys without preconditions.
func writeTxn(keys ...string) *store.Txn {
	t := &store.Txn{}
	for _, key := range keys {
		t.Writes = append(t.Writes, store.Write{WriteKey: key, Value: json.RawMessage("1")})
	}
	return t
}

// A fault injected into transactions applies to the controller's next transaction only.
func TestTransactionFaults(t *testing.T) {
	for _, test := range []struct {
		fault                 Fault
		wantErr               error
		wantBefore, wantAfter int // number of keys before and after DeliverDelayed
	}{
		{NoFault, nil, 1, 1},
		{RequestLost, store.ErrOutcomeUnknown, 0, 0},
		{ResponseLost, store.ErrOutcomeUnknown, 1, 1},
		{Delayed, store.ErrOutcomeUnknown, 0, 1},
	} {
		t.Run(test.fault.String(), func(t *testing.T) {
			env := newTestEnvironment()
			c := newTestClient(env)
			env.Store.NextFault["n0"] = test.fault
			if _, err := c.Commit(context.Background(), writeTxn("a"), 0); !errors.Is(err, test.wantErr) {
				t.Errorf("commit with the fault: error %v, want %v", err, test.wantErr)
			}
			if n := len(env.Store.Items("")); n != test.wantBefore {
				t.Errorf("%d keys before DeliverDelayed, want %d", n, test.wantBefore)
			}
			env.Store.DeliverDelayed()
			if n := len(env.Store.Items("")); n != test.wantAfter {
				t.Errorf("%d keys after DeliverDelayed, want %d", n, test.wantAfter)
			}
			if result, err := c.Commit(context.Background(), writeTxn("b"), 0); !result.Committed || err != nil {
				t.Errorf("next transaction: result %+v, error %v; want it committed", result, err)
			}
		})
	}
}

// A transaction is committed only if all its preconditions hold, and then all its writes are applied.
func TestTransactionCommitsOnlyIfPreconditionsHold(t *testing.T) {
	env := newTestEnvironment()
	c := newTestClient(env)
	first, _ := c.Commit(context.Background(), writeTxn("a", "b"), 0) // the checks below detect a failure
	stale := writeTxn("a")
	stale.Preconditions = []store.Precondition{{Key: "a", Version: first.Revision}, {Key: "b"}}
	result, err := c.Commit(context.Background(), stale, 0)
	if result.Committed || err != nil || len(result.Conflicts) != 1 || result.Conflicts[0] != "b" {
		t.Errorf("transaction with a failed precondition: result %+v, error %v; want a conflict on key b only", result, err)
	}
	changes, revision, err := c.Changes(context.Background(), "", 0, 0)
	if err != nil || revision != first.Revision || len(changes) != 2 {
		t.Errorf("revision %d, changes %v, error %v; want revision %d and the 2 changes of the first transaction",
			revision, changes, err, first.Revision)
	}
}

// Keys are deleted when their lease expires. During an outage of the state service leases keep their
// full duration. Leases that expire at the same time end in the order in which they were granted.
func TestKeysExpireWithTheirLease(t *testing.T) {
	env := newTestEnvironment()
	c := newTestClient(env)
	for _, key := range []string{"c", "b", "a"} {
		id, err := c.GrantLease(context.Background(), time.Second)
		if err != nil {
			t.Fatalf("granting a lease: %v", err)
		}
		txn := writeTxn(key)
		txn.Writes[0].Lease = &id
		if result, err := c.Commit(context.Background(), txn, 0); !result.Committed {
			t.Fatalf("transaction with a lease: result %+v, error %v; want it committed", result, err)
		}
	}
	since := env.Store.revision
	env.Store.Down = true
	env.Advance(5 * time.Second)
	env.Store.Down = false
	env.Advance(900 * time.Millisecond)
	if n := len(env.Store.Items("")); n != 3 {
		t.Fatalf("%d keys before the leases expire, want 3", n)
	}
	env.Advance(100 * time.Millisecond)
	changes, _, err := c.Changes(context.Background(), "", since, 0)
	if err != nil || len(changes) != 3 || changes[0].DeletedKey != "c" || changes[1].DeletedKey != "b" || changes[2].DeletedKey != "a" {
		t.Errorf("changes %v, error %v; want the deletion of c, b and a in this order", changes, err)
	}
	if err := c.RenewLease(context.Background(), 1); !errors.Is(err, store.ErrLeaseEnded) {
		t.Errorf("renewing an expired lease: error %v, want %v", err, store.ErrLeaseEnded)
	}
}

// Reading changes since a revision before the history returns store.ErrChangesUnavailable.
func TestWatchBeyondHistoryFails(t *testing.T) {
	env := newTestEnvironment()
	c := newTestClient(env)
	result, _ := c.Commit(context.Background(), writeTxn("a"), 0) // the checks below detect a failure
	env.Store.ExpireHistory()
	if _, _, err := c.Changes(context.Background(), "", result.Revision, 0); !errors.Is(err, store.ErrChangesUnavailable) {
		t.Errorf("reading changes since revision %d: error %v, want %v", result.Revision, err, store.ErrChangesUnavailable)
	}
	if _, _, err := c.Changes(context.Background(), "", env.Store.revision-1, 0); err != nil {
		t.Errorf("reading the last change: error %v, want none", err)
	}
}
