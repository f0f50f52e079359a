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

// registryFixture is the registry of the leader of a shard with one machine, on which one task of
// a job is placed.
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
	settings.Facts.ControllerCount = 2
	settings.Facts.Workers = config.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 9, CancelTimeoutS: 40}
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
	f.applyRecord(statecache.MachinePageKey(page), shard.MachinePage{testHost: {Shard: "n0", Addr: "worker:1"}})
	f.applyRecord(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: testTerm})
	f.record = &job.Record{Spec: api.Job{UID: testUID, Kind: api.Array, Priority: api.Standard, Tasks: 1}, Shard: "n0"}
	f.record.ChooseLayout(64, 500, false)
	f.record.InlineRange = (*job.TaskRange)(nil).Copy()
	f.record.InlineRange.Place(0, testHost, 0)
	f.applyRecord(statecache.JobKey(testUID), f.record)
	if !f.BeginLeadership(AcquiredShard{Shard: "n0", Term: testTerm, PredecessorsStopped: true}) {
		t.Fatal("BeginLeadership returned false, want true")
	}
	return f
}

func (f *registryFixture) applyRecord(key string, value any) {
	f.version++
	f.cache.Apply(key, api.MustMarshal(value), f.version)
}

// receiveHeartbeat processes a heartbeat of the worker that reports the tasks.
func (f *registryFixture) receiveHeartbeat(tasks ...api.TaskState) {
	heartbeat := &api.Heartbeat{Host: testHost, AgentEpoch: 1, Sequence: 1, Token: f.Agent(testHost).Token(), Tasks: tasks}
	f.AcceptHeartbeat(testHost, f.Agent(testHost), heartbeat)
}

// A leadership begins with an agent for each machine. If an earlier leader may still answer, the
// last response counts as sent at the end of the grace period. The leadership does not begin if
// a peer has acquired the shard since.
func TestBeginLeadershipCreatesAgents(t *testing.T) {
	f := newRegistryFixture(t)
	grace := f.node.Settings.LeadershipGracePeriod()
	for _, test := range []struct {
		name         string
		acquired     AcquiredShard
		wantBegun    bool
		wantAnswered time.Time
	}{
		{"predecessors stopped", AcquiredShard{Shard: "n0", Term: testTerm, PredecessorsStopped: true}, true, f.now},
		{"predecessor may answer", AcquiredShard{Shard: "n0", Term: testTerm}, true, f.now.Add(grace)},
		{"superseded", AcquiredShard{Shard: "n0", Term: testTerm - 1, PredecessorsStopped: true}, false, time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newRegistryFixture(t)
			f.EndLeadership("n0")
			begun, worker := f.BeginLeadership(test.acquired), f.Agent(testHost)
			if begun != test.wantBegun || f.leadership.Leads("n0") != test.wantBegun || (worker != nil) != test.wantBegun {
				t.Fatalf("begun %t, leads %t, agent %v; want begun %t", begun, f.leadership.Leads("n0"), worker, test.wantBegun)
			}
			if worker != nil && !worker.LastAnswered.Equal(test.wantAnswered) {
				t.Errorf("LastAnswered is %s, want %s", worker.LastAnswered, test.wantAnswered)
			}
		})
	}
}

// A worker is sent a fence until it has shown the term, at most once per heartbeat interval and
// only if a slot is free.
func TestPrepareFenceOncePerIntervalUntilTermIsShown(t *testing.T) {
	f := newRegistryFixture(t)
	fence := f.commands.PrepareFence(testHost)
	if fence == nil || fence.Addr != "worker:1" || fence.Batch.Token != shard.FencingToken(testTerm, 0) {
		t.Fatalf("fence %+v, want one to worker:1 with the first token of the term", fence)
	}
	if f.commands.PrepareFence(testHost) != nil {
		t.Error("a second fence was prepared within a heartbeat interval, want none")
	}
	f.now = f.now.Add(f.node.Settings.HeartbeatInterval())
	for range minSlots - 1 {
		f.commands.fenceSlots <- struct{}{}
	}
	if f.commands.PrepareFence(testHost) != nil {
		t.Error("a fence was prepared without a free slot, want none")
	}
	fence.Release()
	if f.commands.PrepareFence(testHost) == nil {
		t.Error("no fence was prepared after a slot was released, want one")
	}
	f.receiveHeartbeat()
	f.now = f.now.Add(f.node.Settings.HeartbeatInterval())
	if f.commands.PrepareFence(testHost) != nil {
		t.Error("a fence was prepared for a worker that has shown the term, want none")
	}
}

// A worker is made to send a heartbeat by a stop command or, for a launch, by a raised token, and
// only if it carries out commands.
func TestDueHeartbeatRequests(t *testing.T) {
	running := api.TaskState{Task: api.TaskName(testUID, 0), Attempt: 1, Phase: api.TaskRunning}
	cancelJob := func(f *registryFixture) {
		f.record.Cancelled = true
		f.applyRecord(statecache.JobKey(testUID), f.record)
	}
	for _, test := range []struct {
		name       string
		change     func(f *registryFixture)
		wantDue    bool
		wantRaises uint64
	}{
		{"launch", func(f *registryFixture) { f.receiveHeartbeat() }, true, 1},
		{"launch soon after a raise", func(f *registryFixture) {
			f.receiveHeartbeat()
			f.Agent(testHost).RaiseToken(f.now.Add(5 * time.Second))
		}, false, 1},
		{"stop", func(f *registryFixture) { f.receiveHeartbeat(running); cancelJob(f) }, true, 0},
		{"nothing changed", func(f *registryFixture) { f.receiveHeartbeat(running) }, false, 0},
		{"not fenced", func(*registryFixture) {}, false, 0},
		{"unresponsive", func(f *registryFixture) { f.receiveHeartbeat(); f.Agent(testHost).BecomeUnresponsive(f.now) }, false, 1},
		{"lease of the controller expired", func(f *registryFixture) { f.receiveHeartbeat(); f.leadership.ExtendLease(f.now) }, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newRegistryFixture(t)
			test.change(f)
			f.now = f.now.Add(5 * time.Second) // more than WorkerLease()/2, so that showing the term is no recent token change
			f.commands.RequestHeartbeat(testHost)
			due, worker := f.commands.DueHeartbeatRequests(f.now), f.Agent(testHost)
			if (len(due) == 1) != test.wantDue || worker.TokenSequence != test.wantRaises {
				t.Errorf("%d requests due, %d raises; want due %t, %d raises",
					len(due), worker.TokenSequence, test.wantDue, test.wantRaises)
			}
		})
	}
}

// A machine without a record is added to the unregistered ones only after it was listed for some
// time, a machine listed as failed is cordoned, and lists without a machine are counted.
func TestCloudListingComparesWithRecords(t *testing.T) {
	const lag = 2 * time.Second
	f := newRegistryFixture(t)
	listed := []cloud.Machine{{UID: testHost, Phase: cloud.MachineRunning}, {UID: "i-000002", Phase: cloud.MachineRunning}}
	f.Listing().Update(listed, f.now, lag)
	f.now = f.now.Add(mismatchDelayLags * lag)
	f.Listing().Update(listed, f.now, lag)
	if f.Unregistered().Count() != 0 || !f.Listing().HasOperational("i-000002") {
		t.Fatalf("%d unregistered machines, i-000002 operational %t; want 0, true",
			f.Unregistered().Count(), f.Listing().HasOperational("i-000002"))
	}
	f.now = f.now.Add(1)
	listed[0].Phase = cloud.MachineFailed
	f.Listing().Update(listed, f.now, lag)
	if f.Unregistered().Count() != 1 || !f.Agent(testHost).Cordoned || f.Listing().HasOperational(testHost) {
		t.Errorf("%d unregistered machines, failed machine cordoned %t, operational %t; want 1, true, false",
			f.Unregistered().Count(), f.Agent(testHost).Cordoned, f.Listing().HasOperational(testHost))
	}
	f.Listing().Update(listed[1:], f.now, lag)
	if missing := f.Agent(testHost).MissingFromLists; missing != failedMachineMisses+1 {
		t.Errorf("machine is missing from %d lists, want %d", missing, failedMachineMisses+1)
	}
}
