package api

import (
	"fmt"
	"math"

	"switchferry/tuning"
)

// StageSource is a source from which a part of a dataset can be copied: another machine's agent or the store.
type StageSource struct {
	// Peer is the address of an agent; empty if Store is true.
	Peer  string `json:"peer,omitempty"`
	Store bool   `json:"store,omitempty"`
}

// String returns the source's name for logs.
func (source StageSource) String() string {
	if source.Store {
		return "store"
	}
	return source.Peer
}

// StageCopy is a part to copy now, with the sources to try, best first.
type StageCopy struct {
	Part    int           `json:"part"`
	Sources []StageSource `json:"from"`
}

// StageSet lists the parts of one dataset that a machine must hold.
type StageSet struct {
	Dataset  string `json:"dataset"`
	Manifest string `json:"manifest"`
	// Parts is the set of parts that the machine must hold. The agent keeps them for as long as an order lists them.
	Parts PartSet `json:"parts"`
	// Copies lists those of Parts that are to be copied now.
	Copies []StageCopy `json:"copies,omitempty"`
}

// StageOrder is an order to a data agent. It lists all data that the agent's machine must hold and replaces the
// previous order.
type StageOrder struct {
	// Term is the fencing token.
	Term uint64 `json:"helm"`
	// Incarnation is the agent incarnation that the order is for.
	Incarnation uint64 `json:"session,omitempty"`
	// Sequence is a sequence number that increases with every order of a term.
	Sequence uint64 `json:"order"`
	// KnownVersion is the version of the agent's holdings that the controllers know.
	KnownVersion uint64     `json:"known"`
	Sets         []StageSet `json:"sets"`
	// DropManifests lists the manifests of datasets that were removed permanently. The agent deletes their data unless
	// another dataset on its machine needs it.
	DropManifests []string `json:"drop,omitempty"`
}

// StageHolding lists parts of one dataset in an agent's heartbeat.
type StageHolding struct {
	Dataset  string `json:"dataset"`
	Manifest string `json:"manifest"`
	// PartCount is the number of parts of the dataset.
	PartCount int     `json:"of,omitempty"`
	Parts     PartSet `json:"parts"`
}

// StageFailure is a failed attempt to copy a part from a source.
type StageFailure struct {
	Source StageSource `json:"from"`
	Reason string      `json:"why"`
	// Corrupt is true if the source sent wrong bytes or did not have a part that it had announced.
	Corrupt bool `json:"lied,omitempty"`
}

// StageProgress is the progress of a copy. CopiedBytes is the number of bytes copied so far, TotalBytes the size of the
// part in bytes.
type StageProgress struct {
	Dataset     string         `json:"dataset"`
	Part        int            `json:"part"`
	CopiedBytes int64          `json:"got"`
	TotalBytes  int64          `json:"of"`
	Source      StageSource    `json:"from"`
	Failed      []StageFailure `json:"failed,omitempty"`
	// CacheFull is true if the cache has no space for the part.
	CacheFull bool `json:"full,omitempty"`
}

// StageHeartbeat is the heartbeat of a data agent. Sizes are in bytes.
type StageHeartbeat struct {
	Machine string `json:"host"`
	Address string `json:"address"`
	// Incarnation increases with each start of the agent, Seq with each heartbeat of an incarnation.
	Incarnation uint64 `json:"session"`
	Seq         uint64 `json:"seq"`
	// Term and Sequence identify the newest order that the agent has accepted.
	Term     uint64 `json:"helm"`
	Sequence uint64 `json:"order"`
	// Quota is the capacity of the cache, Used the space taken in it.
	Quota int64 `json:"quota"`
	Used  int64 `json:"used"`
	// Version counts the changes of the agent's holdings. If the controllers know this version, HoldingsComplete is
	// false and Holdings is omitted. Otherwise HoldingsComplete is true and Holdings lists everything in the cache.
	Version          uint64         `json:"version"`
	HoldingsComplete bool           `json:"all,omitempty"`
	Holdings         []StageHolding `json:"holds,omitempty"`
	// Pinned lists the parts of the newest order that are complete, verified and protected from eviction.
	Pinned []StageHolding  `json:"pinned,omitempty"`
	Copies []StageProgress `json:"copies,omitempty"`
	// BytesFromStore and BytesFromPeers are the numbers of bytes copied from the store and from other agents since the
	// agent started.
	BytesFromStore int64 `json:"from_store"`
	BytesFromPeers int64 `json:"from_peers"`
}

// maxReportedBytes is the largest size, in bytes, that an agent may report; the sum of four such sizes does not
// overflow an int64.
const maxReportedBytes = math.MaxInt64 / 4

// Check returns a *FieldError if a required field is missing or a number is out of range.
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
	for index, held := range heartbeat.Holdings {
		if held.Dataset == "" || held.PartCount < 0 || held.PartCount > tuning.MaxParts || held.Parts.Bitmap == nil {
			return &FieldError{fmt.Sprintf("holds[%d]", index), "needs dataset, of and parts"}
		}
	}
	for index, held := range heartbeat.Pinned {
		if held.Dataset == "" || held.Parts.Bitmap == nil {
			return &FieldError{fmt.Sprintf("pinned[%d]", index), "needs dataset and parts"}
		}
	}
	for index, progress := range heartbeat.Copies {
		if progress.Part < 0 || progress.Part >= tuning.MaxParts || progress.CopiedBytes < 0 || progress.TotalBytes < 0 {
			return &FieldError{fmt.Sprintf("copies[%d]", index), "has numbers that are out of range"}
		}
	}
	return nil
}

// validSize reports whether a number is a valid size in bytes.
func validSize(size int64) bool { return size >= 0 && size <= maxReportedBytes }
