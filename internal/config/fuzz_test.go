package config

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"violetturn/internal/numeric"
)

// checkErrorIsOneLine checks that an error's text is one line and not empty.
func checkErrorIsOneLine(t *testing.T, err error) {
	t.Helper()
	if err.Error() == "" || strings.Contains(err.Error(), "\n") {
		t.Fatalf("error %q, want one line that is not empty", err)
	}
}

// FuzzParse checks that any settings file is either rejected with a one-line error, or that all
// values derived from it are within their bounds.
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
			checkErrorIsOneLine(t, err)
			if s != nil {
				t.Fatalf("Parse returned settings together with the error %v", err)
			}
			return
		}
		checkDerivedLimits(t, s)
		checkDerivedTimes(t, s)
	})
}

// checkDerivedLimits checks the limits derived from accepted settings.
func checkDerivedLimits(t *testing.T, s *Settings) {
	t.Helper()
	lowest, current := s.LowestLimits(), s.Facts.State.StateLimits
	if lowest.TxnOps < minTxnOps || lowest.ValueKB < minValueKB || !isPositive(lowest.RPS) || !isPositive(lowest.WriteRPS) {
		t.Fatalf("lowest limits are %+v, below the minimum that the service requires", lowest)
	}
	if lowest.TxnOps > current.TxnOps || lowest.ValueKB > current.ValueKB ||
		lowest.RPS > current.RPS || lowest.WriteRPS > current.WriteRPS {
		t.Fatalf("lowest limits %+v exceed the current limits %+v", lowest, current)
	}
	if n := s.MaxProcs(8); n < 1 || n > 8 {
		t.Fatalf("uses %d of 8 CPUs, want 1 to 8", n)
	}
	if m := s.MemoryTarget(); m <= 0 || float64(m) > s.Facts.Limits.MemoryMB*bytesPerMB {
		t.Fatalf("memory target is %d bytes, want above 0 and at most the limit of %g MB", m, s.Facts.Limits.MemoryMB)
	}
}

// checkDerivedTimes checks the times derived from accepted settings.
func checkDerivedTimes(t *testing.T, s *Settings) {
	t.Helper()
	if s.WorkerLeaseBound() < s.WorkerLease() {
		t.Fatalf("bound on a worker's lease is %v, want at least the lease of %v", s.WorkerLeaseBound(), s.WorkerLease())
	}
	if s.ControllerLeaseTTL() < minControllerLease || s.MaxStaleness() < s.ControllerLeaseTTL() {
		t.Fatalf("controller lease is %v, want at least %v; staleness is %v, want at least the lease",
			s.ControllerLeaseTTL(), minControllerLease, s.MaxStaleness())
	}
	grace := s.LeadershipGracePeriod()
	total, cancelTimeout := s.ControllerLeaseTTL()+grace+s.WorkerLeaseBound(), numeric.Duration(s.Facts.Workers.CancelTimeoutS)
	if grace > 0 && total > cancelTimeout {
		t.Fatalf("a cancellation that a partitioned leader can't read takes %v, want at most %v", total, cancelTimeout)
	}
	if grace < 0 || s.DecisionInterval() < 0 || s.DecisionInterval() > s.HeartbeatInterval() {
		t.Fatalf("grace period is %v, want at least 0; decision interval is %v, want 0 to %v",
			grace, s.DecisionInterval(), s.HeartbeatInterval())
	}
	if s.ConfirmsCancelAfterTasksEnd() && grace > 0 {
		t.Fatalf("grace period is %v, want 0 if cancellations are confirmed only when the job is empty", grace)
	}
}

// FuzzParsePolicy checks that any policy file is either rejected with a one-line error, or that its
// results are within their bounds for any job and take less than 10 seconds.
func FuzzParsePolicy(f *testing.F) {
	for _, p := range acceptedPolicies {
		f.Add([]byte(p.file), 12.0, 30.0, 9)
	}
	f.Add([]byte("weight = \"job.colour\"\n"), 0.0, 0.0, 0)
	f.Add([]byte("preempt = \"lost\"\n"), 0.0, 0.0, 0)
	f.Add([]byte("weight = \"1\\n+\"\n"), 0.0, 0.0, 0)
	f.Add([]byte("weight = 1"), math.Inf(1), math.NaN(), -1)
	f.Fuzz(func(t *testing.T, b []byte, age, slack float64, tasks int) {
		p, err := ParsePolicy(b)
		if err != nil {
			checkErrorIsOneLine(t, err)
			return
		}
		began := time.Now()
		job := JobVariables{Class: "a", Kind: "sweep", Priority: 1, Age: age, Slack: slack, Tasks: tasks}
		if w := p.Weight(job); math.IsNaN(w) || math.IsInf(w, 0) {
			t.Fatalf("weight is %g, want a finite number", w)
		}
		if h := p.Headroom(job, 2.5, 40, slack); !(h >= 0 && h <= maxHeadroom) {
			t.Fatalf("headroom is %g tasks, want 0 to %d", h, maxHeadroom)
		}
		if s := p.IdleSeconds(40, 3, true); !(s >= 0) || math.IsInf(s, 0) {
			t.Fatalf("idle machines are kept for %g s, want a finite number of at least 0", s)
		}
		if !p.RestrictsPreemption() && !p.AllowsPreemption(job, JobVariables{Priority: 3}, age) {
			t.Fatal("Preempt returned false for a policy that does not restrict preemption")
		}
		if d := time.Since(began); d > 10*time.Second {
			t.Fatalf("parsing and evaluating the policy took %v, want at most 10s", d)
		}
	})
}
