package api

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"

	"violetturn/internal/numeric"
)

// For any body, ParseJob returns either a bad request or a job that is within all bounds and does
// not change when it is recorded and read back.
func FuzzParseJob(f *testing.F) {
	f.Add(MustMarshal(validFields()))
	f.Add([]byte(`{"uid":"run-1"}`))
	f.Add([]byte(`{"uid":"run-1","UID":"run-2","shape":null}`))
	f.Add([]byte(`[{"uid":"run-1"}]`))
	f.Add([]byte(`null`))
	for name := range validFields() {
		huge := validFields()
		huge[name] = json.RawMessage("1.7e308")
		f.Add(MustMarshal(huge))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := ParseJob(body)
		if err != nil {
			if j != nil || !isBadRequest(err) {
				t.Fatalf("got job %+v and error %v, want no job and a bad request", j, err)
			}
			return
		}
		checkJob(t, j)
		if uid, ok := ExtractUID(body); !ok || uid != j.UID {
			t.Fatalf("got job ID %q, valid %t, want %q, true", uid, ok, j.UID)
		}
		var decoded Job
		if err := json.Unmarshal(MustMarshal(j), &decoded); err != nil || !reflect.DeepEqual(j, &decoded) {
			t.Fatalf("job read back from its record is %+v, error %v, want %+v", decoded, err, j)
		}
	})
}

// checkJob checks that a job is within the bounds that PROTOCOL sets.
func checkJob(t *testing.T, j *Job) {
	t.Helper()
	if !j.Priority.Known() || !ValidUID(j.UID) || j.Tasks < 1 || j.Tasks > MaxTasks {
		t.Fatalf("priority, ID or number of tasks is invalid: %+v", j)
	}
	if !j.Kind.Known() {
		t.Fatalf("got unknown job kind %q", j.Kind)
	}
	for _, text := range []string{j.Class, j.Team, j.Image} {
		if text == "" {
			t.Fatalf("class, team or image is empty: %+v", j)
		}
	}
	amounts := []float64{j.CPUs, j.GPUs, j.MemGB, j.ImageGB, j.EstimatedRunS, j.CheckpointIntervalS, j.SaveDurationS}
	if j.DeadlineS != nil {
		amounts = append(amounts, *j.DeadlineS)
	}
	for _, amount := range amounts {
		if !(amount >= 0 && amount <= numeric.MaxAmount) {
			t.Fatalf("got amount %g, want 0 to %g: %+v", amount, numeric.MaxAmount, j)
		}
	}
}

// For any body, ParseHeartbeat returns either a bad request or a heartbeat that does not change
// when it is encoded and parsed again, from a machine whose name is valid in keys and paths.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"host":"i-1","addr":"10.0.0.1:9","build":"g8","site":"a","loaners":true,"tenure":1,"tick":88,"baton":41,` +
		`"recallS":1.5,"pieces":[{"piece":"run-1/3","try":2,"phase":"running"},{"piece":"run-2/0","phase":"ended","cause":"done"}]}`))
	f.Add([]byte(`{"host":"i/1","tenure":1}`))
	f.Add([]byte(`{"HOST":"i-1","tenure":18446744073709551615,"pieces":[null]}`))
	f.Add([]byte(`{"host":"i-1","tenure":1e3}`))
	f.Add([]byte(`{"host":"i-1","tenure":1,"recallS":-1.7e308}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		h, err := ParseHeartbeat(body)
		if err != nil {
			if h != nil || !isBadRequest(err) {
				t.Fatalf("got heartbeat %+v and error %v, want no heartbeat and a bad request", h, err)
			}
			return
		}
		if h.Host == "" || h.AgentEpoch == 0 || len(h.Host) > maxHostLength || strings.ContainsAny(h.Host, forbiddenHostCharacters) {
			t.Fatalf("accepted host %q with agent epoch %d, one of which is invalid", h.Host, h.AgentEpoch)
		}
		if notice := h.SpotNoticeS; notice != nil && !(math.Abs(*notice) <= numeric.MaxAmount) {
			t.Fatalf("got a spot notice of %g s, want at most %g", *notice, numeric.MaxAmount)
		}
		if h.EncodedBytes() != len(body) {
			t.Fatalf("length of the message is %d bytes, want %d", h.EncodedBytes(), len(body))
		}
		encoded := MustMarshal(h)
		h.encodedBytes = len(encoded)
		decoded, err := ParseHeartbeat(encoded)
		if err != nil || !reflect.DeepEqual(h, decoded) {
			t.Fatalf("heartbeat parsed from its encoding is %+v, error %v, want %+v", decoded, err, h)
		}
		if h.NewerThan(h.AgentEpoch, h.Sequence) || !h.NewerThan(h.AgentEpoch-1, h.Sequence) {
			t.Fatalf("heartbeat counts as newer than itself: %t, than one of the previous agent epoch: %t, want false and true",
				h.NewerThan(h.AgentEpoch, h.Sequence), h.NewerThan(h.AgentEpoch-1, h.Sequence))
		}
	})
}

// Any string that SplitTaskName accepts has a valid task number, and the name that TaskName builds
// from the result is split into the same job and number.
func FuzzSplitTaskName(f *testing.F) {
	for _, s := range []string{"run-1/0", "run-1/007", "run-1/+7", "run-1/99999", "run-1/100000", "/", "a/b/1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, name string) {
		uid, index, ok := SplitTaskName(name)
		if !ok {
			return
		}
		if index < 0 || index >= MaxTasks {
			t.Fatalf("got task number %d, want 0 to %d", index, MaxTasks-1)
		}
		if uidAgain, indexAgain, ok := SplitTaskName(TaskName(uid, index)); !ok || uidAgain != uid || indexAgain != index {
			t.Fatalf("%q is split into job %q, task %d; the name built from them into job %q, task %d",
				name, uid, index, uidAgain, indexAgain)
		}
	})
}
