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
	batchLines        = 48 // reports in one batch
	writerCount       = 4
	waitTimeout       = 60 * time.Second
	drainInterval     = 250 * time.Millisecond
	drainsUntilReturn = 6 // number of drains after which a drained server returns as a restarted one
	maxLatencyMicros  = 60_000_000
)

// loadGenerator simulates the peers of one planner: proxies and collectors. Its auditor receives every message that they
// receive.
type loadGenerator struct {
	fleet      Fleet
	frontend   Frontend
	startedAt  time.Time
	discovery  *standin.Discovery
	proxies    []proxyPeer
	collectors []collectorPeer
	messages   atomic.Int64

	mu               sync.Mutex
	auditor          *audit.Auditor
	holders          map[string]map[int]bool // by server: the proxies whose table contains it
	drain            *drain
	lastProxyLatency *hdrhistogram.Histogram // from a drain's start until the last proxy has read its assignment, in microseconds
	proxyLatency     *hdrhistogram.Histogram // from a drain's start until a proxy has read its assignment, in microseconds
}

// drain is the drain whose latency is being measured.
type drain struct {
	server    string
	startedAt time.Time
	pending   map[int]bool
	done      chan struct{}
}

func newLoadGenerator(f Fleet, frontend Frontend, discovery *standin.Discovery) (*loadGenerator, error) {
	set, err := f.parsedSettings()
	if err != nil {
		return nil, err
	}
	lg := &loadGenerator{fleet: f, frontend: frontend, startedAt: time.Now(), discovery: discovery,
		holders: map[string]map[int]bool{}}
	lg.auditor = audit.New(set.Rules, 0)
	lg.reset()
	for _, m := range f.members() {
		lg.auditor.ServerChanged(0, audit.Server{Name: m.ID, State: rules.Ready, Size: 1})
	}
	return lg, nil
}

func (lg *loadGenerator) reset() {
	lg.lastProxyLatency, lg.proxyLatency = hdrhistogram.New(1, maxLatencyMicros, 3), hdrhistogram.New(1, maxLatencyMicros, 3)
}

func (lg *loadGenerator) now() float64 {
	return float64(time.Since(lg.startedAt)) / float64(time.Millisecond)
}

// join connects all proxies and collectors and waits until each proxy has a complete table.
func (lg *loadGenerator) join(planner string) error {
	rng := rand.New(rand.NewPCG(lg.fleet.Seed, 3))
	for i := range lg.fleet.Proxies {
		lg.mu.Lock()
		lg.auditor.ProxyJoined(lg.now(), i, proxyRate)
		lg.mu.Unlock()
		p, err := lg.joinProxy(planner, i, rng)
		if err != nil {
			return fmt.Errorf("proxy %d of %d cannot join (out of file descriptors or ports?): %w", i, lg.fleet.Proxies, err)
		}
		lg.proxies = append(lg.proxies, p)
	}
	for w := range writerCount {
		c, err := lg.joinCollector(planner, w, rng)
		if err != nil {
			return fmt.Errorf("collector cannot join: %w", err)
		}
		lg.collectors = append(lg.collectors, c)
	}
	deadline := time.Now().Add(waitTimeout)
	for i, p := range lg.proxies {
		for {
			state := p.State()
			if state.Replaced > 0 {
				break
			}
			if state.Closed != nil {
				return fmt.Errorf("proxy %d: %w", i, state.Closed)
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("proxy %d has no table after %v", i, waitTimeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (lg *loadGenerator) close() {
	for _, p := range lg.proxies {
		p.Close()
	}
	for _, c := range lg.collectors {
		c.Close()
	}
}

// recordLineMessage records a message of the line protocol that a proxy has read and applied.
func (lg *loadGenerator) recordLineMessage(proxy int, parts []standin.Order) {
	at := time.Now()
	o := audit.Order{Rows: map[string]float64{}, Retries: map[int]rules.Retry{}, Lines: messageHeaderLines}
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
	lg.recordMessage(at, proxy, o)
}

// recordMessage passes a message that a proxy has read and applied to the auditor, and updates the latency of the drain
// in progress.
func (lg *loadGenerator) recordMessage(at time.Time, proxy int, o audit.Order) {
	lg.messages.Add(1)
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.auditor.OrderReceived(lg.now(), proxy, o)
	if o.Replace {
		for _, holders := range lg.holders {
			delete(holders, proxy)
		}
	}
	for name, weight := range o.Rows {
		switch {
		case weight == 0:
			delete(lg.holders[name], proxy)
		case lg.holders[name] == nil:
			lg.holders[name] = map[int]bool{proxy: true}
		default:
			lg.holders[name][proxy] = true
		}
	}
	if d := lg.drain; d != nil && d.pending[proxy] && !lg.holders[d.server][proxy] {
		delete(d.pending, proxy)
		lg.proxyLatency.RecordValue(at.Sub(d.startedAt).Microseconds())
		if len(d.pending) == 0 {
			lg.lastProxyLatency.RecordValue(at.Sub(d.startedAt).Microseconds())
			lg.drain = nil
			close(d.done)
		}
	}
}

// changeServer sets the phase of server i in discovery and the auditor. A zero since means that the server did not restart.
func (lg *loadGenerator) changeServer(i int, phase string, since time.Time) {
	at, state := 0.0, rules.Ready
	if phase != protocol.PhaseUp {
		state = rules.Draining
	}
	entry := audit.Server{Name: fmt.Sprintf("s-%d", i), State: state, Size: 1}
	if !since.IsZero() {
		at = float64(since.UnixMicro()) / 1000
		entry.StartedAt = float64(since.Sub(lg.startedAt)) / float64(time.Millisecond)
	}
	lg.mu.Lock()
	lg.auditor.ServerChanged(lg.now(), entry)
	lg.mu.Unlock()
	lg.discovery.Change(member(i, phase, at))
}

// sendReports makes all peers write reports for the time span, with the deployment's ratio of server reports to usage
// reports. The rate is the total per second; 0 means as fast as the planner reads. It returns the number of reports that
// the planner has handled and the time taken.
func (lg *loadGenerator) sendReports(rate float64, span time.Duration) (events float64, took time.Duration, err error) {
	startedAt := time.Now()
	end := startedAt.Add(span)
	usageReports := float64(lg.fleet.Proxies * len(classes))
	serverReportsPerUsage := float64(lg.fleet.Servers*len(zones)) / usageReports
	var sent atomic.Int64
	var group sync.WaitGroup
	failed := make(chan error, writerCount)
	for w := range writerCount {
		group.Go(func() {
			pendingReports := 0.0 // server reports due but not yet written
			for time.Now().Before(end) {
				for i := w; i < len(lg.proxies); i += writerCount {
					if ahead := float64(sent.Load())/max(1e-9, rate) - time.Since(startedAt).Seconds(); rate > 0 && ahead > 0 {
						time.Sleep(time.Duration(ahead * float64(time.Second)))
					}
					if !time.Now().Before(end) {
						break
					}
					n, err := lg.proxies[i].sendBatch()
					if err != nil {
						failed <- fmt.Errorf("proxy %d: %w", i, err)
						return
					}
					sent.Add(int64(n))
					pendingReports += serverReportsPerUsage * float64(n)
					for n := 0; pendingReports >= 1 && n < 2; n++ { // at most two messages per proxy batch
						n, err := lg.collectors[w].sendReports(int(pendingReports))
						if err != nil {
							failed <- fmt.Errorf("collector: %w", err)
							return
						}
						sent.Add(int64(n))
						pendingReports -= float64(n)
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
	if err := lg.awaitProcessed(); err != nil { // reports in socket buffers count, and so does the time to handle them
		return 0, 0, err
	}
	return float64(sent.Load()), time.Since(startedAt), nil
}

// awaitProcessed waits until the planner has handled all reports that the proxies have written.
func (lg *loadGenerator) awaitProcessed() error {
	for i, p := range lg.proxies {
		if err := p.requestSync(); err != nil {
			return fmt.Errorf("proxy %d: %w", i, err)
		}
	}
	for i, p := range lg.proxies {
		if err := p.awaitSync(); err != nil {
			return fmt.Errorf("proxy %d: %w", i, err)
		}
	}
	return nil
}

// lineRun is a run of complete lines.
type lineRun struct {
	text  []byte
	count int
}

// nextLines returns up to limit lines of text from offset on and advances the offset. At the end of the text it starts
// again at the beginning.
func nextLines(text []byte, offset *int, limit int) lineRun {
	if *offset >= len(text) {
		*offset = 0
	}
	from, n, i := *offset, 0, *offset
	for ; i < len(text) && n < limit; i++ {
		if text[i] == '\n' {
			n++
		}
	}
	*offset = i
	return lineRun{text[from:i], n}
}

// runDrains marks one server after another as draining and measures the time until the last proxy has read the assignment
// that removes it. Each server returns later as a restarted one. It runs until end is closed.
func (lg *loadGenerator) runDrains(end <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(drainInterval):
		}
		at := n % lg.fleet.Servers
		d := &drain{server: fmt.Sprintf("s-%d", at), pending: map[int]bool{}, done: make(chan struct{})}
		lg.mu.Lock()
		for proxy := range lg.holders[d.server] {
			d.pending[proxy] = true
		}
		timed := len(d.pending) > 0
		if timed {
			d.startedAt = time.Now()
			lg.drain = d
		}
		lg.mu.Unlock()
		lg.changeServer(at, protocol.PhaseDraining, time.Time{})
		if timed {
			select {
			case <-d.done:
			case <-time.After(waitTimeout):
			case <-end:
				return
			}
		}
		if n >= drainsUntilReturn {
			lg.changeServer((n-drainsUntilReturn)%lg.fleet.Servers, protocol.PhaseUp, time.Now())
		}
	}
}

// runAudit ticks the auditor every 100 ms until end is closed.
func (lg *loadGenerator) runAudit(end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(100 * time.Millisecond):
			lg.mu.Lock()
			lg.auditor.Tick(lg.now())
			lg.mu.Unlock()
		}
	}
}
