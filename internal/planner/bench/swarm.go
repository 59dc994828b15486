package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinwood/internal/planner/audit"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/rules"
)

const (
	batchLines = 48 // of one write of a peer that floods
	writers    = 4
	patience   = 60 * time.Second
	drainEvery = 250 * time.Millisecond
	backAfter  = 6 // drains until a drained server comes back, started anew
	maxLatency = 60_000_000
)

// loadGenerator is the peers of one planner, with an auditor that sees what they see.
type loadGenerator struct {
	fleet     Fleet
	front     Frontend
	begun     time.Time
	discovery *standin.Discovery
	proxies   []proxyPeer
	tellers   []teller
	messages  atomic.Int64

	mu      sync.Mutex
	auditor *audit.Auditor
	holders map[string]map[int]bool // proxies whose table holds a server
	drain   *drain
	whole   *hdrhistogram.Histogram // from a drain told to the last proxy's order read, in microseconds
	each    *hdrhistogram.Histogram // to each proxy's
}

// drain is the one that is being timed.
type drain struct {
	server string
	told   time.Time
	left   map[int]bool
	over   chan struct{}
}

func newLoadGenerator(f Fleet, front Frontend, discovery *standin.Discovery) (*loadGenerator, error) {
	set, err := f.parsed()
	if err != nil {
		return nil, err
	}
	s := &loadGenerator{fleet: f, front: front, begun: time.Now(), discovery: discovery, holders: map[string]map[int]bool{}}
	s.auditor = audit.New(set.Rules, 0)
	s.reset()
	for _, m := range f.members() {
		s.auditor.ServerChanged(0, audit.Server{Name: m.ID, State: rules.Ready, Size: 1})
	}
	return s, nil
}

func (s *loadGenerator) reset() {
	s.whole, s.each = hdrhistogram.New(1, maxLatency, 3), hdrhistogram.New(1, maxLatency, 3)
}

func (s *loadGenerator) now() float64 {
	return float64(time.Since(s.begun)) / float64(time.Millisecond)
}

// join lets every proxy and the collectors join, and waits until each proxy has a whole table.
func (s *loadGenerator) join(planner string) error {
	rng := rand.New(rand.NewPCG(s.fleet.Seed, 3))
	for i := range s.fleet.Proxies {
		s.mu.Lock()
		s.auditor.ProxyJoined(s.now(), i, proxyRate)
		s.mu.Unlock()
		p, err := s.proxy(planner, i, rng)
		if err != nil {
			return fmt.Errorf("proxy %d of %d can't join (descriptors or ports are used up?): %w", i, s.fleet.Proxies, err)
		}
		s.proxies = append(s.proxies, p)
	}
	for w := range writers {
		c, err := s.collector(planner, w, rng)
		if err != nil {
			return fmt.Errorf("a collector can't join: %w", err)
		}
		s.tellers = append(s.tellers, c)
	}
	deadline := time.Now().Add(patience)
	for i, p := range s.proxies {
		for {
			state := p.State()
			if state.Replaced > 0 {
				break
			}
			if state.Closed != nil {
				return fmt.Errorf("proxy %d: %w", i, state.Closed)
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("proxy %d has no table after %v", i, patience)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (s *loadGenerator) close() {
	for _, p := range s.proxies {
		p.Close()
	}
	for _, c := range s.tellers {
		c.Close()
	}
}

// took is a message that a proxy has read and applied.
func (s *loadGenerator) took(proxy int, parts []standin.Order) {
	at := time.Now()
	o := audit.Order{Rows: map[string]float64{}, Retries: map[int]rules.Retry{}, Lines: headOfMessage}
	for _, part := range parts {
		o.Replace = o.Replace || part.Replace
		for _, r := range part.Rows {
			o.Rows[r.Server] = r.Weight
		}
		o.Drop, o.Undrop = append(o.Drop, part.Exclude...), append(o.Undrop, part.Include...)
		if part.Retry != nil {
			for k, class := range classes {
				if len(part.Classes) == 0 || slices.Contains(part.Classes, class) {
					o.Retries[k] = rules.Retry(*part.Retry)
				}
			}
		}
		o.Lines += float64(part.Lines())
	}
	s.read(at, proxy, o)
}

// read notes a message that a proxy has read and applied.
func (s *loadGenerator) read(at time.Time, proxy int, o audit.Order) {
	s.messages.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.auditor.OrderReceived(s.now(), proxy, o)
	if o.Replace {
		for _, holders := range s.holders {
			delete(holders, proxy)
		}
	}
	for name, weight := range o.Rows {
		switch {
		case weight == 0:
			delete(s.holders[name], proxy)
		case s.holders[name] == nil:
			s.holders[name] = map[int]bool{proxy: true}
		default:
			s.holders[name][proxy] = true
		}
	}
	if d := s.drain; d != nil && d.left[proxy] && !s.holders[d.server][proxy] {
		delete(d.left, proxy)
		s.each.RecordValue(at.Sub(d.told).Microseconds())
		if len(d.left) == 0 {
			s.whole.RecordValue(at.Sub(d.told).Microseconds())
			s.drain = nil
			close(d.over)
		}
	}
}

// change tells discovery and the auditor of a server.
func (s *loadGenerator) change(i int, phase string, since time.Time) {
	at, state := 0.0, rules.Ready
	if phase != protocol.PhaseUp {
		state = rules.Draining
	}
	entry := audit.Server{Name: fmt.Sprintf("s-%d", i), State: state, Size: 1}
	if !since.IsZero() {
		at = float64(since.UnixMicro()) / 1000
		entry.StartedAt = float64(since.Sub(s.begun)) / float64(time.Millisecond)
	}
	s.mu.Lock()
	s.auditor.ServerChanged(s.now(), entry)
	s.mu.Unlock()
	s.discovery.Change(member(i, phase, at))
}

// flood has every peer write reports in the deployment's own proportion until a time, at a rate of so many a second; 0: as
// fast as they are taken. It returns how many the planner has handled, and how long that took.
func (s *loadGenerator) flood(rate float64, span time.Duration) (events float64, took time.Duration, err error) {
	begun := time.Now()
	end := begun.Add(span)
	usage := float64(s.fleet.Proxies * len(classes))
	part := float64(s.fleet.Servers*len(zones)) / usage // server reports to each usage report
	var sent atomic.Int64
	var group sync.WaitGroup
	failed := make(chan error, writers)
	for w := range writers {
		group.Go(func() {
			owed := 0.0 // server reports
			for time.Now().Before(end) {
				for i := w; i < len(s.proxies); i += writers {
					if ahead := float64(sent.Load())/max(1e-9, rate) - time.Since(begun).Seconds(); rate > 0 && ahead > 0 {
						time.Sleep(time.Duration(ahead * float64(time.Second)))
					}
					if !time.Now().Before(end) {
						break
					}
					n, err := s.proxies[i].flood()
					if err != nil {
						failed <- fmt.Errorf("proxy %d: %w", i, err)
						return
					}
					sent.Add(int64(n))
					owed += part * float64(n)
					for n := 0; owed >= 1 && n < 2; n++ { // at most two messages at a time
						n, err := s.tellers[w].tell(int(owed))
						if err != nil {
							failed <- fmt.Errorf("a collector: %w", err)
							return
						}
						sent.Add(int64(n))
						owed -= float64(n)
					}
				}
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return 0, 0, err
	default:
	}
	if err := s.settle(); err != nil { // what is in the sockets still counts, and so does its time
		return 0, 0, err
	}
	return float64(sent.Load()), time.Since(begun), nil
}

// settle waits until all that was written before has been taken.
func (s *loadGenerator) settle() error {
	for i, p := range s.proxies {
		if err := p.ask(); err != nil {
			return fmt.Errorf("proxy %d: %w", i, err)
		}
	}
	for i, p := range s.proxies {
		if err := p.await(); err != nil {
			return fmt.Errorf("proxy %d: %w", i, err)
		}
	}
	return nil
}

// cut is a run of whole lines.
type cut struct {
	text  []byte
	count int
}

// nthLines returns up to so many lines from a place of a text on, which it moves on, round and round.
func nthLines(text []byte, at *int, most int) cut {
	if *at >= len(text) {
		*at = 0
	}
	from, n, i := *at, 0, *at
	for ; i < len(text) && n < most; i++ {
		if text[i] == '\n' {
			n++
		}
	}
	*at = i
	return cut{text[from:i], n}
}

// drains marks a server every while as draining, times until the last proxy has read the order that takes it out, and lets
// the server come back later, started anew. It goes on until told to end.
func (s *loadGenerator) drains(end <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(drainEvery):
		}
		at := n % s.fleet.Servers
		d := &drain{server: fmt.Sprintf("s-%d", at), left: map[int]bool{}, over: make(chan struct{})}
		s.mu.Lock()
		for proxy := range s.holders[d.server] {
			d.left[proxy] = true
		}
		timed := len(d.left) > 0
		if timed {
			d.told = time.Now()
			s.drain = d
		}
		s.mu.Unlock()
		s.change(at, protocol.PhaseDraining, time.Time{})
		if timed {
			select {
			case <-d.over:
			case <-time.After(patience):
			case <-end:
				return
			}
		}
		if n >= backAfter {
			s.change((n-backAfter)%s.fleet.Servers, protocol.PhaseUp, time.Now())
		}
	}
}

// audit lets the auditor look every tenth of a second until told to end.
func (s *loadGenerator) audit(end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(100 * time.Millisecond):
			s.mu.Lock()
			s.auditor.Tick(s.now())
			s.mu.Unlock()
		}
	}
}
