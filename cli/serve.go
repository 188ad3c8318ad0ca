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

// bytesPerMebibyte is the number of bytes in a mebibyte, the unit of memory in the settings file.
const bytesPerMebibyte = 1 << 20

// configurationFiles holds the paths of a controller's settings, policy and features files. A path that was not given
// is empty.
type configurationFiles struct{ settings, policy, features string }

// addFlags adds the flags that set the paths.
func (files *configurationFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&files.settings, "config", "", "the platform's settings file (TOML)")
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

// load reads and validates all files. The error joins the errors of all files.
func (files *configurationFiles) load() (loadedFiles, error) {
	if files.settings == "" {
		return loadedFiles{}, withExitCode(ExitUsage, errors.New("--config is missing"))
	}
	var loaded loadedFiles
	var settingsErr, policyErr, featuresErr error
	loaded.settings, settingsErr = settings.Load(files.settings)
	loaded.policy, policyErr = policy.Load(files.policy)
	loaded.features, featuresErr = features.Load(files.features)
	if featuresErr == nil && loaded.features.Topology.File != "" {
		loaded.topology, featuresErr = topology.Open(loaded.features.Topology.File)
	}
	return loaded, withExitCode(ExitUsage, errors.Join(settingsErr, policyErr, featuresErr))
}

// checkCommand returns the command that validates a controller's files without starting the controller.
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

// logLevel returns the log level that the environment variable LOG_LEVEL sets; the default is info.
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

// setDefaultLogger makes the process log messages of the given level and above to standard error.
func setDefaultLogger(level slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

// serve runs a controller until ctx ends and the controller has shut down. A second signal during the graceful shutdown
// aborts it.
func serve(ctx context.Context, files configurationFiles) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	setDefaultLogger(level)
	loaded, err := files.load()
	if err != nil {
		return err
	}
	resources := loaded.settings.Facts.Resources
	debug.SetMemoryLimit(int64(resources.RAMMB * tuning.MemoryLimitShare * bytesPerMebibyte))
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
	limiter := connlimit.NewLimiter(resources.MaxSockets)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	process := newController(runCtx, loaded, limiter)
	context.AfterFunc(ctx, func() {
		shutdownCtx, stop := signal.NotifyContext(runCtx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		process.Shutdown(shutdownCtx)
		cancel()
	})
	go process.Run(limiter.Listen(peerListener, connlimit.Peer))
	handler := httpapi.New(process, limiter) //nolint:contextcheck // The handlers use the contexts of their requests.
	return withExitCode(ExitFailed, httpapi.Serve(runCtx, limiter.Listen(listener, connlimit.Unclassified), handler, limiter))
}

// newController returns a controller that stops when ctx ends.
func newController(ctx context.Context, loaded loadedFiles, limiter *connlimit.Limiter) *controller.Controller {
	transport := controller.Transport(loaded.settings, limiter)
	process := controller.New(ctx, loaded.settings, loaded.policy, clockwork.NewRealClock(), transport)
	process.UseConnLimiter(limiter)
	process.Enable(loaded.features)
	process.UseTopologyFile(loaded.topology)
	return process
}
