package bench

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinwood/internal/planner/audit"
	"mulleinwood/internal/planner/standin"
)

// Plan says what `bench cores` measures.
type Plan struct {
	Fleet
	Cores     []int
	Frontends []Frontend // none: lines
	Seconds   float64    // of each phase
	Command   []string   // that runs a planner
	Progress  func(format string, args ...any)
}

// Quantiles are of times in milliseconds.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(99), at(99.9), float64(h.Max()) / 1000, h.TotalCount()}
}

// Run is what was measured at one number of cores.
type Run struct {
	Cores          int               `json:"cores"`
	Frontend       Frontend          `json:"front"`
	OverMachine    bool              `json:"over_machine"` // more than the machine has
	JoinMS         float64           `json:"join_ms"`      // until every proxy has its whole table
	EventsPerS     float64           `json:"events_per_s"`
	OrdersPerS     float64           `json:"orders_per_s"` // messages to proxies, while events saturate
	CPUAtFull      float64           `json:"cpu_at_full"`  // processors
	CPUPerEvent    float64           `json:"cpu_us_per_event"`
	HalfRate       float64           `json:"half_events_per_s"` // half of what one core handles: the load of what follows
	CPUAtHalf      float64           `json:"cpu_at_half"`
	Drain          Quantiles         `json:"drain_ms"` // from a drain told to the last proxy's order read
	Order          Quantiles         `json:"order_ms"` // to each proxy's
	KiBPerStream   float64           `json:"kib_per_stream"`
	MemoryMB       float64           `json:"memory_mb"`
	MaxQueueLines  float64           `json:"queue_lines_most"`
	QueueLimit     float64           `json:"queue_lines_limit"`
	MaxDrainMillis float64           `json:"audit_drain_ms_most"`
	ViolationCount int               `json:"breaks"`
	Violations     []audit.Violation `json:"broken,omitempty"`
}

// Result is all that was measured.
type Result struct {
	Machine string `json:"machine"`
	CPUs    int    `json:"machine_cores"`
	Fleet
	Seconds float64 `json:"seconds"`
	Runs    []Run   `json:"runs"`
}

// spareFiles are descriptors beyond one a stream, of either side.
const spareFiles = 128

// checkFiles says what is missing if descriptors don't suffice.
func checkFiles(need int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < uint64(need) {
		return fmt.Errorf("%d descriptors are needed, the limit is %d (ulimit -n); fewer --proxies need fewer", need, limit.Cur)
	}
	return nil
}

// Measure runs the plan.
func (p Plan) Measure(ctx context.Context) (Result, error) {
	result := Result{Machine: runtime.GOOS + "/" + runtime.GOARCH, CPUs: runtime.NumCPU(), Fleet: p.Fleet, Seconds: p.Seconds}
	if err := checkFiles(p.Proxies + spareFiles); err != nil {
		return result, err
	}
	half := 0.0
	for _, n := range p.Cores {
		for _, front := range p.fronts() {
			p.Progress("%d cores, %s: %d proxies join", n, front, p.Proxies)
			run, err := p.one(ctx, n, front, &half)
			if err != nil {
				return result, fmt.Errorf("%d cores, %s: %w", n, front, err)
			}
			result.Runs = append(result.Runs, run)
		}
	}
	return result, nil
}

func (p Plan) fronts() []Frontend {
	if len(p.Frontends) == 0 {
		return []Frontend{Lines}
	}
	return p.Frontends
}

func (p Plan) one(ctx context.Context, n int, front Frontend, half *float64) (run Run, err error) {
	discovery, err := standin.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return run, err
	}
	defer discovery.Close()
	discovery.Change(p.members()...)
	planner, err := p.start(ctx, p.Command, discovery.Addr(), n, p.Proxies+spareFiles, front != Lines)
	if err != nil {
		return run, err
	}
	defer func() {
		if stop := planner.Stop(); err == nil {
			err = stop
		}
	}()
	swarm, err := newLoadGenerator(p.Fleet, front, discovery)
	if err != nil {
		return run, err
	}
	defer swarm.close()
	end := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(end)
	group.Go(func() { swarm.audit(end) })

	before, err := planner.usage()
	if err != nil {
		return run, err
	}
	begun := time.Now()
	if err := swarm.join(planner.Address); err != nil {
		return run, err
	}
	joined, err := planner.usage()
	if err != nil {
		return run, err
	}
	run = Run{Cores: n, Frontend: front, OverMachine: n > runtime.NumCPU(),
		JoinMS:       float64(time.Since(begun)) / float64(time.Millisecond),
		KiBPerStream: (joined.memory - before.memory) / float64(p.Proxies), QueueLimit: queueOfProxy * float64(p.Proxies)}

	drained := make(chan struct{})
	var drains sync.WaitGroup
	drains.Go(func() { swarm.drains(drained) })
	defer func() {
		close(drained)
		drains.Wait()
	}()
	span := time.Duration(p.Seconds * float64(time.Second))
	p.Progress("%d cores: as many events as they take", n)
	used, messages := joined, swarm.messages.Load()
	events, took, err := swarm.flood(0, span)
	if err != nil {
		return run, err
	}
	after, err := planner.usage()
	if err != nil {
		return run, err
	}
	run.EventsPerS, run.OrdersPerS = events/took.Seconds(), float64(swarm.messages.Load()-messages)/took.Seconds()
	run.CPUAtFull = (after.cpu - used.cpu) / took.Seconds()
	run.CPUPerEvent = (after.cpu - used.cpu) / events * 1e6
	if *half == 0 {
		*half = run.EventsPerS / 2 / float64(n)
	}
	run.HalfRate = *half
	p.Progress("%d cores: %.0f events a second; now %.0f", n, run.EventsPerS, *half)
	swarm.mu.Lock()
	swarm.reset()
	swarm.mu.Unlock()
	if _, took, err = swarm.flood(*half, span); err != nil {
		return run, err
	}
	last, err := planner.usage()
	if err != nil {
		return run, err
	}
	run.CPUAtHalf, run.MemoryMB = (last.cpu-after.cpu)/took.Seconds(), last.memory/1024
	swarm.mu.Lock()
	defer swarm.mu.Unlock()
	run.Drain, run.Order = quantiles(swarm.whole), quantiles(swarm.each)
	run.Violations, run.MaxQueueLines, run.MaxDrainMillis = swarm.auditor.Violations(), swarm.auditor.Peak.QueueLines, swarm.auditor.Peak.DrainMillis
	run.ViolationCount = len(run.Violations)
	run.Violations = run.Violations[:min(len(run.Violations), 10)]
	return run, nil
}
