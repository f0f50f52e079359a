package simulator

import (
	"context"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
)

// launchTestGang rents two machines and launches a gang of two tasks on them, whose
// heartbeats a controller answers all the time.
func launchTestGang(t *testing.T, w *Environment) (*Job, []*Worker) {
	t.Helper()
	client := &CloudClient{Cloud: w.Cloud, Node: "n0"}
	if _, err := client.Rent(context.Background(), cloud.RentalRequest{Name: "r", MachineType: "m", Zone: "x", Count: 2}); err != nil {
		t.Fatal(err)
	}
	j := &Job{
		Spec:      api.Job{UID: "run-000001", Kind: api.Gang, Team: "a", Tasks: 2, CPUs: 1, GPUs: 1, CheckpointIntervalS: 2, SaveDurationS: 1},
		RunTime:   10 * time.Second,
		DoneTasks: map[int]bool{},
	}
	w.Jobs[j.Spec.UID] = j
	w.Advance(time.Second)
	workers := w.Cloud.Workers()
	for i, x := range workers {
		x.execute([]api.Command{{Action: api.Launch, Task: api.TaskName(j.Spec.UID, i), Attempt: 1}})
	}
	return j, workers
}

// pass lets time go by in which a controller answers the heartbeats of all but hung workers.
func pass(w *Environment, d time.Duration) {
	for end := w.Now.Add(d); w.Now.Before(end); {
		for _, x := range w.Cloud.Workers() {
			x.HandleResponse(api.CommandBatch{Token: 1}, w.Now, x.AgentEpoch)
		}
		w.Advance(100 * time.Millisecond)
	}
}

// A gang's tasks start and end together, and keep the progress that they have saved.
func TestGangAttempts(t *testing.T) {
	grace := 5.0
	stopAll := func(w *Environment) {
		for i, x := range w.Cloud.Workers() {
			x.execute([]api.Command{{Action: api.Stop, Task: api.TaskName("run-000001", i), Attempt: 1, GraceS: &grace}})
		}
	}
	for _, x := range []struct {
		name  string
		fault func(w *Environment)
		after time.Duration // from the fault to the end
		cause api.ExitCause
		done  int
		saved time.Duration
	}{
		{"done", func(*Environment) {}, 6 * time.Second, api.CauseDone, 2, 0},
		{"stopped", stopAll, time.Second, api.CauseStopped, 0, 5 * time.Second},
		{"one told to stop", func(w *Environment) {
			x := w.Cloud.Workers()[0]
			x.execute([]api.Command{{Action: api.Stop, Task: api.TaskName("run-000001", 0), Attempt: 1, GraceS: &grace}})
		}, 2 * time.Second, api.CausePeerLost, 0, 4 * time.Second},
		{"one lost", func(w *Environment) { w.Cloud.Terminate(w.Cloud.HostNames()[0]) }, 3 * time.Second, api.CausePeerLost, 0, 4 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newTestWorld()
			j, workers := launchTestGang(t, w)
			pass(w, time.Second) // until they have their images
			pass(w, 5*time.Second)
			task := workers[1].Tasks[0]
			if task.phase != api.TaskRunning {
				t.Fatalf("the gang is %s", task.phase)
			}
			x.fault(w)
			pass(w, x.after)
			if task.phase != api.TaskEnded || task.cause != x.cause || len(j.DoneTasks) != x.done {
				t.Errorf("%s, cause %q, %d tasks done", task.phase, task.cause, len(j.DoneTasks))
			}
			if saved := j.gang.saved.Truncate(time.Second); saved != x.saved {
				t.Errorf("%v are saved", j.gang.saved)
			}
		})
	}
}

// Launches of two attempts of a gang at once, or of a lower one after a higher one, break a
// rule.
func TestMixedGangAttempts(t *testing.T) {
	w := newTestWorld()
	j, workers := launchTestGang(t, w)
	if len(w.Violations) > 0 {
		t.Fatal(w.Violations)
	}
	workers[0].execute([]api.Command{{Action: api.Launch, Task: api.TaskName(j.Spec.UID, 1), Attempt: 2}})
	beside := len(w.Violations)
	if beside == 0 {
		t.Error("an attempt beside another is not noticed")
	}
	workers[0].Tasks, workers[1].Tasks = nil, nil
	workers[0].execute([]api.Command{{Action: api.Launch, Task: api.TaskName(j.Spec.UID, 0), Attempt: 1}})
	if len(w.Violations) == beside {
		t.Error("a lower attempt after a higher one is not noticed")
	}
}
