package cluster

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Delays are how long messages between controllers and workers take, in ms. A start that goes out in the response to a
// heartbeat and directly arrives twice, as far apart as Overtaken says.
type Delays struct {
	// Heartbeats is from a heartbeat to the response.
	Heartbeats *hdrhistogram.Histogram
	// Overtaken is from the first direct command that arrives while a heartbeat waits for its response to that response.
	Overtaken *hdrhistogram.Histogram
}

// delayLimitMS is the longest delay that a histogram tells apart from longer ones.
const delayLimitMS = 60_000

func newDelays() Delays {
	return Delays{Heartbeats: hdrhistogram.New(1, delayLimitMS, 3), Overtaken: hdrhistogram.New(1, delayLimitMS, 3)}
}

// delayRecorder records the delays of all workers.
type delayRecorder struct {
	mu     sync.Mutex
	delays Delays
}

// responded records an exchange. The time of the command is zero if none arrived meanwhile.
func (recorder *delayRecorder) responded(sent, command, response time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recordDelay(recorder.delays.Heartbeats, response.Sub(sent))
	if !command.IsZero() {
		recordDelay(recorder.delays.Overtaken, response.Sub(command))
	}
}

// recordDelay adds a delay to a histogram; whatever is longer counts as delayLimitMS.
func recordDelay(histogram *hdrhistogram.Histogram, delay time.Duration) {
	// Values up to the limit are never refused.
	_ = histogram.RecordValue(min(delay.Milliseconds(), delayLimitMS))
}

// take returns what was recorded since it was last called.
func (recorder *delayRecorder) take() Delays {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	taken := recorder.delays
	recorder.delays = newDelays()
	return taken
}

// TakeDelays returns the delays of the exchanges that ended since it was last called.
func (cluster *Cluster) TakeDelays() Delays { return cluster.delays.take() }
