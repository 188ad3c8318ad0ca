package peer

import (
	"math"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"switchferry/peer/wire"
	"switchferry/watermark"
)

// builderBytes is the first size of an encoder's buffer without the body: enough for most greetings.
const builderBytes = 256

// encodeFrame returns a frame as it goes over the wire, with its length before it.
func encodeFrame(message frame) []byte {
	builder := flatbuffers.NewBuilder(builderBytes + len(message.body))
	// Objects that a table refers to have to be written before it, in this order.
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
	wire.FrameAddToldFrom(builder, message.watermarkFrom)
	wire.FrameAddToldTo(builder, message.watermarkTo)
	wire.FrameAddToldLatest(builder, message.watermarkLatest)
	wire.FrameAddTold(builder, cancellations)
	wire.FrameAddKnows(builder, message.watermarkCurrent)
	// The age is rounded up, so that the statement never claims to cover more than it does.
	wire.FrameAddWordAgeMs(builder, clampedMilliseconds(message.watermarkAge+time.Millisecond-1))
	builder.FinishSizePrefixed(wire.FrameEnd(builder))
	return builder.FinishedBytes()
}

// encodeString writes a string and returns its offset; an empty one is left out.
func encodeString(builder *flatbuffers.Builder, text string) flatbuffers.UOffsetT {
	if text == "" {
		return 0
	}
	return builder.CreateString(text)
}

// encodeBytes writes bytes and returns their offset; none are left out.
func encodeBytes(builder *flatbuffers.Builder, raw []byte) flatbuffers.UOffsetT {
	if len(raw) == 0 {
		return 0
	}
	return builder.CreateByteVector(raw)
}

// encodeStrings writes a list of strings and returns its offset; an empty list is left out.
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

// encodeCancellations writes cancellations and returns the offset of their list; an empty list is left out.
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

// clampedMilliseconds returns a duration in whole milliseconds, rounded down, or the nearest value that
// the wire can carry.
func clampedMilliseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Milliseconds(), 0), math.MaxUint32))
}
