package controller

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/nodesettings"
)

const (
	ipA, ipB, ipC, ipD = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"
	cluster            = 7
)

var (
	threeVoters     = consensus.Membership{Epoch: 2, Cluster: cluster, Voters: []string{ipA, ipB, ipC}}
	jointMembership = consensus.Membership{Epoch: 3, Cluster: cluster, Voters: []string{ipA, ipB, ipC}, Next: []string{ipA, ipB, "10.0.0.4#d"}}
)

// testController is a controller with a disk of its own, whose turns the test runs one by one, in fake time: it belongs in a bubble
// of synctest. Its peers are scripted.
type testController struct {
	*Controller
	t   *testing.T
	g   *WithT
	dir string
	log *logRecorder

	remotes []*remote // all that were ever linked
}

// logRecorder gathers what is logged.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (l *logRecorder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, strings.TrimSpace(string(p)))
	return len(p), nil
}

func (l *logRecorder) containing(text string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// testSettings are those of a controller of three, at a start that isn't the first.
func testSettings(t *testing.T, ip, dir string, first bool) *nodesettings.Settings {
	text := fmt.Sprintf("node: %q\nip: %q\nzone: \"x\"\nseeds: [%q, %q, %q]\ninner_port_range: [7000, 7001]\nfirst_start: %t\ncounted: true\n"+
		"tolerance: {machines: 1, zones: 0, regions: 0}\ndata_dir: %q\nlisten: {control: %q}\nlimits: {memory_mb: 200}\n",
		"n-"+ip, ip, ipA+":8649", ipB+":8649", ipC+":8649", first, dir, ip+":8649")
	set, err := nodesettings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// start begins a controller's life on a disk. It dials nobody.
func start(t *testing.T, ip, dir string, first bool) *testController {
	h := &testController{t: t, g: NewWithT(t), dir: dir, log: &logRecorder{}}
	c := newController(node.Config{Settings: testSettings(t, ip, dir, first), Logger: log.NewLogfmtLogger(h.log)}, 99)
	c.summaries.next = time.Nanosecond // the first summary has all that are known dialled
	h.Controller = c
	h.g.Expect(c.open()).To(Succeed())
	for i := range 20 { // and so has a meeting
		c.links.known[fmt.Sprint("10.0.0.", i)] = true
	}
	t.Cleanup(h.end)
	return h
}

// stop ends the life; all that is durable stays.
func (h *testController) stop() {
	h.end()
	synctest.Wait()
}

// end closes what is open, also after a test that failed.
func (h *testController) end() {
	synctest.Wait()
	for _, p := range h.remotes {
		p.link.Close()
	}
	_ = h.storage.Close() // it may be closed
}

// settle lets everything that waits happen, the disk included, without any time passing.
func (h *testController) settle() {
	for range 50 {
		h.endTurn()
		synctest.Wait()
		idle := true
		for more := true; more; {
			select {
			case f := <-h.inbox:
				f()
				idle = false
			default:
				more = false
			}
		}
		if idle {
			return
		}
	}
	h.t.Fatal("it never comes to rest")
}

// advance lets time pass, tick by tick.
func (h *testController) advance(d time.Duration) {
	for end := h.Now() + d; h.Now() < end; {
		time.Sleep(tickInterval)
		h.tick()
		h.settle()
	}
}

// writeDisk writes a disk before a controller's life on it.
func writeDisk(t *testing.T, dir string, b *storage.Batch) {
	st, _, err := storage.Open(dir, time.Minute, 1<<20)
	if err == nil {
		err = st.Commit([]*storage.Batch{b})
	}
	if err == nil {
		err = st.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// readDisk reads a disk after a life.
func readDisk(t *testing.T, dir string) *storage.State {
	st, s, err := storage.Open(dir, time.Minute, 1<<20)
	if err == nil {
		err = st.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// voterDisk is the disk of a voter of three that granted before.
func voterDisk(ip string) *storage.Batch {
	no, m := false, threeVoters
	return &storage.Batch{Identity: ip, BootstrapVoters: threeVoters.Voters, Hard: &consensus.HardState{Term: 4, Commit: 1}, Recovering: &no, Membership: &m,
		Entries: []consensus.Entry{{Term: 4, Index: 1, Membership: &m}}}
}

// scriptedPeer is a peer that says what the test has it say, and notes what it hears.
type scriptedPeer struct {
	h      *testController
	p      *remote
	mu     sync.Mutex
	frames []*peer.Frame
}

// linkReplica links a controller that calls itself by an identity.
func (h *testController) linkReplica(identity string) *scriptedPeer {
	s := h.link(membership.Address(identity), &peer.Handshake{Node: "n-" + identity, IP: membership.Address(identity), Zone: "x", Incarnation: 5, Counted: true, Cluster: cluster})
	s.send(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: identity, Cluster: cluster, Epoch: h.members.durable, Ready: true}})
	return s
}

// link links whoever says this hello.
func (h *testController) link(ip string, handshake *peer.Handshake) *scriptedPeer {
	local, remoteEnd := net.Pipe()
	s := &scriptedPeer{h: h, p: &remote{link: peer.NewLink(local), node: handshake.Node, ip: ip, zone: handshake.Zone, edge: handshake.Edge}}
	h.remotes = append(h.remotes, s.p)
	go s.listen(remoteEnd)
	h.handleJoin(s.p, handshake)
	h.settle()
	return s
}

func (s *scriptedPeer) listen(conn net.Conn) {
	defer conn.Close()
	var head [4]byte
	for {
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(conn, body); err != nil {
			return
		}
		f := &peer.Frame{}
		if err := cbor.NewDecoder(bytes.NewReader(body)).Decode(f); err != nil {
			return
		}
		s.mu.Lock()
		s.frames = append(s.frames, f)
		s.mu.Unlock()
	}
}

// send hands the controller a frame.
func (s *scriptedPeer) send(f *peer.Frame) {
	s.h.handleMessages(s.p, f.Messages())
	s.h.settle()
}

// received gives what came since it was asked last.
func (s *scriptedPeer) received() []*peer.Frame {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.frames
	s.frames = nil
	return in
}

func (s *scriptedPeer) sendConsensus(m consensus.Message) {
	m.From, m.To = s.p.status.Identity, s.h.consensus.replica.ID()
	s.send(&peer.Frame{Consensus: []consensus.Message{m}})
}

// becomeLeader has the controller elected by a peer, which holds its whole log.
func (h *testController) becomeLeader(by *scriptedPeer) {
	h.advance(2 * electionTimeout)
	term := h.consensus.replica.Term() + 1
	by.sendConsensus(consensus.Message{Kind: consensus.PreVoteReply, Term: term, OK: true})
	by.sendConsensus(consensus.Message{Kind: consensus.VoteReply, Term: term, OK: true})
	h.g.Expect(h.consensus.leads()).To(BeTrue())
	h.confirmReads(by)
}

// confirmReads has a peer answer that it holds the whole log, and the newest round of the leader.
func (h *testController) confirmReads(by *scriptedPeer) {
	round := uint64(0)
	for _, f := range by.received() {
		for _, m := range f.Consensus {
			round = max(round, m.ReadRound)
		}
	}
	by.sendConsensus(consensus.Message{Kind: consensus.AppendReply, Term: h.consensus.replica.Term(), OK: true, Index: h.consensus.replica.LastIndex(), ReadRound: round})
}

// followLeader has a peer lead, in contact with a majority.
func (h *testController) followLeader(leader *scriptedPeer, term uint64, m consensus.Message) {
	m.Kind, m.Term, m.LeaderInContact = consensus.Append, term, true
	leader.sendConsensus(m)
}

// grantReplies of all claims that frames tell of.
func grantReplies(in []*peer.Frame) (all []idempotency.GrantReply) {
	for _, f := range in {
		for _, v := range f.GrantReplies {
			all = append(all, v.Reply)
		}
	}
	return all
}

// identities of the replicas that the leader sends its log to.
func (h *testController) learners() (all []string) {
	for _, r := range h.members.view().Controllers {
		all = append(all, r.ID)
	}
	slices.Sort(all)
	return all
}
