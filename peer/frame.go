package peer

import (
	"net"
	"sync"
	"time"

	"switchferry/peer/wire"
	"switchferry/tuning"
	"switchferry/watermark"
)

// frame is a decoded wire.Frame. The kind determines which fields are set.
type frame struct {
	kind wire.Kind
	// seq matches a reply to its request, and a watermark statement to the hello that requested it, on one
	// connection. It is 0 in a hello that neither requests nor contains a statement.
	seq uint64
	// member is the sender of a hello or request.
	member string

	// verb and job are set in requests; see Request.
	verb, job string
	// body is set in requests and replies.
	body []byte

	// The fields of this group are set in replies; see Response.
	status      int
	retryAfterS int

	// The fields of this group are set in hellos; see Hello.
	term               uint64
	stateOK            bool
	benchmarkUS        uint32
	receivesHeartbeats bool
	startedMS          uint64
	heardPeers         []string
	leaving            bool

	// The fields of this group are set in hellos with a seq; see watermark.Statement. A hello that requests a
	// statement has only incarnation and statementFrom, the sequence number up to which its sender has the peer's
	// cancellations.
	incarnation     uint64
	statementFrom   uint64
	statementTo     uint64
	statementLatest uint64
	cancellations   []watermark.Cancellation
	// statementCurrent is true if the statement covers all cancellations until statementAge ago.
	statementCurrent bool
	statementAge     time.Duration
	requiredToken    uint64
}

// writeFrame writes a frame with a timeout of tuning.PeerTimeout. It holds writeMutex while it writes, so that
// concurrent writers do not interleave their frames.
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
