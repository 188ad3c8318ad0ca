package peer

import (
	"math"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"switchferry/peer/wire"
	"switchferry/watermark"
)

// initialBuilderBytes is the initial size of an encoder's buffer in bytes, without the body. Most hellos fit into it.
const initialBuilderBytes = 256

// encodeFrame returns a frame in its wire format, with the length prefix.
func encodeFrame(message frame) []byte {
	builder := flatbuffers.NewBuilder(initialBuilderBytes + len(message.body))
	// FlatBuffers requires that objects are written before the table that refers to them. The order of these calls
	// determines the bytes of the frame.
	member := encodeString(builder, message.member)
	verb := encodeString(builder, message.verb)
	job := encodeString(builder, message.job)
	body := encodeBytes(builder, message.body)
	heardPeers := encodeStrings(builder, message.heardPeers)
	cancellations := encodeCancellations(builder, message.cancellations)
	wire.FrameStart(builder)
	wire.FrameAddKind(builder, message.kind)
	wire.FrameAddSeq(builder, message.seq)
	wire.FrameAddMember(builder, member)
	wire.FrameAddTerm(builder, message.term)
	wire.FrameAddStateOk(builder, message.stateOK)
	wire.FrameAddVerb(builder, verb)
	wire.FrameAddJob(builder, job)
	wire.FrameAddBody(builder, body)
	wire.FrameAddStatus(builder, uint16(message.status))
	wire.FrameAddRetryAfterS(builder, uint16(message.retryAfterS))
	wire.FrameAddPaceUs(builder, message.benchmarkUS)
	wire.FrameAddHearsWorkers(builder, message.receivesHeartbeats)
	wire.FrameAddBornMs(builder, message.startedMS)
	wire.FrameAddHears(builder, heardPeers)
	wire.FrameAddLeaving(builder, message.leaving)
	wire.FrameAddLife(builder, message.incarnation)
	wire.FrameAddToldFrom(builder, message.statementFrom)
	wire.FrameAddToldTo(builder, message.statementTo)
	wire.FrameAddToldLatest(builder, message.statementLatest)
	wire.FrameAddTold(builder, cancellations)
	wire.FrameAddKnows(builder, message.statementCurrent)
	// The age is rounded up, so that the statement never claims to cover a later time than it does.
	wire.FrameAddWordAgeMs(builder, clampedMilliseconds(message.statementAge+time.Millisecond-1))
	wire.FrameAddFence(builder, message.requiredToken)
	builder.FinishSizePrefixed(wire.FrameEnd(builder))
	return builder.FinishedBytes()
}

// encodeString writes a string and returns its offset. For an empty string it writes nothing and returns 0.
func encodeString(builder *flatbuffers.Builder, text string) flatbuffers.UOffsetT {
	if text == "" {
		return 0
	}
	return builder.CreateString(text)
}

// encodeBytes writes a byte vector and returns its offset. For an empty slice it writes nothing and returns 0.
func encodeBytes(builder *flatbuffers.Builder, raw []byte) flatbuffers.UOffsetT {
	if len(raw) == 0 {
		return 0
	}
	return builder.CreateByteVector(raw)
}

// encodeStrings writes a vector of strings and returns its offset. For an empty list it writes nothing and returns 0.
func encodeStrings(builder *flatbuffers.Builder, texts []string) flatbuffers.UOffsetT {
	if len(texts) == 0 {
		return 0
	}
	var offsets []flatbuffers.UOffsetT
	for _, text := range texts {
		offsets = append(offsets, builder.CreateString(text))
	}
	return builder.CreateVectorOfTables(offsets)
}

// encodeCancellations writes a vector of cancellations and returns its offset. For an empty list it writes nothing
// and returns 0.
func encodeCancellations(builder *flatbuffers.Builder, cancellations []watermark.Cancellation) flatbuffers.UOffsetT {
	if len(cancellations) == 0 {
		return 0
	}
	var offsets []flatbuffers.UOffsetT
	for _, cancellation := range cancellations {
		job := builder.CreateString(cancellation.Job)
		wire.ToldStart(builder)
		wire.ToldAddJob(builder, job)
		wire.ToldAddAgeMs(builder, clampedMilliseconds(cancellation.Age))
		offsets = append(offsets, wire.ToldEnd(builder))
	}
	return builder.CreateVectorOfTables(offsets)
}

// clampedMilliseconds returns a duration in whole milliseconds, rounded down and clamped to the range of uint32.
func clampedMilliseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Milliseconds(), 0), math.MaxUint32))
}
