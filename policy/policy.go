// Package policy evaluates the settings that operators write as expressions in a policy file. Expressions are
// compiled and checked before the service starts and evaluated whenever the scheduler needs a value.
package policy

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// Vars maps the variables of an expression to their values.
type Vars map[string]float64

// Policy evaluates the settings. It is safe for concurrent use.
type Policy struct {
	// programs maps each setting to its compiled expression, defaults to the built-in one. Neither map changes after
	// the policy has been constructed.
	programs map[string]*vm.Program
	defaults map[string]*vm.Program

	// mu guards warnedSettings.
	mu sync.Mutex
	// warnedSettings holds the settings for which the use of the default has been logged.
	warnedSettings map[string]bool
}

// Default returns the built-in policy.
func Default() *Policy {
	policy := &Policy{programs: map[string]*vm.Program{}, defaults: map[string]*vm.Program{}, warnedSettings: map[string]bool{}}
	for name, setting := range definitions {
		program, err := compileExpression(name, setting.fallback)
		if err != nil {
			panic(fmt.Sprintf("built-in policy %s: %v", name, err))
		}
		policy.programs[name], policy.defaults[name] = program, program
	}
	return policy
}

// Load returns the built-in policy with the settings of a policy file applied. If path is empty, it returns the
// built-in policy.
func Load(path string) (*Policy, error) {
	if path == "" {
		return Default(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return Parse(string(raw))
}

// FromExpressions returns the built-in policy with the given expressions, by name of the setting. It calls fail for
// each invalid one, in alphabetical order of the names; if it has called fail, the policy must not be used.
func FromExpressions(expressions map[string]string, fail func(name, want string)) *Policy {
	policy := Default()
	for _, name := range slices.Sorted(maps.Keys(expressions)) {
		if _, ok := definitions[name]; !ok {
			fail(name, errUnknownSetting().Error())
			continue
		}
		if err := policy.setExpression(name, strings.TrimSpace(expressions[name])); err != nil {
			fail(name, err.Error())
		}
	}
	return policy
}

// errUnknownSetting returns the error for an unknown setting, which lists the known ones.
func errUnknownSetting() error {
	return fmt.Errorf("no such setting; there are %s", strings.Join(Names(), ", "))
}

// setExpression compiles an expression for a known setting and replaces the built-in one.
func (policy *Policy) setExpression(name, text string) error {
	program, err := compileExpression(name, text)
	if err != nil {
		// The remaining lines of the message show the position in the expression.
		summary, _, _ := strings.Cut(err.Error(), "\n")
		return fmt.Errorf("want a number: %s", summary)
	}
	if setting := definitions[name]; len(setting.variables) == 0 {
		// An expression without variables is constant, so its value can be checked now.
		if value, err := evaluate(program, nil); err == nil && !setting.inRange(value) {
			return fmt.Errorf("is %g, want %g to %g", value, setting.min, setting.max)
		}
	}
	policy.programs[name] = program
	return nil
}

// Value evaluates a setting. If the expression fails or its value is out of range, the built-in expression is
// used instead, with its value clamped to the range. The first such failure of each setting is logged.
func (policy *Policy) Value(name string, vars Vars) float64 {
	setting := definitions[name]
	value, err := evaluate(policy.programs[name], vars)
	if err == nil && setting.inRange(value) {
		return value
	}
	fallback, fallbackErr := evaluate(policy.defaults[name], vars)
	if fallbackErr != nil {
		fallback = setting.min
	}
	fallback = math.Min(math.Max(fallback, setting.min), setting.max)
	if policy.markWarned(name) {
		slog.Error("invalid policy value, using the default", "setting", name, "value", value, "err", err,
			"least", setting.min, "most", setting.max)
	}
	return fallback
}

// markWarned records that the use of the default has been logged for a setting. It reports whether this is the
// first call for the setting.
func (policy *Policy) markWarned(name string) bool {
	policy.mu.Lock()
	defer policy.mu.Unlock()
	first := !policy.warnedSettings[name]
	policy.warnedSettings[name] = true
	return first
}

// compileExpression compiles an expression that may use the variables of a setting and must yield a number.
func compileExpression(name, text string) (*vm.Program, error) {
	environment := map[string]any{}
	for _, variable := range definitions[name].variables {
		environment[variable] = 0.0
	}
	return expr.Compile(text, expr.Env(environment), expr.AsFloat64())
}

// errNotNumber reports an expression whose result is NaN or not a number.
var errNotNumber = errors.New("not a number")

// evaluate runs a program. It returns errNotNumber rather than NaN.
func evaluate(program *vm.Program, vars Vars) (float64, error) {
	environment := make(map[string]any, len(vars))
	for variable, value := range vars {
		environment[variable] = value
	}
	result, err := expr.Run(program, environment)
	if err != nil {
		return 0, err
	}
	value, ok := result.(float64)
	if !ok || math.IsNaN(value) {
		return 0, fmt.Errorf("%w: %v", errNotNumber, result)
	}
	return value, nil
}
