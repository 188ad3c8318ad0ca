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
	// Late counts changes that came into force more than 4 s after the request.
	Late int `json:"over_4_s"`
}

const (
	// inForceMost is the time after which a change counts as late.
	inForceMost = 4 * time.Second
	// inForceWatch is how long to wait for a change to come into force.
	inForceWatch = 20 * time.Second
	// inForceLook is the interval between polls of the configuration.
	inForceLook = 20 * time.Millisecond
)

// changer periodically changes a team's limit in the configuration.
type changer struct {
	run *scaleRun

	// mu guards the fields below.
	mu            sync.Mutex
	took          *hdrhistogram.Histogram
	refused, late int
}

func newChanger(run *scaleRun) *changer {
	c := &changer{run: run}
	c.reset()
	return c
}

func (c *changer) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.took, c.refused, c.late = hdrhistogram.New(1, histogramMost, 3), 0, 0
}

func (c *changer) figures() Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Changes{Latency: latencyOf(c.took), Refused: c.refused, Late: c.late}
}

// loop makes a change every ChangesEveryS until the run ends.
func (c *changer) loop() {
	for number := 0; c.run.cluster.Sleep(span(c.run.ChangesEveryS)); number++ {
		if began := time.Now(); c.change(number) {
			took := time.Since(began)
			c.mu.Lock()
			_ = c.took.RecordValue(max(1, took.Milliseconds()))
			if took > inForceMost {
				c.late++
			}
			c.mu.Unlock()
		} else {
			c.mu.Lock()
			c.refused++
			c.mu.Unlock()
		}
	}
}

// document returns a configuration with all teams as in the settings, except that the last team's limit varies with number.
func (c *changer) document(number int) string {
	var text strings.Builder
	for i, t := range c.run.teams() {
		if i == c.run.Teams-1 {
			t.CPUsMax += float64(number % 7)
		}
		fmt.Fprintf(&text, "[[teams]]\nname = %q\ncpus = %g\ncpus_max = %g\n", t.Name, t.CPUs, t.CPUsMax)
	}
	return text.String()
}

// change makes one change and waits until it is in force. It returns false if the change was refused or did not come into
// force in time.
func (c *changer) change(number int) bool {
	body, err := json.Marshal(api.ConfigurationRequest{Document: c.document(number), By: "scale", Why: fmt.Sprint(number)})
	if err != nil {
		return false
	}
	users := c.run.users
	status, raw := users.askRaw(c.run.ctx, callPatience, http.MethodPost, "/configuration", body)
	var stored struct {
		Revision uint64 `json:"revision"`
	}
	if status != http.StatusOK && status != http.StatusAccepted || json.Unmarshal(raw, &stored) != nil {
		return false
	}
	for end := time.Now().Add(inForceWatch); status != http.StatusOK; {
		if time.Now().After(end) || !c.run.cluster.Sleep(inForceLook) {
			return false
		}
		shown, raw := users.askRaw(c.run.ctx, pollPatience, http.MethodGet, "/configuration", nil)
		var v api.ConfigurationView
		if shown == http.StatusOK && json.Unmarshal(raw, &v) == nil && v.Leader && (v.Revision > stored.Revision || v.Revision == stored.Revision && v.InForce) {
			status = shown
		}
	}
	return true
}
