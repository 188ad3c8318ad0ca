package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"switchferry/peer/wire"
)

// version1Frames are frames of all kinds. testdata/frames1.hex contains them as the first version of the controller
// encoded them, one per line.
var version1Frames = []frame{
	{kind: wire.KindHello, member: "ferryhost-1", term: 1873, stateOK: true, benchmarkUS: 81, receivesHeartbeats: true},
	{kind: wire.KindHello, member: "ferryhost-2"},
	{kind: wire.KindRequest, seq: 7, member: "ferryhost-1", verb: "submit", body: []byte(`{"name_id":"run-000412"}`)},
	{kind: wire.KindRequest, seq: 8, verb: "cancel", job: "run-000412"},
	{kind: wire.KindReply, seq: 8, status: 503, retryAfterS: 12, body: []byte(`{"error":"the leader is busy"}`)},
}

func TestFramesMatchVersionOne(t *testing.T) {
	file := filepath.Join("testdata", "frames1.hex")
	var lines []string
	for _, message := range version1Frames {
		lines = append(lines, hex.EncodeToString(encodeFrame(message)))
	}
	if os.Getenv("WRITE_VERSION1") != "" {
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Fields(string(raw)) {
		if lines[i] != line {
			t.Errorf("frame %d is encoded as\n%s, by the first version as\n%s", i, lines[i], line)
		}
		old, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		got, err := readFrame(bytes.NewReader(old))
		if want := version1Frames[i]; err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("frame %d: %+v, %v; want %+v", i, got, err, want)
		}
	}
}
