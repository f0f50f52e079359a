package leadership

import (
	"log/slog"
	"reflect"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// tableFixture is the table of controller n0 in a cluster of n0, n1 and n2. Its lease is valid, and
// its cache is loaded and empty.
type tableFixture struct {
	*Table
	now     time.Time
	version uint64
}

func newTableFixture(t *testing.T) *tableFixture {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Members: []config.Member{{HostName: "n1"}, {HostName: "n2"}}}
	settings.Facts.ControllerCount = 3
	settings.Facts.Workers = config.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 9, CancelTimeoutS: 40}
	f := &tableFixture{now: time.Unix(1_800_000_000, 0)}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return f.now }
	cache := statecache.New(info.Log)
	cache.Loaded, cache.ChangesReadAt = true, f.now
	f.Table = NewTable(info, cache, schema.New(info, cache, nil))
	f.BeginLease(1)
	f.ExtendLease(f.now.Add(settings.ControllerLeaseTTL()))
	return f
}

// applyRecord applies a record and returns its version.
func (f *tableFixture) applyRecord(key string, value any) uint64 {
	f.version++
	f.cache.Apply(key, api.MustMarshal(value), f.version)
	return f.version
}

// setLeader makes a controller the leader of a shard in the cache, and begins this controller's
// leadership if the leader is n0.
func (f *tableFixture) setLeader(name, leader string) {
	record := shard.LeaderRecord{Node: leader, Incarnation: 7, Term: 1}
	if leader == "n0" {
		record.Incarnation = f.node.Incarnation
	}
	version := f.applyRecord(statecache.LeaderKey(name), record)
	if leader == "n0" {
		f.Begin(name, &Leadership{Term: 1, Version: version})
	}
}

// registerNode adds the record of a controller that workers reach.
func (f *tableFixture) registerNode(name string) {
	f.applyRecord(statecache.NodeKey(name), shard.NodeRecord{Node: name})
}

func TestLeads(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *tableFixture)
		want   bool
	}{
		{"just begun", func(*tableFixture) {}, true},
		{"leadership of another shard", func(f *tableFixture) { f.End("n1"); f.setLeader("n2", "n0") }, false},
		{"being released", func(f *tableFixture) { f.Lookup("n1").BeginRelease() }, false},
		{"release did not commit", func(f *tableFixture) { f.Lookup("n1").BeginRelease(); f.Lookup("n1").CancelRelease() }, true},
		{"successor reported", func(f *tableFixture) { f.Lookup("n1").successor = "n2" }, false},
		{"another leader's key", func(f *tableFixture) { f.setLeader("n1", "n1") }, false},
		{"lease lost", func(f *tableFixture) { f.EndLease() }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newTableFixture(t)
			f.setLeader("n1", "n0")
			test.change(f)
			txn := statecache.NewTransaction()
			f.RequireLeaderships(txn)
			required := slices.ContainsFunc(txn.Request().Preconditions, func(p store.Precondition) bool {
				return p.Key == statecache.LeaderKey("n1")
			})
			if got := f.Leads("n1"); got != test.want || required != test.want {
				t.Errorf("leads %t, leader's key required %t; want %t for both", got, required, test.want)
			}
		})
	}
}

func TestMayAnswerHeartbeats(t *testing.T) {
	grace := newTableFixture(t).node.Settings.LeadershipGracePeriod()
	staleness := newTableFixture(t).node.Settings.MaxStaleness()
	ttl := newTableFixture(t).node.Settings.ControllerLeaseTTL()
	cases := []struct {
		name   string
		after  time.Duration
		change func(f *tableFixture)
		want   bool
	}{
		{"within the lease", 0, func(*tableFixture) {}, true},
		{"without a lease", 0, func(f *tableFixture) { f.EndLease() }, false},
		{"cache not loaded", 0, func(f *tableFixture) { f.cache.Loaded = false }, false},
		{"within the grace period", ttl + grace - 1, func(f *tableFixture) { f.cache.ChangesReadAt = f.now }, true},
		{"after the grace period", ttl + grace, func(f *tableFixture) { f.cache.ChangesReadAt = f.now }, false},
		{"changes not read for too long", staleness, func(f *tableFixture) { f.ExtendLease(f.now) }, false},
		{"one peer has not acknowledged", staleness, func(f *tableFixture) { f.acknowledgedUntil["n1"] = f.now }, false},
		{"all peers have acknowledged", staleness, func(f *tableFixture) {
			f.acknowledgedUntil["n1"], f.acknowledgedUntil["n2"] = f.now, f.now
		}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newTableFixture(t)
			f.now = f.now.Add(test.after)
			test.change(f)
			if got := f.MayAnswerHeartbeats(f.now); got != test.want {
				t.Errorf("MayAnswerHeartbeats returned %t, want %t", got, test.want)
			}
		})
	}
}

func TestPlan(t *testing.T) {
	ttl := newTableFixture(t).node.Settings.ControllerLeaseTTL()
	cases := []struct {
		name         string
		prepare      func(f *tableFixture)
		after        time.Duration
		releaseAll   bool
		wantAcquired []string
		wantReleased []string
	}{
		{"acquires only the home shard at once", func(*tableFixture) {}, 0, false, []string{"n0"}, nil},
		{"acquires the other shards after a delay", func(*tableFixture) {}, ttl, false, []string{"n0", "n1", "n2"}, nil},
		{"a running peer acquires first", func(f *tableFixture) { f.registerNode("n2") }, ttl, false, []string{"n0", "n2"}, nil},
		{"acquires none if it must release all", func(*tableFixture) {}, 2 * ttl, true, nil, nil},
		{"releases all", func(f *tableFixture) { f.setLeader("n0", "n0"); f.setLeader("n1", "n0") }, 0, true, nil, []string{"n0", "n1"}},
		{"reacquires after a lost response", func(f *tableFixture) { f.setLeader("n0", "n0"); f.End("n0") }, 0, false, []string{"n0"}, nil},
		{"reacquires if a worker has received a higher term", func(f *tableFixture) {
			f.setLeader("n0", "n0")
			f.Lookup("n0").RequestNewTerm()
		}, 0, false, []string{"n0"}, nil},
		{"releases to a running peer", func(f *tableFixture) {
			f.setLeader("n0", "n0")
			f.setLeader("n1", "n0")
			f.registerNode("n1")
		}, ttl * 3 / 4, false, nil, []string{"n1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newTableFixture(t)
			test.prepare(f)
			f.Planner().Plan(f.now, test.releaseAll) // records since when shards have no leader
			plan := f.Planner().Plan(f.now.Add(test.after), test.releaseAll)
			var acquired []string
			for _, acquisition := range plan.Acquire {
				acquired = append(acquired, acquisition.Shard)
			}
			if !reflect.DeepEqual(acquired, test.wantAcquired) || !reflect.DeepEqual(plan.Release, test.wantReleased) {
				t.Errorf("acquire %v, release %v; want %v, %v", acquired, plan.Release, test.wantAcquired, test.wantReleased)
			}
		})
	}
}

// An absent controller counts among those that share the rate limits until it has been absent for
// the time of a lease.
func TestRateSharingCountsAbsentControllersForLeaseTime(t *testing.T) {
	f := newTableFixture(t)
	f.registerNode("n1")
	if f.Rates().Update(f.now) || f.Rates().ControllerCount() != 3 {
		t.Fatalf("%d controllers share the rates at the start, want 3 and no change", f.Rates().ControllerCount())
	}
	later := f.now.Add(f.node.Settings.ControllerLeaseTTL())
	if !f.Rates().Update(later) || f.Rates().ControllerCount() != 2 {
		t.Fatalf("%d controllers share the rates without n2, want 2 and a change", f.Rates().ControllerCount())
	}
	f.registerNode("n2")
	if !f.Rates().Update(later) || f.Rates().ControllerCount() != 3 {
		t.Fatalf("%d controllers share the rates after n2 has returned, want 3 and a change", f.Rates().ControllerCount())
	}
}

// A controller is unreachable after MinSilentChecks consecutive checks without contact if heartbeats
// are expected from at least MinSilentMachines workers, until there is contact again.
func TestCheckSilenceRequiresEnoughSilentWorkers(t *testing.T) {
	for _, expected := range []int{MinSilentMachines - 1, MinSilentMachines} {
		f := newTableFixture(t)
		f.Contact().RecordContact(f.now)
		silent := f.now.Add(time.Minute)
		for range MinSilentChecks - 1 {
			f.Contact().CheckSilence(silent, func() int { t.Errorf("expected workers counted before check %d", MinSilentChecks); return 0 })
		}
		f.Contact().CheckSilence(silent, func() int { return expected })
		if got, want := f.Contact().Unreachable(), expected == MinSilentMachines; got != want || f.contact.hasContact {
			t.Errorf("%d silent workers: unreachable %t, has contact %t; want unreachable %t, no contact",
				expected, got, f.contact.hasContact, want)
		}
		f.Contact().RecordContact(silent)
		if f.Contact().Unreachable() || !f.Contact().HasContactSince(silent) || f.Contact().HasContactSince(silent.Add(1)) {
			t.Errorf("%d silent workers, then contact at %s: got %+v, want reachable and contact since then",
				expected, silent, f.contact.contactState)
		}
	}
}
