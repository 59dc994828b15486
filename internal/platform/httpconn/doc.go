// Package httpconn tracks the connections that a process accepts as an HTTP/1.1 server, and closes them without losing
// requests in transit.
//
// A connection is closed gracefully if every request that has arrived at this machine is answered, and if the time in which
// a client may send further requests before it learns of the close is short. The net/http package ensures neither: it only
// considers the bytes that it has read. A request may also be delayed on a congested link, unread in the kernel, or in
// net/http's buffer. Therefore
//
//   - a Conn is idle only while net/http waits for a request with an empty buffer, and reading bytes and becoming busy are
//     one atomic step;
//   - an idle connection is closed only if the kernel has no unread bytes, which is checked in the same step as the close;
//   - a close ends the sending side first and continues to read until the client has closed its side, so that no reset
//     discards a response, and thereby measures the round trip to the client (Tracker.RoundTripWithin);
//   - a timeout that fires although bytes have arrived is ignored.
//
// HTTP/1.1 can't exclude that a client sends a request before it sees the end of the stream, which is then lost. A caller
// that checks RoundTripWithin first keeps that time short.
package httpconn
