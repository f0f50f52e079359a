package simulator

import (
	"context"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
)

// launchTestGang rents two machines and launches a gang of two tasks on them.
func launchTestGang(t *testing.T, env *Environment) (*Job, []*Worker) {
	t.Helper()
	client := &CloudClient{Cloud: env.Cloud, Controller: "n0"}
	if _, err := client.Rent(context.Background(), cloud.RentalRequest{Name: "r", MachineType: "m", Zone: "x", Count: 2}); err != nil {
		t.Fatal(err)
	}
	j := &Job{
		Spec: api.Job{
			UID: "run-000001", Kind: api.Gang, Team: "a", Tasks: 2, CPUs: 1, GPUs: 1, CheckpointIntervalS: 2,
			SaveDurationS: 1,
		},
		RunTime:   10 * time.Second,
		DoneTasks: map[int]bool{},
	}
	env.Jobs[j.Spec.UID] = j
	env.Advance(time.Second)
	workers := env.Cloud.Workers()
	for i, worker := range workers {
		worker.execute([]api.Command{{Action: api.Launch, Task: api.TaskName(j.Spec.UID, i), Attempt: 1}})
	}
	return j, workers
}

// advanceWithHeartbeats advances the clock, while every worker receives a heartbeat response each
// 100 ms, so that no lease expires.
func advanceWithHeartbeats(env *Environment, d time.Duration) {
	for end := env.Now.Add(d); env.Now.Before(end); {
		for _, worker := range env.Cloud.Workers() {
			worker.HandleResponse(api.CommandBatch{Token: 1}, env.Now, worker.AgentEpoch)
		}
		env.Advance(100 * time.Millisecond)
	}
}

// The tasks of a gang start and end together, and the gang keeps its saved progress.
func TestGangTasksEndTogether(t *testing.T) {
	grace := 5.0
	stopAll := func(env *Environment) {
		for i, worker := range env.Cloud.Workers() {
			worker.execute([]api.Command{{Action: api.Stop, Task: api.TaskName("run-000001", i), Attempt: 1, GraceS: &grace}})
		}
	}
	for _, test := range []struct {
		name        string
		injectFault func(env *Environment)
		wait        time.Duration // time after the fault until the attempt ends
		wantCause   api.ExitCause
		wantDone    int
		wantSaved   time.Duration
	}{
		{"done", func(*Environment) {}, 6 * time.Second, api.CauseDone, 2, 0},
		{"stopped", stopAll, time.Second, api.CauseStopped, 0, 5 * time.Second},
		{"only one task stopped", func(env *Environment) {
			worker := env.Cloud.Workers()[0]
			worker.execute([]api.Command{{Action: api.Stop, Task: api.TaskName("run-000001", 0), Attempt: 1, GraceS: &grace}})
		}, 2 * time.Second, api.CausePeerLost, 0, 4 * time.Second},
		{"one task lost", func(env *Environment) {
			env.Cloud.Terminate(env.Cloud.HostNames()[0])
		}, 3 * time.Second, api.CausePeerLost, 0, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := newTestEnvironment()
			j, workers := launchTestGang(t, env)
			advanceWithHeartbeats(env, time.Second) // the tasks fetch their images
			advanceWithHeartbeats(env, 5*time.Second)
			task := workers[1].Tasks[0]
			if task.phase != api.TaskRunning {
				t.Fatalf("task phase before the fault is %q, want %q", task.phase, api.TaskRunning)
			}
			test.injectFault(env)
			advanceWithHeartbeats(env, test.wait)
			if task.phase != api.TaskEnded || task.cause != test.wantCause || len(j.DoneTasks) != test.wantDone {
				t.Errorf("task phase %q, cause %q, %d tasks done; want phase %q, cause %q, %d tasks done",
					task.phase, task.cause, len(j.DoneTasks), api.TaskEnded, test.wantCause, test.wantDone)
			}
			if saved := j.gang.saved.Truncate(time.Second); saved != test.wantSaved {
				t.Errorf("saved progress is %v, want %v after truncation to seconds", j.gang.saved, test.wantSaved)
			}
		})
	}
}

// Launching an attempt of a gang beside another one, or a lower attempt after a higher one, is
// recorded as a violation.
func TestMixedGangAttemptsViolateRules(t *testing.T) {
	env := newTestEnvironment()
	j, workers := launchTestGang(t, env)
	if len(env.Violations) > 0 {
		t.Fatalf("violations after the first launch: %v, want none", env.Violations)
	}
	workers[0].execute([]api.Command{{Action: api.Launch, Task: api.TaskName(j.Spec.UID, 1), Attempt: 2}})
	violations := len(env.Violations)
	if violations == 0 {
		t.Error("launching an attempt beside another one recorded no violation, want one")
	}
	workers[0].Tasks, workers[1].Tasks = nil, nil
	workers[0].execute([]api.Command{{Action: api.Launch, Task: api.TaskName(j.Spec.UID, 0), Attempt: 1}})
	if len(env.Violations) == violations {
		t.Error("launching a lower attempt after a higher one recorded no violation, want one")
	}
}
