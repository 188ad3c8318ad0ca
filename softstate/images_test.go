package softstate

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"switchferry/fleet"
	"switchferry/tuning"
)

func TestImagesRoundTrip(t *testing.T) {
	machines := []Machine{
		{"n-1", []fleet.Image{{Name: "a", GB: 1.5}, {Name: "b", GB: 2}}},
		{"n-2", []fleet.Image{{Name: "b", GB: 2}}},
		{"without images", nil},
	}
	raw, err := json.Marshal(EncodeImages(machines, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeImages(raw)
	want := map[string][]fleet.Image{"n-1": machines[0].Images, "n-2": machines[1].Images}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %v and error %v, want %v", got, err, want)
	}
}

// A record that is too large keeps the most recently used images of each machine.
func TestEncodeImagesKeepsMostRecentlyUsedWithinLimit(t *testing.T) {
	var machines []Machine
	for m := range 10 {
		machine := Machine{Name: fmt.Sprintf("n-%d", m)}
		for i := range tuning.MaxImagesPerMachine {
			machine.Images = append(machine.Images, fleet.Image{Name: fmt.Sprintf("image-%d-%d", m, i), GB: 1})
		}
		machines = append(machines, machine)
	}
	const limit = 1000
	raw, err := json.Marshal(EncodeImages(machines, limit))
	if err != nil || len(raw) > limit {
		t.Fatalf("%d bytes and error %v, want %d bytes at most", len(raw), err, limit)
	}
	decoded, err := DecodeImages(raw)
	if err != nil || len(decoded) != len(machines) {
		t.Fatalf("images of %d machines and error %v, want all %d", len(decoded), err, len(machines))
	}
	for _, machine := range machines {
		images := decoded[machine.Name]
		if !slices.Equal(images, machine.Images[:len(images)]) {
			t.Errorf("%s: %v, want its most recently used images", machine.Name, images)
		}
	}
}

func TestEncodeImagesLeavesOutLongNames(t *testing.T) {
	long := strings.Repeat("x", tuning.MaxImageNameBytes)
	record := EncodeImages([]Machine{{"n-1", []fleet.Image{{Name: long}, {Name: "a"}}}}, 1<<20)
	if !slices.Equal(record.Names, []string{"a"}) || !slices.Equal(record.ImagesByMachine["n-1"], []int{0}) {
		t.Errorf("record %+v, want only the image with the short name", record)
	}
}

func TestDecodeImagesOfDamagedRecords(t *testing.T) {
	for _, testCase := range []struct{ name, raw string }{
		{"malformed JSON", "{"},
		{"sizes are missing", `{"i":["a"],"g":[],"m":{}}`},
	} {
		if _, err := DecodeImages([]byte(testCase.raw)); err == nil {
			t.Errorf("%s: no error", testCase.name)
		}
	}
	images, err := DecodeImages([]byte(`{"i":["a"],"g":[1],"m":{"n-1":[0,1,-1]}}`))
	if err != nil || !slices.Equal(slices.Collect(maps.Keys(images)), []string{"n-1"}) || !slices.Equal(images["n-1"], []fleet.Image{{Name: "a", GB: 1}}) {
		t.Errorf("decoded %v and error %v, want only the image that the record defines", images, err)
	}
}
