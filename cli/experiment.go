package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/dustin/go-humanize"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/experiment"
)

// experimentCommand plays workloads and measures them.
func experimentCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "Play workloads on this machine and measure them"}
	cmd.AddCommand(localityExperiment(), recoveryExperiment(), orderExperiment(), topologyExperiment(), upgradeExperiment(), handoverExperiment(), gapsExperiment(), dayEndExperiment(), scaleExperiment())
	return cmd
}

// setErrorLog leaves the log to errors, unless LOG_LEVEL asks for more.
func setErrorLog() (err error) {
	level := slog.LevelError
	if os.Getenv("LOG_LEVEL") != "" {
		if level, err = logLevel(); err != nil {
			return err
		}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}

// runExperiment runs an experiment until it is over or interrupted, and prints its result: as JSON, or as
// the table that draw fills in.
func runExperiment[R any](cmd *cobra.Command, asJSON bool, progress *func(format string, a ...any), run func(context.Context) (R, error), draw func(R, table.Writer)) error {
	if err := setErrorLog(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	*progress = func(format string, a ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...) }
	res, err := run(ctx)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	if asJSON {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(res)
	}
	writer := newTable(cmd.OutOrStdout())
	draw(res, writer)
	writer.Render()
	return nil
}

func gapsExperiment() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "gaps LOG...", Short: "How long jobs that await others take to start once these are done", Args: cobra.MinimumNArgs(1),
		Long: "Reads the controllers' logs of a day (LOG_LEVEL=debug): from the report of the last end to the record of the last awaited job, from\n" +
			"there to the first start given, and to the first task that runs, its image fetched.",
		Example: "  switchferry experiment gaps ferryhost-*.log\n  switchferry experiment gaps --json night.log | jq '.[] | select(.part == \"records\")'",
		RunE: func(cmd *cobra.Command, args []string) error {
			in, end, err := openFiles(args)
			if err != nil {
				return err
			}
			defer end()
			gaps, err := experiment.Gaps(in)
			if err != nil {
				return withExitCode(ExitFailed, err)
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(gaps)
			}
			writer := newTable(cmd.OutOrStdout())
			writer.AppendHeader(table.Row{"part", "jobs", "p50 ms", "p90 ms", "p99 ms", "longest ms"})
			for _, g := range gaps {
				writer.AppendRow(table.Row{g.Part, g.Jobs, g.P50, g.P90, g.P99, g.Most})
			}
			writer.Render()
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func handoverExperiment() *cobra.Command {
	options := experiment.HandoverDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "handover", Short: "Roll all controllers, told to end or killed, and measure what users meet", Args: cobra.NoArgs,
		Long: "Three processes of this program with membership on serve on loopback, with the project's stand-ins. Each is told to end, or killed,\n" +
			"and begun again 4 s before the next, while users submit 50 jobs a second to those that are ready. About a minute a roll and way.",
		Example: "  switchferry experiment handover --rolls 1\n  switchferry experiment handover --json",
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if options.Program, err = os.Executable(); err != nil {
				return withExitCode(ExitUsage, err)
			}
			return runExperiment(cmd, asJSON, &options.Progress, options.Run, func(res []experiment.HandedOver, writer table.Writer) {
				writer.SetTitle("real processes over loopback on this machine; simulated workers, state service and cloud")
				writer.AppendHeader(table.Row{"way", "ends", "submissions", "refused", "p50 ms", "p99 ms", "longest ms", "longest without an accept ms", "without a start ms", "an end takes ms"})
				for _, h := range res {
					writer.AppendRow(table.Row{h.Way, h.Ends, h.Asked, h.Refused, h.P50MS, h.P99MS, h.MostMS, h.GapMS, h.IdleMS, h.EndP50MS})
				}
			})
		}}
	cmd.Flags().IntVar(&options.Rolls, "rolls", options.Rolls, "rolls of all three, each way")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "of the users' choices")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

func dayEndExperiment() *cobra.Command {
	options := experiment.DayEndDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "dayend", Short: "What is forgotten, starved or done in vain on days of half-deaf machines, late copies and lone controllers", Args: cobra.NoArgs,
		Long: "Three controllers in this process, with the project's stand-ins, on the real clock: machines whose reports arrive while nothing reaches\n" +
			"them, copies of reports that come late, a controller that loses the state service and the others but not its workers, processes and\n" +
			"machines that are back within a fraction of a second. All that must be 0 is counted. Some three minutes a case, --at-once of them\n" +
			"beside each other. Cases: " + strings.Join(experiment.DayEndCases(), "; ") + ".",
		Example: "  switchferry experiment dayend --sizes 30 --cases \"late copies\" --cases \"lone leader, a minute\"\n  switchferry experiment dayend --json > dayend.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runExperiment(cmd, asJSON, &options.Progress, options.Run, func(res *experiment.DayEndResult, writer table.Writer) {
				writer.SetTitle(res.Measured)
				writer.AppendHeader(table.Row{"case", "machines", "jobs", "tasks", "forgotten", "longest unanswered s", "pending for good", "least share of a class", "largest begin p99 s",
					"starts in vain a lease", "returned in vain", "rules broken"})
				for _, c := range res.Cases {
					writer.AppendRow(table.Row{c.Name, c.Machines, c.Jobs, c.Tasks, c.Forgotten, fmt.Sprintf("%.1f", c.LongestUnansweredS), c.PendingForGood, fmt.Sprintf("%.2f", c.ClassesMinShare),
						fmt.Sprintf("%.1f", c.LargestBeginP99S), fmt.Sprintf("%.2f", c.StartsInVain), c.ReturnedInVain, len(c.Rules)})
				}
			})
		}}
	cmd.Flags().IntSliceVar(&options.Sizes, "sizes", options.Sizes, "machines")
	cmd.Flags().StringArrayVar(&options.Cases, "cases", nil, "a case to play; may be given several times (default all)")
	cmd.Flags().IntVar(&options.AtOnce, "at-once", options.AtOnce, "days played beside each other")
	cmd.Flags().Float64Var(&options.LastsS, "lasts", options.LastsS, "how long users submit jobs, in seconds")
	cmd.Flags().Float64Var(&options.AfterS, "after", options.AfterS, "how long is waited for the rest, in seconds")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "of machines, jobs and troubles")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

func upgradeExperiment() *cobra.Command {
	options := experiment.UpgradeDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "upgrade --from PROGRAM", Short: "Replace real processes of an older version by this one while users are at work", Args: cobra.NoArgs,
		Long: "Three processes of the older program serve on loopback, with the project's stand-ins of state service, cloud and workers. They are\n" +
			"killed at random moments and come back, old until their turn and then as this program; then jobs that await others come, the state\n" +
			"service lowers its limits, jobs are cancelled and processes killed. What must never happen is counted. About 40 s a run.",
		Example: "  git worktree add ../old $(sed -n 's/^production = \"\\(.*\\)\"$/\\1/p' deploy/service.toml)\n" +
			"  (cd ../old && go build -o /tmp/old ./cmd/switchferry)\n  switchferry experiment upgrade --from /tmp/old --json",
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if options.To == "" {
				if options.To, err = os.Executable(); err != nil {
					return withExitCode(ExitFailed, err)
				}
			}
			if options.From == "" {
				return withExitCode(ExitUsage, errors.New("--from is missing: the program of the older version"))
			}
			return runExperiment(cmd, asJSON, &options.Progress, options.Run, func(res *experiment.UpgradeResult, writer table.Writer) {
				writer.SetTitle("%s", res.Measured)
				writer.AppendHeader(table.Row{"seed", "kills", "came back old", "jobs", "that await", "tasks", "ran twice", "too early", "wrong states", "forgotten", "not over", "refused for size", "switched s"})
				for _, r := range res.Runs {
					writer.AppendRow(table.Row{r.Seed, r.Kills, r.OldBack, r.Jobs, r.Awaiting, r.Tasks, r.RanTwice, r.TooEarly, r.Wrong, r.Forgotten, r.Unended, r.TooLarge, fmt.Sprintf("%.1f", r.SwitchedS)})
				}
			})
		}}
	flags := cmd.Flags()
	flags.StringVar(&options.From, "from", "", "the program of the older version")
	flags.StringVar(&options.To, "to", "", "the program of the newer version; none: this one")
	flags.IntVar(&options.Runs, "runs", options.Runs, "how many runs")
	flags.IntVar(&options.Workers, "workers", options.Workers, "machines")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of the first run; the next have the following numbers")
	flags.BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

func recoveryExperiment() *cobra.Command {
	options := experiment.RecoveryDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "recovery", Short: "How a fleet comes through a crash of the leader, of all controllers, and a cut of a zone", Args: cobra.NoArgs,
		Long: "Three processes of this program, and hollow workers in this one, over loopback, with the project's stand-ins of state service and\n" +
			"cloud. Once the fleet is at work, the leader is crashed, or all controllers, or the leader's zone is cut off; then it is watched\n" +
			"for a minute. Takes some two minutes a size and case. experiment scale plays more of it at full load.",
		Example: "  switchferry experiment recovery --sizes 300 --cases leader\n  switchferry experiment recovery --json > recovery.json",
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if options.Program, err = os.Executable(); err != nil {
				return withExitCode(ExitFailed, err)
			}
			return runExperiment(cmd, asJSON, &options.Progress, options.Run, func(res *experiment.RecoveryResult, writer table.Writer) {
				writer.SetTitle("seed %d; %s", res.Seed, res.Measured)
				writer.AppendHeader(table.Row{"machines", "case", "first start s", "all heard s", "returned in vain", "tasks lost in vain", "leader's peak, cores"})
				for _, r := range res.Sizes {
					writer.AppendRow(table.Row{r.Machines, r.Case, fmt.Sprintf("%.1f", r.FirstStart), fmt.Sprintf("%.1f", r.HeardAll), r.ReturnedInVain, r.LostInVain, fmt.Sprintf("%.2f", r.PeakShare)})
				}
			})
		}}
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the jobs")
	flags.IntSliceVar(&options.Sizes, "sizes", options.Sizes, "numbers of machines")
	flags.StringSliceVar(&options.Cases, "cases", options.Cases, "leader, all, zone")
	flags.Float64Var(&options.CutS, "cut", options.CutS, "how long a zone is cut off, seconds")
	flags.Float64Var(&options.WatchS, "watch", options.WatchS, "how long the fleet is watched afterwards, seconds")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// openFiles opens files to be read one after the other.
func openFiles(names []string) (io.Reader, func(), error) {
	var all []io.Reader
	var files []*os.File
	end := func() {
		for _, file := range files {
			file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			end()
			return nil, nil, withExitCode(ExitUsage, err)
		}
		files, all = append(files, file), append(all, file)
	}
	return io.MultiReader(all...), end, nil
}

func orderExperiment() *cobra.Command {
	options := experiment.OrderDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "order --class CLASS [--within SECONDS] LOG...", Short: "How many jobs were in time on a day, and how many could have been at most", Args: cobra.MinimumNArgs(1),
		Long: "Reads the controllers' logs of a day (LOG_LEVEL=debug) and sets a bound that holds for any order: a relaxation in which a task may\n" +
			"run anywhere and nothing is fetched, given what other classes of the same or a higher rank took. Works offline.",
		Example: "  switchferry experiment order --class photo-recognize --within 100 ferryhost-*.log\n  switchferry experiment order --class inventory-reconcile --times 1.75 --json night.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			if options.Class == "" {
				return withExitCode(ExitUsage, errors.New("--class is missing"))
			}
			if options.WithinS < 0 || options.Times <= 0 || options.SlotS <= 0 || options.Rounds < 1 {
				return withExitCode(ExitUsage, errors.New("--within must not be negative; --times, --slot and --rounds must be above 0"))
			}
			in, end, err := openFiles(args)
			if err != nil {
				return err
			}
			defer end()
			res, err := options.Compare(in)
			if err != nil {
				return withExitCode(ExitFailed, err)
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(res)
			}
			n := float64(res.Jobs)
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s %s: %d jobs, %d in time (%.3f); %d could not be whatever the order; at most %.1f could be (%.3f)\n"+
				"late: %d have a task that alone ran longer, of %d a task was lost, of %d one was stopped, %d waited\n",
				res.Class, res.Aim, res.Jobs, res.InTime, float64(res.InTime)/n, res.Alone, res.Most, res.Most/n,
				res.Late.Long, res.Late.Lost, res.Late.Stopped, res.Late.Waited)
			return err
		}}
	flags := cmd.Flags()
	flags.StringVar(&options.Class, "class", "", "the class of jobs")
	flags.Float64Var(&options.WithinS, "within", 0, "the time that a job may take, seconds; 0: its own deadline")
	flags.Float64Var(&options.Times, "times", options.Times, "by which multiple of its deadline, without --within")
	flags.Float64Var(&options.FromS, "from", 0, "jobs that came from this second of the day on")
	flags.Float64Var(&options.ToS, "to", options.ToS, "jobs that came until this second")
	flags.Float64Var(&options.SlotS, "slot", options.SlotS, "stretches of which capacity is counted, seconds")
	flags.IntVar(&options.Rounds, "rounds", options.Rounds, "rounds of the search; more make the bound tighter")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func localityExperiment() *cobra.Command {
	options := experiment.Defaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "locality", Short: "Bytes moved and start delays with inputs, under four placements", Args: cobra.NoArgs,
		Long: "Plays the same jobs, each of whose tasks needs a part of a dataset, under four placements: blind (by load alone), images (by load and\n" +
			"images), locality (by load, images and inputs; copies from peers; copied once a machine has room) and locality+staging (copied ahead\n" +
			"as well). Agents, store and links are real and go over loopback with limited rates; workers are simulated. Takes about two minutes.",
		Example: "  switchferry experiment locality\n  switchferry experiment locality --seed 7 --json > locality.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runExperiment(cmd, asJSON, &options.Progress, options.Run, func(res *experiment.LocalityResult, writer table.Writer) {
				writer.SetTitle("%d jobs on %d machines, seed %d; %s", res.Jobs, res.Machines, res.Seed, res.Measured)
				writer.AppendHeader(table.Row{"zipf", "placement", "from store", "of least", "from peers", "start p50", "p95", "p99 ms", "makespan s"})
				for _, w := range res.Workloads {
					for _, f := range w.Placements {
						writer.AppendRow(table.Row{w.Zipf, f.Name, humanize.Bytes(uint64(f.StoreBytes)), fmt.Sprintf("%.2f", float64(f.StoreBytes)/float64(f.LeastBytes)),
							humanize.Bytes(uint64(f.PeerBytes)), f.StartP50, f.StartP95, f.StartP99, fmt.Sprintf("%.1f", f.MakespanS)})
					}
					writer.AppendSeparator()
				}
			})
		}}
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the jobs")
	flags.IntVar(&options.Machines, "machines", options.Machines, "machines")
	flags.IntVar(&options.Jobs, "jobs", options.Jobs, "jobs of four tasks a workload")
	flags.Float64Var(&options.Load, "load", options.Load, "share of the machines that the jobs fill on average")
	flags.Float64SliceVar(&options.Skews, "zipf", options.Skews, "skews of the jobs over the datasets, a workload each")
	flags.IntVar(&options.CachedParts, "cached-parts", options.CachedParts, "parts that a machine's cache holds")
	flags.IntVar(&options.AtOnce, "at-once", options.AtOnce, "runs at the same time; fewer disturb each other less")
	flags.StringVar(&options.Dir, "dir", options.Dir, "where the caches stand meanwhile; some 4 GB")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func topologyExperiment() *cobra.Command {
	options := experiment.TopologyDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "topology", Short: "Jobs that must stand near, or survive a rack, under three placements", Args: cobra.NoArgs,
		Long: "Jobs come and go on a simulated fleet in racks whose switches fail, placed by the leader with a topology, by the leader without one,\n" +
			"and at random within the same bounds. What could have stood near is decided by a linear program. Machines and time are simulated.",
		Example: "  switchferry experiment topology --seed 1\n  switchferry experiment topology --machines 1000 --seeds 20 --json | jq .placements",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Machines < 16 || options.Seconds < 1 || options.Seeds < 1 || !(options.Load > 0) {
				return withExitCode(ExitUsage, errors.New("--machines must be 16 or more; --seconds and --seeds 1 or more; --load above 0"))
			}
			if options.Only != "" && !slices.Contains(experiment.TopologyPlacements, options.Only) {
				return withExitCode(ExitUsage, fmt.Errorf("--only: must be one of %s, not %q", strings.Join(experiment.TopologyPlacements, ", "), options.Only))
			}
			return runExperiment(cmd, asJSON, &options.Progress, options.Run, func(res *experiment.TopologyResult, writer table.Writer) {
				writer.AppendHeader(table.Row{"placement", "tasks", "violations", "close possible", "close", "wait p95, s", "fragmentation", "decision p50, us", "p99, us"})
				for _, f := range res.Placements {
					writer.AppendRow(table.Row{f.Name, f.PlacedN, f.Violations, f.ClosePossible, f.CloseTogether, f.WaitP95, fmt.Sprintf("%.3f", f.Fragmentation), fmt.Sprintf("%.0f", f.DecisionP50), fmt.Sprintf("%.0f", f.DecisionP99)})
				}
			})
		}}
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "the first seed")
	flags.IntVar(&options.Seeds, "seeds", options.Seeds, "how many seeds are played")
	flags.IntVar(&options.Machines, "machines", options.Machines, "machines of the fleet")
	flags.IntVar(&options.Seconds, "seconds", options.Seconds, "simulated seconds of each seed")
	flags.StringVar(&options.Only, "only", "", "play one placement alone: topology, today or random")
	flags.Float64Var(&options.Load, "load", options.Load, "which part of the fleet's CPUs is asked for")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
