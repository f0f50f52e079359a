package config

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// longestTime is the longest time in seconds for which derived times are checked: far longer ones
// don't fit a duration.
const longestTime = 1e9

// checkRefusal checks that an error is one line that says something.
func checkRefusal(t *testing.T, err error) {
	t.Helper()
	if err.Error() == "" || strings.Contains(err.Error(), "\n") {
		t.Fatalf("not one line: %q", err)
	}
}

// Whatever the file, it is refused in one line, or everything that is derived from it is within
// its bounds.
func FuzzParse(f *testing.F) {
	valid, err := os.ReadFile(filepath.Join("testdata", "settings.toml"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(strings.Replace(string(valid), "lease_s = 10.0", "lease_s = 1e300", 1)))
	f.Add([]byte(strings.Replace(string(valid), "cancel_s = 40.0", "cancel_s = 0.1", 1)))
	f.Add([]byte(strings.Replace(string(valid), "write_rps = 18.0", "txn_ops = 4\nvalue_kb = 1.0", 1)))
	f.Add([]byte("[facts.state]\nnext = 3"))
	f.Add([]byte("facts = 1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err != nil {
			checkRefusal(t, err)
			if s != nil {
				t.Fatal("refused, and settings returned")
			}
			return
		}
		checkDerivedLimits(t, s)
		if w := s.Facts.Workers; w.LeaseS < longestTime && w.CancelTimeoutS < longestTime {
			checkDerivedTimes(t, s)
		}
	})
}

// checkDerivedLimits checks the limits that follow from accepted settings.
func checkDerivedLimits(t *testing.T, s *Settings) {
	t.Helper()
	lowest, now := s.LowestLimits(), s.Facts.State.StateLimits
	if lowest.TxnOps < minTxnOps || lowest.ValueKB < minValueKB || !positive(lowest.RPS) || !positive(lowest.WriteRPS) {
		t.Fatalf("the service can't work under %+v", lowest)
	}
	if lowest.TxnOps > now.TxnOps || lowest.ValueKB > now.ValueKB || lowest.RPS > now.RPS || lowest.WriteRPS > now.WriteRPS {
		t.Fatalf("%+v is above %+v", lowest, now)
	}
	if n := s.MaxProcs(8); n < 1 || n > 8 {
		t.Fatalf("%d of 8 processors", n)
	}
	if m := s.MemoryTarget(); m <= 0 || float64(m) > s.Facts.Limits.MemoryMB*bytesPerMB {
		t.Fatalf("memory target of %d bytes", m)
	}
}

// checkDerivedTimes checks the times that follow from accepted settings.
func checkDerivedTimes(t *testing.T, s *Settings) {
	t.Helper()
	if s.WorkerLeaseBound() < s.WorkerLease() {
		t.Fatal("a worker's lease outlives its bound")
	}
	if s.ControllerLeaseTTL() < minControllerLease || s.MaxStaleness() < s.ControllerLeaseTTL() {
		t.Fatalf("lease of %v, staleness of %v", s.ControllerLeaseTTL(), s.MaxStaleness())
	}
	grace := s.LeadershipGrace()
	if total := s.ControllerLeaseTTL() + grace + s.WorkerLeaseBound(); grace > 0 && total > seconds(s.Facts.Workers.CancelTimeoutS) {
		t.Fatalf("a cancellation that a leader can't see takes %v", total)
	}
	if grace < 0 || s.DecisionInterval() < 0 || s.DecisionInterval() > s.HeartbeatInterval() {
		t.Fatalf("grace of %v, decision interval of %v", grace, s.DecisionInterval())
	}
	if s.ConfirmsCancelAfterTasksEnd() && grace > 0 {
		t.Fatalf("grace of %v where a cancellation leaves no time for it", grace)
	}
}

// Whatever the policy, it is refused in one line, or what it decides is within the bounds for any
// job, and takes little time.
func FuzzParsePolicy(f *testing.F) {
	for _, p := range policies {
		f.Add([]byte(p.file), 12.0, 30.0, 9)
	}
	f.Add([]byte("weight = \"job.colour\"\n"), 0.0, 0.0, 0)
	f.Add([]byte("preempt = \"lost\"\n"), 0.0, 0.0, 0)
	f.Add([]byte("weight = \"1\\n+\"\n"), 0.0, 0.0, 0)
	f.Add([]byte("weight = 1"), math.Inf(1), math.NaN(), -1)
	f.Fuzz(func(t *testing.T, b []byte, age, slack float64, tasks int) {
		p, err := ParsePolicy(b)
		if err != nil {
			checkRefusal(t, err)
			return
		}
		began := time.Now()
		job := JobVariables{Class: "a", Kind: "sweep", Priority: 1, Age: age, Slack: slack, Tasks: tasks}
		if w := p.Weight(job); math.IsNaN(w) || math.IsInf(w, 0) {
			t.Fatalf("weight %g", w)
		}
		if h := p.Headroom(job, 2.5, 40, slack); !(h >= 0 && h <= maxHeadroom) {
			t.Fatalf("headroom for %g tasks", h)
		}
		if s := p.IdleSeconds(40, 3, true); !(s >= 0) || math.IsInf(s, 0) {
			t.Fatalf("idle machines are kept for %g s", s)
		}
		if !p.RestrictsPreemption() && !p.AllowsPreemption(job, JobVariables{Priority: 3}, age) {
			t.Fatal("forbids a preemption though it restricts none")
		}
		if d := time.Since(began); d > 10*time.Second {
			t.Fatalf("takes %v", d)
		}
	})
}
