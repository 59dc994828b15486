package controller

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
)

// settleTime is the time that the users give a lost controller to come back to full strength (settle_s).
const settleTime = 4 * time.Second

// testCluster runs real controllers with real links between them, in fake time. Its edges are scripted peers.
type testCluster struct {
	t           *testing.T
	g           *WithT
	controllers map[string]*testController // by IP; those that run
	dirs        map[string]string
	incarnation uint64
}

// startCluster starts three voters and waits until they have a leader.
func startCluster(t *testing.T) *testCluster {
	c := &testCluster{t: t, g: NewWithT(t), controllers: map[string]*testController{}, dirs: map[string]string{}}
	for _, ip := range threeVoters.Voters {
		c.dirs[ip] = t.TempDir()
		writeDisk(t, c.dirs[ip], voterDisk(ip))
		c.start(ip)
	}
	c.advance(settleTime)
	return c
}

// start starts a controller on its disk and links it with those that run.
func (c *testCluster) start(ip string) {
	c.incarnation++
	h := startIncarnation(c.t, ip, c.dirs[ip], false, c.incarnation)
	for _, other := range c.running() {
		c.connect(h, other)
	}
	c.controllers[ip] = h
}

// running returns the controllers that run, in the order of their addresses.
func (c *testCluster) running() (all []*testController) {
	for _, ip := range slices.Sorted(maps.Keys(c.controllers)) {
		all = append(all, c.controllers[ip])
	}
	return all
}

// connect links two controllers, as if the first had dialled.
func (c *testCluster) connect(a, b *testController) {
	endA, endB := net.Pipe()
	for _, end := range []struct {
		own, other *testController
		conn       net.Conn
	}{{a, b, endA}, {b, a, endB}} {
		link := peer.NewLink(end.conn)
		link.Send(end.own.members.handshake())
		end.own.remotes = append(end.own.remotes, &remote{link: link})
		go end.own.runLink(link, func(link *peer.Link, h *peer.Handshake) *remote {
			return &remote{link: link, node: h.Node, ip: end.other.Settings.IP, zone: h.Zone}
		})
	}
}

// stop ends controllers without a shutdown: their disks hold what was synced.
func (c *testCluster) stop(ips ...string) {
	for _, ip := range ips {
		c.controllers[ip].stop()
		delete(c.controllers, ip)
	}
}

func (c *testCluster) stopAll() { c.stop(slices.Sorted(maps.Keys(c.controllers))...) }

// startAll starts the controllers that don't run, on their disks.
func (c *testCluster) startAll() {
	for _, ip := range slices.Sorted(maps.Keys(c.dirs)) {
		if c.controllers[ip] == nil {
			c.start(ip)
		}
	}
}

// addStandby starts a controller with an empty disk that has no vote, and waits until it is level with the log.
func (c *testCluster) addStandby(ip string) {
	c.dirs[ip] = c.t.TempDir()
	c.start(ip)
	c.advance(time.Second)
}

// freeze lets a controller stand still while the others go on. Its links time out, and are connected again afterwards.
func (c *testCluster) freeze(ip string, d time.Duration) {
	frozen := c.controllers[ip]
	delete(c.controllers, ip)
	c.advance(d)
	frozen.runInbox()
	for _, other := range c.running() {
		c.connect(frozen, other)
	}
	c.controllers[ip] = frozen
}

// loseDisk ends a controller and starts it again with an empty disk a second later.
func (c *testCluster) loseDisk(ip string) {
	c.stop(ip)
	c.dirs[ip] = c.t.TempDir()
	c.advance(time.Second)
	c.start(ip)
}

// advance advances the time, tick by tick, and runs the controllers until all of them are idle in each.
func (c *testCluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tickInterval)
		for _, h := range c.running() {
			h.tick()
		}
		c.settle()
	}
}

// settle runs turns of all controllers until none of them has anything to do.
func (c *testCluster) settle() {
	for idle := false; !idle; {
		idle = true
		for _, h := range c.running() {
			h.endTurn()
			synctest.Wait()
			idle = h.runInbox() && idle
		}
	}
}

// runInbox runs the queued events of a controller and reports whether there were none.
func (h *testController) runInbox() (idle bool) {
	for idle = true; ; idle = false {
		select {
		case f := <-h.inbox:
			f()
		default:
			return idle
		}
	}
}

// attachEdge attaches a scripted edge to a controller.
func (c *testCluster) attachEdge(ip string, number int) *scriptedPeer {
	edge := c.controllers[ip].link(fmt.Sprint("10.0.1.", number), &peer.Handshake{Node: fmt.Sprint("e-", number),
		IP: fmt.Sprint("10.0.1.", number), Zone: "x", Edge: true, Incarnation: uint64(100 + number)})
	c.settle()
	return edge
}

// testOperation is the claim of operation n by an edge with this incarnation.
func testOperation(incarnation, n uint64) idempotency.Record {
	return idempotency.Record{Key: idempotency.KeyOf("t", fmt.Sprint(n)), Token: idempotency.Token{Incarnation: incarnation, Sequence: n}}
}

// testResponse is the response of operation n.
func testResponse(n uint64) *idempotency.Response {
	return &idempotency.Response{Status: 201, Headers: map[string]string{"X-Server-Seal": fmt.Sprint("seal-", n)},
		Body: []byte(fmt.Sprint("posting ", n))}
}

// claim has an edge claim operations, and returns the outcomes by sequence number. The incarnation is that of the claimant.
func (c *testCluster) claim(edge *scriptedPeer, incarnation, from, to uint64) map[uint64]peer.ClaimOutcome {
	edge.received()
	for n := from; n < to; n++ {
		edge.send(&peer.Frame{Claims: []idempotency.Record{testOperation(incarnation, n)}})
	}
	c.advance(claimTimeout)
	outcomes := map[uint64]peer.ClaimOutcome{}
	for _, f := range edge.received() {
		for _, outcome := range f.Outcomes {
			outcomes[outcome.Token.Sequence] = outcome
		}
	}
	return outcomes
}

// run has an edge run operations and send their responses to its controller.
func (c *testCluster) run(edge *scriptedPeer, incarnation, from, to uint64) {
	for n, outcome := range c.claim(edge, incarnation, from, to) {
		c.g.Expect(outcome.Outcome).To(Equal(idempotency.OutcomeGranted), "operation %d", n)
	}
	for n := from; n < to; n++ {
		r := testOperation(incarnation, n)
		r.Response = testResponse(n)
		edge.send(&peer.Frame{Responses: []idempotency.Record{r}})
	}
	c.settle()
}

// expectResponses repeats operations at an edge and expects the first runs' responses.
func (c *testCluster) expectResponses(edge *scriptedPeer, incarnation, from, to uint64) {
	c.t.Helper()
	outcomes := c.claim(edge, incarnation, from, to)
	missing := 0
	for n := from; n < to; n++ {
		c.g.Expect(outcomes[n].Outcome).To(Equal(idempotency.OutcomeConflict), "operation %d", n)
		if outcomes[n].Response == nil {
			missing++
			continue
		}
		c.g.Expect(outcomes[n].Response).To(Equal(testResponse(n)))
	}
	c.g.Expect(missing).To(BeZero(), "repeats without a response, of %d", to-from)
}
