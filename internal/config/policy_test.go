package config

import (
	"strings"
	"testing"
)

// A policy that names variables as they were called earlier means the same, and the names
// are told, each once; unknown ones are refused in both forms.
func TestDeprecatedVariableNames(t *testing.T) {
	const old = `
weight = "job.lane == 'a' && job.owner == 'b' && job.shape == 'sweep' ? job.pieces - job.rank : -job.rank"
preempt = "job.rank < victim.rank && victim['lane'] != 'a'"
idle_s = "loaners ? 1 : 2"
`
	now := strings.NewReplacer(
		"lane", "class", "owner", "team", "shape", "kind", "pieces", "tasks", "rank", "priority", "loaners",
		"spot",
	).Replace(old)
	a, err := ParsePolicy([]byte(old))
	if err != nil {
		t.Fatal(err)
	}
	b, err := ParsePolicy([]byte(now))
	if err != nil {
		t.Fatal(err)
	}
	if len(a.DeprecatedNames()) != 6 || len(b.DeprecatedNames()) != 0 || len(DefaultPolicy().DeprecatedNames()) != 0 {
		t.Errorf("outdated: %v and %v", a.DeprecatedNames(), b.DeprecatedNames())
	}
	for _, w := range []JobVariables{{Class: "a", Team: "b", Kind: "sweep", Tasks: 9, Priority: 2}, {Class: "c", Priority: 1}} {
		for _, v := range []JobVariables{{Class: "a", Priority: 3}, {Class: "c", Priority: 3}} {
			if a.Weight(w) != b.Weight(w) || a.AllowsPreemption(w, v, 1) != b.AllowsPreemption(w, v, 1) || a.IdleSeconds(1, 1, true) != b.IdleSeconds(1, 1, true) {
				t.Errorf("%+v, %+v: the names decide", w, v)
			}
		}
	}
	if a.Weight(JobVariables{
		Class:    "a",
		Team:     "b",
		Kind:     "sweep",
		Tasks:    9,
		Priority: 2,
	}) != 7 || a.AllowsPreemption(JobVariables{}, JobVariables{Class: "c", Priority: 3}, 1) != true {
		t.Error("other values than written")
	}
	for _, src := range []string{`weight = "job.lanes"`, `idle_s = "loaner ? 1 : 2"`} {
		if _, err := ParsePolicy([]byte(src)); err == nil {
			t.Errorf("%s is taken", src)
		}
	}
}

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
		t.Error("expressions give other values")
	}
	if !p.AllowsPreemption(JobVariables{}, JobVariables{Priority: 3}, 100) || p.Headroom(JobVariables{Priority: 3}, 4, 40, 10) != 0 ||
		p.Headroom(JobVariables{Priority: 1}, 4, 40, 10) != 10 {
		t.Error("what is left out is not as built in")
	}
	for name, src := range map[string]string{
		"weight":   `weight = "job.colour"`,
		"preempt":  `preempt = "lost"`,
		"headroom": `headroom = "deviation +"`,
		"idle_s":   `idle_s = "'long'"`,
	} {
		if _, err = ParsePolicy([]byte(src)); err == nil || !strings.HasPrefix(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", src, err)
		}
	}
	if p, err = ParsePolicy([]byte(`weight = "job.age / job.gpus"`)); err == nil && p.Weight(JobVariables{Age: 1}) != 0 {
		t.Error("a weight that is not finite must count as none")
	}
}
