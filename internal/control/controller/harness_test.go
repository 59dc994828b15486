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

// testController is a controller with its own disk and scripted peers. The test runs its turns one by one in fake time, so it
// must run in a synctest bubble.
type testController struct {
	*Controller
	t   *testing.T
	g   *WithT
	dir string
	log *logRecorder

	remotes []*remote // all remotes since the start
}

// logRecorder records log lines.
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

// testSettings returns the settings of one of three controllers. With first set, it is the cluster's first start.
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

// start starts a controller on the disk in dir. It dials no other controller.
func start(t *testing.T, ip, dir string, first bool) *testController {
	return startIncarnation(t, ip, dir, first, 99)
}

func startIncarnation(t *testing.T, ip, dir string, first bool, incarnation uint64) *testController {
	h := &testController{t: t, g: NewWithT(t), dir: dir, log: &logRecorder{}}
	c := newController(node.Config{Settings: testSettings(t, ip, dir, first), Logger: log.NewLogfmtLogger(h.log)}, incarnation)
	c.summaries.next = time.Nanosecond // not 0: the first summary would dial the known controllers
	h.Controller = c
	h.g.Expect(c.open()).To(Succeed())
	for i := range 20 { // a join would dial unknown controllers
		c.links.known[fmt.Sprint("10.0.0.", i)] = true
	}
	t.Cleanup(h.end)
	return h
}

// stop stops the controller; durable state stays on disk.
func (h *testController) stop() {
	h.end()
	synctest.Wait()
}

// end closes the links and the storage, also after a failed test.
func (h *testController) end() {
	synctest.Wait()
	for _, p := range h.remotes {
		p.link.Close()
	}
	_ = h.storage.Close() // it may already be closed
}

// settle runs turns and disk writes until the controller is idle, without advancing the time.
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
	h.t.Fatal("the controller does not become idle")
}

// advance advances the time by d, tick by tick.
func (h *testController) advance(d time.Duration) {
	for end := h.Now() + d; h.Now() < end; {
		time.Sleep(tickInterval)
		h.tick()
		h.settle()
	}
}

// writeDisk writes a batch to the disk in dir before a controller starts on it.
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

// readDisk returns the state on the disk in dir after the controller stopped.
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

// voterDisk returns the stored state of one of three voters that is ready to grant.
func voterDisk(ip string) *storage.Batch {
	no, m := false, threeVoters
	return &storage.Batch{Identity: ip, BootstrapVoters: threeVoters.Voters, Hard: &consensus.HardState{Term: 4, Commit: 1}, Recovering: &no, Membership: &m,
		Entries: []consensus.Entry{{Term: 4, Index: 1, Membership: &m}}}
}

// scriptedPeer is a peer that sends frames for the test and records the frames that it receives.
type scriptedPeer struct {
	h      *testController
	p      *remote
	mu     sync.Mutex
	frames []*peer.Frame
}

// linkReplica links a controller with the given identity.
func (h *testController) linkReplica(identity string) *scriptedPeer {
	s := h.link(membership.Address(identity), &peer.Handshake{Node: "n-" + identity, IP: membership.Address(identity), Zone: "x", Incarnation: 5, Counted: true, Cluster: cluster})
	s.send(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: identity, Cluster: cluster, Epoch: h.members.durable, Ready: true}})
	return s
}

// link links a process that sends this handshake.
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

// send delivers a frame to the controller.
func (s *scriptedPeer) send(f *peer.Frame) {
	s.h.handleMessages(s.p, f.Messages())
	s.h.settle()
}

// received returns the frames received since the last call.
func (s *scriptedPeer) received() []*peer.Frame {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	frames := s.frames
	s.frames = nil
	return frames
}

func (s *scriptedPeer) sendConsensus(m consensus.Message) {
	m.From, m.To = s.p.status.Identity, s.h.consensus.replica.ID()
	s.send(&peer.Frame{Consensus: []consensus.Message{m}})
}

// becomeLeader makes the controller leader with the vote of a peer that has its complete log.
func (h *testController) becomeLeader(by *scriptedPeer) {
	h.advance(2 * electionTimeout)
	term := h.consensus.replica.Term() + 1
	by.sendConsensus(consensus.Message{Kind: consensus.PreVoteReply, Term: term, OK: true})
	by.sendConsensus(consensus.Message{Kind: consensus.VoteReply, Term: term, OK: true})
	h.g.Expect(h.consensus.leads()).To(BeTrue())
	h.confirmReads(by)
}

// confirmReads makes a peer acknowledge the complete log and the leader's newest read round.
func (h *testController) confirmReads(by *scriptedPeer) {
	round := uint64(0)
	for _, f := range by.received() {
		for _, m := range f.Consensus {
			round = max(round, m.ReadRound)
		}
	}
	by.sendConsensus(consensus.Message{Kind: consensus.AppendReply, Term: h.consensus.replica.Term(), OK: true, Index: h.consensus.replica.LastIndex(), ReadRound: round})
}

// followLeader delivers m as an append from a peer that leads in contact with a majority.
func (h *testController) followLeader(leader *scriptedPeer, term uint64, m consensus.Message) {
	m.Kind, m.Term, m.LeaderInContact = consensus.Append, term, true
	leader.sendConsensus(m)
}

// grantReplies returns the grant replies in the frames.
func grantReplies(frames []*peer.Frame) (replies []idempotency.GrantReply) {
	for _, f := range frames {
		for _, v := range f.GrantReplies {
			replies = append(replies, v.Reply)
		}
	}
	return replies
}

// learners returns the sorted identities of the replicas in the membership manager's view.
func (h *testController) learners() (identities []string) {
	for _, r := range h.members.view().Controllers {
		identities = append(identities, r.ID)
	}
	slices.Sort(identities)
	return identities
}
