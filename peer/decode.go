package peer

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"switchferry/peer/wire"
	"switchferry/tuning"
	"switchferry/watermark"
)

// minFrameBytes is the minimum size of a frame in bytes, without its length prefix.
const minFrameBytes = 8

// readFrame reads one frame with its length prefix. FlatBuffers for Go does not verify its input: its accessors
// panic on a malformed frame, and readFrame turns the panic into an error. The error is io.EOF if the input ends
// before a frame begins.
func readFrame(reader io.Reader) (message frame, err error) {
	var lengthPrefix [4]byte
	if _, err := io.ReadFull(reader, lengthPrefix[:]); err != nil {
		return frame{}, err
	}
	size := binary.LittleEndian.Uint32(lengthPrefix[:])
	if size < minFrameBytes || size > tuning.MaxFrameBytes {
		return frame{}, fmt.Errorf("invalid frame size of %d bytes", size)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(reader, raw); err != nil {
		return frame{}, err
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("malformed frame: %v", cause)
		}
	}()
	return decodeFrame(wire.GetRootAsFrame(raw, 0))
}

// decodeFrame converts a frame from its wire format. It panics if the frame is malformed.
func decodeFrame(encoded *wire.Frame) (frame, error) {
	if encoded.Kind() > wire.KindReply {
		return frame{}, fmt.Errorf("unknown frame kind %d", encoded.Kind())
	}
	cancellations, err := decodeCancellations(encoded)
	if err != nil {
		return frame{}, err
	}
	return frame{
		kind:               encoded.Kind(),
		seq:                encoded.Seq(),
		member:             string(encoded.Member()),
		verb:               string(encoded.Verb()),
		job:                string(encoded.Job()),
		body:               encoded.BodyBytes(),
		status:             int(encoded.Status()),
		retryAfterS:        int(encoded.RetryAfterS()),
		term:               encoded.Term(),
		stateOK:            encoded.StateOk(),
		benchmarkUS:        encoded.PaceUs(),
		receivesHeartbeats: encoded.HearsWorkers(),
		startedMS:          encoded.BornMs(),
		heardPeers:         decodeHeardPeers(encoded),
		leaving:            encoded.Leaving(),
		incarnation:        encoded.Life(),
		statementFrom:      encoded.ToldFrom(),
		statementTo:        encoded.ToldTo(),
		statementLatest:    encoded.ToldLatest(),
		cancellations:      cancellations,
		statementCurrent:   encoded.Knows(),
		statementAge:       time.Duration(encoded.WordAgeMs()) * time.Millisecond,
		requiredToken:      encoded.Fence(),
	}, nil
}

// decodeHeardPeers returns the first tuning.MaxHelloMembers of the members that a hello lists.
func decodeHeardPeers(encoded *wire.Frame) []string {
	var members []string
	for index := range min(encoded.HearsLength(), tuning.MaxHelloMembers) {
		members = append(members, string(encoded.Hears(index)))
	}
	return members
}

// decodeCancellations returns the cancellations of a watermark statement. More than tuning.MaxStatementCancellations
// are an error.
func decodeCancellations(encoded *wire.Frame) ([]watermark.Cancellation, error) {
	if encoded.ToldLength() > tuning.MaxStatementCancellations {
		return nil, fmt.Errorf("too many cancellations in a statement: %d", encoded.ToldLength())
	}
	var cancellations []watermark.Cancellation
	for index := range encoded.ToldLength() {
		var entry wire.Told
		if encoded.Told(&entry, index) {
			age := time.Duration(entry.AgeMs()) * time.Millisecond
			cancellations = append(cancellations, watermark.Cancellation{Job: string(entry.Job()), Age: age})
		}
	}
	return cancellations, nil
}
