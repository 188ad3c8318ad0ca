package experiment

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"switchferry/api"
)

// Changes holds the latencies of configuration changes, in milliseconds from the request to the confirmation that the
// change is in force.
type Changes struct {
	Latency
	// Refused counts changes that were not stored or not confirmed to be in force in time.
	Refused int `json:"refused"`
	// Slow counts changes that came into force more than 4 s after the request.
	Slow int `json:"over_4_s"`
}

const (
	// slowChangeAfter is the time after which a change counts as slow.
	slowChangeAfter = 4 * time.Second
	// inForceTimeout is how long to wait for a change to come into force.
	inForceTimeout = 20 * time.Second
	// inForcePollInterval is the interval between polls of the configuration.
	inForcePollInterval = 20 * time.Millisecond
)

// limitChanger periodically changes a team's limit in the configuration.
type limitChanger struct {
	run *scaleRun

	// mu guards the fields below.
	mu            sync.Mutex
	latency       *hdrhistogram.Histogram
	refused, slow int
}

func newLimitChanger(run *scaleRun) *limitChanger {
	c := &limitChanger{run: run}
	c.reset()
	return c
}

func (c *limitChanger) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency, c.refused, c.slow = hdrhistogram.New(1, histogramMaxMS, 3), 0, 0
}

func (c *limitChanger) figures() Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Changes{Latency: latencyOf(c.latency), Refused: c.refused, Slow: c.slow}
}

// loop makes a change every ChangeIntervalS until the run ends.
func (c *limitChanger) loop() {
	for number := 0; c.run.cluster.Sleep(secondsDuration(c.run.ChangeIntervalS)); number++ {
		if began := time.Now(); c.change(number) {
			took := time.Since(began)
			c.mu.Lock()
			_ = c.latency.RecordValue(max(1, took.Milliseconds()))
			if took > slowChangeAfter {
				c.slow++
			}
			c.mu.Unlock()
		} else {
			c.mu.Lock()
			c.refused++
			c.mu.Unlock()
		}
	}
}

// document returns a configuration with all teams as in the settings, except that the last team's limit varies with
// number.
func (c *limitChanger) document(number int) string {
	var text strings.Builder
	for i, t := range c.run.teams() {
		if i == c.run.Teams-1 {
			t.CPUsMax += float64(number % 7)
		}
		fmt.Fprintf(&text, "[[teams]]\nname = %q\ncpus = %g\ncpus_max = %g\n", t.Name, t.CPUs, t.CPUsMax)
	}
	return text.String()
}

// change makes one change and waits until it is in force. It returns false if the change was refused or did not come
// into force in time.
func (c *limitChanger) change(number int) bool {
	body, err := json.Marshal(api.ConfigurationRequest{Document: c.document(number), Operator: "scale", Reason: fmt.Sprint(number)})
	if err != nil {
		return false
	}
	users := c.run.users
	status, raw := users.requestRaw(c.run.ctx, callTimeout, http.MethodPost, "/configuration", body)
	var stored struct {
		Revision uint64 `json:"revision"`
	}
	if status != http.StatusOK && status != http.StatusAccepted || json.Unmarshal(raw, &stored) != nil {
		return false
	}
	for end := time.Now().Add(inForceTimeout); status != http.StatusOK; {
		if time.Now().After(end) || !c.run.cluster.Sleep(inForcePollInterval) {
			return false
		}
		shown, raw := users.requestRaw(c.run.ctx, pollTimeout, http.MethodGet, "/configuration", nil)
		var v api.ConfigurationView
		if shown == http.StatusOK && json.Unmarshal(raw, &v) == nil && v.FromLeader && (v.Revision > stored.Revision || v.Revision == stored.Revision && v.InForce) {
			status = shown
		}
	}
	return true
}
