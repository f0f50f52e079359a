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

// fixture is the leader of a shard with one machine. A job has two tasks, and one attempt of each
// is committed for the machine, which has capacity for both.
type fixture struct {
	*Reconciler
	now     time.Time
	record  *job.Record
	version uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := &config.Settings{HostName: "n0"}
	settings.Facts.ControllerCount = 1
	settings.Facts.Workers = config.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 9, CancelTimeoutS: 40}
	f := &fixture{now: time.Unix(1_800_000_000, 0)}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
	info.Now = func() time.Time { return f.now }
	cache, machineTypes := statecache.New(info.Log), catalog.New(info)
	machineTypes.SetMachineTypes([]cloud.MachineType{{Name: "m", CPUs: 8, MemGB: 64}})
	schemaState := schema.New(info, cache, nil)
	leaderships := leadership.NewTable(info, cache, schemaState)
	wake := notify.NewSignal()
	agents := agent.NewRegistry(agent.Deps{Node: info, Cache: cache, Leadership: leaderships, Catalog: machineTypes, Wake: wake})
	f.Reconciler = New(Deps{
		Node: info, Cache: cache, Leadership: leaderships, Catalog: machineTypes, Agents: agents, Estimates: estimate.New(info),
		Zones: zonestate.New(zonestate.Deps{
			Node: info, Cache: cache, Schema: schemaState, Leadership: leaderships, Catalog: machineTypes, Agents: agents,
		}),
		Wake: wake,
	})
	cache.Loaded, cache.ChangesReadAt = true, f.now
	leaderships.BeginLease(1)
	leaderships.ExtendLease(f.now.Add(time.Minute))
	version := f.apply(statecache.LeaderKey("n0"), shard.LeaderRecord{Node: "n0", Incarnation: info.Incarnation, Term: term})
	leaderships.Begin("n0", &leadership.Leadership{Term: term, Version: version, PredecessorAnswersUntil: f.now})
	page := statecache.PageID(host, statecache.CoarsestPageSuffixLen)
	f.apply(statecache.MachinePageKey(page), shard.MachinePage{host: {Shard: "n0", MachineType: "m", Zone: "x"}})
	f.record = &job.Record{
		Spec: api.Job{
			UID: uid, Kind: api.Array, Priority: api.Standard, Tasks: 2, CPUs: 4, MemGB: 16, SaveDurationS: 2, CheckpointIntervalS: 10,
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
	f.cache.Apply(key, api.MustMarshal(value), f.version)
	return f.version
}

// applyJob applies the job's record as it is now.
func (f *fixture) applyJob() { f.apply(statecache.JobKey(uid), f.record) }

// commandsForHeartbeat returns the commands for a heartbeat of the worker that reports the tasks.
func (f *fixture) commandsForHeartbeat(sequence uint64, tasks ...api.TaskState) []api.Command {
	heartbeat := &api.Heartbeat{
		Host: host, MachineType: "m", AgentEpoch: 1, Sequence: sequence, Token: shard.FencingToken(term, 0), Tasks: tasks,
	}
	worker := f.agents.Ensure(host, f.leadership.InForce("n0"))
	f.agents.AcceptHeartbeat(host, worker, heartbeat)
	return f.CommandsFor(heartbeat, worker, f.now)
}

// attempt identifies the committed attempt of a task of the job. Attempts are numbered across the
// task range.
func attempt(index int) agent.AttemptID {
	return agent.AttemptID{Task: api.TaskName(uid, index), Attempt: uint64(index) + 1}
}

// task returns the reported state of the committed attempt of a task of the job.
func task(index int, phase api.TaskPhase, cause api.ExitCause) api.TaskState {
	id := attempt(index)
	return api.TaskState{Task: id.Task, Attempt: id.Attempt, Phase: phase, Cause: cause}
}

// command returns a command for the committed attempt of a task of the job.
func command(action api.CommandAction, index int) api.Command { return attempt(index).Command(action) }

// stop returns the command that stops the committed attempt of a task of the job.
func stop(index int, graceS float64) api.Command {
	stopCommand := command(api.Stop, index)
	stopCommand.GraceS = &graceS
	return stopCommand
}

// A committed attempt that is not reported is launched; a reported attempt that is not committed is
// cleared or stopped; a committed attempt that must stop is stopped with the time that it needs to
// save.
func TestCommandsReconcileReportedTasksWithCommittedTasks(t *testing.T) {
	running, ended := task(0, api.TaskRunning, ""), task(0, api.TaskEnded, api.CauseDone)
	uncommitted := api.TaskState{Task: "other-1/0", Attempt: 7, Phase: api.TaskRunning}
	second := task(1, api.TaskRunning, "")
	cancel := func(f *fixture) { f.record.Cancelled = true; f.applyJob() }
	cases := []struct {
		name     string
		change   func(f *fixture)
		reported []api.TaskState
		want     []api.Command
	}{
		{"launches a committed attempt that is not reported", nil, []api.TaskState{running}, []api.Command{command(api.Launch, 1)}},
		{"sends no command if all committed attempts run", nil, []api.TaskState{running, second}, []api.Command{}},
		{"does not clear an attempt whose end is not committed", nil, []api.TaskState{ended, second}, []api.Command{}},
		{"clears an attempt whose end is committed", func(f *fixture) {
			f.record.InlineRange.EndAttempt(0, 1, true, false)
			f.applyJob()
		}, []api.TaskState{ended, second}, []api.Command{command(api.Clear, 0)}},
		{"stops an attempt that is not committed, without time to save", nil, []api.TaskState{running, second, uncommitted}, []api.Command{
			{Action: api.Stop, Task: uncommitted.Task, Attempt: 7, GraceS: new(float64)},
		}},
		{"stops an attempt that is marked as stopping, with time to save", func(f *fixture) {
			f.record.InlineRange.PlacementOf(0).Stopping = true
			f.applyJob()
		}, []api.TaskState{running, second}, []api.Command{stop(0, 4)}},
		{"stops cancelled tasks without saving", cancel, []api.TaskState{running}, []api.Command{stop(0, 0)}},
		{"stops only cancelled tasks if the leader's lease has expired", func(f *fixture) {
			cancel(f)
			f.leadership.ExtendLease(f.now)
		}, []api.TaskState{running, second, uncommitted}, []api.Command{stop(0, 0), stop(1, 0)}},
		{"does not launch an attempt that exceeds the free capacity", func(f *fixture) {
			f.catalog.SetMachineTypes([]cloud.MachineType{{Name: "m", CPUs: 7, MemGB: 64}})
		}, []api.TaskState{running}, []api.Command{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			if c.change != nil {
				c.change(f)
			}
			got := f.commandsForHeartbeat(1, c.reported...)
			if len(got) == 2 && got[0].Task > got[1].Task { // the order of the commands is random
				got[0], got[1] = got[1], got[0]
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %s, want %s", api.MustMarshal(got), api.MustMarshal(c.want))
			}
		})
	}
}

// If several responses launch attempts that the worker never reports, the worker counts as ignoring
// launches: it becomes unresponsive, and its attempts end.
func TestWorkerThatIgnoresLaunchesBecomesUnresponsive(t *testing.T) {
	f := newFixture(t)
	for sequence := range uint64(agent.MaxIgnoredLaunches) {
		if got := f.commandsForHeartbeat(sequence + 1); len(got) != 2 {
			t.Fatalf("heartbeat %d: got %d commands, want 2: %s", sequence+1, len(got), api.MustMarshal(got))
		}
	}
	got := f.commandsForHeartbeat(agent.MaxIgnoredLaunches + 1)
	worker := f.agents.Agent(host)
	if len(got) != 0 || !worker.Unresponsive() || len(worker.EndedAttempts) != 2 {
		t.Errorf("got commands %s, unresponsive %t, ended attempts %v; want no commands, true, 2 attempts",
			api.MustMarshal(got), worker.Unresponsive(), worker.EndedAttempts)
	}
}

// A heartbeat is answered only if no peer may be answering the worker, and only if it
// is new.
func TestAnswerHeartbeatStatus(t *testing.T) {
	valid := api.Heartbeat{Host: host, MachineType: "m", AgentEpoch: 1, Sequence: 5, Token: shard.FencingToken(term, 0)}
	const ok, misdirected, busy = 200, 421, 503
	cases := []struct {
		name   string
		change func(f *fixture, heartbeat *api.Heartbeat)
		want   int
	}{
		{"valid", func(*fixture, *api.Heartbeat) {}, ok},
		{"token of an older term", func(_ *fixture, h *api.Heartbeat) { h.Token = shard.FencingToken(term-1, 0) }, ok},
		{"token of a higher term", func(_ *fixture, h *api.Heartbeat) { h.Token = shard.FencingToken(term+1, 0) }, misdirected},
		{"cache not loaded", func(f *fixture, _ *api.Heartbeat) { f.cache.Loaded = false }, busy},
		{"unknown machine", func(_ *fixture, h *api.Heartbeat) { h.Host = "i-000002" }, busy},
		{"copy of an earlier heartbeat", func(f *fixture, h *api.Heartbeat) { f.AnswerHeartbeat(h, f.now) }, busy},
		{"shard lost", func(f *fixture, _ *api.Heartbeat) { f.leadership.End("n0") }, misdirected},
		{"lease lost", func(f *fixture, _ *api.Heartbeat) { f.leadership.ClearLease() }, misdirected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, heartbeat := newFixture(t), valid
			c.change(f, &heartbeat)
			if response := f.AnswerHeartbeat(&heartbeat, f.now); response.Status != c.want {
				t.Errorf("got status %d, want %d; body %s", response.Status, c.want, response.Body)
			}
		})
	}
}
