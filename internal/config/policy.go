package config

import (
	"fmt"
	"os"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
	"github.com/pelletier/go-toml/v2"
)

// Policy is what operators may set: expressions, checked when they are read. The defaults are
// built in. No policy can break a rule of PROTOCOL: preempt only restricts what is allowed, and
// the rest decides order and money.
type Policy struct {
	weight              *vm.Program
	preempt             *vm.Program
	headroom            *vm.Program
	idle                *vm.Program
	restrictsPreemption bool // preempt is more than what is built in
	deprecated          []DeprecatedName
}

// policyFile is a policy file: the sources of the expressions.
type policyFile struct {
	Weight   string `toml:"weight"`
	Preempt  string `toml:"preempt"`
	Headroom string `toml:"headroom"`
	Idle     string `toml:"idle_s"`
}

// defaultPolicy serves priorities in order, guarantees first within one, then what has least
// slack, then the oldest.
var defaultPolicy = policyFile{
	Weight:   "-1000000 * job.priority + (job.guaranteed ? 500000 : 0)",
	Preempt:  "true",
	Headroom: "job.priority < 3 && slack <= 1.25 * startup ? 2.5 * deviation : 0",
	Idle:     "startup / 2",
}

// maxHeadroom bounds the number of tasks of a class that a policy may keep room for.
const maxHeadroom = 1000

// DefaultPolicy returns the built-in policy.
func DefaultPolicy() *Policy {
	p, err := defaultPolicy.compile()
	if err != nil {
		panic(err) // a built-in expression that does not check
	}
	return p
}

// LoadPolicy reads and checks a policy file; "" gives the built-in policy. Its errors name the
// file, the expression and the reason in one line.
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
	return f.compile()
}

// compile checks all expressions and returns the policy.
func (f policyFile) compile() (*Policy, error) {
	p := &Policy{restrictsPreemption: strings.TrimSpace(f.Preempt) != defaultPolicy.Preempt}
	for _, x := range []struct {
		expression
		program **vm.Program
	}{
		{expression{"weight", f.Weight, weightVariables{}, expr.AsFloat64()}, &p.weight},
		{expression{"preempt", f.Preempt, preemptVariables{}, expr.AsBool()}, &p.preempt},
		{expression{"headroom", f.Headroom, headroomVariables{}, expr.AsFloat64()}, &p.headroom},
		{expression{"idle_s", f.Idle, idleVariables{}, expr.AsFloat64()}, &p.idle},
	} {
		var err error
		if *x.program, err = x.compile(&p.deprecated); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// DeprecatedNames returns the variables that the policy names as they were called earlier, each
// once. They go on working.
func (p *Policy) DeprecatedNames() []DeprecatedName { return p.deprecated }

// Weight returns the weight of a job: the heaviest is served first. The fallback is 0.
func (p *Policy) Weight(job JobVariables) float64 {
	return evaluate(p.weight, weightVariables{Job: job}, 0.0)
}

// RestrictsPreemption reports whether Preempt forbids anything at all. It is asked of every task
// that could be stopped, so the built-in one is not evaluated.
func (p *Policy) RestrictsPreemption() bool { return p.restrictsPreemption }

// AllowsPreemption reports whether the job may stop the victim, where PROTOCOL allows it. lost is how many
// seconds of the victim's work that would lose. The fallback is false.
func (p *Policy) AllowsPreemption(job, victim JobVariables, lost float64) bool {
	return evaluate(p.preempt, preemptVariables{Job: job, Victim: victim, Lost: lost}, false)
}

// Headroom returns the number of tasks of a class to keep room for, of which job is the latest
// job: deviation is by how many tasks arrivals during a boot fluctuate, startup how many seconds
// a boot takes, and slack how many seconds jobs can wait. The fallback is 0.
func (p *Policy) Headroom(job JobVariables, deviation, startup, slack float64) float64 {
	variables := headroomVariables{Job: job, Deviation: deviation, Startup: startup, Slack: slack}
	return min(max(evaluate(p.headroom, variables, 0.0), 0), maxHeadroom)
}

// IdleSeconds returns for how many seconds a machine without tasks is kept, one that boots for startup
// seconds and costs price an hour. The fallback is startup.
func (p *Policy) IdleSeconds(startup, price float64, spot bool) float64 {
	return max(evaluate(p.idle, idleVariables{Startup: startup, Price: price, Spot: spot}, startup), 0)
}
