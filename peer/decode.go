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

// frameMinimum is the least size in bytes that a frame can have.
const frameMinimum = 8

// readFrame reads one frame. FlatBuffers for Go does not verify what it reads: its accessors panic on a
// damaged frame, which becomes an error here. The error is io.EOF if the input ends before a frame begins.
func readFrame(reader io.Reader) (message frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return frame{}, err
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < frameMinimum || size > tuning.FrameLimit {
		return frame{}, fmt.Errorf("frame of %d bytes", size)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(reader, raw); err != nil {
		return frame{}, err
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("damaged frame: %v", cause)
		}
	}()
	return decodeFrame(wire.GetRootAsFrame(raw, 0))
}

// decodeFrame takes a frame out of the wire's form. It panics on a damaged one.
func decodeFrame(encoded *wire.Frame) (frame, error) {
	if encoded.Kind() > wire.KindReply {
		return frame{}, fmt.Errorf("unknown kind %d", encoded.Kind())
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
		watermarkFrom:      encoded.ToldFrom(),
		watermarkTo:        encoded.ToldTo(),
		watermarkLatest:    encoded.ToldLatest(),
		cancellations:      cancellations,
		watermarkCurrent:   encoded.Knows(),
		watermarkAge:       time.Duration(encoded.WordAgeMs()) * time.Millisecond,
	}, nil
}

// decodeHeardPeers returns the members that a greeting lists, tuning.FrameMembers at most.
func decodeHeardPeers(encoded *wire.Frame) []string {
	var members []string
	for index := range min(encoded.HearsLength(), tuning.FrameMembers) {
		members = append(members, string(encoded.Hears(index)))
	}
	return members
}

// decodeCancellations returns the cancellations of a statement; more than tuning.CancellationsAtOnce are
// an error.
func decodeCancellations(encoded *wire.Frame) ([]watermark.Cancellation, error) {
	if encoded.ToldLength() > tuning.CancellationsAtOnce {
		return nil, fmt.Errorf("%d cancellations", encoded.ToldLength())
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
