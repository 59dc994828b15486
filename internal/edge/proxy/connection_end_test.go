package proxy

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// runShutdownOn runs a scenario while an edge serves a listener and shuts down. The scenario begins with the shutdown. The
// edge has ended when runShutdownOn returns.
func runShutdownOn(t *testing.T, play func(h *testEdge, listener *linkedListener)) {
	runEdge(t, func(h *testEdge) {
		h.continueOnFailure(t)
		h.addServer("i-1", respondAfter(h, 50*time.Millisecond))
		listener := newLinkedListener()
		served, ended := make(chan struct{}), make(chan struct{})
		go func() {
			_ = h.clients.serve(listener)
			close(served)
		}()
		synctest.Wait()
		go func() {
			h.shutDown(listener)
			close(ended)
		}()
		play(h, listener)
		<-ended
		<-served
		time.Sleep(time.Minute) // lingering connections end
		close(h.clients.handoff.closed)
		h.clients.conns.CloseStale(0, 0)
		synctest.Wait()
	})
}

// connectClients connects a new client each 100 ms, which sends a request, as while the platform still sends clients.
func connectClients(l *link, listener *linkedListener, until time.Duration) {
	const gap = 100 * time.Millisecond
	for range int(until / gap) {
		listener.arrive(l.connect()).send(wireRequest("s", "2000"))
		time.Sleep(gap)
	}
}

// Issue 54: 2.46 s after SIGTERM a client sends a request on an idle connection. The links are congested, so that the request
// and the edge's close of idle connections take some tenths of a second to arrive.
func TestRequestOnAFullLinkIsNotLostToTheCloseOfIdleConnections(t *testing.T) {
	const sentAfter = 2460 * time.Millisecond
	for _, delay := range []time.Duration{120 * time.Millisecond, 200 * time.Millisecond, 320 * time.Millisecond} {
		runShutdownOn(t, func(_ *testEdge, listener *linkedListener) {
			startedAt := time.Now()
			full := &link{delay: delay}
			kept := listener.arrive(full.connect())
			connectClients(full, listener, 2400*time.Millisecond)
			time.Sleep(sentAfter - time.Since(startedAt))
			kept.send(wireRequest("s", "2000"))
			if len(kept.responses()) == 0 {
				t.Errorf("delay %s: the connection is closed with no answer %s after the request was sent", delay,
					kept.endedAt.Sub(startedAt)-sentAfter)
			}
		})
	}
}

// A request has arrived in the kernel, but the edge, which is delayed, has not read it when it closes idle connections or
// decides that no more requests arrive.
func TestRequestThatIsUnreadIsNotLostToTheCloseOfIdleConnections(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ connected, sent time.Duration }{ // after SIGTERM
		{0, 2300 * ms}, {0, 2400 * ms}, {0, 2480 * ms}, {2120 * ms, 2600 * ms}, {2600 * ms, 3050 * ms}, {2750 * ms, 3230 * ms},
	} {
		runShutdownOn(t, func(_ *testEdge, listener *linkedListener) {
			startedAt := time.Now()
			at := func(after time.Duration) { time.Sleep(time.Until(startedAt.Add(after))) }
			go func() { // another client keeps the edge from ending
				at(2400 * ms)
				listener.arrive((&link{}).connect()).send(wireRequest("s", "2000"))
			}()
			at(c.connected)
			kept := listener.arrive((&link{readDelay: 400 * ms}).connect())
			at(c.sent)
			kept.send(wireRequest("s", "2000"))
			if len(kept.responses()) == 0 {
				t.Errorf("a request sent %s after SIGTERM, read 0.4 s later, has no answer", c.sent)
			}
		})
	}
}

// A connection and its request have arrived in the kernel, but the edge, which is delayed, has not accepted the connection
// when it decides that no more requests arrive.
func TestConnectionThatIsNotAcceptedIsNotLostToTheEndOfTheProcess(t *testing.T) {
	runShutdownOn(t, func(_ *testEdge, listener *linkedListener) {
		time.Sleep(2 * time.Second)
		listener.gate = make(chan struct{})
		accepted := listener.arrive((&link{}).connect()) // by the pending call of Accept
		late := listener.arrive((&link{}).connect())
		late.send(wireRequest("s", "2000"))
		accepted.send(wireRequest("s", "2000"))
		time.Sleep(1800 * time.Millisecond)
		close(listener.gate)
		if len(late.responses()) == 0 || len(accepted.responses()) == 0 {
			t.Error("a connection that was not accepted is closed with no answer")
		}
	})
}

// The server for new connections is replaced, because the limits changed, while a connection is handed to it: its successor
// serves the connection.
func TestConnectionIsHandedToTheServerThatReplacesItsOwn(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.continueOnFailure(t)
		h.addServer("i-1", respondAfter(h, 50*time.Millisecond))
		h.serveClients(func(s pipeListener) {
			stuck := &handoffListener{in: make(chan net.Conn), closed: make(chan struct{}), addr: s.Addr(), timeouts: h.clients.current().timeouts}
			h.clients.mu.Lock()
			serving := h.clients.handoff
			h.clients.handoff = stuck // its server doesn't call Accept
			h.clients.mu.Unlock()
			client := (&link{}).connect()
			s.in <- client.edgeEnd
			client.send(wireRequest("s", "2000"))
			synctest.Wait()
			h.clients.mu.Lock()
			h.clients.handoff = serving
			h.clients.mu.Unlock()
			close(stuck.closed)
			time.Sleep(time.Second)
			client.up <- packet{at: time.Now()} // the client ends its stream, and the edge follows
			if got := client.responses(); len(got) != 1 || got[0].StatusCode != http.StatusOK {
				t.Errorf("%d responses", len(got))
			}
		})
	})
}

// flakyListener fails before each connection, as for lack of a file descriptor.
type flakyListener struct {
	net.Listener
	failures int
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures++; l.failures%2 == 1 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Accepting continues after a temporary failure.
func TestAcceptingGoesOnAfterAFailure(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		listener, done := newLinkedListener(), make(chan struct{})
		go func() {
			_ = h.clients.serve(&flakyListener{Listener: listener})
			close(done)
		}()
		for range 3 {
			client := listener.arrive((&link{}).connect())
			client.send(wireRequest("s", "2000"))
			time.Sleep(time.Second)
			client.up <- packet{at: time.Now()}
			h.g.Expect(client.responses()).To(HaveLen(1))
		}
		listener.Close()
		<-done
		close(h.clients.handoff.closed)
	})
}

// The scheduling delay of the process shortens its grace: it notices SIGTERM late and runs the final steps late.
func TestShutdownFollowsTheLatenessOfTheProcess(t *testing.T) {
	const grace = 6 * time.Second
	for _, late := range []time.Duration{0, 90 * time.Millisecond, 240 * time.Millisecond, 3 * time.Second} {
		counted := min(late, grace/maxLatenessShare)
		s := newShutdownSchedule(0, grace, late)
		if last := grace - counted - exitReserve; s.exitBy+counted > last {
			t.Errorf("late by %s: the process ends after %s, possibly %s later", late, s.exitBy, counted)
		}
		if s.respondBy+flushReserve > s.exitBy || s.respondBy < grace-grace/minResponseShare {
			t.Errorf("late by %s: accepted requests are answered by %s, of %s", late, s.respondBy, s.exitBy)
		}
		if s.admitAllUntil != admitAllDuration {
			t.Errorf("late by %s: all requests are admitted until %s", late, s.admitAllUntil)
		}
	}
}
