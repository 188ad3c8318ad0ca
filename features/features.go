// Package features reads and validates the features file, which enables optional features and holds their
// settings. It does not implement the features.
package features

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"switchferry/internal/stricttoml"
	"switchferry/tuning"
)

// Values of Data.Placement: how tasks with inputs are placed and where their inputs are copied from.
const (
	// PlacementBlind ignores cached images and cached inputs in placement and copies inputs only from the store.
	PlacementBlind = "blind"
	// PlacementImages considers cached images in placement and copies inputs only from the store.
	PlacementImages = "images"
	// PlacementLocal considers cached images and cached inputs in placement and copies inputs also from other machines,
	// once the task is placed.
	PlacementLocal = "local"
	// PlacementStaged does the same as PlacementLocal and also copies the inputs of queued tasks before they are placed.
	PlacementStaged = "staged"
)

// Features is the content of the features file. In the zero value every feature is off.
type Features struct {
	// Data enables datasets as inputs of jobs.
	Data Data `toml:"data"`
	// Topology enables placement constraints by the declared topology.
	Topology Topology `toml:"topology"`
	// Membership enables the membership protocol: controllers announce which peers they receive messages from, monitor
	// each other, show the members' state to operators, and transfer leadership on a graceful shutdown.
	Membership Membership `toml:"membership"`
	// Configuration enables changes of teams, policy, some switches and the topology while the service runs.
	Configuration Configuration `toml:"configuration"`
}

// Configuration holds the settings of live configuration.
type Configuration struct {
	On bool `toml:"on"`
}

// Membership holds the settings of the membership protocol.
type Membership struct {
	On bool `toml:"on"`
}

// Topology holds the settings of topology constraints.
type Topology struct {
	// File is the path of the topology file. A relative path is resolved against the directory of the features
	// file. The feature is off if File is empty.
	File string `toml:"file"`
}

// Data holds the settings of datasets as inputs.
type Data struct {
	On bool `toml:"on"`
	// Store is the base URL of the dataset store, without a trailing slash.
	Store string `toml:"store"`
	// Placement is PlacementBlind, PlacementImages, PlacementLocal or PlacementStaged; the first three exist for
	// comparison.
	Placement string `toml:"placement"`
	// CacheGB is the default size of an agent's cache in gigabytes of 1e9 bytes. TypeCacheGB overrides it by machine
	// type.
	CacheGB     float64            `toml:"cache_gb"`
	TypeCacheGB map[string]float64 `toml:"type_cache_gb"`
	// LinkMBs is the bandwidth of a machine's link in each direction, StoreMBs that of the store, in megabytes of
	// 1e6 bytes per second.
	LinkMBs  float64 `toml:"link_mb_per_s"`
	StoreMBs float64 `toml:"store_mb_per_s"`
	// CopiesPerLink and CopiesAtStore limit the number of concurrent copies per link and from the store.
	CopiesPerLink int `toml:"copies_per_link"`
	CopiesAtStore int `toml:"copies_at_store"`
	// AheadTasks is the number of queued tasks per machine whose inputs are copied before the tasks are placed. The
	// inputs of placed tasks are copied in addition.
	AheadTasks int `toml:"ahead_tasks"`
}

// maxCopies is the largest valid limit of concurrent copies.
const maxCopies = 64

// bytesPerGB is the number of bytes in a gigabyte of the features file.
const bytesPerGB = 1e9

// CacheBytes returns the size in bytes of an agent's cache on machines of the given type.
func (data *Data) CacheBytes(machineType string) float64 {
	if gigabytes, ok := data.TypeCacheGB[machineType]; ok {
		return gigabytes * bytesPerGB
	}
	return data.CacheGB * bytesPerGB
}

// Load reads a features file and parses it as Parse does. If path is empty, every feature is off.
func Load(path string) (*Features, error) {
	if path == "" {
		return &Features{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	features, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	if file := features.Topology.File; file != "" && !filepath.IsAbs(file) {
		features.Topology.File = filepath.Join(filepath.Dir(path), file)
	}
	return features, nil
}

// Parse decodes and validates the text of a features file. The error lists every invalid setting by its name. An
// unknown name is an error, since whoever wrote it expects it to have an effect.
func Parse(raw []byte) (*Features, error) {
	features := Features{Data: Data{
		Placement:     PlacementStaged,
		CacheGB:       tuning.StageCacheGB,
		CopiesPerLink: tuning.StageCopiesPerLink,
		CopiesAtStore: tuning.StageCopiesAtStore,
		AheadTasks:    tuning.StageAheadTasks,
	}}
	invalid, err := stricttoml.Decode(raw, &features)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	invalid = append(invalid, features.Data.check()...)
	if len(invalid) > 0 {
		return nil, fmt.Errorf("features: %w", errors.Join(invalid...))
	}
	features.Data.Store = strings.TrimRight(features.Data.Store, "/")
	return &features, nil
}

// check returns an error for every invalid setting.
func (data *Data) check() (invalid []error) {
	fail := func(field, want string) { invalid = append(invalid, fmt.Errorf("data.%s: %s", field, want)) }
	if store, err := url.Parse(data.Store); data.On && (err != nil || store.Scheme != "http" || store.Host == "") {
		fail("store", "must be a URL like http://10.0.0.9:9000")
	}
	switch data.Placement {
	case PlacementBlind, PlacementImages, PlacementLocal, PlacementStaged:
	default:
		fail("placement", fmt.Sprintf("must be staged, local, images or blind, not %q", data.Placement))
	}
	amount := func(field string, value float64, mayBeZero bool) {
		if !(value > 0 || mayBeZero && value == 0) || math.IsInf(value, 0) {
			fail(field, "must be a number above 0")
		}
	}
	amount("cache_gb", data.CacheGB, false)
	for machineType, gigabytes := range data.TypeCacheGB {
		amount("type_cache_gb."+machineType, gigabytes, true)
	}
	amount("link_mb_per_s", data.LinkMBs, !data.On)
	amount("store_mb_per_s", data.StoreMBs, !data.On)
	for field, copies := range map[string]int{"copies_per_link": data.CopiesPerLink, "copies_at_store": data.CopiesAtStore} {
		if copies < 1 || copies > maxCopies {
			fail(field, fmt.Sprintf("must be 1 to %d, not %d", maxCopies, copies))
		}
	}
	if data.AheadTasks < 0 || data.AheadTasks > tuning.MaxAheadTasks {
		fail("ahead_tasks", fmt.Sprintf("must be 0 to %d, not %d", tuning.MaxAheadTasks, data.AheadTasks))
	}
	return invalid
}
