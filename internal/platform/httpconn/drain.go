package httpconn

import (
	"net"

	"mulleinwood/internal/platform/tcpstate"
)

// Drain closes a server gracefully: its listener and all its connections are closed, each as soon as every request that has
// arrived there is answered. It is not safe for concurrent use.
type Drain struct {
	listener net.Listener
	conns    *Tracker
	stopped  bool // the listener is closed
}

// NewDrain returns a Drain for a server that accepts connections from listener by the tracker conns. It closes nothing yet.
func NewDrain(listener net.Listener, conns *Tracker) *Drain {
	return &Drain{listener: listener, conns: conns}
}

// StopAccepting closes the listener unless a connection is waiting to be accepted, which a close would reset. It reports
// whether the listener is closed and all accepted connections are tracked; the caller must repeat it until then.
func (d *Drain) StopAccepting() (done bool) {
	if !d.stopped {
		if tcpstate.Readable(d.listener) {
			return false
		}
		d.stopped = true
		_ = d.listener.Close() // on failure, it is closed with the process
	}
	return d.conns.accepting.Load() == 0
}

// Step closes what can be closed now, and reports whether the drain is complete.
func (d *Drain) Step() (done bool) {
	accepted := d.StopAccepting()
	d.conns.CloseIdle(0)
	return accepted && d.conns.Busy() == 0
}

// Quiet reports whether there is no unanswered request, no part of one and no connection waiting to be accepted.
func (d *Drain) Quiet() bool {
	return (d.stopped || !tcpstate.Readable(d.listener)) && d.conns.Busy() == 0
}
