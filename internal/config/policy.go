package config

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
	"github.com/pelletier/go-toml/v2"
)

// Policy is what operators may set: expressions, checked when they are read. The
// defaults are built in. No policy can break a rule of PROTOCOL: preempt only
// narrows what is allowed, and the rest decides order and money.
type Policy struct {
	weight, preempt, headroom, idle *vm.Program
	restrictsPreemption             bool // preempt is more than what is built in
	deprecated                      []DeprecatedName
}

// DeprecatedName is a variable that a policy names as it was called earlier.
type DeprecatedName struct{ Old, New string }

// DeprecatedNames returns the variables that the policy names as they were called earlier, each
// once. They go on working.
func (p *Policy) DeprecatedNames() []DeprecatedName { return p.deprecated }

// JobVariables is what an expression knows of a job.
type JobVariables struct {
	Class      string  `expr:"class"`
	Team       string  `expr:"team"`
	Kind       string  `expr:"kind"`       // as submitted: "sweep", "daemon" or "ensemble"
	Priority   int     `expr:"priority"`   // 0 is production, 3 is idle
	Guaranteed bool    `expr:"guaranteed"` // it fits its team's guarantee
	Age        float64 `expr:"age"`        // seconds since it was accepted
	Slack      float64 `expr:"slack"`      // seconds it can wait and still meet its deadline; a large number without one
	Tasks      int     `expr:"tasks"`
	GPUs       float64 `expr:"gpus"`
	CPUs       float64 `expr:"cpus"`
}

type weightEnv struct {
	Job JobVariables `expr:"job"`
}

type preemptEnv struct {
	Job    JobVariables `expr:"job"`
	Victim JobVariables `expr:"victim"`
	Lost   float64      `expr:"lost"` // seconds of the victim's work that stopping it loses
}

type headroomEnv struct {
	Job       JobVariables `expr:"job"`       // the class's latest job
	Deviation float64      `expr:"deviation"` // by how many tasks the class's arrivals during a boot fluctuate
	Startup   float64      `expr:"startup"`   // seconds that a machine boots
	Slack     float64      `expr:"slack"`     // seconds that jobs of the class can wait
}

type idleEnv struct {
	Startup float64 `expr:"startup"`
	Price   float64 `expr:"price"` // an hour
	Spot    bool    `expr:"spot"`
}

// defaultPolicy serves priorities in order, guarantees first within one, then
// what has least slack, then the oldest.
var defaultPolicy = policyFile{
	Weight:   "-1000000 * job.priority + (job.guaranteed ? 500000 : 0)",
	Preempt:  "true",
	Headroom: "job.priority < 3 && slack <= 1.25 * startup ? 2.5 * deviation : 0",
	Idle:     "startup / 2",
}

type policyFile struct {
	Weight   string `toml:"weight"`
	Preempt  string `toml:"preempt"`
	Headroom string `toml:"headroom"`
	Idle     string `toml:"idle_s"`
}

// DefaultPolicy is the built-in policy.
func DefaultPolicy() *Policy {
	p, err := compile(defaultPolicy)
	if err != nil {
		panic(err) // a built-in expression that does not check
	}
	return p
}

// LoadPolicy reads and checks a policy file; "" gives the built-in policy.
func LoadPolicy(path string) (*Policy, error) {
	if path == "" {
		return DefaultPolicy(), nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	p, err := ParsePolicy(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// ParsePolicy reads and checks a policy; what it leaves out stays as built in.
func ParsePolicy(b []byte) (*Policy, error) {
	f := defaultPolicy
	if err := toml.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("not valid: %w", err)
	}
	return compile(f)
}

func compile(f policyFile) (*Policy, error) {
	p := &Policy{restrictsPreemption: strings.TrimSpace(f.Preempt) != defaultPolicy.Preempt}
	for _, x := range []struct {
		name, src string
		env, zero any
		as        expr.Option
		to        **vm.Program
	}{
		{"weight", f.Weight, weightEnv{}, 0.0, expr.AsFloat64(), &p.weight},
		{"preempt", f.Preempt, preemptEnv{}, false, expr.AsBool(), &p.preempt},
		{"headroom", f.Headroom, headroomEnv{}, 0.0, expr.AsFloat64(), &p.headroom},
		{"idle_s", f.Idle, idleEnv{}, 0.0, expr.AsFloat64(), &p.idle},
	} {
		names := &variableRenamer{found: &p.deprecated}
		prog, err := expr.Compile(x.src, expr.Env(x.env), x.as, expr.Patch(names))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", x.name, oneLine(err))
		}
		// A trial with everything zero finds what the types don't show.
		if v, err := expr.Run(prog, x.env); err != nil {
			return nil, fmt.Errorf("%s: %w", x.name, oneLine(err))
		} else if f, ok := v.(float64); ok && math.IsNaN(f) {
			return nil, fmt.Errorf("%s: not a number when everything is zero", x.name)
		}
		*x.to = prog
	}
	return p, nil
}

// renamedVariables returns what variables are called now, by what they were called earlier.
var renamedVariables = map[string]string{
	"lane": "class", "owner": "team", "shape": "kind", "rank": "priority", "pieces": "tasks", "loaners": "spot",
}

// variableRenamer turns earlier names of variables in an expression into those of now.
type variableRenamer struct {
	found *[]DeprecatedName
}

// Visit implements ast.Visitor.
func (v *variableRenamer) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IdentifierNode:
		n.Value = v.current(n.Value)
	case *ast.MemberNode:
		if property, ok := n.Property.(*ast.StringNode); ok {
			property.Value = v.current(property.Value)
		}
	}
}

func (v *variableRenamer) current(name string) string {
	now, outdated := renamedVariables[name]
	if !outdated {
		return name
	}
	if entry := (DeprecatedName{name, now}); !slices.Contains(*v.found, entry) {
		*v.found = append(*v.found, entry)
	}
	return now
}

// oneLine keeps the first line of an error: the rest points into the source.
func oneLine(err error) error {
	s := err.Error()
	for i := range len(s) {
		if s[i] == '\n' {
			return fmt.Errorf("%s", s[:i])
		}
	}
	return err
}

// vmPool run expressions; a plan has hundreds to evaluate.
var vmPool = sync.Pool{New: func() any { return &vm.VM{} }}

// run evaluates an expression; one that fails or is not finite gives the fallback.
func run[T any](p *vm.Program, env any, fallback T) T {
	m, _ := vmPool.Get().(*vm.VM)
	v, err := m.Run(p, env)
	vmPool.Put(m)
	if err != nil {
		return fallback
	}
	if f, ok := v.(float64); ok && (math.IsNaN(f) || math.IsInf(f, 0)) {
		return fallback
	}
	t, ok := v.(T)
	if !ok {
		return fallback
	}
	return t
}

// Weight orders jobs: the heaviest is served first.
func (p *Policy) Weight(w JobVariables) float64 { return run(p.weight, weightEnv{w}, 0.0) }

// RestrictsPreemption reports whether Preempt forbids anything at all. It is asked of every
// task that could be stopped, so the built-in one is not evaluated.
func (p *Policy) RestrictsPreemption() bool { return p.restrictsPreemption }

// Preempt reports whether the job may stop the victim, where PROTOCOL allows it.
func (p *Policy) Preempt(job, victim JobVariables, lost float64) bool {
	return run(p.preempt, preemptEnv{job, victim, lost}, false)
}

// Headroom is the number of tasks of a class to keep room for.
func (p *Policy) Headroom(w JobVariables, deviation, startup, slack float64) float64 {
	return min(max(run(p.headroom, headroomEnv{w, deviation, startup, slack}, 0.0), 0), 1000)
}

// Idle is for how many seconds a machine without tasks is kept.
func (p *Policy) Idle(startup, price float64, spot bool) float64 {
	return max(run(p.idle, idleEnv{startup, price, spot}, startup), 0)
}
