// Command lint runs golangci-lint on the whole tree and compares its findings with the baseline in
// lint/baseline.txt, whose counts may only decrease. lint/run starts it in the repository root.
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"strings"

	"github.com/google/renameio/v2"
)

const (
	baselinePath   = "lint/baseline.txt"
	baselineMode   = 0o644
	toolsModuleArg = "-modfile=tools/go.mod"
)

var (
	errMoreFindings = errors.New("more findings than the baseline allows")
	errHigherTotals = errors.New("baseline not written: a linter has more findings in the whole tree")
)

func main() {
	update := flag.Bool("update", false, "lower the baseline to the counts that fell")
	regenerate := flag.Bool("regenerate", false, "write the baseline anew; no linter's total may rise")
	flag.Parse()
	if flag.NArg() > 0 || (*update && *regenerate) {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(context.Background(), *update, *regenerate); err != nil {
		fmt.Fprintln(os.Stderr, "lint:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, update, regenerate bool) error {
	baseline, err := readBaseline(baselinePath)
	missing := errors.Is(err, fs.ErrNotExist)
	createBaseline := missing && regenerate
	if err != nil && !createBaseline {
		return err
	}
	findings, err := runLinter(ctx)
	if err != nil {
		return err
	}
	if createBaseline {
		return writeBaseline(Count(findings))
	}
	var text string
	if regenerate {
		text, err = regenerateBaseline(baseline, findings)
	} else {
		text, err = check(baseline, findings, update)
	}
	fmt.Print(text)
	return err
}

func readBaseline(name string) (Counts, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return ParseBaseline(bytes.NewReader(content))
}

// runLinter runs golangci-lint on all packages and builds it first if the build cache does not contain it.
func runLinter(ctx context.Context) ([]Finding, error) {
	command := exec.CommandContext(ctx, "go", "tool", toolsModuleArg, "golangci-lint", "run",
		"--issues-exit-code=0", "--show-stats=false",
		"--output.text.path=", "--output.json.path=stdout", "./...")
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", strings.Join(command.Args, " "), err)
	}
	return ParseFindings(output)
}

// check compares the findings with the baseline. The returned text lists the differences, even with an
// error. If update is set, it lowers the counts that decreased in the baseline file, even if others increased.
func check(baseline Counts, findings []Finding, update bool) (text string, err error) {
	found := Count(findings)
	increased, decreased := Compare(baseline, found)
	var out strings.Builder
	for _, change := range decreased {
		fmt.Fprintln(&out, "fewer:", change)
	}
	for _, change := range increased {
		fmt.Fprintln(&out, "more:", change)
		listFindings(&out, findings, change.Pair)
	}
	if update && len(decreased) > 0 {
		if err := writeBaseline(LoweredBaseline(baseline, found)); err != nil {
			return out.String(), err
		}
	}
	if len(increased) > 0 {
		return out.String(), errMoreFindings
	}
	return out.String(), nil
}

func listFindings(out *strings.Builder, findings []Finding, pair Pair) {
	for _, finding := range findings {
		if finding.Pair() == pair {
			fmt.Fprintln(out, "  "+finding.String())
		}
	}
}

// regenerateBaseline replaces the baseline file by the current counts. If a linter's total over all
// directories increased, it returns an error instead, and the text lists those linters.
func regenerateBaseline(baseline Counts, findings []Finding) (text string, err error) {
	found := Count(findings)
	if increased := IncreasedTotals(baseline, found); len(increased) > 0 {
		return "more in the whole tree:\n  " + strings.Join(increased, "\n  ") + "\n", errHigherTotals
	}
	return "", writeBaseline(found)
}

func writeBaseline(counts Counts) error {
	return renameio.WriteFile(baselinePath, []byte(counts.Format()), baselineMode)
}
