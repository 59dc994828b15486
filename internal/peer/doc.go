// Package peer has the messages that the gateway's processes send each other and the links that carry them.
//
// A Link is one TCP connection (optionally TLS, see Security) between two processes. It carries frames: a length of four
// bytes, big endian, and a CBOR map whose integer keys are the fields of Frame. A frame holds one message or several that
// belong together; Frame.Messages takes it apart into the closed set of types that implement Message. The numbers of the
// fields never change their meaning, and a field that a process doesn't know is passed over, so that processes of
// neighbouring versions understand each other (package compat holds the bytes).
//
// The first frame in each direction carries a Handshake. After it both ends send a Summary every SummaryInterval; a link
// on which nothing was read for LinkTimeout is closed, since a network partition is not reported by the kernel.
package peer
