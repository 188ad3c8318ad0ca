package api

import (
	"fmt"
	"math"

	"switchferry/tuning"
)

// StageSource is where a part of a dataset can be copied from: another machine's agent, or the store.
type StageSource struct {
	// Peer is the address of an agent; empty if Store is set.
	Peer  string `json:"peer,omitempty"`
	Store bool   `json:"store,omitempty"`
}

// String returns the source's name in logs.
func (source StageSource) String() string {
	if source.Store {
		return "store"
	}
	return source.Peer
}

// StageCopy is one part to be copied now, and the sources to try, best first.
type StageCopy struct {
	Part int           `json:"part"`
	From []StageSource `json:"from"`
}

// StageSet is what a machine shall have of one dataset.
type StageSet struct {
	Dataset  string `json:"dataset"`
	Manifest string `json:"manifest"`
	// Parts are to be kept as long as an order lists them.
	Parts PartSet `json:"parts"`
	// Copies are those of them that are to be copied now.
	Copies []StageCopy `json:"copies,omitempty"`
}

// StageOrder tells an agent all that its machine shall have. It replaces the previous one.
type StageOrder struct {
	// Term is the fencing token.
	Term uint64 `json:"helm"`
	// Incarnation is that of the agent that the order is for.
	Incarnation uint64 `json:"session,omitempty"`
	// Order grows with every order of a term.
	Order uint64 `json:"order"`
	// Known is the version of the agent's holdings that the controllers have.
	Known uint64     `json:"known"`
	Sets  []StageSet `json:"sets"`
	// Drop are manifests of datasets that were removed for good. The agent deletes what no other dataset
	// on its machine needs of them.
	Drop []string `json:"drop,omitempty"`
}

// StageHeld is a set of parts of one dataset in an agent's heartbeat.
type StageHeld struct {
	Dataset  string `json:"dataset"`
	Manifest string `json:"manifest"`
	// Of is the dataset's number of parts.
	Of    int     `json:"of,omitempty"`
	Parts PartSet `json:"parts"`
}

// StageFailure is a source that did not give a part, and why.
type StageFailure struct {
	From StageSource `json:"from"`
	Why  string      `json:"why"`
	// Corrupt tells that the source gave wrong bytes, or lacked what it had announced.
	Corrupt bool `json:"lied,omitempty"`
}

// StageProgress is a copy under way. Got and Of are bytes.
type StageProgress struct {
	Dataset string         `json:"dataset"`
	Part    int            `json:"part"`
	Got     int64          `json:"got"`
	Of      int64          `json:"of"`
	From    StageSource    `json:"from"`
	Failed  []StageFailure `json:"failed,omitempty"`
	// Full tells that the cache has no space for the part.
	Full bool `json:"full,omitempty"`
}

// StageHeartbeat is an agent's report of its machine's state. Sizes are in bytes.
type StageHeartbeat struct {
	Machine string `json:"host"`
	Address string `json:"address"`
	// Incarnation grows with each start of the agent, Seq with each heartbeat of an incarnation.
	Incarnation uint64 `json:"session"`
	Seq         uint64 `json:"seq"`
	// Term and Order are those of the newest order that the agent has accepted.
	Term  uint64 `json:"helm"`
	Order uint64 `json:"order"`
	// Quota is the size of the cache, Used what is in it.
	Quota int64 `json:"quota"`
	Used  int64 `json:"used"`
	// Version counts the changes of the agent's holdings. While the controllers know it, All is false
	// and Holds is left out; else All is true and Holds is all that the cache has.
	Version uint64      `json:"version"`
	All     bool        `json:"all,omitempty"`
	Holds   []StageHeld `json:"holds,omitempty"`
	// Pinned are the parts of the newest order that are complete, checked, and kept.
	Pinned []StageHeld     `json:"pinned,omitempty"`
	Copies []StageProgress `json:"copies,omitempty"`
	// FromStore and FromPeers count the bytes copied since the agent began, by where they came from.
	FromStore int64 `json:"from_store"`
	FromPeers int64 `json:"from_peers"`
}

// maxReportedBytes is the largest size that an agent may report. Sums of a few do not overflow.
const maxReportedBytes = math.MaxInt64 / 4

// Check returns a *FieldError if a heartbeat cannot be handled, or has numbers that are impossible.
func (heartbeat *StageHeartbeat) Check() error {
	switch {
	case heartbeat.Machine == "":
		return &FieldError{"host", "is missing"}
	case heartbeat.Address == "":
		return &FieldError{"address", "is missing"}
	case heartbeat.Incarnation == 0:
		return &FieldError{"session", "is missing"}
	case !validSize(heartbeat.Quota) || !validSize(heartbeat.Used):
		return &FieldError{"quota", "quota and used must be numbers of bytes, 0 or more"}
	}
	for index, held := range heartbeat.Holds {
		if held.Dataset == "" || held.Of < 0 || held.Of > tuning.PartsLimit || held.Parts.Bitmap == nil {
			return &FieldError{fmt.Sprintf("holds[%d]", index), "needs dataset, of and parts"}
		}
	}
	for index, held := range heartbeat.Pinned {
		if held.Dataset == "" || held.Parts.Bitmap == nil {
			return &FieldError{fmt.Sprintf("pinned[%d]", index), "needs dataset and parts"}
		}
	}
	for index, progress := range heartbeat.Copies {
		if progress.Part < 0 || progress.Part >= tuning.PartsLimit || progress.Got < 0 || progress.Of < 0 {
			return &FieldError{fmt.Sprintf("copies[%d]", index), "has impossible numbers"}
		}
	}
	return nil
}

// validSize tells whether a number can be a size in bytes.
func validSize(size int64) bool { return size >= 0 && size <= maxReportedBytes }
