package program

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/cores"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// coreModule is a module that can run on one of several cores of a planner.
type coreModule interface {
	routing.Stepper
	OwnLoad() (own rules.Part, waiting float64)
}

// coreRun is one incarnation of a core: a goroutine that owns a router and its module.
type coreRun struct {
	index, incarnation int
	inbox              *inbox
	report             atomic.Pointer[cores.CoreReport] // made after the latest round; nil once the supervisor has taken it
	cancel             context.CancelFunc
	ended              chan struct{} // closed when the goroutine has ended
}

// startCore starts an incarnation with the complete list as of the epoch. onEnd is called when its goroutine returns, with the
// error if it failed.
func startCore(ctx context.Context, index, incarnation int, set settings.Settings, module coreModule, calls routing.Calls,
	known protocol.List, epoch uint64, now func() float64, log zerolog.Logger, onEnd func(error)) *coreRun {
	ctx, cancel := context.WithCancel(ctx)
	c := &coreRun{index: index, incarnation: incarnation, inbox: newInbox(), cancel: cancel, ended: make(chan struct{})}
	router := routing.NewHosted(set, module, calls, known, epoch, log)
	go func() {
		defer close(c.ended)
		defer cancel()
		onEnd(c.run(ctx, router, module, now, set.Granularity))
	}()
	return c
}

// run advances the router until ctx is done. A panic of the module is returned as an error.
func (c *coreRun) run(ctx context.Context, router *routing.Router, module coreModule, now func() float64,
	granularity float64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var control, reports []routing.Event
	rounds := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.inbox.wake:
		}
		control, reports = c.inbox.drain(control, reports)
		for _, e := range control {
			router.Handle(e)
		}
		for _, e := range reports {
			router.Handle(e)
		}
		next, hasNext, err := router.Advance(alignToGrid(now(), granularity))
		if err != nil {
			return err
		}
		if p := router.Progress(); p.Rounds != rounds {
			rounds = p.Rounds
			own, waiting := module.OwnLoad()
			c.report.Store(&cores.CoreReport{SeenEpoch: p.SeenEpoch, AppliedEpoch: p.AppliedEpoch, ShareNumber: p.ShareNumber,
				QueuedLines: waiting, JoinedProxies: own.JoinedProxies, TypicalRates: own.TypicalRates, Demands: own.Demands})
		}
		if hasNext {
			timer.Reset(time.Duration((next - now()) * float64(time.Millisecond)))
		} else {
			timer.Stop()
		}
	}
}

// coreCalls implements routing.Calls for one core. Discovery calls do nothing, since the supervisor follows discovery for all
// cores; probes are shared.
type coreCalls struct {
	core   func() *coreRun
	probes *sharedProbes
}

func (coreCalls) Watch(uint64, int64) {}
func (coreCalls) Fetch(uint64)        {}
func (coreCalls) Cancel(uint64)       {}
func (coreCalls) SetDiscovery(string) {}

// Probe implements routing.Calls.
func (c coreCalls) Probe(server rules.ServerID, address string, load bool) {
	c.probes.request(c.core(), server, address, load)
}

// sharedProbes sends each probe once for all cores that request it. It is safe for concurrent use.
type sharedProbes struct {
	now   func() float64
	probe func(address string, load bool, then func(routing.Probed))

	mu       sync.Mutex
	requests cores.Probes
	waiting  map[string]map[int]probeRequest // by address, then core index
	last     map[string]routing.Probed
}

// probeRequest is a core's request for the result of a probe. The server is the core's own number for the address.
type probeRequest struct {
	core   *coreRun
	server rules.ServerID
}

func (p *sharedProbes) request(core *coreRun, server rules.ServerID, address string, load bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[address] == nil {
		p.waiting[address] = map[int]probeRequest{}
	}
	p.waiting[address][core.index] = probeRequest{core, server}
	start, repeat := p.requests.Request(p.now(), address, core.index)
	if repeat {
		p.deliver(address, core.index, p.last[address])
	}
	if start {
		p.probe(address, load, func(result routing.Probed) { p.handleResult(address, result) })
	}
}

func (p *sharedProbes) handleResult(address string, result routing.Probed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last[address] = result
	for _, core := range p.requests.Complete(address) {
		p.deliver(address, core, result)
	}
	for known := range p.last {
		if !p.requests.Known(known) {
			delete(p.last, known)
			delete(p.waiting, known)
		}
	}
}

// deliver sends a core the result under the core's own number for the server. The caller must hold mu.
func (p *sharedProbes) deliver(address string, core int, result routing.Probed) {
	request := p.waiting[address][core]
	result.Server = request.server
	request.core.inbox.postControl(result)
}
