package program

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/rules"
)

// TestRoles checks which messages each role may send.
func TestRoles(t *testing.T) {
	messages := []protocol.Message{protocol.Heartbeat{}, protocol.Collector{Zone: "north"}, protocol.Attach{Proxy: 2},
		protocol.ServerReport{Zone: "north"}, protocol.ServerReport{Zone: "south"}, protocol.UsageReport{Proxy: 2},
		protocol.UsageReport{Proxy: 3}, protocol.Ack{Proxy: 2}, protocol.Ack{Proxy: 3}}
	for _, tc := range []struct {
		speaker sender
		may     []int
	}{
		{sender{}, []int{0, 1, 2}},
		{sender{role: roleCollector, zone: "north"}, []int{0, 3, 5, 6}},
		{sender{role: roleProxy, proxy: 2}, []int{0, 5, 7}},
	} {
		var may []int
		for i, m := range messages {
			if tc.speaker.maySend(m) {
				may = append(may, i)
			}
		}
		if fmt.Sprint(may) != fmt.Sprint(tc.may) {
			t.Errorf("%+v may say %v, want %v", tc.speaker, may, tc.may)
		}
	}
}

// unidentifiedPeers are peers that never join validly, with the data that each sends.
var unidentifiedPeers = map[string]struct {
	text  string
	after string // sent repeatedly
}{
	"silent":                {},
	"half a message":        {text: `{"t":"attach","proxy":1,`},
	"only heartbeats":       {text: `{"t":"hb"}` + "\n", after: `{"t":"hb"}` + "\n"},
	"a message without end": {text: `{"t":"`, after: strings.Repeat("x", 1000)},
	"bytes without end":     {after: "\x00\xff\x00"},
	"no such proxy":         {text: `{"t":"attach","proxy":99,"zone":"north","weight":1,"fresh":true}` + "\n"},
	"no such zone":          {text: `{"t":"telemetry","zone":"moon"}` + "\n"},
	"a proxy of no zone":    {text: `{"t":"attach","proxy":1,"zone":"moon","weight":1,"fresh":true}` + "\n"},
	"a report unjoined":     {text: `{"t":"client_stats","proxy":0,"class":"lookup","tries":9,"failed":0,"span_ms":1000}` + "\n"},
	"orders":                {text: `{"t":"assign","drop":["s-0"],"stamp":1}` + "\n"},
	"HTTP":                  {text: "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	"a length of its own":   {text: "\x7f\xff\xff\xff{}"},
}

// TestUnidentifiedPeersAreClosed guards against unidentified peers that keep descriptors in use: each is disconnected at once or
// within the join timeout of one second, while a proxy that has joined and sends nothing stays connected.
func TestUnidentifiedPeersAreClosed(t *testing.T) {
	f := start(t, nil, nil)
	defer f.stop()
	p := f.proxy(0, "north")
	f.wait("a table", p, hasServers("s-0", "s-2"))
	collector := f.collector("south")
	closed := make(chan string)
	for name, r := range unidentifiedPeers {
		nc, err := net.Dial("tcp", f.planner)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, r.text)
		if r.after != "" {
			go func() {
				for err := error(nil); err == nil; _, err = io.WriteString(nc, r.after) {
				}
			}()
		}
		go func() {
			nc.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.Copy(io.Discard, nc); os.IsTimeout(err) {
				name += " STAYS"
			}
			closed <- name
		}()
	}
	for range unidentifiedPeers {
		if name := <-closed; strings.HasSuffix(name, "STAYS") {
			t.Error(name)
		}
	}
	f.phase("s-0", protocol.PhaseDraining)
	f.wait("a drain on a quiet stream", p, lacksServer("s-0"))
	if err := collector.Report("s-1", 1, 0, 100, 1000); err != nil {
		t.Errorf("the quiet collector: %v", err)
	}
}

// eventRecorder is a module that passes on the events it receives.
type eventRecorder chan rules.Event

func (h eventRecorder) Step(_ float64, events []rules.Event) []rules.Action {
	for _, e := range events {
		h <- e
	}
	return nil
}

// next returns the next event of type E.
func next[E rules.Event](t *testing.T, h eventRecorder) E {
	t.Helper()
	for late := time.After(testTimeout); ; {
		select {
		case e := <-h:
			if e, ok := e.(E); ok {
				return e
			}
		case <-late:
			var none E
			t.Fatalf("no %T", none)
		}
	}
}

// TestUnreadableStream guards against a stream that continues with invalid bytes and stays joined for good: the module must be
// told that the proxy has left, and the proxy may join again. An invalid line alone doesn't end the stream.
func TestUnreadableStream(t *testing.T) {
	h := make(eventRecorder, 1000)
	f := start(t, nil, h)
	defer f.stop()
	p := f.proxy(2, "north")
	next[rules.Joined](t, h)
	p.WriteLine(`{"t":"client_stats","proxy":2,"class":"lookup","tries":"many","failed":0,"span_ms":1000}`)
	p.WriteLine(`{"t":"client_stats","proxy":3,"class":"lookup","tries":1,"failed":0,"span_ms":1000}`)
	p.WriteLine(`{"t":"upstream_stats","zone":"north","server":"s-0","tries":1,"failed":0,"mean_ms":1,"span_ms":1000}`)
	p.WriteLine(`{"t":"client_stats","proxy":2,"class":"lookup","tries":7,"failed":0,"span_ms":1000}`)
	if d := next[rules.Demand](t, h); d.Proxy != 2 || d.Requests != 7 {
		t.Errorf("received %+v", d)
	}
	p.WriteLine("\x01\x02 no line")
	if left := next[rules.Left](t, h); left.Proxy != 2 {
		t.Errorf("received %+v", left)
	}
	if s := p.Wait(func(standin.State) bool { return false }); s.Closed == nil {
		t.Error("the stream stays")
	}
	f.proxy(2, "north")
	if joined := next[rules.Joined](t, h); joined.Proxy != 2 {
		t.Errorf("received %+v", joined)
	}
}
