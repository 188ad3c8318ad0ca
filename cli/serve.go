package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"switchferry/connlimit"
	"switchferry/controller"
	"switchferry/features"
	"switchferry/httpapi"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/topology"
	"switchferry/tuning"
)

// bytesPerMB is the number of bytes in the megabytes of the settings file.
const bytesPerMB = 1 << 20

// configurationFiles are the paths of a controller's files; an empty one was not given.
type configurationFiles struct{ config, policy, features string }

// addFlags adds the flags that name the files.
func (files *configurationFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&files.config, "config", "", "the platform's settings file (TOML)")
	cmd.Flags().StringVar(&files.policy, "policy", "", "the operators' policy file (expressions)")
	cmd.Flags().StringVar(&files.features, "features", "", "the features file (TOML), like deploy/features.toml; without it all are off")
}

// loadedFiles is the content of a controller's files.
type loadedFiles struct {
	settings *settings.Settings
	policy   *policy.Policy
	features *features.Features
	// topology is nil unless the features name a topology file.
	topology *topology.File
}

// load reads and checks all files. The error has the errors of all of them.
func (files *configurationFiles) load() (loadedFiles, error) {
	if files.config == "" {
		return loadedFiles{}, withExitCode(ExitUsage, errors.New("--config is missing"))
	}
	var loaded loadedFiles
	var settingsErr, policyErr, featuresErr error
	loaded.settings, settingsErr = settings.Load(files.config)
	loaded.policy, policyErr = policy.Load(files.policy)
	loaded.features, featuresErr = features.Load(files.features)
	if featuresErr == nil && loaded.features.Topology.File != "" {
		loaded.topology, featuresErr = topology.Open(loaded.features.Topology.File)
	}
	return loaded, withExitCode(ExitUsage, errors.Join(settingsErr, policyErr, featuresErr))
}

// checkCommand returns the command that checks a controller's files.
func checkCommand() *cobra.Command {
	var files configurationFiles
	cmd := &cobra.Command{Use: "check --config FILE [--policy FILE] [--features FILE]", Short: "Check settings, policy and features without starting", Args: cobra.NoArgs,
		Example: "  switchferry check --config node.toml --policy night.policy --features deploy/features.toml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := files.load(); err != nil {
				return err
			}
			if _, err := logLevel(); err != nil {
				return err
			}
			return printLine(cmd, "ok")
		}}
	files.addFlags(cmd)
	return cmd
}

// serveCommand returns the command that runs a controller.
func serveCommand() *cobra.Command {
	var files configurationFiles
	cmd := &cobra.Command{Use: "serve --config FILE [--policy FILE] [--features FILE]", Short: "Run a controller", Args: cobra.NoArgs,
		Example: "  LOG_LEVEL=info switchferry serve --config node.toml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return serve(ctx, files)
		}}
	files.addFlags(cmd)
	return cmd
}

// logLevel returns the level that the variable LOG_LEVEL asks for.
func logLevel() (slog.Level, error) {
	switch name := os.Getenv("LOG_LEVEL"); name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, withExitCode(ExitUsage, fmt.Errorf("LOG_LEVEL: must be error, info or debug, not %q", name))
	}
}

// setLog makes the process log to the standard error from a level on.
func setLog(level slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

// serve runs a controller until ctx ends and it has shut down. A second signal during the shutdown ends it at once.
func serve(ctx context.Context, files configurationFiles) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	setLog(level)
	loaded, err := files.load()
	if err != nil {
		return err
	}
	resources := loaded.settings.Facts.Resources
	debug.SetMemoryLimit(int64(resources.RAMMB * tuning.HeapShare * bytesPerMB))
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp4", loaded.settings.Listen)
	if err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("serve_on: %w", err))
	}
	peerListener, err := listenConfig.Listen(ctx, "tcp4", loaded.settings.PeerListen)
	if err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("back: %w", err))
	}
	slog.Info("controller starts", "member", loaded.settings.Member, "zone", loaded.settings.Zone, "version", Version)
	budget := connlimit.NewLimiter(resources.Sockets)
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	process := newController(running, loaded, budget)
	context.AfterFunc(ctx, func() {
		again, stop := signal.NotifyContext(running, os.Interrupt, syscall.SIGTERM)
		defer stop()
		process.Shutdown(again)
		end()
	})
	go process.Run(budget.Listen(peerListener, connlimit.Peer))
	handler := httpapi.New(process, budget) //nolint:contextcheck // Its handlers use the contexts of their requests.
	return withExitCode(ExitFailed, httpapi.Serve(running, budget.Listen(listener, connlimit.Unclassified), handler, budget))
}

// newController returns a controller that lives until ctx ends.
func newController(ctx context.Context, loaded loadedFiles, budget *connlimit.Limiter) *controller.Controller {
	transport := controller.Transport(loaded.settings, budget)
	process := controller.New(ctx, loaded.settings, loaded.policy, clockwork.NewRealClock(), transport)
	process.UseConnLimiter(budget)
	process.Enable(loaded.features)
	process.UseTopologyFile(loaded.topology)
	return process
}
