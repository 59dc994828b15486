package program

import (
	"context"
	"fmt"
	"math"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/rules"
)

const (
	maxPendingEvents = 512 // capacity of the event queue, and so the most events buffered for one turn

	// joinTimeout is how long a connection may take to identify itself. The protocol allows closing it after one second.
	joinTimeout = time.Second

	logBurst  = 200 // most log lines within logPeriod; further lines are dropped
	logPeriod = 10 * time.Second
)

// StartError reports that the planner could not start, for a reason outside the program.
type StartError struct{ Err error }

// Error implements error.
func (e *StartError) Error() string { return e.Err.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *StartError) Unwrap() error { return e.Err }

// Run serves until ctx is done and then returns nil. It reloads the configuration on each signal from reloads.
func Run(ctx context.Context, c Config, log zerolog.Logger, reloads <-chan os.Signal) error {
	return run(ctx, c, func(core, incarnation int) coreModule {
		return rules.New(c.Settings.Rules, c.Seed+uint64(core)+uint64(incarnation-1)<<32)
	}, log, reloads, nil)
}

// run is Run with modules created by newModule, one for each incarnation of each core. If ready is set, it is called with the
// listening address.
func run(ctx context.Context, c Config, newModule func(core, incarnation int) coreModule, log zerolog.Logger,
	reloads <-chan os.Signal, ready func(string)) error {
	c.Limits.apply()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	certs, err := loadCertificates(c.Options.GRPC.TLS)
	if err != nil {
		return &StartError{err}
	}
	n, limitedBy := coreCount(c)
	if limitedBy != "" {
		log.Warn().Int("cores", n).Int("set", c.Options.Cores.Count).Str("by", limitedBy).Msg("fewer cores than set")
	}
	events := make(chan routing.Event, maxPendingEvents)
	post := func(e routing.Event) {
		select {
		case events <- e:
		case <-ctx.Done():
		}
	}
	var group sync.WaitGroup
	sampledLog := log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod})
	outgoing := &calls{ctx: ctx, discovery: c.Discovery, connectTimeout: c.Settings.MaxConnectTime, post: post, group: &group,
		probeSlots: make(chan struct{}, maxConcurrentProbes),
		prober:     &serverProber{connectTimeout: c.Settings.MaxConnectTime, allowGRPC: c.Options.GRPC.ProbeServers},
		log:        sampledLog, cancels: map[uint64]context.CancelFunc{}}
	var runRouting func() error
	if n == 1 {
		router := routing.New(c.Settings, newModule(0, 1), outgoing, c.Known, sampledLog)
		runRouting = func() error { return loop(ctx, router, events, c.Settings.Granularity) }
	} else {
		raiseGCPercent()
		s := newSupervisor(ctx, c, n, outgoing, newModule, sampledLog)
		post, outgoing.post = s.post, s.post
		runRouting = s.run
	}

	listener, err := transport.Listen(c.Listen, maxConns(c.Limits.Sockets),
		transport.NewBufferBudget(bufferBytes(c.Limits.MemoryMB)))
	if err != nil {
		return &StartError{fmt.Errorf("%s (or \"listen\" in the configuration): %w", envListen, err)}
	}
	listener.JoinTimeout = joinTimeout
	log.Info().Str("name", c.Name).Stringer("listen", listener.Addr()).Str("discovery", c.Discovery).
		Int64("revision", c.Known.Revision).Int("known", len(c.Known.Members)).Int("cores", n).Msg("planner starts")
	served := make(chan error, 1)
	handler := &peers{set: c.Settings, post: post, log: sampledLog, collectors: map[string]*transport.Conn{},
		problemCounts: map[string]int{}}
	if handler.updateVersions, err = newVersionTracker(c.Name, c.Options.Versions, c.onSent); err != nil {
		return &StartError{err}
	}
	if handler.updateVersions != nil {
		handler.updateVersions.openRecord(c.Options.Versions.Record, log)
		defer handler.updateVersions.close()
	}
	if c.Options.GRPC.Enabled {
		handler.frontend = newFrontend(ctx, c.Settings, c.Options.GRPC, handler, listener.Addr(), certs)
		listener.Handoff = handler.frontend.handOff
		group.Go(func() { handler.frontend.serve(ctx) })
	}
	group.Go(func() {
		served <- listener.Serve(ctx, handler)
		cancel()
	})
	group.Go(func() {
		reloader{config: c, listener: listener, certificates: certs, post: post, log: log}.serve(ctx, reloads)
	})
	if ready != nil {
		ready(listener.Addr().String())
	}
	err = runRouting()
	cancel()
	group.Wait()
	if serveErr := <-served; err == nil && serveErr != nil {
		err = fmt.Errorf("accepting: %w", serveErr)
	}
	return err
}

// loop owns the router. In each turn it handles the queued events, reads the clock once and advances the router.
func loop(ctx context.Context, router *routing.Router, events <-chan routing.Event, granularity float64) error {
	now := clock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case e := <-events:
			router.Handle(e)
			for n := len(events); n > 0; n-- {
				router.Handle(<-events)
			}
		}
		next, hasNext, err := router.Advance(alignToGrid(now(), granularity))
		if err != nil {
			return err
		}
		if hasNext {
			timer.Reset(time.Duration((next - now()) * float64(time.Millisecond)))
		} else {
			timer.Stop()
		}
	}
}

// alignToGrid rounds a time down to a multiple of the clock granularity; a granularity of 0 leaves it unchanged. It prevents
// drift: each timer fires a fraction of a millisecond late and the next one is counted from there, so the module, which steps
// at the reporting interval, would fall ever farther behind the reports.
func alignToGrid(now, granularity float64) float64 {
	if granularity <= 0 {
		return now
	}
	return math.Floor(now/granularity) * granularity
}

// clock returns a function that returns Unix time in milliseconds. It is monotonic: changes of the system clock don't affect it.
func clock() func() float64 {
	start := time.Now()
	base := float64(start.UnixMicro()) / 1000
	return func() float64 { return base + float64(time.Since(start))/float64(time.Millisecond) }
}

var _ transport.Handler = (*peers)(nil)
var _ routing.Calls = (*calls)(nil)
var _ routing.Peer = linePeer{}

// firstLine returns the first line of a text.
func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
