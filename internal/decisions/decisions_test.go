package decisions

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/external"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/storesync"
)

// unlimitedWrites is a budget of changes that never runs out.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// fixture is the loop of node n0 in zone x, of a cluster with n1 in zone y and n2 in zone x, on a
// simulated state service. It leads its own shard.
type fixture struct {
	*Loop
	state   *state.State
	store   *simulator.Store
	now     time.Time
	version uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &config.Settings{
		HostName: "n0", Zone: "x",
		Members: []config.Member{{HostName: "n1", Zone: "y"}, {HostName: "n2", Zone: "x"}},
	}
	facts := &settings.Facts
	facts.Size, facts.Zones = 3, []string{"x", "y"}
	facts.Workers = config.WorkerTimes{ReportS: 1, LeaseS: 9, CancelS: 40}
	facts.Limits.MemoryMB = 100
	facts.Teams = []config.Team{{Name: "a"}, {Name: "limited", GPUsMax: 8}}
	facts.State.StateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8}

	world := simulator.New(time.Unix(1_800_000_000, 0))
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return world.Now }
	info.SteppedClock = true
	services := &external.Services{Store: &simulator.StoreClient{Store: world.Store, Node: "n0", TxnOps: 8, MaxValueBytes: 4096}}
	wake := notify.NewSignal()
	s := state.New(info, wake, unlimitedWrites{})
	guard := state.NewGuard(s)
	sync := storesync.New(info, guard, services, wake)
	f := &fixture{
		Loop:  New(Deps{Node: info, Guard: guard, Services: services, Sync: sync, Wake: wake, GangAccepted: notify.NewSignal()}),
		state: s, store: world.Store, now: world.Now,
	}
	version := f.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: 1})
	s.Leadership.Begin("n0", &leadership.Leadership{Term: 1, Version: version})
	return f
}

// apply has the cache take in a record and returns its version.
func (f *fixture) apply(key string, value any) uint64 {
	f.version++
	f.state.Cache.Apply(key, api.JSON(value), f.version)
	return f.version
}

// The order of the rounds decides what goes first when changes are few.
func TestRoundsInOrder(t *testing.T) {
	var names []string
	for _, r := range rounds {
		names = append(names, r.name)
	}
	want := []string{
		"zones", "registrations", "gang updates", "ends of tasks", "ends of jobs", "placements", "capacity records",
		"deregistrations", "splits",
	}
	if !slices.Equal(names, want) {
		t.Errorf("%q, want %q", names, want)
	}
}

// What is known of a transaction decides whether the next one may rest on it.
func TestCommitOutcomes(t *testing.T) {
	f := newFixture(t)
	if err := f.sync.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	key := statecache.ZoneKey("x")
	transaction := func(version uint64) *statecache.Transaction {
		txn := statecache.NewTransaction()
		txn.Require(key, version)
		txn.Put(key, struct{}{})
		return txn
	}
	for _, x := range []struct {
		name    string
		before  func()
		version uint64
		want    outcome
		settled bool
	}{
		{"its precondition holds", func() {}, 0, committed, true},
		{"another write came first", func() {}, 0, rejected, true},
		{"no answer", func() { f.store.Down = true }, 1, outcomeUnknown, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.before()
			got := f.commit(t.Context(), forZones, transaction(x.version), store.PriorityDecision)
			if got != x.want || got.settled() != x.settled {
				t.Errorf("outcome %d, settled: %t; want %d, %t", got, got.settled(), x.want, x.settled)
			}
		})
	}
	if n := f.state.Stats.Commits[forZones]; n.Transactions != 3 || n.Conflicts != 1 || n.Failed != 1 {
		t.Errorf("counted: %+v", n)
	}
}

func TestShardFor(t *testing.T) {
	f := newFixture(t)
	for _, x := range []struct {
		name     string
		zone     string
		machines map[string]int
		want     string
	}{
		{"the first of its zone, all empty", "x", nil, "n0"},
		{"the one with fewest machines of its zone", "x", map[string]int{"n0": 5, "n2": 4}, "n2"},
		{"its zone before fewer machines", "y", map[string]int{"n1": 900}, "n1"},
		{"any where no controller is in its zone", "z", map[string]int{"n0": 2, "n1": 1, "n2": 2}, "n1"},
	} {
		t.Run(x.name, func(t *testing.T) {
			if got := shardFor(f.node, x.zone, x.machines); got != x.want {
				t.Errorf("%s, want %s", got, x.want)
			}
		})
	}
}

// Machines get records in shards of their zones, evenly, as many pages at a time as a transaction
// takes; the others follow. One that has a record is not registered again.
func TestPlanRegistrations(t *testing.T) {
	f := newFixture(t)
	const machines = 40
	for i := range machines {
		f.state.Agents.Unregistered().SetRented(fmt.Sprintf("i-%03d0", i), shard.Machine{MachineType: "m", Zone: "x"})
	}
	f.apply(statecache.MachinePageKey("i-000-"), shard.MachinePage{"i-0000": {Shard: "n0", MachineType: "m", Zone: "x"}})
	registered := 0
	for range machines {
		plan := planRegistrations(f.state, f.node, f.now)
		if len(plan.hosts) == 0 {
			break
		}
		if n := plan.transaction.Changes(); n == 0 || n > f.state.Schema.MaxChanges() {
			t.Fatalf("%d changes for %v", n, plan.hosts)
		}
		f.version++
		f.state.Cache.ApplyCommitted(plan.transaction, f.version)
		for _, host := range plan.hosts {
			f.state.Agents.Unregistered().Remove(host)
		}
		registered += len(plan.hosts)
	}
	if registered != machines-1 || f.state.Agents.Unregistered().Count() != 0 {
		t.Errorf("%d of %d registered, %d left", registered, machines-1, f.state.Agents.Unregistered().Count())
	}
	count := map[string]int{}
	for host, m := range f.state.Cache.Machines {
		count[m.Shard]++
		if host != "i-0000" && m.RegisteredMS != f.now.UnixMilli() {
			t.Errorf("%s: registered at %d", host, m.RegisteredMS)
		}
	}
	if count["n0"] != machines/2 || count["n2"] != machines/2 {
		t.Errorf("machines by shard: %v", count)
	}
}

// A page is opened once, and no other one when the pages are as large as a transaction takes.
func TestPageEditsAreBounded(t *testing.T) {
	f := newFixture(t)
	edits := newPageEdits(f.state, f.node)
	page, ok := edits.page("i-0010")
	if !ok {
		t.Fatal("no first page")
	}
	page["i-0010"] = &shard.Machine{Zone: "x"}
	edits.keep("i-0010", page)
	again, ok := edits.page("i-0010")
	if !ok || again["i-0010"] == nil {
		t.Errorf("the page that is open: %v, %t", again, ok)
	}
	edits.bytes = edits.maxBytes
	if _, ok = edits.page("i-0020"); !ok {
		t.Error("no page though one fits")
	}
	edits.bytes++
	if _, ok = edits.page("i-0020"); ok {
		t.Error("one page too many")
	}
	if _, ok = edits.page("i-0010"); !ok {
		t.Error("the page that is open is not found when no other fits")
	}
}

// A job is archived once it is over and off its machines; a done gang as soon as no quota counts
// the room of its tasks.
func TestFinalStateOf(t *testing.T) {
	placed := map[int]*job.Placement{1: {Host: "h", Attempt: 1}}
	for _, x := range []struct {
		name   string
		record job.Record
		tasks  job.TaskRange
		want   job.FinalState
		ready  bool
	}{
		{"cancelled", job.Record{Cancelled: true}, job.TaskRange{}, job.FinalState{Phase: api.JobCancelled}, true},
		{
			"cancelled, some tasks done",
			job.Record{Cancelled: true},
			job.TaskRange{DoneBits: "BQ"},
			job.FinalState{Phase: api.JobCancelled, Done: 2},
			true,
		},
		{
			"cancelled, a task on a machine",
			job.Record{Cancelled: true},
			job.TaskRange{Placements: placed},
			job.FinalState{Phase: api.JobCancelled},
			false,
		},
		{
			"done gang",
			job.Record{Spec: api.Job{Kind: api.Gang, Team: "limited"}, Gang: &job.Gang{Done: true}},
			job.TaskRange{},
			job.FinalState{Phase: api.JobDone, Done: 4},
			true,
		},
		{
			"done gang, a task on a machine that a quota counts",
			job.Record{Spec: api.Job{Kind: api.Gang, Team: "limited"}, Gang: &job.Gang{Done: true}},
			job.TaskRange{Placements: placed},
			job.FinalState{Phase: api.JobDone, Done: 4},
			false,
		},
		{
			"done gang, a task on a machine that no quota counts",
			job.Record{Spec: api.Job{Kind: api.Gang, Team: "a"}, Gang: &job.Gang{Done: true}},
			job.TaskRange{Placements: placed},
			job.FinalState{Phase: api.JobDone, Done: 4},
			true,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t)
			const uid = "run-000001"
			x.record.Spec.UID, x.record.Spec.Tasks, x.record.RangeSize, x.record.Shard = uid, 4, 4, "n0"
			f.apply(statecache.JobKey(uid), x.record)
			f.apply(statecache.TaskRangeKey(uid, 0, 0), x.tasks)
			got, ready := finalStateOf(f.state, f.state.Cache.Jobs[uid])
			if got != x.want || ready != x.ready {
				t.Errorf("%+v, ready: %t; want %+v, %t", got, ready, x.want, x.ready)
			}
			if plan := planArchive(f.state); (plan.transaction != nil) != x.ready {
				t.Errorf("planned: %v, ready: %t", plan.transaction, x.ready)
			}
		})
	}
}
