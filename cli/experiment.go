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
	cmd.AddCommand(localityCommand())
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
			level := slog.LevelError
			if os.Getenv("LOG_LEVEL") != "" {
				var err error
				if level, err = logLevel(); err != nil {
					return err
				}
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
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
