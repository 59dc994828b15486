// Package peer defines the messages between the gateway's processes and the links that carry them.
//
// A Link is one TCP connection (optionally TLS, see Security) between two processes. It carries frames: a length of four
// bytes, big endian, and a CBOR map whose integer keys are the fields of Frame. A frame contains one message or several
// related ones; Frame.Messages splits it into the closed set of types that implement Message. The numbers of the fields
// never change their meaning, and unknown fields are ignored, so that processes of adjacent versions are compatible
// (package compat has the encoded bytes).
//
// The first frame in each direction contains a Handshake. After it both ends send a Summary every SummaryInterval. A link
// on which nothing was read for LinkTimeout is closed, since the kernel doesn't report a network partition.
package peer
