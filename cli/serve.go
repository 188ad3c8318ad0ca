// Package cli holds the commands of the program.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
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
	"switchferry/upgrade"
)

// Version is the program's version.
const Version = "0.1.0"

// Exit codes.
const (
	ExitFailed   = 1 // the command could not be carried out
	ExitUsage    = 2 // wrong arguments, settings or policy
	ExitRefused  = 3 // a controller refused the request for good
	ExitNotFound = 4 // no such job, or revision
	ExitConflict = 5 // somebody else changed it meanwhile
	ExitPending  = 6 // stored, and not known to be in force
)

type codedError struct {
	error
	code int
}

func (e codedError) Unwrap() error { return e.error }

func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return codedError{err, code}
}

// ExitCode is the process's exit code for an error.
func ExitCode(err error) int {
	var c codedError
	if errors.As(err, &c) {
		return c.code
	}
	return ExitUsage
}

// Root is the program's command.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "switchferry",
		Short:         "A cluster scheduler: runs arrays of tasks and services on rented machines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(capacityCommand(), configCommand(), membersCommand(), dataAgentCommand(), dataCommand(), topologyCommand(), explainCommand(), experimentCommand(), serveCommand(), checkCommand(), versionCommand(), policyCommand(), submitCommand(),
		jobCommand("status", "Show a job's state", http.MethodGet, ""),
		jobCommand("cancel", "Cancel a job", http.MethodPost, "/cancel"))
	return root
}

// versionReport is what the version command prints.
type versionReport struct {
	Version string `json:"version"`
	// Data and Frames are the versions of records and of what controllers say to each other.
	Data   int `json:"data"`
	Frames int `json:"frames"`
}

func versionCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "version", Short: "Print the versions of the program, of its records and of what controllers say to each other", Args: cobra.NoArgs,
		Example: "  switchferry version\n  switchferry version --json | jq .data",
		RunE: func(cmd *cobra.Command, _ []string) error {
			v := versionReport{Version, upgrade.DataVersion, upgrade.FrameVersion}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(v)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "switchferry %s, data %d, frames %d\n", v.Version, v.Data, v.Frames)
			return err
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

func policyCommand() *cobra.Command {
	return &cobra.Command{Use: "policy", Short: "Print the policy settings with their defaults, as a policy file", Args: cobra.NoArgs,
		Example: "  switchferry policy > night.policy",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, name := range policy.Names() {
				doc, fallback, vars := policy.Describe(name)
				if len(vars) > 0 {
					doc += "; variables: " + strings.Join(vars, ", ")
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "# %s\n%s = %s\n", doc, name, fallback); err != nil {
					return err
				}
			}
			return nil
		}}
}

type configurationFiles struct{ config, policy, features string }

func (files *configurationFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&files.config, "config", "", "the platform's settings file (TOML)")
	cmd.Flags().StringVar(&files.policy, "policy", "", "the operators' policy file (expressions)")
	cmd.Flags().StringVar(&files.features, "features", "", "the features file (TOML), like deploy/features.toml; without it all are off")
}

// load reads and checks all files; where is nil unless the features name a topology.
func (files *configurationFiles) load() (platform *settings.Settings, operatorPolicy *policy.Policy, enabled *features.Features, topologyFile *topology.File, err error) {
	if files.config == "" {
		return nil, nil, nil, nil, withExitCode(ExitUsage, errors.New("--config is missing"))
	}
	platform, err = settings.Load(files.config)
	operatorPolicy, perr := policy.Load(files.policy)
	enabled, ferr := features.Load(files.features)
	if ferr == nil && enabled.Topology.File != "" {
		topologyFile, ferr = topology.Open(enabled.Topology.File)
	}
	return platform, operatorPolicy, enabled, topologyFile, withExitCode(ExitUsage, errors.Join(err, perr, ferr))
}

func checkCommand() *cobra.Command {
	var files configurationFiles
	cmd := &cobra.Command{Use: "check --config FILE [--policy FILE] [--features FILE]", Short: "Check settings, policy and features without starting", Args: cobra.NoArgs,
		Example: "  switchferry check --config node.toml --policy night.policy --features deploy/features.toml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, _, _, _, err := files.load(); err != nil {
				return err
			}
			if _, err := logLevel(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		}}
	files.addFlags(cmd)
	return cmd
}

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

func logLevel() (slog.Level, error) {
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, withExitCode(ExitUsage, fmt.Errorf("LOG_LEVEL: must be error, info or debug, not %q", v))
	}
}

func serve(ctx context.Context, files configurationFiles) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	platform, operatorPolicy, enabled, topologyFile, err := files.load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(platform.Facts.Resources.RAMMB * tuning.HeapShare * (1 << 20)))
	front, err := net.Listen("tcp4", platform.Listen)
	if err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("serve_on: %w", err))
	}
	back, err := net.Listen("tcp4", platform.PeerListen)
	if err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("back: %w", err))
	}
	slog.Info("controller starts", "member", platform.Member, "zone", platform.Zone, "version", Version)
	budget := connlimit.NewLimiter(platform.Facts.Resources.Sockets)
	// Told to end, it hands over first; told again, it ends at once.
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	node := controller.New(running, platform, operatorPolicy, clockwork.NewRealClock(), controller.Transport(platform, budget))
	node.UseConnLimiter(budget)
	node.Enable(enabled)
	node.UseTopologyFile(topologyFile)
	context.AfterFunc(ctx, func() {
		again, stop := signal.NotifyContext(running, os.Interrupt, syscall.SIGTERM)
		defer stop()
		node.Shutdown(again)
		end()
	})
	go node.Run(budget.Listen(back, connlimit.Peer))
	return withExitCode(ExitFailed, httpapi.Serve(running, budget.Listen(front, connlimit.Unclassified), httpapi.New(node, budget), budget))
}
