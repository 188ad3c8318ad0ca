package features

import (
	"os"
	"strings"
	"testing"
)

// All errors of a file are reported at once.
func TestParseNamesEveryInvalidSetting(t *testing.T) {
	_, err := Parse([]byte("[data]\non = true\nstore = \"ftp://x\"\nplacement = \"best\"\ncache_gb = -1\ncopies_per_link = 0\nahead = 3\n[other]\nx = 1\n"))
	for _, want := range []string{"data.store", "data.placement", "data.cache_gb", "data.link_mb_per_s", "data.store_mb_per_s", "data.copies_per_link", "line 7: data.ahead", "other"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not named in %v", want, err)
		}
	}
}

// Without a file, every feature is off. In a file, a cache size of a machine type overrides the default size, and the
// trailing slash of the store's URL is removed.
func TestLoadWithoutFileDisablesAllFeatures(t *testing.T) {
	features, err := Load("")
	if err != nil || features.Data.On {
		t.Fatal(features, err)
	}
	features, err = Parse([]byte("[data]\non = true\nstore = \"http://10.0.0.9:9000/\"\nlink_mb_per_s = 100\nstore_mb_per_s = 500\ntype_cache_gb = {big = 900}\n"))
	if err != nil || features.Data.Store != "http://10.0.0.9:9000" || features.Data.CacheBytes("big") != 900e9 || features.Data.CacheBytes("other") != 50e9 {
		t.Fatalf("%+v %v", features, err)
	}
}

func TestShippedFileIsValid(t *testing.T) {
	raw, err := os.ReadFile("../deploy/features.toml")
	if err != nil {
		t.Fatal(err)
	}
	if features, err := Parse(raw); err != nil || !features.Data.On {
		t.Fatal(features, err)
	}
}
