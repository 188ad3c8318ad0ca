package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"switchferry/dataset"
	"switchferry/tuning"
)

// dataManifestCommand returns the command that creates the manifest of a dataset.
func dataManifestCommand() *cobra.Command {
	var name, chunkSize, outputFile string
	var chunksPerPart int
	cmd := &cobra.Command{Use: "manifest --name NAME FILE", Short: "Make the manifest of a dataset, to be put into the store beside its data", Args: cobra.ExactArgs(1),
		Example: "  switchferry data manifest --name inventory-2026-11-30 --chunk 8MB snapshot.bin > manifest.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			size, err := humanize.ParseBytes(chunkSize)
			if err != nil || size == 0 || size > tuning.MaxChunkBytes {
				return withExitCode(ExitUsage, fmt.Errorf("--chunk: %q must be a size from 1B to %s", chunkSize, humanize.IBytes(tuning.MaxChunkBytes)))
			}
			if !dataset.ValidName(name) {
				return withExitCode(ExitUsage, fmt.Errorf("--name: %q must be 1 to 64 of a-z, 0-9, '.', '_' and '-'", name))
			}
			manifest, err := buildManifest(name, args[0], int(size), chunksPerPart)
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			raw, _, err := manifest.Encode()
			if err != nil {
				return withExitCode(ExitFailed, err)
			}
			if outputFile == "" || outputFile == "-" {
				return printLine(cmd, string(raw))
			}
			printNote(cmd, "%s: %d chunks in %d parts, %s", filepath.Base(args[0]), len(manifest.Chunks), manifest.PartCount(), formatBytes(manifest.Bytes()))
			return withExitCode(ExitFailed, os.WriteFile(outputFile, append(raw, '\n'), outputFileMode))
		}}
	cmd.Flags().StringVar(&name, "name", "", "the dataset's name; it stands for this content for ever")
	cmd.Flags().StringVar(&chunkSize, "chunk", "8MB", "size of a chunk")
	cmd.Flags().IntVar(&chunksPerPart, "part-chunks", 1, "chunks a part; task k of a job that takes its own part gets part k")
	cmd.Flags().StringVar(&outputFile, "out", "", "file to write; none: standard output")
	return cmd
}

// buildManifest reads a file and returns the manifest of a dataset with the content of the file.
func buildManifest(name, path string, chunkBytes, chunksPerPart int) (*dataset.Manifest, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // The file was only read, so an error of Close has no effect.
	manifest, err := dataset.Build(name, file, chunkBytes, chunksPerPart, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return manifest, nil
}

// dataAddCommand returns the command that registers a dataset with the controllers.
func dataAddCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "add MANIFEST.json", Short: "Register a dataset that the store has", Args: cobra.ExactArgs(1),
		Example: "  switchferry data add manifest.json --node 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			manifest, err := dataset.Parse(raw)
			var summary dataset.Summary
			if err == nil {
				summary, err = dataset.Summarize(manifest, raw)
			}
			if err != nil {
				return withExitCode(ExitUsage, fmt.Errorf("%s: %w", args[0], err))
			}
			body, err := json.Marshal(summary)
			if err != nil {
				return withExitCode(ExitFailed, err)
			}
			if printed, err := client.requestAndDecode(cmd, http.MethodPost, "/datasets", body, &summary, errDatasetsOff); err != nil || printed {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s in %d parts\n", summary.Name, humanize.Bytes(uint64(summary.Bytes)), summary.PartCount)
			return err
		}}
	client.addFlags(cmd)
	return cmd
}
