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
	Most int64  `json:"most_ms"`
}

// Gaps reads the controllers' debug logs of a day and measures the delays of the jobs that awaited other jobs. It
// returns an error if the logs hold no such job.
func Gaps(r io.Reader) ([]Gap, error) {
	day, err := readDay(r)
	if err != nil {
		return nil, err
	}
	parts := []string{"records", "placing", "command, fetch, report", "all"}
	var h []*hdrhistogram.Histogram
	for range parts {
		h = append(h, hdrhistogram.New(1, 3_600_000, 3))
	}
	for _, j := range day.jobs {
		end := 0.0
		for _, id := range j.awaits {
			if o := day.jobs[id]; o != nil {
				end = math.Max(end, o.lastEnd)
			}
		}
		if end == 0 || j.ready <= j.at || j.placed == 0 || j.running == 0 {
			continue // did not have to wait for another job, or never started
		}
		for i, s := range []float64{j.ready - end, j.placed - j.ready, j.running - j.placed, j.running - end} {
			if err := h[i].RecordValue(int64(math.Max(0, s) * 1000)); err != nil {
				return nil, err
			}
		}
	}
	if h[0].TotalCount() == 0 {
		return nil, errors.New("no job in these logs awaited another job and started; were they written with LOG_LEVEL=debug?")
	}
	var out []Gap
	for i, part := range parts {
		out = append(out, Gap{part, h[i].TotalCount(), h[i].ValueAtQuantile(50), h[i].ValueAtQuantile(90), h[i].ValueAtQuantile(99), h[i].Max()})
	}
	return out, nil
}
