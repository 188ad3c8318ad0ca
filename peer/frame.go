package peer

import (
	"net"
	"sync"
	"time"

	"switchferry/peer/wire"
	"switchferry/tuning"
	"switchferry/watermark"
)

// frame is a decoded wire.Frame. Which fields are set depends on the kind.
type frame struct {
	kind wire.Kind
	// seq pairs a reply with its request and a statement with its question, on one connection. It is 0 in
	// a greeting that neither asks nor answers.
	seq uint64
	// member is the sender of a greeting or request.
	member string

	// Of a request: see Request.
	verb, job string
	// body is that of a request or reply.
	body []byte

	// Of a reply: see Response.
	status      int
	retryAfterS int

	// Of a greeting: see Hello.
	term               uint64
	stateOK            bool
	benchmarkUS        uint32
	receivesHeartbeats bool
	startedMS          uint64
	heardPeers         []string
	leaving            bool

	// Of a greeting with seq: see watermark.Statement. A question has only incarnation and watermarkFrom,
	// the position that its sender is at.
	incarnation     uint64
	watermarkFrom   uint64
	watermarkTo     uint64
	watermarkLatest uint64
	cancellations   []watermark.Cancellation
	// watermarkCurrent tells that the statement covers everything until watermarkAge ago.
	watermarkCurrent bool
	watermarkAge     time.Duration
}

// writeFrame writes a frame within tuning.PeerTimeout. The mutex keeps the frames of a connection apart.
func writeFrame(conn net.Conn, writeMutex *sync.Mutex, message frame) error {
	raw := encodeFrame(message)
	writeMutex.Lock()
	defer writeMutex.Unlock()
	if err := conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(raw)
	return err
}
