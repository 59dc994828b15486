package httpconn

import "net"

// trackedListener is a listener whose connections are tracked.
type trackedListener struct {
	net.Listener
	conns    *Tracker
	timeouts Timeouts
}

// Listener wraps a listener so that accepted connections are tracked, with fixed timeouts. The server's ConnState must be the
// tracker's SetState.
func (t *Tracker) Listener(listener net.Listener, timeouts Timeouts) net.Listener {
	return &trackedListener{Listener: listener, conns: t, timeouts: timeouts}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.conns.Accept(l.Listener, func() Timeouts { return l.timeouts })
	if err != nil {
		return nil, err // a nil *Conn would not be a nil net.Conn
	}
	return conn, nil
}
