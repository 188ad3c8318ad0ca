package experiment

import (
	"errors"
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Gap is the distribution of one part of the delay between the end of a pipeline stage and the first task start of the
// next stage, in milliseconds.
type Gap struct {
	Part string `json:"part"`
	Jobs int64  `json:"jobs"`
	P50  int64  `json:"p50_ms"`
	P90  int64  `json:"p90_ms"`
	P99  int64  `json:"p99_ms"`
	Max  int64  `json:"most_ms"`
}

// Gaps reads the controllers' debug logs of a day and measures the delays of the jobs that awaited other jobs. It
// returns an error if the logs hold no such job.
func Gaps(r io.Reader) ([]Gap, error) {
	day, err := readDayLog(r)
	if err != nil {
		return nil, err
	}
	parts := []string{"records", "placing", "command, fetch, report", "all"}
	var histograms []*hdrhistogram.Histogram
	for range parts {
		histograms = append(histograms, hdrhistogram.New(1, 3_600_000, 3))
	}
	for _, j := range day.jobs {
		end := 0.0
		for _, id := range j.awaits {
			if awaited := day.jobs[id]; awaited != nil {
				end = math.Max(end, awaited.lastEnd)
			}
		}
		if end == 0 || j.ready <= j.submitted || j.firstPlaced == 0 || j.firstStart == 0 {
			continue // The job did not wait for another job, or never started.
		}
		for i, seconds := range []float64{j.ready - end, j.firstPlaced - j.ready, j.firstStart - j.firstPlaced, j.firstStart - end} {
			if err := histograms[i].RecordValue(int64(math.Max(0, seconds) * 1000)); err != nil {
				return nil, err
			}
		}
	}
	if histograms[0].TotalCount() == 0 {
		return nil, errors.New("no job in these logs awaited another job and started; were they written with LOG_LEVEL=debug?")
	}
	var out []Gap
	for i, part := range parts {
		out = append(out, Gap{part, histograms[i].TotalCount(), histograms[i].ValueAtQuantile(50), histograms[i].ValueAtQuantile(90), histograms[i].ValueAtQuantile(99), histograms[i].Max()})
	}
	return out, nil
}
