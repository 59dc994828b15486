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

// runShutdownOn has an edge serve a listener and shut down. The scenario begins with the shutdown; when it returns, the
// edge has ended.
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
		time.Sleep(time.Minute) // what lingers ends
		close(h.clients.handoff.closed)
		h.clients.conns.CloseStale(0, 0)
		synctest.Wait()
	})
}

// connectClients has a client connect and send a request each 100 ms for a while, as long as the platform sends clients.
func connectClients(l *link, listener *linkedListener, until time.Duration) {
	const gap = 100 * time.Millisecond
	for range int(until / gap) {
		listener.arrive(l.connect()).send(wireRequest("s", "2000"))
		time.Sleep(gap)
	}
}

// Issue 54's incident: 2.46 s after SIGTERM a client sends a request on a connection that it kept. The links are full, so
// that the request, and the news that the edge closes idle connections, are under way for some tenths of a second.
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

// A request has reached the edge's kernel, and the edge, which is late, has not read it when it closes idle connections, or
// when it decides that no request comes any more.
func TestRequestThatIsUnreadIsNotLostToTheCloseOfIdleConnections(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ connected, sent time.Duration }{ // after SIGTERM
		{0, 2300 * ms}, {0, 2400 * ms}, {0, 2480 * ms}, {2120 * ms, 2600 * ms}, {2600 * ms, 3050 * ms}, {2750 * ms, 3230 * ms},
	} {
		runShutdownOn(t, func(_ *testEdge, listener *linkedListener) {
			startedAt := time.Now()
			at := func(after time.Duration) { time.Sleep(time.Until(startedAt.Add(after))) }
			go func() { // another client keeps the edge up
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

// A client's connection is complete in the kernel, its request too, and the edge, which is late, has not accepted it when
// it decides that no request comes any more.
func TestConnectionThatIsNotAcceptedIsNotLostToTheEndOfTheProcess(t *testing.T) {
	runShutdownOn(t, func(_ *testEdge, listener *linkedListener) {
		time.Sleep(2 * time.Second)
		listener.gate = make(chan struct{})
		accepted := listener.arrive((&link{}).connect()) // by the accept that was under way
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

// A server that takes clients' connections is replaced, by other limits, while one is being handed to it: the next one takes it.
func TestConnectionIsHandedToTheServerThatReplacesItsOwn(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.continueOnFailure(t)
		h.addServer("i-1", respondAfter(h, 50*time.Millisecond))
		h.serveClients(func(s pipeListener) {
			stuck := &handoffListener{in: make(chan net.Conn), closed: make(chan struct{}), addr: s.Addr(), timeouts: h.clients.current().timeouts}
			h.clients.mu.Lock()
			serving := h.clients.handoff
			h.clients.handoff = stuck // its server doesn't come to accept
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

// flakyListener fails before each connection, as for lack of a descriptor.
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

// Accepting goes on after a failure that passes.
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

// A process that runs late has that much less of its grace: it learns of the SIGTERM late and does late what is due at the end.
func TestShutdownFollowsTheLatenessOfTheProcess(t *testing.T) {
	const grace = 6 * time.Second
	for _, late := range []time.Duration{0, 90 * time.Millisecond, 240 * time.Millisecond, 3 * time.Second} {
		counted := min(late, grace/maxLatenessShare)
		s := newShutdownSchedule(0, grace, late)
		if last := grace - counted - exitReserve; s.exitBy+counted > last {
			t.Errorf("late by %s: the process ends after %s, and may be %s late with that", late, s.exitBy, counted)
		}
		if s.respondBy+flushReserve > s.exitBy || s.respondBy < grace-grace/minResponseShare {
			t.Errorf("late by %s: what is accepted is answered by %s, of %s", late, s.respondBy, s.exitBy)
		}
		if s.admitAllUntil != admitAllDuration {
			t.Errorf("late by %s: open until %s", late, s.admitAllUntil)
		}
	}
}
