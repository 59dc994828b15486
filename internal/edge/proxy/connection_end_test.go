package proxy

import (
	"testing"
	"testing/synctest"
	"time"
)

// shuttingDownOn has an edge serve a listener and shut down. The scenario begins with the shutdown; when it returns, the
// edge has ended.
func shuttingDownOn(t *testing.T, play func(h *testEdge, listener *linkedListener)) {
	runEdge(t, func(h *testEdge) {
		h.runOn(t)
		h.addServer("i-1", works(h, 50*time.Millisecond))
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

// clientsThatCome has a client connect and send a request each 100 ms for a while, as long as the platform sends clients.
func clientsThatCome(l *link, listener *linkedListener, until time.Duration) {
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
		shuttingDownOn(t, func(_ *testEdge, listener *linkedListener) {
			startedAt := time.Now()
			full := &link{delay: delay}
			kept := listener.arrive(full.connect())
			clientsThatCome(full, listener, 2400*time.Millisecond)
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
		shuttingDownOn(t, func(_ *testEdge, listener *linkedListener) {
			startedAt := time.Now()
			at := func(after time.Duration) { time.Sleep(time.Until(startedAt.Add(after))) }
			go func() { // another client keeps the edge up
				at(2400 * ms)
				listener.arrive((&link{}).connect()).send(wireRequest("s", "2000"))
			}()
			at(c.connected)
			kept := listener.arrive((&link{late: 400 * ms}).connect())
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
	shuttingDownOn(t, func(_ *testEdge, listener *linkedListener) {
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
