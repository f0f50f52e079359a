package config

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// errNotANumber says that an expression has no value that is a number.
var errNotANumber = errors.New("not a number when everything is zero")

// expression is one expression of a policy file.
type expression struct {
	name      string // of its setting
	source    string
	variables any         // a value of the type of what it knows, all zero
	result    expr.Option // the type of its value
}

// compile checks the expression and returns its program. It adds earlier names of variables
// that the expression uses to deprecated. Its error is one line that names the setting.
func (e expression) compile(deprecated *[]DeprecatedName) (*vm.Program, error) {
	renamer := expr.Patch(&variableRenamer{found: deprecated})
	program, err := expr.Compile(e.source, expr.Env(e.variables), e.result, renamer)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.name, firstLine(err))
	}
	// A trial with everything zero finds what the types don't show.
	value, err := expr.Run(program, e.variables)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.name, firstLine(err))
	}
	if number, ok := value.(float64); ok && math.IsNaN(number) {
		return nil, fmt.Errorf("%s: %w", e.name, errNotANumber)
	}
	return program, nil
}

// firstLine returns an error with the first line of err: the others point into the source.
func firstLine(err error) error {
	line, _, more := strings.Cut(err.Error(), "\n")
	if !more {
		return err
	}
	return errors.New(line)
}

// machines are virtual machines to evaluate programs with; a plan has hundreds to evaluate.
var machines = sync.Pool{New: func() any { return &vm.VM{} }}

// evaluate returns the value of a program, or the fallback if it fails, or gives a number that
// is not finite.
func evaluate[T any](program *vm.Program, variables any, fallback T) T {
	machine, _ := machines.Get().(*vm.VM) // nothing else is put in
	value, err := machine.Run(program, variables)
	machines.Put(machine)
	if err != nil {
		return fallback
	}
	if number, ok := value.(float64); ok && (math.IsNaN(number) || math.IsInf(number, 0)) {
		return fallback
	}
	result, ok := value.(T)
	if !ok {
		return fallback
	}
	return result
}
