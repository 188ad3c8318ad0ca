package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/capacity"
	"switchferry/experiment"
	"switchferry/settings"
)

func scaleCommand() *cobra.Command {
	x := experiment.ScaleDefaults()
	var asJSON bool
	var slopes string
	cmd := &cobra.Command{Use: "scale", Short: "Grow a fleet of hollow workers on real controllers to the operators' future size, and strike it", Args: cobra.NoArgs,
		Long: "Three processes of this program serve, a few run as agents, and hollow workers in this process speak the workers' protocol to them over\n" +
			"loopback, with the project's stand-ins of state service and cloud and their limits. Each size is measured; at one of them failures are\n" +
			"played one after the other. Anything that the protocol's rules forbid makes the run fail. With all defaults it takes some 20 minutes,\n" +
			"2 GB of memory and 12 processes. Cases: " + strings.Join(experiment.ScaleCases(), ", ") + ".",
		Example: "  switchferry experiment scale --json --slopes measured.json > scale.json && go run ./cmd/scaleplot scale.json plots\n  switchferry experiment scale --sizes 40 --cases-at 40 --cases leader --step 5",
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if x.Program, err = os.Executable(); err != nil {
				return coded(ExitFailed, err)
			}
			run := func(ctx context.Context) (*experiment.ScaleResult, error) {
				res, err := x.Run(ctx)
				if err != nil {
					return nil, err
				}
				return res, writeRecord(slopes, res)
			}
			return play(cmd, asJSON, &x.Progress, run, func(res *experiment.ScaleResult, t table.Writer) {
				t.SetTitle("seed %d; %s", res.Seed, res.Measured)
				t.AppendHeader(table.Row{"workers", "span", "tasks", "starts/s", "leader, cores", "p99", "MB", "descriptors", "follower, cores", "MB", "agent, cores", "MB", "urgent p99 ms", "unstarted", "accept p99 ms"})
				for _, s := range res.Steps {
					appendStep(t, &s)
				}
				t.AppendSeparator()
				for _, c := range res.Cases {
					appendStep(t, &c.Step)
				}
			})
		}}
	f := cmd.Flags()
	f.Uint64Var(&x.Seed, "seed", x.Seed, "of the users' choices")
	f.IntSliceVar(&x.Sizes, "sizes", x.Sizes, "numbers of workers, ascending")
	f.IntVar(&x.CasesAt, "cases-at", x.CasesAt, "the size at which the cases are played")
	f.StringSliceVar(&x.Cases, "cases", x.Cases, "cases to play, in this order; none: --cases \"\"")
	f.Float64Var(&x.TasksPerWorker, "tasks-per-worker", x.TasksPerWorker, "tasks a worker that run for good")
	f.Float64Var(&x.StartsPerS, "starts", x.StartsPerS, "tasks of arrays that come and go, started a second at --cases-at workers")
	f.IntVar(&x.Teams, "teams", x.Teams, "teams with limits and guarantees")
	f.IntVar(&x.Agents, "agents", x.Agents, "real agents")
	f.Float64Var(&x.StepS, "step", x.StepS, "how long a size is measured, seconds")
	f.Float64Var(&x.WatchS, "watch", x.WatchS, "how long a case is watched after its cause is over, seconds")
	f.Float64Var(&x.CutS, "cut", x.CutS, "how long a rack or a zone is lost, seconds")
	f.Float64Var(&x.ApartS, "apart", x.ApartS, "how long regions are apart, seconds")
	f.Float64Var(&x.OutageS, "outage", x.OutageS, "how long the state service is out, seconds")
	f.Float64Var(&x.ChangesEveryS, "changes-every", 0, "how often the configuration is changed, seconds; 0: live configuration is off")
	f.StringVar(&x.LogDir, "log-dir", "", "where the controllers' logs go; none: dropped")
	f.StringVar(&x.LogLevel, "log-level", "", "their level, with --log-dir: error, info or debug")
	f.BoolVar(&asJSON, "json", false, "print as JSON")
	f.StringVar(&slopes, "slopes", "", "file for the figures that `switchferry capacity` fits")
	return cmd
}

func appendStep(t table.Writer, s *experiment.ScaleStep) {
	urgent := s.Waits["high"]
	t.AppendRow(table.Row{s.Workers, s.Name, s.Tasks, fmt.Sprintf("%.0f", s.Starts), fmt.Sprintf("%.3f", s.Leader.CPUMean), fmt.Sprintf("%.2f", s.Leader.CPUP99), fmt.Sprintf("%.0f", s.Leader.MemoryMB), s.Leader.Descriptors,
		fmt.Sprintf("%.3f", s.Follower.CPUMean), fmt.Sprintf("%.0f", s.Follower.MemoryMB), fmt.Sprintf("%.4f", s.Agents.CPUMean), fmt.Sprintf("%.0f", s.Agents.MemoryMB), urgent.P99, urgent.Unstarted, s.Submissions.P99})
}

// writeRecord writes what `switchferry capacity` fits; without a file it does nothing.
func writeRecord(file string, res *experiment.ScaleResult) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(res.Record("switchferry experiment scale --slopes "+file), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}

// capacityAnswer is what the capacity command prints as JSON.
type capacityAnswer struct {
	Measured string             `json:"measured"`
	Size     capacity.Size      `json:"size"`
	Rows     []capacity.Row     `json:"rows"`
	Jobs     []capacity.JobCost `json:"jobs"`
	// Limits are those of the settings file, the one that is met first coming first; none without a file.
	Limits []capacity.Limit `json:"limits,omitempty"`
}

func capacityCommand() *cobra.Command {
	size := capacity.Planned()
	var asJSON bool
	var config, measured string
	cmd := &cobra.Command{Use: "capacity", Short: "Tell what a deployment of some size needs, and which limit of a settings file it meets first", Args: cobra.NoArgs,
		Long: "Works offline, from slopes measured by `switchferry experiment scale` (docs/CAPACITY.md says where and how well they fit). Figures beyond\n" +
			"the sizes that were measured are marked.",
		Example: "  switchferry capacity\n  switchferry capacity --workers 600 --tasks 9000 --starts 20 --config node.toml\n  switchferry capacity --json | jq '.rows[] | select(.role == \"leader\")'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := foresee(size, config, measured)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(answer)
			}
			return answer.print(cmd)
		}}
	f := cmd.Flags()
	f.Float64Var(&size.Workers, "workers", size.Workers, "workers")
	f.Float64Var(&size.Tasks, "tasks", size.Tasks, "tasks that run at once")
	f.Float64Var(&size.JobsPerDay, "jobs-per-day", size.JobsPerDay, "jobs a day")
	f.Float64Var(&size.Starts, "starts", size.Starts, "starts a second at the peak")
	f.Float64Var(&size.Teams, "teams", size.Teams, "teams")
	f.Float64Var(&size.ChangesPerDay, "configuration-changes", size.ChangesPerDay, "changes of configuration a day")
	f.StringVar(&config, "config", "", "a settings file, whose limits are compared")
	f.StringVar(&measured, "measured", "", "figures of another scale run, as its --slopes wrote them; none: those of this program")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// foresee is the answer for a size.
func foresee(size capacity.Size, config, measured string) (*capacityAnswer, error) {
	for flag, v := range map[string]float64{"workers": size.Workers, "tasks": size.Tasks, "starts": size.Starts, "teams": size.Teams, "jobs-per-day": size.JobsPerDay, "configuration-changes": size.ChangesPerDay} {
		if !(v >= 0) {
			return nil, coded(ExitUsage, fmt.Errorf("--%s: must be a number of 0 or more, not %g", flag, v))
		}
	}
	record, err := capacity.Embedded()
	if measured != "" {
		record, err = capacity.Read(measured)
	}
	if err != nil {
		return nil, coded(ExitUsage, err)
	}
	model, err := capacity.Fit(record.Measurements)
	if err != nil {
		return nil, coded(ExitFailed, err)
	}
	answer := &capacityAnswer{Measured: record.Measured, Size: size, Rows: model.Table(size), Jobs: record.Jobs}
	if config != "" {
		set, err := settings.Load(config)
		if err != nil {
			return nil, coded(ExitUsage, err)
		}
		answer.Limits = model.Limits(size, set)
	}
	return answer, nil
}

func (a *capacityAnswer) print(cmd *cobra.Command) error {
	out := cmd.OutOrStdout()
	t := newTable(out)
	t.SetTitle("%g workers, %g tasks, %g starts/s; %s", a.Size.Workers, a.Size.Tasks, a.Size.Starts, a.Measured)
	t.AppendHeader(table.Row{"role", "figure", "unit", "value", "at 1.5 times", "fit off by at most"})
	for _, r := range a.Rows {
		t.AppendRow(table.Row{r.Role, r.Figure, r.Unit, marked(r.Value, r.Beyond), marked(r.Larger, r.LargerBeyond), fmt.Sprintf("%.0f%%", 100*r.Residual)})
	}
	t.Render()
	fmt.Fprintln(out, "* beyond what was measured")
	if len(a.Jobs) > 0 {
		t := newTable(out)
		t.AppendHeader(table.Row{"job", "tasks", "changes in the state service"})
		for _, j := range a.Jobs {
			t.AppendRow(table.Row{j.Shape, j.Tasks, j.Changes})
		}
		t.Render()
	}
	if len(a.Limits) == 0 {
		return nil
	}
	t = newTable(out)
	t.AppendHeader(table.Row{"limit", "bound", "needed", "holds up to, times this size"})
	for _, l := range a.Limits {
		t.AppendRow(table.Row{l.Name, fmt.Sprintf("%.4g", l.Bound), fmt.Sprintf("%.4g", l.Needed), marked(l.Factor, l.Beyond)})
	}
	t.Render()
	first := a.Limits[0]
	_, err := fmt.Fprintf(out, "met first: %s, at %.2f times this size\n", first.Name, first.Factor)
	return err
}

// marked is a value, with a star if it lies beyond what was measured.
func marked(v float64, beyond bool) string {
	if beyond {
		return fmt.Sprintf("%.4g *", v)
	}
	return fmt.Sprintf("%.4g", v)
}
