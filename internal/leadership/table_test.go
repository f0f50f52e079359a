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

// fixture is the table of node n0 of a cluster of n0, n1 and n2. Its lease is valid, and its
// replica is whole and empty.
type fixture struct {
	*Table
	now     time.Time
	version uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Members: []config.Member{{HostName: "n1"}, {HostName: "n2"}}}
	settings.Facts.Size = 3
	settings.Facts.Workers = config.WorkerTimes{ReportS: 1, LeaseS: 9, CancelS: 40}
	f := &fixture{now: time.Unix(1_800_000_000, 0)}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return f.now }
	cache := statecache.New(info.Log)
	cache.Loaded, cache.ChangesReadAt = true, f.now
	f.Table = NewTable(info, cache, schema.New(info, cache, nil))
	f.BeginLease(1)
	f.ExtendLease(f.now.Add(settings.ControllerLeaseTTL()))
	return f
}

// record applies a record and returns its version.
func (f *fixture) record(key string, value any) uint64 {
	f.version++
	f.cache.Apply(key, api.JSON(value), f.version)
	return f.version
}

// lead makes a node the leader of a shard in the replica, and begins our leadership if it is we.
func (f *fixture) lead(name, leader string) {
	record := shard.LeaderRecord{Node: leader, Incarnation: 7, Term: 1}
	if leader == "n0" {
		record.Incarnation = f.node.Incarnation
	}
	version := f.record(statecache.LeaderKey(name), record)
	if leader == "n0" {
		f.Begin(name, &Leadership{Term: 1, Version: version})
	}
}

// live registers a node that workers reach.
func (f *fixture) live(name string) {
	f.record(statecache.NodeKey(name), shard.NodeRecord{Node: name})
}

func TestLeads(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture)
		want   bool
	}{
		{"as begun", func(*fixture) {}, true},
		{"of another shard", func(f *fixture) { f.End("n1"); f.lead("n2", "n0") }, false},
		{"being released", func(f *fixture) { f.Lookup("n1").BeginRelease() }, false},
		{"release did not commit", func(f *fixture) { f.Lookup("n1").BeginRelease(); f.Lookup("n1").CancelRelease() }, true},
		{"successor known", func(f *fixture) { f.Lookup("n1").successor = "n2" }, false},
		{"another leader's key", func(f *fixture) { f.lead("n1", "n1") }, false},
		{"lease lost", func(f *fixture) { f.DropExpiredLease() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.lead("n1", "n0")
			c.change(f)
			txn := statecache.NewTransaction()
			f.RequireLeaderships(txn)
			required := slices.ContainsFunc(txn.Request().Preconditions, func(p store.Precondition) bool {
				return p.Key == statecache.LeaderKey("n1")
			})
			if got := f.Leads("n1"); got != c.want || required != c.want {
				t.Errorf("leads %t, required of commits %t, want %t", got, required, c.want)
			}
		})
	}
}

func TestMayAnswerHeartbeats(t *testing.T) {
	grace := newFixture(t).node.Settings.LeadershipGrace()
	staleness := newFixture(t).node.Settings.MaxStaleness()
	ttl := newFixture(t).node.Settings.ControllerLeaseTTL()
	cases := []struct {
		name   string
		after  time.Duration
		change func(f *fixture)
		want   bool
	}{
		{"within the lease", 0, func(*fixture) {}, true},
		{"without a lease", 0, func(f *fixture) { f.DropExpiredLease() }, false},
		{"replica not whole", 0, func(f *fixture) { f.cache.Loaded = false }, false},
		{"within the grace", ttl + grace - 1, func(f *fixture) { f.cache.ChangesReadAt = f.now }, true},
		{"after the grace", ttl + grace, func(f *fixture) { f.cache.ChangesReadAt = f.now }, false},
		{"cancellations unknown for too long", staleness, func(f *fixture) { f.ExtendLease(f.now) }, false},
		{"one peer silent", staleness, func(f *fixture) { f.acknowledgedUntil["n1"] = f.now }, false},
		{"all peers have acknowledged", staleness, func(f *fixture) {
			f.acknowledgedUntil["n1"], f.acknowledgedUntil["n2"] = f.now, f.now
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.now = f.now.Add(c.after)
			c.change(f)
			if got := f.MayAnswerHeartbeats(f.now); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

func TestPlan(t *testing.T) {
	ttl := newFixture(t).node.Settings.ControllerLeaseTTL()
	cases := []struct {
		name    string
		prepare func(f *fixture)
		after   time.Duration
		leave   bool
		acquire []string
		release []string
	}{
		{"own shard at once, others later", func(*fixture) {}, 0, false, []string{"n0"}, nil},
		{"others' homes are due", func(*fixture) {}, ttl, false, []string{"n0", "n1", "n2"}, nil},
		{"a living peer's turn comes before ours", func(f *fixture) { f.live("n2") }, ttl, false, []string{"n0", "n2"}, nil},
		{"none if others should lead", func(*fixture) {}, 2 * ttl, true, nil, nil},
		{"all are released then", func(f *fixture) { f.lead("n0", "n0"); f.lead("n1", "n0") }, 0, true, nil, []string{"n0", "n1"}},
		{"an acquisition whose answer was lost", func(f *fixture) { f.lead("n0", "n0"); f.End("n0") }, 0, false, []string{"n0"}, nil},
		{"a worker has seen a higher term", func(f *fixture) {
			f.lead("n0", "n0")
			f.Lookup("n0").RequestNewTerm()
		}, 0, false, []string{"n0"}, nil},
		{"to a peer that is up", func(f *fixture) {
			f.lead("n0", "n0")
			f.lead("n1", "n0")
			f.live("n1")
		}, ttl * 3 / 4, false, nil, []string{"n1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.prepare(f)
			f.Planner().Plan(f.now, c.leave) // from now on shards are known to have no leader
			changes := f.Planner().Plan(f.now.Add(c.after), c.leave)
			var acquire []string
			for _, acquisition := range changes.Acquire {
				acquire = append(acquire, acquisition.Shard)
			}
			if !reflect.DeepEqual(acquire, c.acquire) || !reflect.DeepEqual(changes.Release, c.release) {
				t.Errorf("acquire %v, release %v; want %v, %v", acquire, changes.Release, c.acquire, c.release)
			}
		})
	}
}

// A controller that is absent shares the rates until its lease's time is over.
func TestRateSharing(t *testing.T) {
	f := newFixture(t)
	f.live("n1")
	if f.Rates().Update(f.now) || f.Rates().ControllerCount() != 3 {
		t.Fatalf("%d share at the start", f.Rates().ControllerCount())
	}
	later := f.now.Add(f.node.Settings.ControllerLeaseTTL())
	if !f.Rates().Update(later) || f.Rates().ControllerCount() != 2 {
		t.Fatalf("%d share without n2", f.Rates().ControllerCount())
	}
	f.live("n2")
	if !f.Rates().Update(later) || f.Rates().ControllerCount() != 3 {
		t.Fatalf("%d share when n2 is back", f.Rates().ControllerCount())
	}
}

// A node is unreachable after as many silent steps of enough workers, until one is heard.
func TestCheckSilence(t *testing.T) {
	for _, expected := range []int{MinSilentCount - 1, MinSilentCount} {
		f := newFixture(t)
		f.Contact().RecordContact(f.now)
		silent := f.now.Add(time.Minute)
		for range MinSilentCount - 1 {
			f.Contact().CheckSilence(silent, func() int { t.Error("counted too early"); return 0 })
		}
		f.Contact().CheckSilence(silent, func() int { return expected })
		if got, want := f.Contact().Unreachable(), expected == MinSilentCount; got != want || f.contact.hearsWorkers {
			t.Errorf("%d silent: unreachable %t, hears workers %t", expected, got, f.contact.hearsWorkers)
		}
		f.Contact().RecordContact(silent)
		if f.Contact().Unreachable() || !f.Contact().HasContactSince(silent) || f.Contact().HasContactSince(silent.Add(1)) {
			t.Errorf("%d silent: a worker was heard again, contact %+v", expected, f.contact.contactState)
		}
	}
}
