// Package tcpstate tells what the kernel knows of a TCP socket that the process does not know yet: bytes that came and were
// not read, connections that are complete and were not accepted, and bytes that were written and did not reach the peer.
//
// A process that closes a socket, or ends, has to ask the kernel first. What the process itself has seen is older by as much
// as the process is late: its own scheduling, a quota of processor time, garbage collection.
package tcpstate

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// readable is a socket that tells by itself, as those of tests on a fake clock do.
type readable interface{ Readable() bool }

// Readable reports whether a read from a connection, or an accept at a listener, would return at once: with data, with a new
// connection, with the end of the stream or with an error. It does not wait and reads nothing. A socket that is closed or
// can't be asked is not readable.
func Readable(socket any) bool {
	if own, ok := socket.(readable); ok {
		return own.Readable()
	}
	ready := false
	control(socket, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		ready = err == nil && n > 0
	})
	return ready
}

// Unsent is how many bytes were written to a connection and are not acknowledged by the peer's kernel; 0 also for one that is
// closed or can't be asked.
func Unsent(socket any) (bytes int) {
	control(socket, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// control runs f with the descriptor of a socket that has one.
func control(socket any, f func(fd int)) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // it fails for a closed socket, of which there is nothing to tell
}
