package config

import (
	"slices"

	"github.com/expr-lang/expr/ast"
)

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
	GPUs       float64 `expr:"gpus"` // of one task
	CPUs       float64 `expr:"cpus"` // of one task
}

// weightVariables is what the expression weight knows.
type weightVariables struct {
	Job JobVariables `expr:"job"`
}

// preemptVariables is what the expression preempt knows.
type preemptVariables struct {
	Job    JobVariables `expr:"job"`
	Victim JobVariables `expr:"victim"`
	Lost   float64      `expr:"lost"` // seconds of the victim's work that stopping it loses
}

// headroomVariables is what the expression headroom knows.
type headroomVariables struct {
	Job       JobVariables `expr:"job"`       // the class's latest job
	Deviation float64      `expr:"deviation"` // by how many tasks the class's arrivals during a boot fluctuate
	Startup   float64      `expr:"startup"`   // seconds that a machine boots
	Slack     float64      `expr:"slack"`     // seconds that jobs of the class can wait
}

// idleVariables is what the expression idle_s knows.
type idleVariables struct {
	Startup float64 `expr:"startup"` // seconds that a machine boots
	Price   float64 `expr:"price"`   // an hour
	Spot    bool    `expr:"spot"`
}

// DeprecatedName is a variable that a policy names as it was called earlier.
type DeprecatedName struct{ Old, New string }

// renamedVariables maps what variables were called earlier to what they are called now.
var renamedVariables = map[string]string{
	"lane":    "class",
	"owner":   "team",
	"shape":   "kind",
	"rank":    "priority",
	"pieces":  "tasks",
	"loaners": "spot",
}

// variableRenamer replaces earlier names of variables in an expression by those of now, and
// collects the ones that it found, each once.
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

// current returns what a variable is called now.
func (v *variableRenamer) current(name string) string {
	now, deprecated := renamedVariables[name]
	if !deprecated {
		return name
	}
	if entry := (DeprecatedName{Old: name, New: now}); !slices.Contains(*v.found, entry) {
		*v.found = append(*v.found, entry)
	}
	return now
}
