package peer

import (
	"switchferry/membership"
	"switchferry/peer/wire"
	"switchferry/tuning"
	"switchferry/watermark"
)

// newHello returns a greeting of this controller that asks for nothing.
func (network *Network) newHello() frame {
	hello := network.self()
	return frame{
		kind: wire.KindHello, member: hello.Member, term: hello.Term, stateOK: hello.StateOK,
		benchmarkUS: hello.BenchmarkUS, receivesHeartbeats: hello.ReceivesHeartbeats,
		startedMS: hello.StartedMS, heardPeers: hello.HeardPeers, leaving: hello.Leaving,
	}
}

// newHelloReply returns the greeting that answers another one, with a statement about cancellations if
// the other one asks for it.
func (network *Network) newHelloReply(message frame) frame {
	hello := network.newHello()
	if message.seq == 0 || network.Watermarks == nil {
		return hello
	}
	if statement, ok := network.Watermarks.Statement(message.incarnation, message.watermarkFrom); ok {
		hello.seq = message.seq
		hello.setStatement(statement)
	}
	return hello
}

// newHelloQuestion returns a greeting that also asks the peer for its statement about cancellations, and
// notes when it was sent.
func (network *Network) newHelloQuestion(remote *remotePeer) frame {
	hello := network.newHello()
	if network.Watermarks == nil {
		return hello
	}
	incarnation, have, ok := network.Watermarks.Position(remote.Member)
	if !ok {
		return hello
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	if len(remote.questionTimes) == tuning.WatermarksAsked {
		// A controller of an older version answers none.
		clear(remote.questionTimes)
	}
	remote.lastSeq++
	hello.seq, hello.incarnation, hello.watermarkFrom = remote.lastSeq, incarnation, have
	remote.questionTimes[remote.lastSeq] = network.clock.Now()
	return hello
}

// setStatement puts a statement about cancellations into a greeting.
func (message *frame) setStatement(statement watermark.Statement) {
	message.incarnation = statement.Incarnation
	message.watermarkFrom = statement.From
	message.watermarkTo = statement.To
	message.watermarkLatest = statement.Latest
	message.cancellations = statement.Cancellations
	message.watermarkCurrent = statement.Current
	message.watermarkAge = statement.Age
}

// statement returns the statement about cancellations of a greeting.
func (message *frame) statement() watermark.Statement {
	return watermark.Statement{
		Incarnation:   message.incarnation,
		From:          message.watermarkFrom,
		To:            message.watermarkTo,
		Latest:        message.watermarkLatest,
		Cancellations: message.cancellations,
		Current:       message.watermarkCurrent,
		Age:           message.watermarkAge,
	}
}

// helloOf returns what a greeting announces. The member is the one that was connected to, whatever name
// the greeting has.
func helloOf(member string, message frame) Hello {
	return Hello{
		Member: member, Term: message.term, StateOK: message.stateOK,
		BenchmarkUS: message.benchmarkUS, ReceivesHeartbeats: message.receivesHeartbeats,
		StartedMS: message.startedMS, HeardPeers: message.heardPeers, Leaving: message.leaving,
	}
}

// observation returns the greeting as the failure detection of package membership takes it.
func (hello Hello) observation() membership.Hello {
	return membership.Hello{
		From: hello.Member, StartedMS: hello.StartedMS, HeardPeers: hello.HeardPeers, Leads: hello.Term > 0,
		StateOK: hello.StateOK, ReceivesHeartbeats: hello.ReceivesHeartbeats,
		BenchmarkUS: hello.BenchmarkUS, Leaving: hello.Leaving,
	}
}
