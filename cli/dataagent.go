package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"switchferry/connlimit"
	"switchferry/dataagent"
	"switchferry/httpapi"
	"switchferry/tuning"
)

// bytesPerMegabyte is the number of bytes in a megabyte, as used by the flags that limit transfer rates.
const bytesPerMegabyte = 1e6

// dataAgentFlags holds the flags of the command that runs the data agent.
type dataAgentFlags struct {
	options dataagent.Options
	// listen is the address to listen on; empty means options.Address.
	listen string
	// cacheSize is the size of the cache with a unit, such as 50GB.
	cacheSize string
	// downloadMBPerS and uploadMBPerS limit the transfer rates, in megabytes per second; 0 means no limit.
	downloadMBPerS, uploadMBPerS float64
}

// dataAgentCommand returns the command that runs the data agent on the machine of a worker.
func dataAgentCommand() *cobra.Command {
	var flags dataAgentFlags
	cmd := &cobra.Command{Use: "stager --machine NAME --address IP:PORT --dir DIR --store URL --controller NAME=IP:PORT ...",
		Short: "Run the agent beside a worker that copies datasets to its machine", Args: cobra.NoArgs,
		Example: "  switchferry stager --machine n-000231 --address 10.1.0.232:9100 --dir /var/cache/switchferry --cache 50GB \\\n" +
			"    --store http://10.2.0.3:9000 --controller ferryhost-0=10.0.0.1:8080 --controller ferryhost-1=10.0.0.2:8080 --down-mb-per-s 125",
		RunE: func(cmd *cobra.Command, _ []string) error {
			level, err := logLevel()
			if err != nil {
				return err
			}
			setDefaultLogger(level)
			if err := flags.complete(); err != nil {
				return withExitCode(ExitUsage, err)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return withExitCode(ExitFailed, runDataAgent(ctx, flags.options, flags.listen))
		}}
	cmd.Flags().StringVar(&flags.options.Machine, "machine", "", "the machine's name, as its worker reports it")
	cmd.Flags().StringVar(&flags.options.Address, "address", "", "where controllers and peers reach this agent")
	cmd.Flags().StringVar(&flags.listen, "listen", "", "where to listen; none: at --address")
	cmd.Flags().StringVar(&flags.options.Dir, "dir", "", "folder of the cache; what a task reads stands in its inputs/DATASET/part-NNNNNN/")
	cmd.Flags().StringVar(&flags.cacheSize, "cache", "50GB", "size of the cache")
	cmd.Flags().StringVar(&flags.options.Store, "store", "", "base URL of the store of datasets")
	cmd.Flags().StringToStringVar(&flags.options.Controllers, "controller", nil, "a controller, as NAME=IP:PORT; give all of them")
	cmd.Flags().Float64Var(&flags.downloadMBPerS, "down-mb-per-s", 0, "most that is copied in, megabytes a second; 0: no limit")
	cmd.Flags().Float64Var(&flags.uploadMBPerS, "up-mb-per-s", 0, "most that peers are given, megabytes a second; 0: no limit")
	cmd.Flags().IntVar(&flags.options.MaxConcurrentServes, "serve-at-once", tuning.MaxConcurrentCopies, "peers served at once")
	cmd.Flags().BoolVar(&flags.options.Compress, "pack", true, "let peers pack with zstd what they send, where that pays")
	return cmd
}

// complete validates the flags and sets the options that are derived from them.
func (flags *dataAgentFlags) complete() error {
	options := &flags.options
	for flag, value := range map[string]string{"machine": options.Machine, "address": options.Address, "dir": options.Dir, "store": options.Store} {
		if value == "" {
			return fmt.Errorf("--%s is missing", flag)
		}
	}
	if len(options.Controllers) == 0 {
		return errors.New("--controller is missing: give each as NAME=IP:PORT")
	}
	if _, _, err := net.SplitHostPort(options.Address); err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	cacheBytes, err := humanize.ParseBytes(flags.cacheSize)
	if err != nil || cacheBytes == 0 {
		return fmt.Errorf("--cache: %q is not a size; use a value such as 50GB", flags.cacheSize)
	}
	options.CacheBytes = int64(cacheBytes)
	options.DownRate, options.UpRate = flags.downloadMBPerS*bytesPerMegabyte, flags.uploadMBPerS*bytesPerMegabyte
	options.Store = strings.TrimRight(options.Store, "/")
	if flags.listen == "" {
		flags.listen = options.Address
	}
	return nil
}

// runDataAgent runs the data agent and its HTTP server until ctx ends.
func runDataAgent(ctx context.Context, options dataagent.Options, listen string) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp4", listen)
	if err != nil {
		return err
	}
	agent, err := dataagent.New(ctx, options)
	if err != nil {
		return err
	}
	slog.Info("data agent starts", "machine", options.Machine, "address", options.Address, "dir", options.Dir, "version", Version)
	go agent.Run(ctx)
	return httpapi.Serve(ctx, listener, agent.Handler(), connlimit.NewLimiter(0))
}
