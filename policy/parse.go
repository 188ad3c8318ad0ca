package policy

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
)

// Parse reads the text of a policy file over the built-in policy. Each line has the form
// `name = expression`; an empty line, or one that starts with #, is skipped. The error has one line for
// each wrong line of the file.
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

// errMissingEquals refuses a line that sets nothing.
var errMissingEquals = errors.New("want name = expression")

// fileParser puts the lines of a policy file into a policy.
type fileParser struct {
	policy *Policy
	// settingLines has the line in which each setting was set.
	settingLines map[string]int
}

// parseLine puts one line into the policy.
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
