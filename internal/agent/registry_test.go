package agent

import (
	"log/slog"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

const (
	testHost = "i-000001"
	testUID  = "reader-1"
	testTerm = 3
)

// registryFixture is the registry of a leader of a shard with one machine, on which a task of a
// job is committed.
type registryFixture struct {
	*Registry
	commands *DirectCommands
	now      time.Time
	record   *job.Record
	version  uint64
}

func newRegistryFixture(t *testing.T) *registryFixture {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Members: []config.Member{{HostName: "n1"}}}
	settings.Facts.Size = 2
	settings.Facts.Workers = config.WorkerTimes{ReportS: 1, LeaseS: 9, CancelS: 40}
	f := &registryFixture{now: time.Unix(1_800_000_000, 0)}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return f.now }
	cache := statecache.New(info.Log)
	cache.Loaded, cache.ChangesReadAt = true, f.now
	leaders := leadership.NewTable(info, cache, schema.New(info, cache, nil))
	leaders.BeginLease(1)
	leaders.ExtendLease(f.now.Add(time.Hour))
	f.Registry = NewRegistry(Deps{
		Node: info, Cache: cache, Leadership: leaders, Catalog: catalog.New(info), Wake: notify.NewSignal(),
	})
	f.commands = NewDirectCommands(f.Registry)
	page := statecache.PageID(testHost, statecache.CoarsestPageSuffixLen)
	f.apply(statecache.MachinePageKey(page), shard.MachinePage{testHost: {Shard: "n0", Addr: "worker:1"}})
	f.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: testTerm})
	f.record = &job.Record{Spec: api.Job{UID: testUID, Kind: api.Array, Priority: api.Standard, Tasks: 1}, Shard: "n0"}
	f.record.ChooseLayout(64, 500, false)
	f.record.InlineRange = (*job.TaskRange)(nil).Copy()
	f.record.InlineRange.Place(0, testHost, 0)
	f.apply(statecache.JobKey(testUID), f.record)
	if !f.BeginLeadership(AcquiredShard{Shard: "n0", Term: testTerm, PredecessorsStopped: true}) {
		t.Fatal("the leadership did not begin")
	}
	return f
}

func (f *registryFixture) apply(key string, value any) {
	f.version++
	f.cache.Apply(key, api.JSON(value), f.version)
}

// hear has the worker send a heartbeat with the tasks.
func (f *registryFixture) hear(tasks ...api.TaskState) {
	heartbeat := &api.Heartbeat{Host: testHost, AgentEpoch: 1, Sequence: 1, Token: f.Agent(testHost).Token(), Tasks: tasks}
	f.AcceptHeartbeat(testHost, f.Agent(testHost), heartbeat)
}

// A leadership begins with an agent for each machine, whose worker an earlier leader may answer
// for the grace if it is in doubt; it does not begin if another has acquired the shard since.
func TestBeginLeadership(t *testing.T) {
	f := newRegistryFixture(t)
	grace := f.node.Settings.LeadershipGrace()
	for _, c := range []struct {
		name     string
		acquired AcquiredShard
		begins   bool
		answered time.Time
	}{
		{"clean", AcquiredShard{Shard: "n0", Term: testTerm, PredecessorsStopped: true}, true, f.now},
		{"in doubt", AcquiredShard{Shard: "n0", Term: testTerm}, true, f.now.Add(grace)},
		{"overtaken", AcquiredShard{Shard: "n0", Term: testTerm - 1, PredecessorsStopped: true}, false, time.Time{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRegistryFixture(t)
			f.DropLeadership("n0")
			begins, worker := f.BeginLeadership(c.acquired), f.Agent(testHost)
			if begins != c.begins || f.leadership.Leads("n0") != c.begins || (worker != nil) != c.begins {
				t.Fatalf("begins %t, leads %t, agent %v", begins, f.leadership.Leads("n0"), worker)
			}
			if worker != nil && !worker.LastAnswered.Equal(c.answered) {
				t.Errorf("answered until %s, want %s", worker.LastAnswered, c.answered)
			}
		})
	}
}

// A worker is fenced until it has seen the term, once in a heartbeat interval and as long as
// there are slots.
func TestFence(t *testing.T) {
	f := newRegistryFixture(t)
	fence := f.commands.PrepareFence(testHost)
	if fence == nil || fence.Addr != "worker:1" || fence.Batch.Token != shard.FencingToken(testTerm, 0) {
		t.Fatalf("fence %+v", fence)
	}
	if f.commands.PrepareFence(testHost) != nil {
		t.Error("fenced again at once")
	}
	f.now = f.now.Add(f.node.Settings.HeartbeatInterval())
	for range minSlots - 1 {
		f.commands.fenceSlots <- struct{}{}
	}
	if f.commands.PrepareFence(testHost) != nil {
		t.Error("fenced without a slot")
	}
	fence.Release()
	if f.commands.PrepareFence(testHost) == nil {
		t.Error("not fenced although a slot was released")
	}
	f.hear()
	f.now = f.now.Add(f.node.Settings.HeartbeatInterval())
	if f.commands.PrepareFence(testHost) != nil {
		t.Error("fenced although it has seen the term")
	}
}

// A heartbeat is requested by a stop, or for a launch by a raised token, from workers that obey.
func TestDueHeartbeatRequests(t *testing.T) {
	running := api.TaskState{Task: api.TaskName(testUID, 0), Attempt: 1, Phase: api.TaskRunning}
	cancel := func(f *registryFixture) {
		f.record.Cancelled = true
		f.apply(statecache.JobKey(testUID), f.record)
	}
	for _, c := range []struct {
		name   string
		change func(f *registryFixture)
		due    bool
		raises uint64
	}{
		{"launch", func(f *registryFixture) { f.hear() }, true, 1},
		{"launch soon after a raise", func(f *registryFixture) {
			f.hear()
			f.Agent(testHost).RaiseToken(f.now.Add(5 * time.Second))
		}, false, 1},
		{"stop", func(f *registryFixture) { f.hear(running); cancel(f) }, true, 0},
		{"nothing new", func(f *registryFixture) { f.hear(running) }, false, 0},
		{"not fenced", func(*registryFixture) {}, false, 0},
		{"unresponsive", func(f *registryFixture) { f.hear(); f.Agent(testHost).BecomeUnresponsive(f.now) }, false, 1},
		{"lease of the controller over", func(f *registryFixture) { f.hear(); f.leadership.ExtendLease(f.now) }, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRegistryFixture(t)
			c.change(f)
			f.now = f.now.Add(5 * time.Second) // the term itself was news until now
			f.commands.RequestHeartbeat(testHost)
			due, worker := f.commands.DueHeartbeatRequests(f.now), f.Agent(testHost)
			if (len(due) == 1) != c.due || worker.TokenSequence != c.raises {
				t.Errorf("%d due, %d raises; want due %t, %d raises", len(due), worker.TokenSequence, c.due, c.raises)
			}
		})
	}
}

// An unknown machine is registered only after it was listed for some time, one that failed is
// cordoned, and one that is missing is counted.
func TestCloudListing(t *testing.T) {
	const lag = 2 * time.Second
	f := newRegistryFixture(t)
	listed := []cloud.Host{{UID: testHost, Phase: cloud.MachineRunning}, {UID: "i-000002", Phase: cloud.MachineRunning}}
	f.Listing().Update(listed, f.now, lag)
	f.now = f.now.Add(patienceLags * lag)
	f.Listing().Update(listed, f.now, lag)
	if f.Unregistered().Count() != 0 || !f.Listing().HasOperational("i-000002") {
		t.Fatal("registered too early, or not listed")
	}
	f.now = f.now.Add(1)
	listed[0].Phase = cloud.MachineFailed
	f.Listing().Update(listed, f.now, lag)
	if f.Unregistered().Count() != 1 || !f.Agent(testHost).Cordoned || f.Listing().HasOperational(testHost) {
		t.Errorf("%d unregistered, cordoned %t", f.Unregistered().Count(), f.Agent(testHost).Cordoned)
	}
	f.Listing().Update(listed[1:], f.now, lag)
	if missing := f.Agent(testHost).MissingFromLists; missing != missingWhenFailed+1 {
		t.Errorf("missing from %d lists", missing)
	}
}
