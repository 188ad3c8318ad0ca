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

// client asks controllers, one after the other.
type client struct {
	nodes  []string
	asJSON bool
	total  time.Duration
}

func (c *client) flags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&c.nodes, "node", []string{"127.0.0.1:8080"}, "address of a controller; may be given several times")
	cmd.Flags().BoolVar(&c.asJSON, "json", false, "print the controller's answer as JSON")
	cmd.Flags().DurationVar(&c.total, "wait", tuning.ClientTotal, "how long to try in all")
}

// ask sends a request until it gets a final answer or the time is over. It
// comes back when a controller says so, and goes to the next one otherwise.
func (c *client) ask(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, c.total)
	defer stop()
	hc := &http.Client{Timeout: tuning.ClientTimeout, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: tuning.DialTimeout}).DialContext}}
	last := errors.New("no controller given")
	for i := 0; len(c.nodes) > 0; i++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[i%len(c.nodes)]+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, coded(ExitUsage, err)
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
				err = fmt.Errorf("status %d: %s", s, message(raw))
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
			return 0, nil, coded(ExitFailed, fmt.Errorf("no answer within %v: %w", c.total, last))
		case <-time.After(wait):
		}
	}
	return 0, nil, coded(ExitUsage, last)
}

func message(raw []byte) string {
	var e api.Error
	if json.Unmarshal(raw, &e) == nil && e.Error != "" {
		return e.Error
	}
	return string(bytes.TrimSpace(raw))
}

// answer asks and takes the answer in. Printed: it went out as JSON, as the user wants it.
// Missing is the error for an answer that there is no such thing.
func (c *client) answer(cmd *cobra.Command, method, path string, body []byte, into any, missing func(why string) error) (printed bool, err error) {
	status, raw, err := c.ask(cmd.Context(), method, path, body)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusNotFound:
		return false, missing(message(raw))
	case status != http.StatusOK && status != http.StatusCreated:
		return false, coded(ExitRefused, fmt.Errorf("refused (status %d): %s", status, message(raw)))
	case c.asJSON:
		_, err = fmt.Fprintln(cmd.OutOrStdout(), string(bytes.TrimSpace(raw)))
		return true, err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return false, coded(ExitFailed, fmt.Errorf("malformed answer: %w", err))
	}
	return false, nil
}

// run asks and prints.
func (c *client) run(cmd *cobra.Command, method, path string, body []byte) error {
	var st api.JobStatus
	printed, err := c.answer(cmd, method, path, body, &st, func(why string) error { return coded(ExitNotFound, errors.New(why)) })
	if err != nil || printed {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s %s, %d tasks done, %d running\n", st.ID, st.State, st.Done, st.Running)
	return err
}

// checkID tells what a job's id must look like.
func checkID(id string) error {
	if !api.ValidID(id) {
		return coded(ExitUsage, fmt.Errorf("%q is no job id; they look like run-000412", id))
	}
	return nil
}

// newTable is a table as all commands print them.
func newTable(w io.Writer) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	return t
}

func jobCommand(use, short, method, suffix string) *cobra.Command {
	var c client
	cmd := &cobra.Command{Use: use + " JOB", Short: short, Args: cobra.ExactArgs(1),
		Example: "  switchferry " + use + " run-000412 --node 10.0.0.1:8080 --node 10.0.0.2:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkID(args[0]); err != nil {
				return err
			}
			return c.run(cmd, method, "/submissions/"+args[0]+suffix, nil)
		}}
	c.flags(cmd)
	return cmd
}

func submitCommand() *cobra.Command {
	var c client
	var s api.Submission
	var file string
	cmd := &cobra.Command{Use: "submit [--file JOB.json | flags]", Short: "Submit a job", Args: cobra.NoArgs,
		Example: "  switchferry submit --file job.json --node 10.0.0.1:8080\n" +
			"  switchferry submit --id run-000412 --class train --team vision --shape sweep --tasks 16 --cpus 4 --memory-gb 8 --image img-07 --image-gb 2 --estimate-s 240 --spot\n" +
			"  switchferry submit --id run-000413 --class publish --team vision --image img-08 --await run-000398 --await run-000412 --deadline-s 900",
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := json.Marshal(&s)
			if file != "" {
				if body, err = os.ReadFile(file); file == "-" {
					body, err = io.ReadAll(cmd.InOrStdin())
				}
			}
			if err != nil {
				return coded(ExitUsage, err)
			}
			// The same check as the controllers': a mistake shows at once.
			if _, _, err := api.ParseSubmission(body); err != nil {
				return coded(ExitUsage, fmt.Errorf("the job is not valid: %w", err))
			}
			return c.run(cmd, http.MethodPost, "/submissions", body)
		}}
	c.flags(cmd)
	f := cmd.Flags()
	f.StringVar(&file, "file", "", "the job as JSON; - reads standard input")
	f.StringVar(&s.ID, "id", "", "job id, like run-000412")
	f.StringVar(&s.Class, "class", "", "class of jobs")
	f.StringVar(&s.Team, "team", "", "owning team")
	f.StringVar(&s.Shape, "shape", api.JobArray, "sweep (tasks that complete), gang (the same, all at once) or standing (a service)")
	f.StringVar(&s.Rank, "rank", "normal", "prod, high, normal or low")
	f.IntVar(&s.Tasks, "tasks", 1, "number of tasks")
	f.Float64Var(&s.CPUs, "cpus", 1, "processors a task")
	f.Float64Var(&s.Cards, "cards", 0, "accelerators a task")
	f.Float64Var(&s.MemoryGB, "memory-gb", 1, "memory a task")
	f.StringVar(&s.Image, "image", "", "image")
	f.Float64Var(&s.ImageGB, "image-gb", 0, "size of the image")
	f.StringSliceVar(&s.Types, "type", nil, "allowed machine types; none: any")
	f.StringVar(&s.Zone, "zone", "", "the only allowed zone")
	f.BoolVar(&s.OneZone, "one-zone", false, "all tasks in one zone")
	f.BoolVar(&s.Spread, "spread", false, "at most half of the tasks in one zone")
	f.BoolVar(&s.Spot, "spot", false, "may use spot machines")
	f.Float64Var(&s.EstimateS, "estimate-s", 0, "estimated run time of a task")
	f.Float64Var(&s.Checkpoint, "checkpoint-s", 0, "interval of checkpoints; 0: none")
	f.Float64Var(&s.SaveS, "save-s", 0, "time to save when stopped")
	f.Float64Var(&s.DeadlineS, "deadline-s", 0, "deadline after submission; 0: none")
	f.StringSliceVar(&s.Awaits, "await", nil, "a job that must be done before any task of this one starts; may be given several times")
	cmd.MarkFlagsMutuallyExclusive("file", "id")
	cmd.MarkFlagsMutuallyExclusive("file", "await")
	return cmd
}
