package config

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// The golden files were written with -update by the code of commit 1a43aa6, in a copy in which this
// file used the function names of that commit.
var updateGolden = flag.Bool("update", false, "write the golden files instead of comparing with them")

// compareGolden compares a text with a golden file, or writes the file with -update.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Errorf("%s differs (-want +got):\n%s", path, d)
	}
}

// acceptedSettingsEdits are replacements in the settings file after which it is still valid.
var acceptedSettingsEdits = []struct{ name, from, to string }{
	{"as given", "size = 2", "size = 2"},
	{"short lease", "report_s = 1.5\nlease_s = 10.0\ncancel_s = 40.0", "report_s = 0.5\nlease_s = 2.0\ncancel_s = 100.0"},
	{"long lease", "report_s = 1.5\nlease_s = 10.0\ncancel_s = 40.0", "report_s = 3.0\nlease_s = 45.0\ncancel_s = 75.0"},
	{"little time to cancel", "report_s = 1.5\nlease_s = 10.0\ncancel_s = 40.0", "report_s = 1.0\nlease_s = 30.0\ncancel_s = 31.0"},
	{"no gang times", "gang_wait_s = 50.0\ngang_peer_s = 5.0\n", ""},
	{"no next limits", "[facts.state.next]\nwrite_rps = 18.0\n", ""},
	{"larger next limits", "write_rps = 18.0", "value_kb = 64.0\ntxn_ops = 200"},
	{"smaller next limits", "write_rps = 18.0", "rps = 60.0\nvalue_kb = 2.0\ntxn_ops = 4"},
	{"many cores", "cores = 0.1", "cores = 2.6"},
	{"no cores", "cores = 0.1\n", ""},
	{"much memory", "memory_mb = 98.0", "memory_mb = 1e300"},
	{"no teams with limits", "cpus_max = 20.0\ngpus = 2.0\ngpus_max = 4.0", "gpus = 2.0"},
}

// TestGoldenSettings compares the parsed values of valid settings, under their names in the file, and
// the times and limits derived from them.
func TestGoldenSettings(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join("testdata", "settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, edit := range acceptedSettingsEdits {
		if !strings.Contains(string(valid), edit.from) {
			t.Fatalf("%s: the settings file does not contain %q", edit.name, edit.from)
		}
		s, err := Parse([]byte(strings.Replace(string(valid), edit.from, edit.to, 1)))
		if err != nil {
			t.Fatalf("%s: Parse returned %v, want no error", edit.name, err)
		}
		encoded, err := toml.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "=== %s\n%s--- derived\n%s\n", edit.name, encoded, describeDerivedValues(s))
	}
	compareGolden(t, "settings.golden", got.String())
}

// describeDerivedValues returns the values derived from settings, one a line.
func describeDerivedValues(s *Settings) string {
	_, known := s.Team("b")
	_, unknown := s.Team("c")
	var out strings.Builder
	for _, entry := range []struct {
		name  string
		value any
	}{
		{"worker lease", s.WorkerLease()},
		{"heartbeat interval", s.HeartbeatInterval()},
		{"worker lease bound", s.WorkerLeaseBound()},
		{"gang gather timeout", s.GangGatherTimeout()},
		{"gang peer timeout", s.GangPeerTimeout()},
		{"decision interval", s.DecisionInterval()},
		{"read interval", s.QueryReadInterval()},
		{"controller lease", s.ControllerLeaseTTL()},
		{"leadership grace", s.LeadershipGracePeriod()},
		{"staleness", s.MaxStaleness()},
		{"confirms a cancellation when empty", s.ConfirmsCancelAfterTasksEnd()},
		{"processors of 8", s.MaxProcs(8)},
		{"memory target", s.MemoryTarget()},
		{"lowest limits", s.LowestLimits()},
		{"teams with limits", s.HasTeamLimits()},
		{"known and unknown team", []bool{known, unknown}},
	} {
		fmt.Fprintf(&out, "%s: %v\n", entry.name, entry.value)
	}
	return out.String()
}

// acceptedPolicies are valid policy files.
var acceptedPolicies = []struct{ name, file string }{
	{"built in", ""},
	{"numbers", "weight = \"job.age - job.slack + job.tasks * (job.gpus + job.cpus)\"\nidle_s = \"spot ? 5 : startup * price\"\n"},
	{"conditions", "weight = \"job.class == 'a' && job.team == 'b' && job.kind == 'sweep' && job.guaranteed ? 1 : 2\"\n" +
		"preempt = \"job.priority < victim.priority && lost < 100\"\n"},
	{"earlier names", "weight = \"job.lane == 'a' && job.owner == 'b' && job.shape == 'sweep' ? job.pieces : -job.rank\"\n" +
		"idle_s = \"loaners ? 1 : 2\"\n"},
	{"headroom", "headroom = \"job.priority == 1 ? deviation * startup : slack\"\n"},
	{"headroom beyond the bounds", "headroom = \"job.priority == 1 ? 5000 : -5\"\n"},
	{"no finite numbers", "weight = \"1 / job.age\"\nheadroom = \"deviation / (job.age - 12)\"\nidle_s = \"-startup\"\n"},
	{"failing", "weight = \"[1, 2][job.tasks]\"\npreempt = \"[true][job.tasks]\"\nheadroom = \"[1][job.tasks]\"\n" +
		"idle_s = \"[1][startup > 3 ? 5 : 0]\"\n"},
}

// TestGoldenPolicy compares the results of valid policies for some jobs and machines, and the deprecated
// names that they use.
func TestGoldenPolicy(t *testing.T) {
	jobs := []JobVariables{
		{},
		{Class: "a", Team: "b", Kind: "sweep", Priority: 1, Guaranteed: true, Age: 12, Slack: 30, Tasks: 9, GPUs: 2, CPUs: 4},
		{Class: "c", Team: "b", Kind: "daemon", Priority: 3, Age: 700, Slack: 1e9, Tasks: 1, CPUs: 0.5},
	}
	var got strings.Builder
	for _, tt := range acceptedPolicies {
		p, err := ParsePolicy([]byte(tt.file))
		if err != nil {
			t.Fatalf("%s: ParsePolicy returned %v, want no error", tt.name, err)
		}
		fmt.Fprintf(&got, "=== %s\nearlier names %v, restricts preemption %t\n", tt.name, p.DeprecatedNames(), p.RestrictsPreemption())
		for i, job := range jobs {
			fmt.Fprintf(&got, "job %d: weight %g, headroom %g", i, p.Weight(job), p.Headroom(job, 2.5, 40, 45))
			for k, victim := range jobs {
				fmt.Fprintf(&got, ", preempts %d %t and %t", k, p.AllowsPreemption(job, victim, 10), p.AllowsPreemption(job, victim, 1000))
			}
			fmt.Fprintln(&got)
		}
		fmt.Fprintf(&got, "idle %g, spot %g, at once %g\n\n", p.IdleSeconds(40, 3, false), p.IdleSeconds(40, 3, true),
			p.IdleSeconds(0, 3, false))
	}
	compareGolden(t, "policy.golden", got.String())
}
