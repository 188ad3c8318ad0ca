package cluster

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Delays are latencies of messages between controllers and workers, in ms.
type Delays struct {
	// Heartbeats is the time from sending a heartbeat to its response.
	Heartbeats *hdrhistogram.Histogram
	// DirectCommandLead is the time by which a direct command precedes the response to a heartbeat: from the first direct
	// command that arrives while a heartbeat awaits its response, to that response. A start command that is sent both
	// directly and in the response arrives twice, that far apart.
	DirectCommandLead *hdrhistogram.Histogram
}

// maxDelayMS is the upper bound of the histograms, in ms. Longer delays are recorded as this value.
const maxDelayMS = 60_000

func newDelays() Delays {
	return Delays{Heartbeats: hdrhistogram.New(1, maxDelayMS, 3), DirectCommandLead: hdrhistogram.New(1, maxDelayMS, 3)}
}

// delayRecorder records the delays of all workers. It is safe for concurrent use.
type delayRecorder struct {
	mu     sync.Mutex // guards delays
	delays Delays
}

// recordHeartbeat records the delays of an answered heartbeat. sent is when it was sent, response when its response
// arrived, and command when the first direct command arrived in between, zero if none did.
func (recorder *delayRecorder) recordHeartbeat(sent, command, response time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recordDelay(recorder.delays.Heartbeats, response.Sub(sent))
	if !command.IsZero() {
		recordDelay(recorder.delays.DirectCommandLead, response.Sub(command))
	}
}

// recordDelay adds a delay to a histogram. Delays longer than maxDelayMS are recorded as maxDelayMS.
func recordDelay(histogram *hdrhistogram.Histogram, delay time.Duration) {
	// RecordValue returns an error only for values above the limit.
	_ = histogram.RecordValue(min(delay.Milliseconds(), maxDelayMS))
}

// takeDelays returns the delays that were recorded since the last call, and resets the recorder.
func (recorder *delayRecorder) takeDelays() Delays {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	taken := recorder.delays
	recorder.delays = newDelays()
	return taken
}

// TakeDelays returns the delays of the heartbeats that were answered since the last call, and resets the recorder.
func (cluster *Cluster) TakeDelays() Delays { return cluster.delays.takeDelays() }
