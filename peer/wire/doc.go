// Package wire is what the FlatBuffers compiler makes of peer/peer.fbs.
package wire
