package config

import (
	"strings"
	"testing"
)

// Deprecated variable names have the same effect in a policy as the current ones and are reported, each
// once. Unknown names are rejected.
func TestDeprecatedVariableNames(t *testing.T) {
	const oldNames = `
weight = "job.lane == 'a' && job.owner == 'b' && job.shape == 'sweep' ? job.pieces - job.rank : -job.rank"
preempt = "job.rank < victim.rank && victim['lane'] != 'a'"
idle_s = "loaners ? 1 : 2"
`
	currentNames := strings.NewReplacer(
		"lane", "class", "owner", "team", "shape", "kind", "pieces", "tasks", "rank", "priority", "loaners",
		"spot",
	).Replace(oldNames)
	oldPolicy, err := ParsePolicy([]byte(oldNames))
	if err != nil {
		t.Fatal(err)
	}
	currentPolicy, err := ParsePolicy([]byte(currentNames))
	if err != nil {
		t.Fatal(err)
	}
	if len(oldPolicy.DeprecatedNames()) != 6 || len(currentPolicy.DeprecatedNames()) != 0 || len(DefaultPolicy().DeprecatedNames()) != 0 {
		t.Errorf("deprecated names: %v, want 6; with current names: %v, want none; built-in policy: %v, want none",
			oldPolicy.DeprecatedNames(), currentPolicy.DeprecatedNames(), DefaultPolicy().DeprecatedNames())
	}
	for _, job := range []JobVariables{{Class: "a", Team: "b", Kind: "sweep", Tasks: 9, Priority: 2}, {Class: "c", Priority: 1}} {
		for _, victim := range []JobVariables{{Class: "a", Priority: 3}, {Class: "c", Priority: 3}} {
			if oldPolicy.Weight(job) != currentPolicy.Weight(job) ||
				oldPolicy.AllowsPreemption(job, victim, 1) != currentPolicy.AllowsPreemption(job, victim, 1) ||
				oldPolicy.IdleSeconds(1, 1, true) != currentPolicy.IdleSeconds(1, 1, true) {
				t.Errorf("job %+v, victim %+v: deprecated and current names give different results", job, victim)
			}
		}
	}
	if oldPolicy.Weight(JobVariables{
		Class:    "a",
		Team:     "b",
		Kind:     "sweep",
		Tasks:    9,
		Priority: 2,
	}) != 7 || oldPolicy.AllowsPreemption(JobVariables{}, JobVariables{Class: "c", Priority: 3}, 1) != true {
		t.Error("weight is not 7, or preemption is not allowed, with deprecated names")
	}
	for _, src := range []string{`weight = "job.lanes"`, `idle_s = "loaner ? 1 : 2"`} {
		if _, err := ParsePolicy([]byte(src)); err == nil {
			t.Errorf("ParsePolicy(%s) returned no error, want one for the unknown variable", src)
		}
	}
}

// Configured expressions are evaluated, and expressions that are left out keep their defaults. An invalid
// expression gives a one-line error that begins with its name.
func TestPolicy(t *testing.T) {
	p, err := ParsePolicy([]byte(`
weight = "job.lane == 'x' ? 10 : -job.rank"
idle_s = "loaners ? 5 : startup * 2"
`))
	if err != nil {
		t.Fatal(err)
	}
	if p.Weight(JobVariables{Class: "x"}) != 10 || p.Weight(JobVariables{Priority: 2}) != -2 || p.IdleSeconds(40, 3, false) != 80 ||
		p.IdleSeconds(40, 3, true) != 5 {
		t.Error("weight or idle time differs from the configured expressions: want weights 10 and -2, idle times 80 and 5")
	}
	if !p.AllowsPreemption(JobVariables{}, JobVariables{Priority: 3}, 100) || p.Headroom(JobVariables{Priority: 3}, 4, 40, 10) != 0 ||
		p.Headroom(JobVariables{Priority: 1}, 4, 40, 10) != 10 {
		t.Error("preempt or headroom differs from the built-in expressions: want true, headrooms 0 and 10")
	}
	for name, src := range map[string]string{
		"weight":   `weight = "job.colour"`,
		"preempt":  `preempt = "lost"`,
		"headroom": `headroom = "deviation +"`,
		"idle_s":   `idle_s = "'long'"`,
	} {
		if _, err = ParsePolicy([]byte(src)); err == nil || !strings.HasPrefix(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("ParsePolicy(%s) returned %v, want one line that begins with %s", src, err, name)
		}
	}
	if p, err = ParsePolicy([]byte(`weight = "job.age / job.gpus"`)); err == nil && p.Weight(JobVariables{Age: 1}) != 0 {
		t.Error("a weight that is not finite is not replaced by the fallback 0")
	}
}
