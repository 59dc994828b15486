package httpconn

import (
	"net"

	"mulleinwood/internal/platform/tcpstate"
)

// Drain is the end of a server that still answers what comes: its listener and all its connections are closed, each as soon as
// nothing that has arrived there is left unanswered. It is used by one goroutine.
type Drain struct {
	listener net.Listener
	conns    *Tracker
	stopped  bool // the listener is closed
}

// NewDrain makes the end of a server that accepts from a listener by a tracker. Nothing is closed yet.
func NewDrain(listener net.Listener, conns *Tracker) *Drain {
	return &Drain{listener: listener, conns: conns}
}

// StopAccepting closes the listener, unless a connection waits there to be accepted: a close would reset it. It is called
// again until it reports that the listener is closed and all that was accepted is tracked.
func (d *Drain) StopAccepting() (done bool) {
	if !d.stopped {
		if tcpstate.Readable(d.listener) {
			return false
		}
		d.stopped = true
		_ = d.listener.Close() // the process is about to end: one that stays open ends with it
	}
	return d.conns.accepting.Load() == 0
}

// Step closes what can be closed now, and reports whether nothing is left.
func (d *Drain) Step() (done bool) {
	accepted := d.StopAccepting()
	d.conns.CloseIdle(0)
	return accepted && d.conns.Busy() == 0
}

// Quiet reports whether nothing has arrived that is not answered: no request, no part of one and no connection.
func (d *Drain) Quiet() bool {
	return (d.stopped || !tcpstate.Readable(d.listener)) && d.conns.Busy() == 0
}
