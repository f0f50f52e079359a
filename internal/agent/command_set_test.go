package agent

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// reportedTask is a task of the model of a worker's machine.
type reportedTask struct {
	api.TaskState
	urgency Urgency
	stop    bool // it is to be stopped
	saves   bool // it saves its progress when it is stopped
	service bool // it is a replica, which does not end by itself
}

// drawReportedTasks draws the tasks on a machine: so many that their entries take about the given
// share of a heartbeat.
func drawReportedTasks(t *rapid.T) []reportedTask {
	nameLength := rapid.IntRange(1, 24).Draw(t, "name length")
	share := rapid.SampledFrom([]float64{0.1, 0.5, 0.9, 0.97, 1, 1.3}).Draw(t, "share")
	service := rapid.Bool().Draw(t, "service")
	entryBytes := api.TaskEntryBytes(strings.Repeat("1", nameLength+len("/1000"))) + 1
	if !service {
		entryBytes += api.EndGrowth
	}
	count := int(share * api.MaxTasksBytes / float64(entryBytes))
	stopPercent := rapid.SampledFrom([]int{0, 1, 50, 100}).Draw(t, "stop percent")
	removedPercent := rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "removed percent")
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	tasks := make([]reportedTask, count)
	for i := range tasks {
		task := reportedTask{urgency: StopCommitted, service: service, stop: random.IntN(100) < stopPercent}
		task.Task, task.Attempt, task.Phase = api.TaskName(strings.Repeat("1", nameLength), 1000+i), 1, api.TaskRunning
		if random.IntN(100) < removedPercent {
			task.urgency = StopRemoved
		}
		task.saves = task.urgency == StopCommitted && i%2 == 0
		tasks[i] = task
	}
	return tasks
}

// encodeReport returns the heartbeat of the tasks, in the form of PROTOCOL's example.
func encodeReport(tasks []reportedTask) []byte {
	type entry struct {
		Task    string        `json:"piece"`
		Attempt uint64        `json:"try"`
		Phase   api.TaskPhase `json:"phase"`
		Cause   api.ExitCause `json:"cause,omitempty"`
		Saved   bool          `json:"saved,omitempty"`
	}
	entries := make([]entry, len(tasks))
	for i := range tasks {
		entries[i] = entry(tasks[i].TaskState)
	}
	return api.MustMarshal(struct {
		*api.Heartbeat
		Tasks []entry `json:"pieces"`
	}{&api.Heartbeat{Host: "i-000001", Addr: "10.0.0.1:9000", AgentEpoch: 1, Sequence: 88888, Token: 41}, entries})
}

// selectCommands returns the commands for the tasks.
func selectCommands(t *rapid.T, worker *Agent, tasks []reportedTask, now time.Time) *CommandSet {
	heartbeat, err := api.ParseHeartbeat(encodeReport(tasks))
	if err != nil {
		t.Fatal(err)
	}
	set := NewCommandSet(worker, heartbeat, now)
	for i := range tasks {
		task, id := &tasks[i], AttemptID{Task: tasks[i].Task, Attempt: tasks[i].Attempt}
		if task.Phase == api.TaskEnded {
			set.AddClear(id)
			continue
		}
		if !task.service {
			set.ReserveEnd()
		}
		if task.stop {
			command, graceS := id.Command(api.Stop), 0.0
			if task.saves {
				graceS = 12.5
			}
			command.GraceS = &graceS
			set.AddStop(command, task.urgency, !task.service)
		}
	}
	set.SelectStops()
	set.SelectClears(true)
	return set
}

// execute carries out commands as a worker does.
func execute(tasks []reportedTask, commands []api.Command) []reportedTask {
	byName := map[string]int{}
	for i := range tasks {
		byName[tasks[i].Task] = i
	}
	cleared := map[string]bool{}
	for _, command := range commands {
		task := &tasks[byName[command.Task]]
		switch command.Action {
		case api.Stop:
			task.Phase, task.Cause, task.Saved = api.TaskEnded, api.CauseStopped, task.saves
		case api.Clear:
			cleared[command.Task] = true
		case api.Launch:
		}
	}
	return slices.DeleteFunc(tasks, func(task reportedTask) bool { return cleared[task.Task] })
}

// Guards against messages to a worker that exceed 64 KiB, and against stops and launches after which its
// heartbeats do. Tasks that nothing needs are stopped before others, and all stops follow in further
// messages.
func TestCommandsFitIntoMessagesAndHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks, worker, now := drawReportedTasks(t), New(3, time.Unix(0, 0), time.Unix(0, 0)), time.Unix(0, 0)
		fitted := len(encodeReport(tasks)) <= api.MaxMessageBytes
		const maxMessages = 12
		for message := 0; ; message++ {
			set := selectCommands(t, worker, tasks, now)
			if len(set.Commands()) == 0 {
				break
			}
			if message == maxMessages {
				t.Fatalf("commands are still left after %d messages", maxMessages)
			}
			checkMessage(t, worker, set, tasks)
			tasks = execute(tasks, set.Commands())
			if bytes := len(encodeReport(tasks)); bytes > api.MaxMessageBytes && fitted {
				t.Fatalf("heartbeat after message %d has %d bytes, want at most %d", message, bytes, api.MaxMessageBytes)
			}
		}
		for i := range tasks {
			if tasks[i].stop && (tasks[i].urgency == StopRemoved || fitted) {
				t.Fatalf("task %s was never stopped", tasks[i].Task)
			}
		}
	})
}

// Guards against a stop that overtakes a more urgent one because it is shorter and still fits.
func TestStopDoesNotOvertakeMoreUrgentOne(t *testing.T) {
	set, graceS := NewCommandSet(New(3, time.Unix(0, 0), time.Unix(0, 0)), &api.Heartbeat{}, time.Unix(0, 0)), 0.0
	set.messageBytes = 120 // enough for the second command only
	for urgency, name := range []string{StopRemoved: strings.Repeat("1", 80), StopCommitted: "2"} {
		set.AddStop(api.Command{Action: api.Stop, Task: name, Attempt: 1, GraceS: &graceS}, Urgency(urgency), true)
	}
	if set.SelectStops() || !set.Deferred() {
		t.Errorf("commands %s, deferred %t; want none, true", api.MustMarshal(set.Commands()), set.Deferred())
	}
}

// checkMessage checks the length of a message and the order of its stops.
func checkMessage(t *rapid.T, worker *Agent, set *CommandSet, tasks []reportedTask) {
	batch := api.CommandBatch{Token: worker.Token(), AgentEpoch: 1, Commands: set.Commands()}
	if bytes := len(api.MustMarshal(batch)); bytes > api.MaxMessageBytes {
		t.Fatalf("message with %d commands has %d bytes, want at most %d", len(batch.Commands), bytes, api.MaxMessageBytes)
	}
	stopped, otherStops := map[string]bool{}, false
	urgencies := map[string]Urgency{}
	for i := range tasks {
		urgencies[tasks[i].Task] = tasks[i].urgency
	}
	for _, command := range batch.Commands {
		if command.Action != api.Stop {
			continue
		}
		stopped[command.Task] = true
		other := urgencies[command.Task] == StopCommitted
		if otherStops && !other {
			t.Fatalf("stop of %s, which nothing needs, comes after other stops", command.Task)
		}
		otherStops = otherStops || other
	}
	for i := range tasks {
		if otherStops && tasks[i].stop && tasks[i].Phase != api.TaskEnded && tasks[i].urgency == StopRemoved && !stopped[tasks[i].Task] {
			t.Fatalf("the stop of %s, which nothing needs, is left out although other stops are sent", tasks[i].Task)
		}
	}
}
