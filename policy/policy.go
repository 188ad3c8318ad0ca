// Package policy holds the operators' own settings: expressions, checked
// before the service starts.
package policy

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"

	"switchferry/tuning"
)

// Names of the settings.
const (
	SlotS        = "slot_s"
	FetchPenalty = "fetch_penalty"
	HeadroomCPUs = "headroom_cpus"
	IdleKeepS    = "idle_keep_s"
	SpotShare    = "spot_share"
	ReserveCPUs  = "reserve_cpus"
	BeginByS     = "begin_by_s"
)

// Vars are the variables of an expression.
type Vars map[string]float64

type setting struct {
	description string
	fallback    string
	variables   []string
	min, max    float64
}

var settings = map[string]setting{
	SlotS: {"length of a slot of the water-filling, in seconds", "2",
		nil, 0.1, 600},
	FetchPenalty: {"slots added to the busy time of a machine that lacks the image", "ceil(fetch_s / slot_s)",
		[]string{"fetch_s", "slot_s"}, 0, 1e6},
	HeadroomCPUs: {"processors to keep beyond what unfinished jobs ask for", "0.4 * demand_cpus + 0.25 * guaranteed_cpus",
		[]string{"demand_cpus", "guaranteed_cpus"}, 0, 1e6},
	IdleKeepS: {"how long a machine stays without work before it is returned, in seconds", "max(20, 8 * boot_s)",
		[]string{"boot_s"}, 0, 1e6},
	ReserveCPUs: {"processors that jobs of rank low leave free while others have work", "0.1 * owned_cpus",
		[]string{"owned_cpus"}, 0, 1e6},
	BeginByS: {"how long a job may wait without a start before it has one task's turn ahead of all but production, in seconds", "150",
		nil, 10, tuning.BeginMostS},
	SpotShare: {"largest share of all processors that spot machines may be", "1",
		[]string{"demand_cpus"}, 0, 1},
}

// Policy evaluates the settings.
type Policy struct {
	programs map[string]*vm.Program
	defaults map[string]*vm.Program

	mu     sync.Mutex
	warned map[string]bool
}

func compileExpression(name, text string) (*vm.Program, error) {
	env := map[string]any{}
	for _, v := range settings[name].variables {
		env[v] = 0.0
	}
	return expr.Compile(text, expr.Env(env), expr.AsFloat64())
}

// Default is the built-in policy.
func Default() *Policy {
	p := &Policy{programs: map[string]*vm.Program{}, defaults: map[string]*vm.Program{}, warned: map[string]bool{}}
	for name, s := range settings {
		program, err := compileExpression(name, s.fallback)
		if err != nil {
			panic(fmt.Sprintf("built-in policy %s: %v", name, err))
		}
		p.programs[name], p.defaults[name] = program, program
	}
	return p
}

// Load reads a policy file over the defaults; an empty path gives these.
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

// Parse reads lines of the form `name = expression`; # starts a comment. The
// error has a line for every mistake.
func Parse(text string) (*Policy, error) {
	p := Default()
	var bad []error
	seen := map[string]int{}
	sc := bufio.NewScanner(strings.NewReader(text))
	for line := 1; sc.Scan(); line++ {
		s := strings.TrimSpace(sc.Text())
		if s == "" || strings.HasPrefix(s, "#") {
			continue
		}
		name, body, ok := strings.Cut(s, "=")
		name = strings.TrimSpace(name)
		if !ok {
			bad = append(bad, fmt.Errorf("policy: line %d: want name = expression", line))
			continue
		}
		if _, ok := settings[name]; !ok {
			bad = append(bad, fmt.Errorf("policy: line %d: %s: no such setting; there are %s", line, name, strings.Join(Names(), ", ")))
			continue
		}
		if at := seen[name]; at > 0 {
			bad = append(bad, fmt.Errorf("policy: line %d: %s: already set in line %d", line, name, at))
			continue
		}
		seen[name] = line
		if err := p.setExpression(name, strings.TrimSpace(body)); err != nil {
			bad = append(bad, fmt.Errorf("policy: line %d: %s: %w", line, name, err))
		}
	}
	if err := sc.Err(); err != nil {
		bad = append(bad, fmt.Errorf("policy: %w", err))
	}
	if len(bad) > 0 {
		return nil, errors.Join(bad...)
	}
	return p, nil
}

// setExpression compiles one setting and puts it in place of its default.
func (policy *Policy) setExpression(name, body string) error {
	program, err := compileExpression(name, body)
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return fmt.Errorf("want a number: %s", first)
	}
	if s := settings[name]; len(s.variables) == 0 {
		// It does not hang on anything, so that it is out of range shows here.
		if v, err := evaluate(program, nil); err == nil && !(v >= s.min && v <= s.max) {
			return fmt.Errorf("is %g, want %g to %g", v, s.min, s.max)
		}
	}
	policy.programs[name] = program
	return nil
}

// Of is the built-in policy with other expressions for some settings. It is of use only if tell was not told of a
// mistake.
func Of(expressions map[string]string, tell func(name, want string)) *Policy {
	p := Default()
	for _, name := range slices.Sorted(maps.Keys(expressions)) {
		if _, ok := settings[name]; !ok {
			tell(name, "no such setting; there are "+strings.Join(Names(), ", "))
			continue
		}
		if err := p.setExpression(name, strings.TrimSpace(expressions[name])); err != nil {
			tell(name, err.Error())
		}
	}
	return p
}

// Names lists the settings.
func Names() []string {
	var out []string
	for n := range settings {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Describe is a setting's meaning, its default and its variables.
func Describe(name string) (doc, fallback string, vars []string) {
	s := settings[name]
	return s.description, s.fallback, s.variables
}

// Value evaluates a setting. An expression that fails or gives a value out of
// range is replaced by the default, which is logged once.
func (policy *Policy) Value(name string, vars Vars) float64 {
	s := settings[name]
	v, err := evaluate(policy.programs[name], vars)
	if err == nil && v >= s.min && v <= s.max {
		return v
	}
	d, derr := evaluate(policy.defaults[name], vars)
	if derr != nil {
		d = s.min
	}
	d = math.Min(math.Max(d, s.min), s.max)
	policy.mu.Lock()
	first := !policy.warned[name]
	policy.warned[name] = true
	policy.mu.Unlock()
	if first {
		slog.Error("policy: using the default", "setting", name, "value", v, "err", err, "least", s.min, "most", s.max)
	}
	return d
}

func evaluate(program *vm.Program, vars Vars) (float64, error) {
	env := make(map[string]any, len(vars))
	for k, v := range vars {
		env[k] = v
	}
	out, err := expr.Run(program, env)
	if err != nil {
		return 0, err
	}
	f, ok := out.(float64)
	if !ok || math.IsNaN(f) {
		return 0, fmt.Errorf("not a number: %v", out)
	}
	return f, nil
}
