package cli

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"switchferry/api"
)

// checkID returns an error if a job id does not have the format that the protocol requires.
func checkID(id string) error {
	if !api.ValidID(id) {
		return withExitCode(ExitUsage, fmt.Errorf("%q is no job id; they look like run-000412", id))
	}
	return nil
}

// printStatus sends a request that is answered with the status of a job, and prints the status.
func (client *controllerClient) printStatus(cmd *cobra.Command, method, path string, body []byte) error {
	var status api.JobStatus
	printed, err := client.requestAndDecode(cmd, method, path, body, &status, errNotFound)
	if err != nil || printed {
		return err
	}
	return printLine(cmd, fmt.Sprintf("%s %s, %d tasks done, %d running", status.ID, status.State, status.Done, status.Running))
}

// jobCommand returns a command that sends a request without a body for one job, to the path of the job with a suffix.
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

// submitCommand returns the command that submits a job.
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
				body, err = readInput(cmd, file)
			}
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			// This is the same validation as in the controllers, so that errors are reported before a request is sent.
			if _, _, err := api.ParseSubmission(body); err != nil {
				return withExitCode(ExitUsage, fmt.Errorf("the job is not valid: %w", err))
			}
			return client.printStatus(cmd, http.MethodPost, "/submissions", body)
		}}
	client.addFlags(cmd)
	cmd.Flags().StringVar(&file, "file", "", "the job as JSON; - reads standard input")
	addSubmissionFlags(cmd, &submission)
	cmd.MarkFlagsMutuallyExclusive("file", "id")
	cmd.MarkFlagsMutuallyExclusive("file", "await")
	return cmd
}

// addSubmissionFlags adds the flags that describe a job.
func addSubmissionFlags(cmd *cobra.Command, submission *api.Submission) {
	flags := cmd.Flags()
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
	flags.Float64Var(&submission.CheckpointS, "checkpoint-s", 0, "interval of checkpoints; 0: none")
	flags.Float64Var(&submission.SaveS, "save-s", 0, "time to save when stopped")
	flags.Float64Var(&submission.DeadlineS, "deadline-s", 0, "deadline after submission; 0: none")
	flags.StringSliceVar(&submission.Awaits, "await", nil, "a job that must be done before any task of this one starts; may be given several times")
}
