package policy

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
)

// Parse returns the built-in policy with the settings of a policy file applied. Each line of the file has the
// form `name = expression`; empty lines and lines that start with # are skipped. The error has one line for
// each invalid line of the file.
func Parse(text string) (*Policy, error) {
	parser := fileParser{policy: Default(), settingLines: map[string]int{}}
	var invalid []error
	scanner := bufio.NewScanner(strings.NewReader(text))
	for line := 1; scanner.Scan(); line++ {
		if err := parser.parseLine(line, strings.TrimSpace(scanner.Text())); err != nil {
			invalid = append(invalid, fmt.Errorf("policy: line %d: %w", line, err))
		}
	}
	if err := scanner.Err(); err != nil {
		invalid = append(invalid, fmt.Errorf("policy: %w", err))
	}
	if len(invalid) > 0 {
		return nil, errors.Join(invalid...)
	}
	return parser.policy, nil
}

// errMissingEquals reports a line without an equals sign.
var errMissingEquals = errors.New("want name = expression")

// fileParser applies the lines of a policy file to a policy.
type fileParser struct {
	policy *Policy
	// settingLines maps each setting that was set to its line number.
	settingLines map[string]int
}

// parseLine applies one line to the policy.
func (parser *fileParser) parseLine(line int, text string) error {
	if text == "" || strings.HasPrefix(text, "#") {
		return nil
	}
	name, expression, ok := strings.Cut(text, "=")
	if !ok {
		return errMissingEquals
	}
	name = strings.TrimSpace(name)
	if _, ok := definitions[name]; !ok {
		return fmt.Errorf("%s: %w", name, errUnknownSetting())
	}
	if previousLine := parser.settingLines[name]; previousLine > 0 {
		return fmt.Errorf("%s: already set in line %d", name, previousLine)
	}
	parser.settingLines[name] = line
	if err := parser.policy.setExpression(name, strings.TrimSpace(expression)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
