package reconcile

import (
	"log/slog"
	"reflect"
	"testing"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/estimate"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

const (
	host = "i-000001"
	uid  = "reader-1"
	term = 3
)

// fixture is the leader of a shard with one machine, where an attempt of each of two tasks of a
// job is committed. The machine has room for both.
type fixture struct {
	*Reconciler
	now     time.Time
	record  *job.Record
	version uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &config.Settings{HostName: "n0"}
	settings.Facts.Size = 1
	settings.Facts.Workers = config.WorkerTimes{ReportS: 1, LeaseS: 9, CancelS: 40}
	f := &fixture{now: time.Unix(1_800_000_000, 0)}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return f.now }
	cache, machineTypes := statecache.New(info.Log), catalog.New(info)
	machineTypes.SetMachineTypes([]cloud.MachineType{{Name: "m", CPUs: 8, MemGB: 64}})
	forms := schema.New(info, cache, nil)
	leaders := leadership.NewTable(info, cache, forms)
	wake := notify.NewSignal()
	agents := agent.NewRegistry(agent.Deps{Node: info, Cache: cache, Leadership: leaders, Catalog: machineTypes, Wake: wake})
	f.Reconciler = New(Deps{
		Node: info, Cache: cache, Leadership: leaders, Catalog: machineTypes, Agents: agents, Estimates: estimate.New(info),
		Zones: zonestate.New(zonestate.Deps{
			Node: info, Cache: cache, Schema: forms, Leadership: leaders, Catalog: machineTypes, Agents: agents,
		}),
		Wake: wake,
	})
	cache.Loaded, cache.ChangesReadAt = true, f.now
	leaders.BeginLease(1)
	leaders.ExtendLease(f.now.Add(time.Minute))
	version := f.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: term})
	leaders.Begin("n0", &leadership.Leadership{Term: term, Version: version, PredecessorAnswersUntil: f.now})
	page := statecache.PageID(host, statecache.CoarsestPageSuffixLen)
	f.apply(statecache.MachinePageKey(page), shard.MachinePage{host: {Shard: "n0", MachineType: "m", Zone: "x"}})
	f.record = &job.Record{
		Spec: api.Job{
			UID: uid, Kind: api.Array, Priority: api.Standard, Tasks: 2, CPUs: 4, MemGB: 16, SaveS: 2, CheckpointS: 10,
		},
		Shard: "n0",
	}
	f.record.ChooseLayout(64, 500, false)
	f.record.InlineRange = (*job.TaskRange)(nil).Copy()
	f.record.InlineRange.Place(0, host, 0)
	f.record.InlineRange.Place(1, host, 0)
	f.applyJob()
	return f
}

// apply applies a record and returns its version.
func (f *fixture) apply(key string, value any) uint64 {
	f.version++
	f.cache.Apply(key, api.JSON(value), f.version)
	return f.version
}

// applyJob applies the job's record as it is now.
func (f *fixture) applyJob() { f.apply(statecache.JobKey(uid), f.record) }

// heartbeat is the answer to a heartbeat of the worker with the tasks.
func (f *fixture) heartbeat(sequence uint64, tasks ...api.TaskState) []api.Command {
	beat := &api.Heartbeat{
		Host: host, MachineType: "m", AgentEpoch: 1, Sequence: sequence, Token: shard.FencingToken(term, 0), Tasks: tasks,
	}
	worker := f.agents.Ensure(host, f.leadership.InForce("n0"))
	f.agents.AcceptHeartbeat(host, worker, beat)
	return f.CommandsFor(beat, worker, f.now)
}

// attempt names the committed attempt of a task of the job: attempts are counted over the range.
func attempt(index int) agent.AttemptID {
	return agent.AttemptID{Task: api.TaskName(uid, index), Attempt: uint64(index) + 1}
}

// task is the state of the committed attempt of a task of the job.
func task(index int, phase api.TaskPhase, cause api.ExitCause) api.TaskState {
	id := attempt(index)
	return api.TaskState{Task: id.Task, Attempt: id.Attempt, Phase: phase, Cause: cause}
}

// command is a command for the committed attempt of a task of the job.
func command(action api.CommandAction, index int) api.Command { return attempt(index).Command(action) }

// stop is the command that stops the committed attempt of a task of the job.
func stop(index int, graceS float64) api.Command {
	stopped := command(api.Stop, index)
	stopped.GraceS = &graceS
	return stopped
}

// What is committed and not reported is launched, what is reported and not committed is cleared or
// stopped, and what has to leave is stopped with the time that its save needs.
func TestCommandsMakeUpTheDifference(t *testing.T) {
	running, ended := task(0, api.TaskRunning, ""), task(0, api.TaskEnded, api.CauseDone)
	unknown := api.TaskState{Task: "other-1/0", Attempt: 7, Phase: api.TaskRunning}
	second := task(1, api.TaskRunning, "")
	cancel := func(f *fixture) { f.record.Cancelled = true; f.applyJob() }
	cases := []struct {
		name     string
		change   func(f *fixture)
		reported []api.TaskState
		want     []api.Command
	}{
		{"launches what is not there", nil, []api.TaskState{running}, []api.Command{command(api.Launch, 1)}},
		{"nothing if all run", nil, []api.TaskState{running, second}, []api.Command{}},
		{"an end that is not committed stays listed", nil, []api.TaskState{ended, second}, []api.Command{}},
		{"clears what has ended and is not committed", func(f *fixture) {
			f.record.InlineRange.EndAttempt(0, 1, true, false)
			f.applyJob()
		}, []api.TaskState{ended, second}, []api.Command{command(api.Clear, 0)}},
		{"stops what is not committed at once", nil, []api.TaskState{running, second, unknown}, []api.Command{
			{Action: api.Stop, Task: unknown.Task, Attempt: 7, GraceS: new(float64)},
		}},
		{"stops what has to leave with time to save", func(f *fixture) {
			f.record.InlineRange.PlacementOf(0).Stopping = true
			f.applyJob()
		}, []api.TaskState{running, second}, []api.Command{stop(0, 4)}},
		{"stops cancelled tasks without saving", cancel, []api.TaskState{running}, []api.Command{stop(0, 0)}},
		{"as one that may not act: only cancelled ones", func(f *fixture) {
			cancel(f)
			f.leadership.ExtendLease(f.now)
		}, []api.TaskState{running, second, unknown}, []api.Command{stop(0, 0), stop(1, 0)}},
		{"no launch without room", func(f *fixture) {
			f.catalog.SetMachineTypes([]cloud.MachineType{{Name: "m", CPUs: 7, MemGB: 64}})
		}, []api.TaskState{running}, []api.Command{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			if c.change != nil {
				c.change(f)
			}
			got := f.heartbeat(1, c.reported...)
			if len(got) == 2 && got[0].Task > got[1].Task { // in the order of a map
				got[0], got[1] = got[1], got[0]
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %s, want %s", api.JSON(got), api.JSON(c.want))
			}
		})
	}
}

// Launches that are answered again and again without being seen count as ignored: the worker is
// unresponsive, and the attempts are over.
func TestIgnoredLaunches(t *testing.T) {
	f := newFixture(t)
	for sequence := range uint64(agent.MaxUnacknowledgedAnswers) {
		if got := f.heartbeat(sequence + 1); len(got) != 2 {
			t.Fatalf("heartbeat %d: %s", sequence+1, api.JSON(got))
		}
	}
	got := f.heartbeat(agent.MaxUnacknowledgedAnswers + 1)
	worker := f.agents.Agent(host)
	if len(got) != 0 || !worker.Unresponsive() || len(worker.EndedAttempts) != 2 {
		t.Errorf("commands %s, unresponsive %t, ended %v", api.JSON(got), worker.Unresponsive(), worker.EndedAttempts)
	}
}

// A heartbeat is answered only while nobody else can be answering, and only if it is new.
func TestAnswerHeartbeat(t *testing.T) {
	valid := api.Heartbeat{Host: host, MachineType: "m", AgentEpoch: 1, Sequence: 5, Token: shard.FencingToken(term, 0)}
	const ok, misdirected, busy = 200, 421, 503
	cases := []struct {
		name   string
		change func(f *fixture, heartbeat *api.Heartbeat)
		want   int
	}{
		{"valid", func(*fixture, *api.Heartbeat) {}, ok},
		{"older term", func(_ *fixture, h *api.Heartbeat) { h.Token = shard.FencingToken(term-1, 0) }, ok},
		{"higher term", func(_ *fixture, h *api.Heartbeat) { h.Token = shard.FencingToken(term+1, 0) }, misdirected},
		{"replica not whole", func(f *fixture, _ *api.Heartbeat) { f.cache.Loaded = false }, busy},
		{"unknown machine", func(_ *fixture, h *api.Heartbeat) { h.Host = "i-000002" }, busy},
		{"copy", func(f *fixture, h *api.Heartbeat) { f.AnswerHeartbeat(h, f.now) }, busy},
		{"shard lost", func(f *fixture, _ *api.Heartbeat) { f.leadership.End("n0") }, misdirected},
		{"lease lost", func(f *fixture, _ *api.Heartbeat) { f.leadership.ClearLease() }, misdirected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, heartbeat := newFixture(t), valid
			c.change(f, &heartbeat)
			if response := f.AnswerHeartbeat(&heartbeat, f.now); response.Status != c.want {
				t.Errorf("status %d, want %d: %s", response.Status, c.want, response.Body)
			}
		})
	}
}
