// Package features reads and checks the features file: what is switched on beyond the
// scheduler's core, and how. It does not know what the features do.
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

// How tasks with inputs are placed.
const (
	// Blind weighs neither images nor inputs, and copies from the store alone.
	Blind = "blind"
	// Images weighs images, and copies inputs from the store alone.
	Images = "images"
	// Local weighs both, copies from peers, and begins once a machine has room.
	Local = "local"
	// Staged is Local and copies ahead for queued tasks.
	Staged = "staged"
)

// Features is the features file. The zero value has everything off.
type Features struct {
	Data     Data     `toml:"data"`
	Topology Topology `toml:"topology"`
	// Membership has controllers tell each other whom they hear, watch each other, show how
	// they stand, and hand over when told to end.
	Membership Membership `toml:"membership"`
	// Configuration lets operators change teams, policy, some switches and the topology while the service runs.
	Configuration Configuration `toml:"configuration"`
}

// Configuration says whether the configuration can change while the service runs.
type Configuration struct {
	On bool `toml:"on"`
}

// Membership says whether controllers watch each other.
type Membership struct {
	On bool `toml:"on"`
}

// Topology says where the file is that tells what machines stand together, and so whether jobs
// may ask to.
type Topology struct {
	// File is its path, from the features file's directory unless absolute; "": off.
	File string `toml:"file"`
}

// Data says whether and how jobs may have datasets as inputs.
type Data struct {
	On bool `toml:"on"`
	// Store is the base URL of the store of datasets.
	Store string `toml:"store"`
	// Placement is Blind, Images, Local or Staged; the first three are for comparison.
	Placement string `toml:"placement"`
	// CacheGB is the size of an agent's cache in gigabytes of 1e9 bytes; TypeCacheGB
	// that on machines of a type.
	CacheGB     float64            `toml:"cache_gb"`
	TypeCacheGB map[string]float64 `toml:"type_cache_gb"`
	// LinkMBs is what a machine's link carries each way, StoreMBs what the store gives,
	// in megabytes of 1e6 bytes a second.
	LinkMBs  float64 `toml:"link_mb_per_s"`
	StoreMBs float64 `toml:"store_mb_per_s"`
	// PerLink and AtStore are how many copies a link, and the store, carry at once.
	PerLink int `toml:"copies_per_link"`
	AtStore int `toml:"copies_at_store"`
	// Ahead is how many queued tasks a machine, beyond those with room, get their
	// inputs copied.
	Ahead int `toml:"ahead_tasks"`
}

// Cache is the size of a type's cache in bytes.
func (data *Data) Cache(machineType string) float64 {
	if gb, ok := data.TypeCacheGB[machineType]; ok {
		return gb * 1e9
	}
	return data.CacheGB * 1e9
}

// Load reads and checks a features file; without a path everything is off.
func Load(path string) (*Features, error) {
	if path == "" {
		return &Features{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	f, err := Parse(raw)
	if err == nil && f.Topology.File != "" && !filepath.IsAbs(f.Topology.File) {
		f.Topology.File = filepath.Join(filepath.Dir(path), f.Topology.File)
	}
	return f, err
}

// Parse decodes and checks. The error lists every mistake, by field: a name that is not
// known is one, since whoever wrote it expects it to do something.
func Parse(raw []byte) (*Features, error) {
	f := Features{Data: Data{Placement: Staged, CacheGB: tuning.StageCacheGB, PerLink: tuning.StagePerLink,
		AtStore: tuning.StageAtStore, Ahead: tuning.StageAhead}}
	bad, err := stricttoml.Decode(raw, &f)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	bad = append(bad, f.Data.check()...)
	if len(bad) > 0 {
		return nil, fmt.Errorf("features: %w", errors.Join(bad...))
	}
	f.Data.Store = strings.TrimRight(f.Data.Store, "/")
	return &f, nil
}

func (data *Data) check() (bad []error) {
	fail := func(field, want string) { bad = append(bad, fmt.Errorf("data.%s: %s", field, want)) }
	if u, err := url.Parse(data.Store); data.On && (err != nil || u.Scheme != "http" || u.Host == "") {
		fail("store", "must be a URL like http://10.0.0.9:9000")
	}
	switch data.Placement {
	case Blind, Images, Local, Staged:
	default:
		fail("placement", fmt.Sprintf("must be staged, local, images or blind, not %q", data.Placement))
	}
	amount := func(field string, v float64, zero bool) {
		if !(v > 0 || zero && v == 0) || math.IsInf(v, 0) {
			fail(field, "must be a number above 0")
		}
	}
	amount("cache_gb", data.CacheGB, false)
	for t, gb := range data.TypeCacheGB {
		amount("type_cache_gb."+t, gb, true)
	}
	amount("link_mb_per_s", data.LinkMBs, !data.On)
	amount("store_mb_per_s", data.StoreMBs, !data.On)
	for field, n := range map[string]int{"copies_per_link": data.PerLink, "copies_at_store": data.AtStore} {
		if n < 1 || n > 64 {
			fail(field, fmt.Sprintf("must be 1 to 64, not %d", n))
		}
	}
	if data.Ahead < 0 || data.Ahead > tuning.AheadMost {
		fail("ahead_tasks", fmt.Sprintf("must be 0 to %d, not %d", tuning.AheadMost, data.Ahead))
	}
	return bad
}
