package config

import (
	"strings"
	"testing"
	"time"

	"violetturn/internal/numeric"
)

const validSettings = `
host_name = "n0"
site = "x"
serve_on = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
something_new = 3
[[members]]
host_name = "n1"
site = "y"
addr = "127.0.0.2:2"
[external]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"
[facts]
size = 2
zones = ["x", "y"]
[[facts.teams]]
name = "a"
gpus = 2.0
gpus_max = 4.0
[facts.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 40.0
[facts.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[facts.cloud]
rps = 8.0
list_lag_s = 3.0
[facts.machine_limits]
cores = 0.1
memory_mb = 98.0
max_sockets = 900
`

// Valid settings are accepted. Invalid ones give a one-line error that begins with the field's name.
func TestSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if team, ok := s.Team("a"); !ok || !team.HasLimit() {
		t.Errorf("Team(\"a\") returned %+v, %t, want a team with a limit", team, ok)
	}
	for field, change := range map[string][2]string{
		"host_name":                            {`host_name = "n0"`, ``},
		"serve_on":                             {`serve_on = "127.0.0.1:1"`, `serve_on = "nowhere"`},
		"members[0].host_name":                 {`host_name = "n1"`, `host_name = "n0"`},
		"facts.size":                           {`size = 2`, `size = 3`},
		"facts.zones":                          {`zones = ["x", "y"]`, ``},
		"facts.workers.lease_s":                {`lease_s = 10.0`, `lease_s = 1.0`},
		"facts.state.rps":                      {"rps = 120.0", "rps = -1.0"},
		"facts.state.txn_ops":                  {"txn_ops = 8", "txn_ops = 2"},
		"facts.state.value_kb":                 {"value_kb = 4.0", "value_kb = nan"},
		"facts.machine_limits.max_sockets":     {"max_sockets = 900", ""},
		"facts.machine_limits.cores":           {"cores = 0.1", "cores = -1.0"},
		"facts.machine_limits.memory_mb":       {"memory_mb = 98.0", "memory_mb = 0.5"},
		"facts.machine_limits.memory_mb: m":    {"memory_mb = 98.0", ""},
		"facts.machine_limits.max_sockets: 9,": {"max_sockets = 900", "max_sockets = 9"},
		"facts.machine_limits.memory_mb: must": {"[facts.machine_limits]\ncores = 0.1\nmemory_mb = 98.0\nmax_sockets = 900\n", ""},
		"facts.teams[0]":                       {"gpus = 2.0", "gpus = inf"},
		"not valid":                            {"size = 2", "size = "},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, change[0], change[1], 1)))
		if err == nil || !strings.HasPrefix(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: Parse returned %v, want a one-line error that begins with the field", field, err)
		}
	}
}

// The derived number of CPUs and memory target are within bounds for extreme settings: cores
// left out count as one, too many as the available ones, and a huge memory limit doesn't overflow the
// conversion to an integer.
func TestMachineLimits(t *testing.T) {
	for _, tt := range []struct {
		from, to string
		wantCPUs int
	}{
		{"cores = 0.1", "cores = 0.1", 1},
		{"cores = 0.1", "", 1},
		{"cores = 0.1", "cores = 0", 1},
		{"cores = 0.1", "cores = 2.6", 3},
		{"cores = 0.1", "cores = 1e300", 8},
		{"memory_mb = 98.0", "memory_mb = 1e300", 1},
	} {
		s, err := Parse([]byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
		if err != nil {
			t.Errorf("%s: Parse returned %v, want no error", tt.to, err)
			continue
		}
		if got := s.MaxProcs(8); got != tt.wantCPUs {
			t.Errorf("%s: uses %d CPUs, want %d", tt.to, got, tt.wantCPUs)
		}
		if m := s.MemoryTarget(); m <= 0 || m > 1<<40 || float64(m) > s.Facts.Limits.MemoryMB*(1<<20) {
			t.Errorf("%s: memory target is %d, want above 0 and at most 1<<40 and the limit of %g MB", tt.to, m, s.Facts.Limits.MemoryMB)
		}
	}
}

// Announced limits are checked like the current ones. A limit that they leave out keeps its current
// value, and the lowest limits are the lower of both.
func TestNextLimits(t *testing.T) {
	parseWithNext := func(next string) (*Settings, error) {
		return Parse([]byte(strings.Replace(validSettings, "[facts.cloud]", "[facts.state.next]\n"+next+"\n[facts.cloud]", 1)))
	}
	for field, next := range map[string]string{
		"facts.state.next.txn_ops":   "txn_ops = 0",
		"facts.state.next.value_kb":  "value_kb = -1.0",
		"facts.state.next.write_rps": "write_rps = 0.0",
		"facts.state.next.rps":       "rps = inf",
		"not valid":                  "txn_ops = \"x\"",
	} {
		if _, err := parseWithNext(next); err == nil || !strings.HasPrefix(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: Parse returned %v, want a one-line error that begins with the field", field, err)
		}
	}
	if _, err := parseWithNext("txn_ops = 3"); err == nil {
		t.Error("txn_ops = 3 is accepted, want an error: a placement needs 4 writes in one transaction")
	}
	for next, want := range map[string]StateLimits{
		"":                               {120, 25, 4, 8},
		"value_kb = 2.0\ntxn_ops = 4":    {120, 25, 2, 4},
		"write_rps = 18.0":               {120, 18, 4, 8},
		"value_kb = 64.0\ntxn_ops = 200": {120, 25, 4, 8},
	} {
		s, err := parseWithNext(next)
		if err != nil || s.LowestLimits() != want {
			t.Errorf("%q: Parse returned %+v, %v, want the lowest limits %+v", next, s, err, want)
		}
	}
	if s, err := Parse([]byte(validSettings)); err != nil || s.Facts.State.NextLimits != nil ||
		s.LowestLimits() != (StateLimits{120, 25, 4, 8}) {
		t.Errorf("without announced limits Parse returned %+v, %v, want no next limits and the current ones as lowest", s, err)
	}
}

// Guards against a lease that the state service refuses to grant, so that no controller ever leads a
// shard: heartbeat intervals of more than five minutes lead to one of more than PROTOCOL allows.
func TestControllerLeaseIsGranted(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range [][2]float64{{0.001, 0.002}, {1.5, 10}, {400, 2000}, {1e300, 1.7e308}} {
		s.Facts.Workers.HeartbeatIntervalS, s.Facts.Workers.LeaseS = w[0], w[1]
		if ttl := s.ControllerLeaseTTL(); ttl < 100*time.Millisecond || ttl > 600*time.Second {
			t.Errorf("report_s and lease_s %v: controller lease is %v, want 100ms to 600s", w, ttl)
		}
	}
}

// A leader that can't reach the state service doesn't read cancellations. Its grace period ends early
// enough for the tasks of a cancelled job to end within cancel_s, for short and long leases.
func TestLeadershipGraceLeavesTimeToCancel(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range [][3]float64{{1.5, 10, 40}, {3, 45, 75}, {1, 30, 31}, {0.5, 2, 100}} {
		f := &s.Facts.Workers
		f.HeartbeatIntervalS, f.LeaseS, f.CancelTimeoutS = w[0], w[1], w[2]
		if s.ControllerLeaseTTL() > s.WorkerLease()/3+500e6 {
			t.Errorf("%v: controller lease is %v, want at most 500ms above a third of %v", w, s.ControllerLeaseTTL(), s.WorkerLease())
		}
		if g := s.LeadershipGracePeriod(); g > 0 && s.ControllerLeaseTTL()+g+s.WorkerLeaseBound() > numeric.Duration(f.CancelTimeoutS) {
			t.Errorf("%v: grace period is %v, want lease, grace period and worker lease together at most %v",
				w, g, numeric.Duration(f.CancelTimeoutS))
		}
	}
}
