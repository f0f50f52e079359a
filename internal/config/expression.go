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

// errNotANumber reports that an expression evaluates to NaN if all its variables are zero.
var errNotANumber = errors.New("result is NaN if all variables are zero")

// expression is one expression of a policy file, not compiled yet.
type expression struct {
	name      string // name of the setting that holds the expression
	source    string
	variables any         // zero value of the struct that holds the expression's variables
	result    expr.Option // required type of the result
}

// compile type-checks and compiles the expression. It appends the deprecated variable names that
// the expression uses to deprecated. An error is one line and starts with the setting's name.
func (e expression) compile(deprecated *[]DeprecatedName) (*vm.Program, error) {
	renamer := expr.Patch(&variableRenamer{deprecated: deprecated})
	program, err := expr.Compile(e.source, expr.Env(e.variables), e.result, renamer)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.name, firstLine(err))
	}
	// A test run with all variables zero detects errors that type checking can't.
	value, err := expr.Run(program, e.variables)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.name, firstLine(err))
	}
	if number, ok := value.(float64); ok && math.IsNaN(number) {
		return nil, fmt.Errorf("%s: %w", e.name, errNotANumber)
	}
	return program, nil
}

// firstLine returns an error with only the first line of err. The compiler's other lines show the
// position in the source.
func firstLine(err error) error {
	line, _, more := strings.Cut(err.Error(), "\n")
	if !more {
		return err
	}
	return errors.New(line)
}

// vmPool reuses the virtual machines that evaluate programs; one scheduling plan evaluates hundreds
// of programs.
var vmPool = sync.Pool{New: func() any { return &vm.VM{} }}

// evaluate returns the result of a program, or the fallback if the program fails or returns a
// number that is not finite.
func evaluate[T any](program *vm.Program, variables any, fallback T) T {
	machine, _ := vmPool.Get().(*vm.VM) // the pool holds only *vm.VM
	value, err := machine.Run(program, variables)
	vmPool.Put(machine)
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
