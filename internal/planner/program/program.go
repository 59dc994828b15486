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
	maxEvents = 512 // that may wait for routing, and that go into one turn

	// joinWithin is how long a connection may take to say who it is. The page lets it be closed after a second.
	joinWithin = time.Second

	logBurst  = 200 // lines of log that may come within logPeriod; others are left out
	logPeriod = 10 * time.Second
)

// StartError says that the planner could not begin, for a reason outside of it.
type StartError struct{ Err error }

// Error implements error.
func (e *StartError) Error() string { return e.Err.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *StartError) Unwrap() error { return e.Err }

// Run serves until ctx ends, which is no error. At each signal of reloads it reads the configuration again.
func Run(ctx context.Context, c Config, log zerolog.Logger, reloads <-chan os.Signal) error {
	return run(ctx, c, func(core, life int) sharer {
		return rules.New(c.Settings.Rules, c.Seed+uint64(core)+uint64(life-1)<<32)
	}, log, reloads, nil)
}

// run is Run with modules of the caller's, one for each incarnation of each core, and, if ready is set, the address
// once it is open.
func run(ctx context.Context, c Config, module func(core, incarnation int) sharer, log zerolog.Logger, reloads <-chan os.Signal,
	ready func(string)) error {
	c.Limits.apply()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keys, err := loadKeys(c.Options.GRPC.TLS)
	if err != nil {
		return &StartError{err}
	}
	n, cut := coreCount(c)
	if cut != "" {
		log.Warn().Int("cores", n).Int("set", c.Options.Cores.Count).Str("by", cut).Msg("fewer cores than set")
	}
	events := make(chan routing.Event, maxEvents)
	post := func(e routing.Event) {
		select {
		case events <- e:
		case <-ctx.Done():
		}
	}
	var group sync.WaitGroup
	bounded := log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod})
	asks := &calls{ctx: ctx, discovery: c.Discovery, connect: c.Settings.MaxConnectTime, post: post, group: &group,
		probes: make(chan struct{}, maxProbes), asker: &asker{connect: c.Settings.MaxConnectTime, both: c.Options.GRPC.ProbeServers},
		log: bounded, ends: map[uint64]context.CancelFunc{}}
	var decide func() error
	if n == 1 {
		router := routing.New(c.Settings, module(0, 1), asks, c.Known, bounded)
		decide = func() error { return loop(ctx, router, events, c.Settings.Granularity) }
	} else {
		collectLess()
		h := newSupervisor(ctx, c, n, asks, module, bounded)
		post, asks.post = h.post, h.post
		decide = h.run
	}

	listener, err := transport.Listen(c.Listen, connections(c.Limits.Sockets),
		transport.NewBufferBudget(buffers(c.Limits.MemoryMB)))
	if err != nil {
		return &StartError{fmt.Errorf("%s (or \"listen\" in the configuration): %w", envListen, err)}
	}
	listener.JoinTimeout = joinWithin
	log.Info().Str("name", c.Name).Stringer("listen", listener.Addr()).Str("discovery", c.Discovery).
		Int64("revision", c.Known.Revision).Int("known", len(c.Known.Members)).Int("cores", n).Msg("planner starts")
	served := make(chan error, 1)
	handler := &peers{set: c.Settings, post: post, log: bounded, collectors: map[string]*transport.Conn{},
		counts: map[string]int{}}
	if handler.versions, err = newVersions(c.Name, c.Options.Versions, c.sent); err != nil {
		return &StartError{err}
	}
	if handler.versions != nil {
		handler.versions.keep(c.Options.Versions.Record, log)
		defer handler.versions.close()
	}
	if c.Options.GRPC.Enabled {
		handler.front = newFrontend(ctx, c.Settings, c.Options.GRPC, handler, listener.Addr(), keys)
		listener.Handoff = handler.front.take
		group.Go(func() { handler.front.serve(ctx) })
	}
	group.Go(func() {
		served <- listener.Serve(ctx, handler)
		cancel()
	})
	group.Go(func() {
		reloader{config: c, listener: listener, keys: keys, post: post, log: log}.serve(ctx, reloads)
	})
	if ready != nil {
		ready(listener.Addr().String())
	}
	err = decide()
	cancel()
	group.Wait()
	if serveErr := <-served; err == nil && serveErr != nil {
		err = fmt.Errorf("accepting: %w", serveErr)
	}
	return err
}

// loop is the goroutine that owns the router: it gathers what waits, reads the clock once and takes a turn.
func loop(ctx context.Context, router *routing.Router, events <-chan routing.Event, granularity float64) error {
	now := clock()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-alarm.C:
		case e := <-events:
			router.Handle(e)
			for n := len(events); n > 0; n-- {
				router.Handle(<-events)
			}
		}
		next, wants, err := router.Advance(onGrid(now(), granularity))
		if err != nil {
			return err
		}
		if wants {
			alarm.Reset(time.Duration((next - now()) * float64(time.Millisecond)))
		} else {
			alarm.Stop()
		}
	}
}

// onGrid takes a time back to the last one that the settings' clock can show. Guards against looks that drift: a
// timer comes a fraction of a millisecond late, the next one is counted from there, and the module, which steps in
// the rhythm of the reports, falls ever farther behind them.
func onGrid(now, granularity float64) float64 {
	if granularity <= 0 {
		return now
	}
	return math.Floor(now/granularity) * granularity
}

// clock returns Unix time in milliseconds that goes on evenly, whatever is done to the system's clock.
func clock() func() float64 {
	start := time.Now()
	base := float64(start.UnixMicro()) / 1000
	return func() float64 { return base + float64(time.Since(start))/float64(time.Millisecond) }
}

var _ transport.Handler = (*peers)(nil)
var _ routing.Calls = (*calls)(nil)
var _ routing.Peer = linePeer{}

// firstLine is a text without what follows its first line.
func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
