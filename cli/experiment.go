package cli

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/dustin/go-humanize"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/experiment"
)

// experimentCommand plays workloads and measures them.
func experimentCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "Play workloads on this machine and measure them"}
	cmd.AddCommand(localityCommand(), recoveryCommand())
	return cmd
}

// quietLog leaves the log to errors, unless LOG_LEVEL asks for more.
func quietLog() (err error) {
	level := slog.LevelError
	if os.Getenv("LOG_LEVEL") != "" {
		if level, err = logLevel(); err != nil {
			return err
		}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}

func recoveryCommand() *cobra.Command {
	x := experiment.RecoveryDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "recovery", Short: "How a fleet comes through a crash of the leader, of all controllers, and a cut of a zone", Args: cobra.NoArgs,
		Long: "Three controllers as they run in serve, on the project's stand-ins of state service, cloud and workers, on the real clock in one\n" +
			"process. Once the fleet is at work, the leader is crashed, or all controllers, or the leader's zone is cut off; then it is watched\n" +
			"for a minute. Takes some two minutes a size and case.",
		Example: "  switchferry experiment recovery --sizes 300 --cases leader\n  switchferry experiment recovery --json > recovery.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := quietLog(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			x.Progress = func(format string, a ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...) }
			res, err := x.Run(ctx)
			if err != nil {
				return coded(ExitFailed, err)
			}
			if asJSON {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(res)
			}
			t := table.NewWriter()
			t.SetOutputMirror(cmd.OutOrStdout())
			t.SetStyle(table.StyleLight)
			t.SetTitle("seed %d; %s", res.Seed, res.Measured)
			t.AppendHeader(table.Row{"machines", "case", "first start s", "all heard s", "returned in vain", "tasks lost in vain", "peak, cores"})
			for _, r := range res.Sizes {
				t.AppendRow(table.Row{r.Machines, r.Case, fmt.Sprintf("%.1f", r.FirstStart), fmt.Sprintf("%.1f", r.HeardAll), r.ReturnedInVain, r.LostInVain, fmt.Sprintf("%.2f", r.PeakShare)})
			}
			t.Render()
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&x.Seed, "seed", x.Seed, "seed of the jobs")
	f.IntSliceVar(&x.Sizes, "sizes", x.Sizes, "numbers of machines")
	f.StringSliceVar(&x.Cases, "cases", x.Cases, "leader, all, zone")
	f.Float64Var(&x.CutS, "cut", x.CutS, "how long a zone is cut off, seconds")
	f.Float64Var(&x.WatchS, "watch", x.WatchS, "how long the fleet is watched afterwards, seconds")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func localityCommand() *cobra.Command {
	l := experiment.Defaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "locality", Short: "Bytes moved and start delays with inputs, under four placements", Args: cobra.NoArgs,
		Long: "Plays the same jobs, each of whose tasks needs a part of a dataset, under four placements: blind (by load alone), images (by load and\n" +
			"images), locality (by load, images and inputs; copies from peers; copied once a machine has room) and locality+staging (copied ahead\n" +
			"as well). Agents, store and links are real and go over loopback with limited rates; workers are simulated. Takes about two minutes.",
		Example: "  switchferry experiment locality\n  switchferry experiment locality --seed 7 --json > locality.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := quietLog(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			l.Progress = func(format string, a ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", a...) }
			res, err := l.Run(ctx)
			if err != nil {
				return coded(ExitFailed, err)
			}
			if asJSON {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(res)
			}
			t := table.NewWriter()
			t.SetOutputMirror(cmd.OutOrStdout())
			t.SetStyle(table.StyleLight)
			t.SetTitle("%d jobs on %d machines, seed %d; %s", res.Jobs, res.Machines, res.Seed, res.Measured)
			t.AppendHeader(table.Row{"zipf", "placement", "from store", "of least", "from peers", "start p50", "p95", "p99 ms", "makespan s"})
			for _, w := range res.Workloads {
				for _, f := range w.Placements {
					t.AppendRow(table.Row{w.Zipf, f.Name, humanize.Bytes(uint64(f.StoreBytes)), fmt.Sprintf("%.2f", float64(f.StoreBytes)/float64(f.LeastBytes)),
						humanize.Bytes(uint64(f.PeerBytes)), f.StartP50, f.StartP95, f.StartP99, fmt.Sprintf("%.1f", f.MakespanS)})
				}
				t.AppendSeparator()
			}
			t.Render()
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&l.Seed, "seed", l.Seed, "seed of the jobs")
	f.IntVar(&l.Machines, "machines", l.Machines, "machines")
	f.IntVar(&l.Jobs, "jobs", l.Jobs, "jobs of four tasks a workload")
	f.Float64Var(&l.Load, "load", l.Load, "share of the machines that the jobs fill on average")
	f.Float64SliceVar(&l.Skews, "zipf", l.Skews, "skews of the jobs over the datasets, a workload each")
	f.IntVar(&l.CachedParts, "cached-parts", l.CachedParts, "parts that a machine's cache holds")
	f.IntVar(&l.AtOnce, "at-once", l.AtOnce, "runs at the same time; fewer disturb each other less")
	f.StringVar(&l.Dir, "dir", l.Dir, "where the caches stand meanwhile; some 4 GB")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
