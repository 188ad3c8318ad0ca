package replicas

import (
	"fmt"
	"testing"
)

// A hint for 64 machines with 30 random parts each fits into one value of the state service, and decoding
// it returns the encoded replicas. Machines that do not fit are omitted, and a malformed hint is rejected.
func TestHintIncludesOnlyMachinesThatFit(t *testing.T) {
	index := filledIndex(2000, 20000)
	snapshot := index.Snapshot()
	var names []string
	for i := range 64 {
		names = append(names, fmt.Sprintf("n-%06d", i))
	}
	machineID := func(name string) (MachineID, bool) { return index.ID(name), true }
	hint, included, err := EncodeHint(snapshot, names, machineID, 15<<10)
	if err != nil || included != 64 {
		t.Fatalf("%d of 64 machines included in a hint of %d bytes: %v", included, len(hint.Packed), err)
	}
	t.Logf("%d bytes for %d machines", len(hint.Packed), included)
	decoded, err := hint.Decode()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if got := decoded[name]["chunks"]; got.PartCount != 20000 || !got.Parts.Equals(snapshot.Parts(index.ID(name), "chunks")) {
			t.Fatalf("%s: the decoded replica %v differs from the encoded one", name, got)
		}
	}
	if hint, included, _ = EncodeHint(snapshot, names, machineID, 2000); included == 0 || included == 64 || len(hint.Packed) > 2000 {
		t.Fatalf("%d machines included in a hint of %d bytes, want 1 to 63 in at most 2000 bytes", included, len(hint.Packed))
	}
	if _, err := (Hint{"AAAA"}).Decode(); err == nil {
		t.Fatal("a malformed hint was accepted")
	}
}
