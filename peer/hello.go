package peer

import (
	"switchferry/membership"
	"switchferry/peer/wire"
	"switchferry/tuning"
	"switchferry/watermark"
)

// newHello returns a hello of this controller that neither requests nor contains a watermark statement.
func (network *Network) newHello() frame {
	hello := network.localHello()
	return frame{
		kind: wire.KindHello, member: hello.Member, term: hello.Term, stateOK: hello.StateOK,
		benchmarkUS: hello.BenchmarkUS, receivesHeartbeats: hello.ReceivesHeartbeats,
		startedMS: hello.StartedMS, heardPeers: hello.HeardPeers, leaving: hello.Leaving,
	}
}

// newHelloReply returns the hello that answers the hello request. It contains a watermark statement if request
// requests one and this controller has one.
func (network *Network) newHelloReply(request frame) frame {
	hello := network.newHello()
	if request.seq == 0 || network.Watermarks == nil {
		return hello
	}
	if statement, ok := network.Watermarks.Statement(request.incarnation, request.statementFrom); ok {
		hello.seq = request.seq
		hello.setStatement(statement)
	}
	return hello
}

// newHelloRequestingStatement returns a hello that requests the peer's watermark statement, and records the present
// time as the time of the request.
func (network *Network) newHelloRequestingStatement(remote *remotePeer) frame {
	hello := network.newHello()
	if network.Watermarks == nil {
		return hello
	}
	incarnation, afterSeq, ok := network.Watermarks.Position(remote.Member)
	if !ok {
		return hello
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	if len(remote.statementRequestTimes) == tuning.MaxPendingWatermarkRequests {
		// Controllers of an older version do not answer these requests.
		clear(remote.statementRequestTimes)
	}
	remote.lastSeq++
	hello.seq, hello.incarnation, hello.statementFrom = remote.lastSeq, incarnation, afterSeq
	remote.statementRequestTimes[remote.lastSeq] = network.clock.Now()
	return hello
}

// setStatement copies a watermark statement into a hello.
func (message *frame) setStatement(statement watermark.Statement) {
	message.incarnation = statement.Incarnation
	message.statementFrom = statement.From
	message.statementTo = statement.To
	message.statementLatest = statement.Latest
	message.cancellations = statement.Cancellations
	message.statementCurrent = statement.Current
	message.statementAge = statement.Age
	message.requiredToken = statement.RequiredToken
}

// statement returns the watermark statement of a hello.
func (message *frame) statement() watermark.Statement {
	return watermark.Statement{
		Incarnation:   message.incarnation,
		From:          message.statementFrom,
		To:            message.statementTo,
		Latest:        message.statementLatest,
		Cancellations: message.cancellations,
		Current:       message.statementCurrent,
		Age:           message.statementAge,
		RequiredToken: message.requiredToken,
	}
}

// helloFromFrame returns the state announced in a hello. Its member is the one that the connection was made to; the
// name in the frame is ignored.
func helloFromFrame(member string, message frame) Hello {
	return Hello{
		Member: member, Term: message.term, StateOK: message.stateOK,
		BenchmarkUS: message.benchmarkUS, ReceivesHeartbeats: message.receivesHeartbeats,
		StartedMS: message.startedMS, HeardPeers: message.heardPeers, Leaving: message.leaving,
	}
}

// membershipHello converts the hello to the observation that package membership expects.
func (hello Hello) membershipHello() membership.Hello {
	return membership.Hello{
		From: hello.Member, StartedMS: hello.StartedMS, HeardPeers: hello.HeardPeers, Leads: hello.Term > 0,
		StateOK: hello.StateOK, ReceivesHeartbeats: hello.ReceivesHeartbeats,
		BenchmarkUS: hello.BenchmarkUS, Leaving: hello.Leaving,
	}
}
