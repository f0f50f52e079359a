package decisions

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/external"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/simulator"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/storesync"
)

// unlimitedWrites is a write budget that never runs out.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// fixture is the loop of controller n0 in zone x, in a cluster with n1 in zone y and n2 in zone x,
// on a simulated state service. It leads its own shard.
type fixture struct {
	*Loop
	state    *state.State
	store    *simulator.Store
	now      time.Time
	revision uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &config.Settings{
		HostName: "n0", Zone: "x",
		Members: []config.Member{{HostName: "n1", Zone: "y"}, {HostName: "n2", Zone: "x"}},
	}
	facts := &settings.Facts
	facts.ControllerCount, facts.Zones = 3, []string{"x", "y"}
	facts.Workers = config.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 9, CancelTimeoutS: 40}
	facts.Limits.MemoryMB = 100
	facts.Teams = []config.Team{{Name: "a"}, {Name: "limited", MaxGPUs: 8}}
	facts.State.StateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8}

	environment := simulator.NewEnvironment(time.Unix(1_800_000_000, 0))
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return environment.Now }
	info.SimulatedClock = true
	services := &external.Services{
		Store: &simulator.StoreClient{Store: environment.Store, Controller: "n0", TxnOps: 8, MaxValueBytes: 4096},
	}
	wake := notify.NewSignal()
	s := state.New(info, wake, unlimitedWrites{})
	guard := state.NewGuard(s)
	sync := storesync.New(info, guard, services, wake)
	f := &fixture{
		Loop:  New(Deps{Node: info, Guard: guard, Services: services, Sync: sync, Wake: wake, GangAccepted: notify.NewSignal()}),
		state: s, store: environment.Store, now: environment.Now,
	}
	version := f.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: 1})
	s.Leadership.Begin("n0", &leadership.Leadership{Term: 1, Version: version})
	return f
}

// apply applies a record to the cache and returns its version.
func (f *fixture) apply(key string, value any) uint64 {
	f.revision++
	f.state.Cache.Apply(key, api.MustMarshal(value), f.revision)
	return f.revision
}

// The order of the steps determines which decisions are made first when few writes are available.
func TestDecisionStepsRunInOrder(t *testing.T) {
	var names []string
	for _, step := range decisionSteps {
		names = append(names, step.name)
	}
	want := []string{
		"zones", "registrations", "gang updates", "task ends", "archive", "placements", "capacity records",
		"deregistrations", "splits",
	}
	if !slices.Equal(names, want) {
		t.Errorf("steps %q, want %q", names, want)
	}
}

// The outcome of a transaction determines whether the next one may be planned on its result.
func TestCommitReportsOutcome(t *testing.T) {
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
	for _, test := range []struct {
		name    string
		before  func()
		version uint64
		want    commitOutcome
		known   bool
	}{
		{"precondition holds", func() {}, 0, committed, true},
		{"a conflicting write came first", func() {}, 0, rejected, true},
		{"no response", func() { f.store.Down = true }, 1, outcomeUnknown, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.before()
			got := f.commit(t.Context(), purposeZones, transaction(test.version), store.PriorityDecision)
			if got != test.want || got.isKnown() != test.known {
				t.Errorf("outcome %d, known: %t; want %d, %t", got, got.isKnown(), test.want, test.known)
			}
		})
	}
	if counts := f.state.Stats.Commits[purposeZones]; counts.Transactions != 3 || counts.Conflicts != 1 || counts.Failed != 1 {
		t.Errorf("counted %+v, want 3 transactions, 1 conflict, 1 failed", counts)
	}
}

func TestChooseShardPrefersMachineZoneThenFewestMachines(t *testing.T) {
	f := newFixture(t)
	for _, test := range []struct {
		name     string
		zone     string
		machines map[string]int
		want     string
	}{
		{"first shard of the zone if all are empty", "x", nil, "n0"},
		{"shard of the zone with the fewest machines", "x", map[string]int{"n0": 5, "n2": 4}, "n2"},
		{"shard of the zone although others have fewer machines", "y", map[string]int{"n1": 900}, "n1"},
		{"shard with the fewest machines if no controller is in the zone", "z", map[string]int{"n0": 2, "n1": 1, "n2": 2}, "n1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := chooseShard(f.node, test.zone, test.machines); got != test.want {
				t.Errorf("chose shard %s, want %s", got, test.want)
			}
		})
	}
}

// Machines are registered evenly in the shards of their zone. Each transaction holds as many pages
// as fit, and the remaining machines follow in the next ones. A machine with a record is not
// registered again.
func TestPlanRegistrationsSpreadsMachinesOverShardsOfTheirZone(t *testing.T) {
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
		if writes := plan.transaction.Writes(); writes == 0 || writes > f.state.Schema.MaxWrites() {
			t.Fatalf("got %d writes for %v, want 1 to %d", writes, plan.hosts, f.state.Schema.MaxWrites())
		}
		f.revision++
		f.state.Cache.ApplyCommitted(plan.transaction, f.revision)
		for _, host := range plan.hosts {
			f.state.Agents.Unregistered().Remove(host)
		}
		registered += len(plan.hosts)
	}
	if registered != machines-1 || f.state.Agents.Unregistered().Count() != 0 {
		t.Errorf("registered %d machines, want %d; %d left, want 0", registered, machines-1, f.state.Agents.Unregistered().Count())
	}
	machinesByShard := map[string]int{}
	for host, m := range f.state.Cache.Machines {
		machinesByShard[m.Shard]++
		if host != "i-0000" && m.RegisteredMS != f.now.UnixMilli() {
			t.Errorf("%s registered at %d, want %d", host, m.RegisteredMS, f.now.UnixMilli())
		}
	}
	if machinesByShard["n0"] != machines/2 || machinesByShard["n2"] != machines/2 {
		t.Errorf("machines by shard %v, want %d each for n0 and n2", machinesByShard, machines/2)
	}
}

// Guards against more preconditions than the state service takes: full pages, in which no machine is
// registered, have none.
func TestFullPagesHaveNoPreconditions(t *testing.T) {
	f := newFixture(t)
	for i := range 10 {
		host := fmt.Sprintf("i-%03d0", i)
		machine := shard.Machine{MachineType: strings.Repeat("m", f.state.Schema.MaxPageBytes()), Zone: "x"}
		f.state.Agents.Unregistered().SetRented(host, machine)
	}
	f.state.Agents.Unregistered().SetRented("i-9990", shard.Machine{MachineType: "m", Zone: "x"})
	plan := planRegistrations(f.state, f.node, f.now)
	if len(plan.refused) != 10 || len(plan.hosts) != 1 || plan.transaction.Preconditions() != 1 {
		t.Errorf("%d machines refused, %v registered with %d preconditions; want 10, one machine and one precondition",
			len(plan.refused), plan.hosts, plan.transaction.Preconditions())
	}
}

// A page that is already among the changed ones is returned again; no further page is opened once
// the changed pages exceed the size limit.
func TestPageEditsLimitOpenPages(t *testing.T) {
	f := newFixture(t)
	edits := newPageEdits(f.state, f.node)
	page, ok := edits.openPage("i-0010")
	if !ok {
		t.Fatal("the first page of the transaction was not opened, want opened")
	}
	page["i-0010"] = &shard.Machine{Zone: "x"}
	edits.add("i-0010", page)
	reopened, ok := edits.openPage("i-0010")
	if !ok || reopened["i-0010"] == nil {
		t.Errorf("page opened again with %v, %t; want the added machine, true", reopened, ok)
	}
	edits.bytes = edits.maxBytesToOpen
	if _, ok = edits.openPage("i-0020"); !ok {
		t.Error("another page was not opened at the size limit, want opened")
	}
	edits.bytes++
	if _, ok = edits.openPage("i-0020"); ok {
		t.Error("another page was opened above the size limit, want none")
	}
	if _, ok = edits.openPage("i-0010"); !ok {
		t.Error("a changed page was not returned above the size limit, want returned")
	}
}

// A job is ready to be archived once it is finished and none of its tasks is on a machine; a done
// gang whose tasks count against no quota is ready at once.
func TestFinalStateIsReadyOnceTasksHaveLeft(t *testing.T) {
	placed := map[int]*job.Placement{1: {Host: "h", Attempt: 1}}
	for _, test := range []struct {
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
			"cancelled, one task on a machine",
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
			"done gang, one task on a machine, team with a quota",
			job.Record{Spec: api.Job{Kind: api.Gang, Team: "limited"}, Gang: &job.Gang{Done: true}},
			job.TaskRange{Placements: placed},
			job.FinalState{Phase: api.JobDone, Done: 4},
			false,
		},
		{
			"done gang, one task on a machine, team without a quota",
			job.Record{Spec: api.Job{Kind: api.Gang, Team: "a"}, Gang: &job.Gang{Done: true}},
			job.TaskRange{Placements: placed},
			job.FinalState{Phase: api.JobDone, Done: 4},
			true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			const uid = "run-000001"
			test.record.Spec.UID, test.record.Spec.Tasks, test.record.RangeSize, test.record.Shard = uid, 4, 4, "n0"
			f.apply(statecache.JobKey(uid), test.record)
			f.apply(statecache.TaskRangeKey(uid, 0, 0), test.tasks)
			got, ready := finalStateOf(f.state, f.state.Cache.Jobs[uid])
			if got != test.want || ready != test.ready {
				t.Errorf("final state %+v, ready: %t; want %+v, %t", got, ready, test.want, test.ready)
			}
			if plan := planArchive(f.state); (plan.transaction != nil) != test.ready {
				t.Errorf("planned archive transaction %v, want one: %t", plan.transaction, test.ready)
			}
		})
	}
}

// Guards against a main record that outgrows a value because many task ranges finish out of order:
// neither further ends nor a cancellation could be committed then.
func TestRangesFinishOutOfOrderInRecordThatFits(t *testing.T) {
	f := newFixture(t)
	const uid, rangeSize, ranges = "run-000001", 2, 1600
	record := &job.Record{Shard: "n0", RangeSize: rangeSize, Spec: api.Job{UID: uid, Kind: api.Array, Tasks: rangeSize * ranges}}
	f.apply(statecache.JobKey(uid), record)
	for i := range ranges {
		n := 2 * i // every other range first
		if n >= ranges {
			n = n%ranges + 1
		}
		tasks := (*job.TaskRange)(nil).Copy()
		for i := range rangeSize {
			tasks.Place(i, "i-000001", 0)
		}
		f.apply(statecache.TaskRangeKey(uid, 0, n), tasks)
		f.finishTasks(t, uid, n)
		if j := f.state.Cache.Jobs[uid]; j != nil && j.Size > f.state.Schema.MaxRecordBytes() {
			t.Fatalf("the main record has %d bytes, want at most %d", j.Size, f.state.Schema.MaxRecordBytes())
		}
	}
	for range ranges {
		if f.state.Cache.Jobs[uid] == nil {
			return
		}
		plan := planArchive(f.state)
		if plan.transaction == nil {
			t.Fatal("the array is not completed although all its tasks are done, want a transaction")
		}
		f.revision++
		f.state.Cache.ApplyCommitted(plan.transaction, f.revision)
	}
	t.Error("the array is not archived, want it archived")
}

// Guards against an array that is never done: the record of one with a single, inline task range that
// nearly fills a value is complete with that range, however large it is.
func TestInlineArrayIsDoneWithItsLastTask(t *testing.T) {
	f := newFixture(t)
	const uid = "run-000001"
	spec := api.Job{UID: uid, Kind: api.Array, Tasks: 64, Image: strings.Repeat("i", 2000)}
	record := &job.Record{Shard: "n0", RangeSize: spec.Tasks, Inline: true, Spec: spec, InlineRange: (*job.TaskRange)(nil).Copy()}
	for i := range record.Spec.Tasks {
		record.InlineRange.Place(i, "i-000001", 0)
	}
	f.apply(statecache.JobKey(uid), record)
	if f.state.Cache.Jobs[uid].Size <= f.state.Schema.MaxGrowableBytes() {
		t.Fatalf("the record has %d bytes, want more than %d", f.state.Cache.Jobs[uid].Size, f.state.Schema.MaxGrowableBytes())
	}
	f.finishTasks(t, uid, 0)
	if f.state.Cache.Jobs[uid] != nil {
		t.Error("the array is not archived with the end of its last task, want it archived")
	}
}

// finishTasks commits the ends of all tasks of a task range.
func (f *fixture) finishTasks(t *testing.T, uid string, index int) {
	t.Helper()
	j := f.state.Cache.Jobs[uid]
	var ends []agent.EndedTask
	for i, placement := range j.Ranges[index].Record.Placements {
		task := &statecache.PlacedTask{UID: uid, RangeIndex: index, Index: i, Placement: placement}
		ends = append(ends, agent.EndedTask{Task: task, Attempt: agent.EndedAttempt{Attempt: placement.Attempt, Done: true}})
	}
	editor := f.state.Schema.NewRecordEditor()
	addTaskEnds(editor, j, schema.RangeID{UID: uid, Index: index}, ends)
	transaction := editor.BuildTransaction()
	if editor.HasOversizedRecord {
		t.Fatalf("the ends in task range %d can't be committed: a record is too large", index)
	}
	f.revision++
	f.state.Cache.ApplyCommitted(transaction, f.revision)
}
