package config

import (
	"fmt"
	"os"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
	"github.com/pelletier/go-toml/v2"
)

// Policy holds the compiled expressions that operators may configure; each has a built-in default.
// No policy can violate a rule of PROTOCOL: preempt can only forbid preemptions that are otherwise
// allowed, and the other expressions only affect the order of jobs and the cost of machines.
type Policy struct {
	weight              *vm.Program
	preempt             *vm.Program
	headroom            *vm.Program
	idle                *vm.Program
	restrictsPreemption bool // preempt differs from the built-in expression
	deprecated          []DeprecatedName
}

// policyFile is the content of a policy file: the sources of the expressions.
type policyFile struct {
	Weight   string `toml:"weight"`
	Preempt  string `toml:"preempt"`
	Headroom string `toml:"headroom"`
	Idle     string `toml:"idle_s"`
}

// defaultPolicy orders jobs by priority. Within a priority, jobs that fit their team's guarantee come
// first. The scheduler breaks ties, mainly by slack (least first) and then by age (oldest first).
var defaultPolicy = policyFile{
	Weight:   "-1000000 * job.priority + (job.guaranteed ? 500000 : 0)",
	Preempt:  "true",
	Headroom: "job.priority < 3 && slack <= 1.25 * startup ? 2.5 * deviation : 0",
	Idle:     "startup / 2",
}

// maxHeadroom is the largest number of tasks of a class that a policy may reserve capacity for.
const maxHeadroom = 1000

// DefaultPolicy returns the built-in policy.
func DefaultPolicy() *Policy {
	p, err := defaultPolicy.compile()
	if err != nil {
		panic(err) // the built-in expressions are constants; an invalid one is a bug
	}
	return p
}

// LoadPolicy reads and checks a policy file. An empty path selects the built-in policy. Errors are
// one line that names the file, the expression and the reason.
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

// ParsePolicy parses and checks a policy. Expressions that are not set keep their built-in default.
func ParsePolicy(b []byte) (*Policy, error) {
	f := defaultPolicy
	if err := toml.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("not valid: %w", err)
	}
	return f.compile()
}

// compile compiles all expressions and returns the policy.
func (f policyFile) compile() (*Policy, error) {
	p := &Policy{restrictsPreemption: strings.TrimSpace(f.Preempt) != defaultPolicy.Preempt}
	for _, entry := range []struct {
		expression
		program **vm.Program
	}{
		{expression{"weight", f.Weight, weightVariables{}, expr.AsFloat64()}, &p.weight},
		{expression{"preempt", f.Preempt, preemptVariables{}, expr.AsBool()}, &p.preempt},
		{expression{"headroom", f.Headroom, headroomVariables{}, expr.AsFloat64()}, &p.headroom},
		{expression{"idle_s", f.Idle, idleVariables{}, expr.AsFloat64()}, &p.idle},
	} {
		var err error
		if *entry.program, err = entry.compile(&p.deprecated); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// DeprecatedNames returns the deprecated variable names that the policy uses, each once. They are
// still supported.
func (p *Policy) DeprecatedNames() []DeprecatedName { return p.deprecated }

// Weight returns the weight of a job. Jobs of higher weight are scheduled first. The fallback is 0.
func (p *Policy) Weight(job JobVariables) float64 {
	return evaluate(p.weight, weightVariables{Job: job}, 0.0)
}

// RestrictsPreemption reports whether the policy sets its own preempt expression. The built-in one
// allows every preemption; callers skip its evaluation, because there would be one for each
// candidate task.
func (p *Policy) RestrictsPreemption() bool { return p.restrictsPreemption }

// AllowsPreemption reports whether the job may preempt the victim, where PROTOCOL allows it. lost is the work
// of the victim, in seconds, that the preemption would lose. The fallback is false.
func (p *Policy) AllowsPreemption(job, victim JobVariables, lost float64) bool {
	return evaluate(p.preempt, preemptVariables{Job: job, Victim: victim, Lost: lost}, false)
}

// Headroom returns the number of tasks of a class to reserve capacity for. job is the latest job of
// the class, deviation the fluctuation of the class's arrivals during a machine's boot in tasks,
// startup the boot time in seconds, and slack the time in seconds that jobs can wait. The fallback
// is 0.
func (p *Policy) Headroom(job JobVariables, deviation, startup, slack float64) float64 {
	variables := headroomVariables{Job: job, Deviation: deviation, Startup: startup, Slack: slack}
	return min(max(evaluate(p.headroom, variables, 0.0), 0), maxHeadroom)
}

// IdleSeconds returns for how many seconds a machine without tasks is kept. startup is its boot time in
// seconds and price its price an hour. The fallback is startup.
func (p *Policy) IdleSeconds(startup, price float64, spot bool) float64 {
	return max(evaluate(p.idle, idleVariables{Startup: startup, Price: price, Spot: spot}, startup), 0)
}
