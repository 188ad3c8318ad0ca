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

// Changes are how changes of the configuration went, in ms from the request to the word that it is in force.
type Changes struct {
	Latency
	// Refused were not stored, or it was not known; the next one came two seconds later.
	Refused int `json:"refused"`
	// Late came into force more than 4 s after they were asked for.
	Late int `json:"over_4_s"`
}

const (
	inForceMost  = 4 * time.Second
	inForceWatch = 20 * time.Second
	inForceLook  = 20 * time.Millisecond
)

// changer changes the teams' limits again and again.
type changer struct {
	run *scaleRun

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

// loop makes a change every ChangesEveryS until the run is over.
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

// document has all teams as in the settings, but one whose limit changes each time.
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

// change makes one change and waits until it is in force.
func (c *changer) change(number int) bool {
	body, err := json.Marshal(api.ConfigurationRequest{Document: c.document(number), Operator: "scale", Reason: fmt.Sprint(number)})
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
		if shown == http.StatusOK && json.Unmarshal(raw, &v) == nil && v.FromLeader && (v.Revision > stored.Revision || v.Revision == stored.Revision && v.InForce) {
			status = shown
		}
	}
	return true
}
