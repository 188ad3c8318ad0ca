package cli

import (
	"errors"
	"testing"
)

// failingWriter fails every write but the first.
type failingWriter struct{ writes int }

var errFull = errors.New("no space left")

func (writer *failingWriter) Write(raw []byte) (int, error) {
	writer.writes++
	if writer.writes > 1 {
		return 0, errFull
	}
	return len(raw), nil
}

// After a failed write, linePrinter keeps the error and writes nothing more.
func TestLinePrinterStopsAtFirstError(t *testing.T) {
	writer := &failingWriter{}
	printer := linePrinter{out: writer}
	for range 4 {
		printer.printf("line %d\n", writer.writes)
	}
	if !errors.Is(printer.err, errFull) || writer.writes != 2 {
		t.Errorf("error %v after %d writes, want error %v after 2 writes", printer.err, writer.writes, errFull)
	}
}
