package scheduler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"switchferry/store"
	"switchferry/tuning"
)

// A new leader restores the images of each machine from the stored hint, in order of use. Without the hint it assumed
// that no machine held any image, and every placement waited for fetches that were not needed.
func TestNextLeaderRestoresImages(t *testing.T) {
	h := newHarness(t)
	for i := range tuning.MaxImagesRecordMachines + 1 {
		h.heartbeat(fmt.Sprintf("a%03d", i), 1)
	}
	last := h.machines[fmt.Sprintf("a%03d", tuning.MaxImagesRecordMachines)]
	h.submit("run-000001", 1, nil)
	job := h.jobs["run-000001"]
	job.Job.ImageGB = 9
	for _, image := range []string{"one", "two", "three"} {
		job.Job.Image = image
		h.recordImageUse(last, job)
	}
	h.MaintainFleet()
	h.commit()
	if h.state.Get(store.ImagesKey(1)) == nil {
		t.Fatal("the second part of the hint is not stored")
	}
	h.elect()
	h.heartbeat(last.Name, 1)
	machine := h.machines[last.Name]
	if !machine.HasImage("three") || !machine.HasImage("two") || machine.HasImage("one") {
		t.Errorf("restored images: %+v, want the last two used", machine.Images())
	}
	// The hint is not written again without a change.
	h.clock.Advance(2 * tuning.ImageHintsInterval)
	before := h.committer.Pending()
	h.storeImageHints(h.clock.Now())
	if h.committer.Pending() != before {
		t.Error("the hint was marked for writing without a change")
	}
	h.LoadImageHints([]store.Item{{Key: store.ImagesKey(0), Value: json.RawMessage(`{"i":["x"],"g":[1],"m":{"a000":[7,-1,0]}}`)}, {Key: store.ImagesKey(1), Value: json.RawMessage(`[`)}})
	h.heartbeat("a000", 1)
	if !h.machines["a000"].HasImage("x") {
		t.Error("a hint with some indices out of range was dropped as a whole")
	}
}

// The largest image hint stays within the value limit of the state service.
func TestImagesRecordFitsValueLimit(t *testing.T) {
	h := newHarness(t)
	for i := range tuning.MaxImagesRecordMachines {
		machine := h.getOrAddMachine(fmt.Sprintf("n-%06d", i))
		for k := range 40 {
			machine.RecordImage(strings.Repeat("<", 2)+strings.Repeat("x", 30)+fmt.Sprint(i*40+k), 1234.567891234567)
		}
		machine.RecordImage(strings.Repeat("<", 5000), 1)
	}
	record, ok := h.imagesRecord(store.ImagesKey(0))
	raw, err := json.Marshal(record)
	if !ok || err != nil || len(raw) > 16<<10 || len(record.Names) != tuning.MaxImageNames {
		t.Errorf("%d bytes, %d names, %v", len(raw), len(record.Names), err)
	}
}
