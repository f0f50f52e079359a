package config

import (
	"slices"

	"github.com/expr-lang/expr/ast"
)

// JobVariables holds the variables of a job that expressions can use.
type JobVariables struct {
	Class      string  `expr:"class"`
	Team       string  `expr:"team"`
	Kind       string  `expr:"kind"`       // as submitted: "sweep", "daemon" or "ensemble"
	Priority   int     `expr:"priority"`   // 0 is production, 3 is idle
	Guaranteed bool    `expr:"guaranteed"` // the job fits its team's guarantee
	Age        float64 `expr:"age"`        // seconds since the job was accepted
	Slack      float64 `expr:"slack"`      // seconds that the job can wait and still meet its deadline; a large number if it has none
	Tasks      int     `expr:"tasks"`
	GPUs       float64 `expr:"gpus"` // of one task
	CPUs       float64 `expr:"cpus"` // of one task
}

// weightVariables holds the variables of the weight expression.
type weightVariables struct {
	Job JobVariables `expr:"job"`
}

// preemptVariables holds the variables of the preempt expression.
type preemptVariables struct {
	Job    JobVariables `expr:"job"`
	Victim JobVariables `expr:"victim"`
	Lost   float64      `expr:"lost"` // seconds of the victim's work that the preemption loses
}

// headroomVariables holds the variables of the headroom expression.
type headroomVariables struct {
	Job       JobVariables `expr:"job"`       // the latest job of the class
	Deviation float64      `expr:"deviation"` // fluctuation, in tasks, of the class's arrivals during a boot
	Startup   float64      `expr:"startup"`   // boot time of a machine in seconds
	Slack     float64      `expr:"slack"`     // seconds that jobs of the class can wait
}

// idleVariables holds the variables of the idle_s expression.
type idleVariables struct {
	Startup float64 `expr:"startup"` // boot time of the machine in seconds
	Price   float64 `expr:"price"`   // price an hour
	Spot    bool    `expr:"spot"`
}

// DeprecatedName is a deprecated variable name that a policy uses, and the current name.
type DeprecatedName struct{ Old, New string }

// currentVariableNames maps deprecated variable names to the current ones.
var currentVariableNames = map[string]string{
	"lane":    "class",
	"owner":   "team",
	"shape":   "kind",
	"rank":    "priority",
	"pieces":  "tasks",
	"loaners": "spot",
}

// variableRenamer replaces deprecated variable names in an expression with the current ones. It
// appends each deprecated name that it finds to deprecated, once.
type variableRenamer struct {
	deprecated *[]DeprecatedName
}

// Visit implements ast.Visitor.
func (v *variableRenamer) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IdentifierNode:
		n.Value = v.currentName(n.Value)
	case *ast.MemberNode:
		if property, ok := n.Property.(*ast.StringNode); ok {
			property.Value = v.currentName(property.Value)
		}
	}
}

// currentName returns the current name of a variable and records name if it is deprecated.
func (v *variableRenamer) currentName(name string) string {
	newName, deprecated := currentVariableNames[name]
	if !deprecated {
		return name
	}
	if entry := (DeprecatedName{Old: name, New: newName}); !slices.Contains(*v.deprecated, entry) {
		*v.deprecated = append(*v.deprecated, entry)
	}
	return newName
}
