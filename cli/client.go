package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/api"
	"switchferry/tuning"
)

// controllerClient asks controllers, one after the other.
type controllerClient struct {
	controllers []string
	asJSON      bool
	timeout     time.Duration
}

func (client *controllerClient) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&client.controllers, "node", []string{"127.0.0.1:8080"}, "address of a controller; may be given several times")
	cmd.Flags().BoolVar(&client.asJSON, "json", false, "print the controller's answer as JSON")
	cmd.Flags().DurationVar(&client.timeout, "wait", tuning.ClientTotal, "how long to try in all")
}

// request sends a request until it gets a final answer or the time is over. It
// comes back when a controller says so, and goes to the next one otherwise.
func (client *controllerClient) request(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, client.timeout)
	defer stop()
	hc := &http.Client{Timeout: tuning.ClientTimeout, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: tuning.DialTimeout}).DialContext}}
	last := errors.New("no controller given")
	for i := 0; len(client.controllers) > 0; i++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+client.controllers[i%len(client.controllers)]+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, withExitCode(ExitUsage, err)
		}
		wait := time.Second
		resp, err := hc.Do(req)
		if err == nil {
			raw, rerr := io.ReadAll(io.LimitReader(resp.Body, tuning.AnswerLimit))
			resp.Body.Close()
			switch s := resp.StatusCode; {
			case rerr != nil:
				err = rerr
			case s == http.StatusTooManyRequests || s >= 500:
				err = fmt.Errorf("status %d: %s", s, errorMessage(raw))
				if n, perr := strconv.Atoi(resp.Header.Get("Retry-After")); perr == nil && n > 0 {
					wait = time.Duration(n) * time.Second
				}
			default:
				return s, raw, nil
			}
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return 0, nil, withExitCode(ExitFailed, fmt.Errorf("no answer within %v: %w", client.timeout, last))
		case <-time.After(wait):
		}
	}
	return 0, nil, withExitCode(ExitUsage, last)
}

func errorMessage(raw []byte) string {
	var e api.Error
	if json.Unmarshal(raw, &e) == nil && e.Error != "" {
		return e.Error
	}
	return string(bytes.TrimSpace(raw))
}

// requestInto asks and takes the answer in. Printed: it went out as JSON, as the user wants it.
// Missing is the error for an answer that there is no such thing.
func (client *controllerClient) requestInto(cmd *cobra.Command, method, path string, body []byte, into any, missing func(why string) error) (printed bool, err error) {
	status, raw, err := client.request(cmd.Context(), method, path, body)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusNotFound:
		return false, missing(errorMessage(raw))
	case status != http.StatusOK && status != http.StatusCreated:
		return false, withExitCode(ExitRefused, fmt.Errorf("refused (status %d): %s", status, errorMessage(raw)))
	case client.asJSON:
		_, err = fmt.Fprintln(cmd.OutOrStdout(), string(bytes.TrimSpace(raw)))
		return true, err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return false, withExitCode(ExitFailed, fmt.Errorf("malformed answer: %w", err))
	}
	return false, nil
}

// printStatus asks and prints.
func (client *controllerClient) printStatus(cmd *cobra.Command, method, path string, body []byte) error {
	var status api.JobStatus
	printed, err := client.requestInto(cmd, method, path, body, &status, func(why string) error { return withExitCode(ExitNotFound, errors.New(why)) })
	if err != nil || printed {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s %s, %d tasks done, %d running\n", status.ID, status.State, status.Done, status.Running)
	return err
}

// checkID tells what a job's id must look like.
func checkID(id string) error {
	if !api.ValidID(id) {
		return withExitCode(ExitUsage, fmt.Errorf("%q is no job id; they look like run-000412", id))
	}
	return nil
}

// newTable is a table as all commands print them.
func newTable(out io.Writer) table.Writer {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	writer.SetStyle(table.StyleLight)
	return writer
}

func jobCommand(use, short, method, suffix string) *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: use + " JOB", Short: short, Args: cobra.ExactArgs(1),
		Example: "  switchferry " + use + " run-000412 --node 10.0.0.1:8080 --node 10.0.0.2:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkID(args[0]); err != nil {
				return err
			}
			return client.printStatus(cmd, method, "/submissions/"+args[0]+suffix, nil)
		}}
	client.addFlags(cmd)
	return cmd
}

func submitCommand() *cobra.Command {
	var client controllerClient
	var submission api.Submission
	var file string
	cmd := &cobra.Command{Use: "submit [--file JOB.json | flags]", Short: "Submit a job", Args: cobra.NoArgs,
		Example: "  switchferry submit --file job.json --node 10.0.0.1:8080\n" +
			"  switchferry submit --id run-000412 --class train --team vision --shape sweep --tasks 16 --cpus 4 --memory-gb 8 --image img-07 --image-gb 2 --estimate-s 240 --spot\n" +
			"  switchferry submit --id run-000413 --class publish --team vision --image img-08 --await run-000398 --await run-000412 --deadline-s 900",
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := json.Marshal(&submission)
			if file != "" {
				if body, err = os.ReadFile(file); file == "-" {
					body, err = io.ReadAll(cmd.InOrStdin())
				}
			}
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			// The same check as the controllers': a mistake shows at once.
			if _, _, err := api.ParseSubmission(body); err != nil {
				return withExitCode(ExitUsage, fmt.Errorf("the job is not valid: %w", err))
			}
			return client.printStatus(cmd, http.MethodPost, "/submissions", body)
		}}
	client.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&file, "file", "", "the job as JSON; - reads standard input")
	flags.StringVar(&submission.ID, "id", "", "job id, like run-000412")
	flags.StringVar(&submission.Class, "class", "", "class of jobs")
	flags.StringVar(&submission.Team, "team", "", "owning team")
	flags.StringVar(&submission.Shape, "shape", api.JobArray, "sweep (tasks that complete), gang (the same, all at once) or standing (a service)")
	flags.StringVar(&submission.Rank, "rank", "normal", "prod, high, normal or low")
	flags.IntVar(&submission.Tasks, "tasks", 1, "number of tasks")
	flags.Float64Var(&submission.CPUs, "cpus", 1, "processors a task")
	flags.Float64Var(&submission.Cards, "cards", 0, "accelerators a task")
	flags.Float64Var(&submission.MemoryGB, "memory-gb", 1, "memory a task")
	flags.StringVar(&submission.Image, "image", "", "image")
	flags.Float64Var(&submission.ImageGB, "image-gb", 0, "size of the image")
	flags.StringSliceVar(&submission.Types, "type", nil, "allowed machine types; none: any")
	flags.StringVar(&submission.Zone, "zone", "", "the only allowed zone")
	flags.BoolVar(&submission.OneZone, "one-zone", false, "all tasks in one zone")
	flags.BoolVar(&submission.Spread, "spread", false, "at most half of the tasks in one zone")
	flags.BoolVar(&submission.Spot, "spot", false, "may use spot machines")
	flags.Float64Var(&submission.EstimateS, "estimate-s", 0, "estimated run time of a task")
	flags.Float64Var(&submission.Checkpoint, "checkpoint-s", 0, "interval of checkpoints; 0: none")
	flags.Float64Var(&submission.SaveS, "save-s", 0, "time to save when stopped")
	flags.Float64Var(&submission.DeadlineS, "deadline-s", 0, "deadline after submission; 0: none")
	flags.StringSliceVar(&submission.Awaits, "await", nil, "a job that must be done before any task of this one starts; may be given several times")
	cmd.MarkFlagsMutuallyExclusive("file", "id")
	cmd.MarkFlagsMutuallyExclusive("file", "await")
	return cmd
}
