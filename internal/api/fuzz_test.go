package api

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
)

// Whatever the body, it is a bad request, or a job within all bounds whose record reads as the
// same job.
func FuzzParseJob(f *testing.F) {
	f.Add(MustMarshal(validFields()))
	f.Add([]byte(`{"uid":"run-1"}`))
	f.Add([]byte(`{"uid":"run-1","UID":"run-2","shape":null}`))
	f.Add([]byte(`[{"uid":"run-1"}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := ParseJob(body)
		if err != nil {
			if j != nil || !isBadRequest(err) {
				t.Fatalf("%+v, %v", j, err)
			}
			return
		}
		checkJob(t, j)
		if uid, ok := ExtractUID(body); !ok || uid != j.UID {
			t.Fatalf("job %s has ID %q, %t", j.UID, uid, ok)
		}
		var again Job
		if err := json.Unmarshal(MustMarshal(j), &again); err != nil || !reflect.DeepEqual(j, &again) {
			t.Fatalf("%+v is recorded as %+v: %v", j, again, err)
		}
	})
}

// checkJob checks that a job is one that PROTOCOL allows.
func checkJob(t *testing.T, j *Job) {
	t.Helper()
	if !j.Priority.Known() || !ValidUID(j.UID) || j.Tasks < 1 || j.Tasks > MaxTasks {
		t.Fatalf("%+v", j)
	}
	if !j.Kind.Known() {
		t.Fatalf("kind %q", j.Kind)
	}
	for _, text := range []string{j.Class, j.Team, j.Image} {
		if text == "" {
			t.Fatalf("a text is empty: %+v", j)
		}
	}
	amounts := []float64{j.CPUs, j.GPUs, j.MemGB, j.ImageGB, j.EstimatedRunS, j.CheckpointIntervalS, j.SaveDurationS}
	if j.DeadlineS != nil {
		amounts = append(amounts, *j.DeadlineS)
	}
	for _, v := range amounts {
		if !(v >= 0) || math.IsInf(v, 0) {
			t.Fatalf("amount %g: %+v", v, j)
		}
	}
}

// Whatever the body, it is a bad request, or a heartbeat of a machine that can be named in keys
// and paths, and that reads the same when it is sent on.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"host":"i-1","addr":"10.0.0.1:9","build":"g8","site":"a","loaners":true,"tenure":1,"tick":88,"baton":41,` +
		`"recallS":1.5,"pieces":[{"piece":"run-1/3","try":2,"phase":"running"},{"piece":"run-2/0","phase":"ended","cause":"done"}]}`))
	f.Add([]byte(`{"host":"i/1","tenure":1}`))
	f.Add([]byte(`{"HOST":"i-1","tenure":18446744073709551615,"pieces":[null]}`))
	f.Add([]byte(`{"host":"i-1","tenure":1e3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		h, err := ParseHeartbeat(body)
		if err != nil {
			if h != nil || !isBadRequest(err) {
				t.Fatalf("%+v, %v", h, err)
			}
			return
		}
		if h.Host == "" || h.AgentEpoch == 0 || len(h.Host) > maxHostLength || strings.ContainsAny(h.Host, notInHost) {
			t.Fatalf("host %q, epoch %d", h.Host, h.AgentEpoch)
		}
		again, err := ParseHeartbeat(MustMarshal(h))
		if err != nil || !reflect.DeepEqual(h, again) {
			t.Fatalf("%+v is sent on as %+v: %v", h, again, err)
		}
		if h.NewerThan(h.AgentEpoch, h.Sequence) || !h.NewerThan(h.AgentEpoch-1, h.Sequence) {
			t.Fatal("newer than itself, or not newer than an earlier epoch")
		}
	})
}

// Whatever the text, it is a task's name only if it gives a job and a number that name the task.
func FuzzSplitTaskName(f *testing.F) {
	for _, s := range []string{"run-1/0", "run-1/007", "run-1/+7", "run-1/99999", "run-1/100000", "/", "a/b/1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		uid, i, ok := SplitTaskName(s)
		if !ok {
			return
		}
		if i < 0 || i >= MaxTasks {
			t.Fatalf("task %d", i)
		}
		if again, k, ok := SplitTaskName(TaskName(uid, i)); !ok || again != uid || k != i {
			t.Fatalf("%q is task %d of %s, whose name is task %d of %s", s, i, uid, k, again)
		}
	})
}
