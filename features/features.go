// Package features reads and checks the features file: which optional features are on, and their
// settings. What the features do is not this package's matter.
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

// How tasks with inputs are placed, and where their inputs are copied from.
const (
	// Blind takes neither cached images nor cached inputs into account, and copies from the store alone.
	Blind = "blind"
	// Images takes cached images into account, and copies inputs from the store alone.
	Images = "images"
	// Local takes both into account, and copies from other machines too, once the task has a machine.
	Local = "local"
	// Staged is Local, and also copies ahead for queued tasks.
	Staged = "staged"
)

// Features is the content of the features file. In the zero value every feature is off.
type Features struct {
	// Data lets jobs have datasets as inputs.
	Data Data `toml:"data"`
	// Topology lets jobs constrain the placement of their tasks by the declared topology.
	Topology Topology `toml:"topology"`
	// Membership has controllers announce which peers they hear, watch each other, show the members'
	// state to operators, and transfer leadership on a graceful shutdown.
	Membership Membership `toml:"membership"`
	// Configuration lets operators change teams, policy, some switches and the topology while the service runs.
	Configuration Configuration `toml:"configuration"`
}

// Configuration switches live configuration.
type Configuration struct {
	On bool `toml:"on"`
}

// Membership switches membership.
type Membership struct {
	On bool `toml:"on"`
}

// Topology switches placement constraints by topology.
type Topology struct {
	// File is the path of the topology file, relative to the features file's directory unless absolute.
	// The feature is off if it is empty.
	File string `toml:"file"`
}

// Data switches datasets as inputs, and has their settings.
type Data struct {
	On bool `toml:"on"`
	// Store is the base URL of the store of datasets, without a slash at the end.
	Store string `toml:"store"`
	// Placement is Blind, Images, Local or Staged; the first three are for comparison.
	Placement string `toml:"placement"`
	// CacheGB is the size of an agent's cache in gigabytes of 1e9 bytes, TypeCacheGB the size on machines
	// of a type.
	CacheGB     float64            `toml:"cache_gb"`
	TypeCacheGB map[string]float64 `toml:"type_cache_gb"`
	// LinkMBs is the rate of a machine's link in each direction, StoreMBs that of the store, in megabytes
	// of 1e6 bytes a second.
	LinkMBs  float64 `toml:"link_mb_per_s"`
	StoreMBs float64 `toml:"store_mb_per_s"`
	// PerLink and AtStore limit the concurrent copies of a link and of the store.
	PerLink int `toml:"copies_per_link"`
	AtStore int `toml:"copies_at_store"`
	// Ahead is for how many queued tasks per machine, beyond those that have a machine, inputs are copied ahead.
	Ahead int `toml:"ahead_tasks"`
}

// maxCopies is the largest limit of concurrent copies that may be set.
const maxCopies = 64

// bytesPerGB is the number of bytes in the gigabytes of the features file.
const bytesPerGB = 1e9

// Cache returns the size in bytes of an agent's cache on machines of a type.
func (data *Data) Cache(machineType string) float64 {
	if gigabytes, ok := data.TypeCacheGB[machineType]; ok {
		return gigabytes * bytesPerGB
	}
	return data.CacheGB * bytesPerGB
}

// Load reads a features file and checks it as Parse does. With an empty path every feature is off.
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

// Parse decodes and checks the text of a features file. The error lists every wrong setting by its name.
// An unknown name is one, since who wrote it expects an effect.
func Parse(raw []byte) (*Features, error) {
	features := Features{Data: Data{
		Placement: Staged,
		CacheGB:   tuning.StageCacheGB,
		PerLink:   tuning.StagePerLink,
		AtStore:   tuning.StageAtStore,
		Ahead:     tuning.StageAhead,
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

// check returns an error for every wrong setting.
func (data *Data) check() (invalid []error) {
	fail := func(field, want string) { invalid = append(invalid, fmt.Errorf("data.%s: %s", field, want)) }
	if store, err := url.Parse(data.Store); data.On && (err != nil || store.Scheme != "http" || store.Host == "") {
		fail("store", "must be a URL like http://10.0.0.9:9000")
	}
	switch data.Placement {
	case Blind, Images, Local, Staged:
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
	for field, copies := range map[string]int{"copies_per_link": data.PerLink, "copies_at_store": data.AtStore} {
		if copies < 1 || copies > maxCopies {
			fail(field, fmt.Sprintf("must be 1 to %d, not %d", maxCopies, copies))
		}
	}
	if data.Ahead < 0 || data.Ahead > tuning.AheadMost {
		fail("ahead_tasks", fmt.Sprintf("must be 0 to %d, not %d", tuning.AheadMost, data.Ahead))
	}
	return invalid
}
