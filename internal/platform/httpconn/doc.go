// Package httpconn holds the connections that a process accepts as an HTTP/1.1 server, and ends them without losing what is
// on its way on them.
//
// A connection ends in order if every request that reached this machine on it is answered, and if no request is still under
// way to it for long when its client learns of the end. Net/http looks at neither: it knows what it has read. Three things
// stand between a client's write and that: a link that is full, a kernel whose bytes the process has not read, and
// net/http's own buffer. So
//
//   - a Conn is idle only while net/http waits for a request with its buffer empty, and reading bytes and becoming busy are
//     one step;
//   - an idle connection is closed only if its kernel holds nothing unread, which is asked in the same step as the close;
//   - a close ends the sending side first and reads on until the client has ended its own, so that no reset takes back a
//     response, and measures by that how long news takes to the client and back (Tracker.RoundTripWithin);
//   - a time-out that fires over bytes that have arrived counts as not fired.
//
// What remains is a request that crosses a close: sent before its client saw the end of the stream, which HTTP/1.1 can't
// exclude. A caller that checks RoundTripWithin first keeps that time short.
package httpconn
