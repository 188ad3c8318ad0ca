package api

import (
	"encoding/json"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"
)

// Heartbeats come from untrusted senders. A heartbeat that passes Check must not break the code that
// processes it.
func FuzzStageHeartbeat(f *testing.F) {
	heartbeat := StageHeartbeat{Machine: "n-1", Address: "10.0.0.1:9100", Incarnation: 1, HoldingsComplete: true,
		Holdings: []StageHolding{{Dataset: "a", PartCount: 9, Parts: PartSet{roaring.BitmapOf(1, 2, 8)}}},
		Copies:   []StageProgress{{Dataset: "a", Part: 3, CopiedBytes: 5, TotalBytes: 9, Failed: []StageFailure{{Reason: "503"}}}}}
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"host":"a","address":"b","session":1,"holds":[{"dataset":"a","of":3,"parts":"OzAAAA"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var heartbeat StageHeartbeat
		if json.Unmarshal(raw, &heartbeat) != nil || heartbeat.Check() != nil {
			return
		}
		for _, h := range append(heartbeat.Holdings, heartbeat.Pinned...) {
			n := 0
			for itr := h.Parts.Iterator(); itr.HasNext() && n < 1000; n++ {
				itr.Next()
			}
			clone := h.Parts.Clone()
			clone.RemoveRange(uint64(max(0, h.PartCount)), 1<<32)
			_ = roaring.AndNot(clone, h.Parts.Bitmap).GetCardinality()
		}
		encoded, err := json.Marshal(heartbeat)
		var decoded StageHeartbeat
		if err != nil || json.Unmarshal(encoded, &decoded) != nil {
			t.Fatalf("%v: %s", err, encoded)
		}
	})
}
