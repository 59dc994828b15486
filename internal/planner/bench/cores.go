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

// spareDescriptors are descriptors beyond one a stream, of either side.
const spareDescriptors = 128

// checkDescriptorLimit says what is missing if descriptors don't suffice.
func checkDescriptorLimit(required int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < uint64(required) {
		return fmt.Errorf("%d descriptors are needed, the limit is %d (ulimit -n); fewer --proxies need fewer", required, limit.Cur)
	}
	return nil
}

// Measure runs the plan.
func (p Plan) Measure(ctx context.Context) (Result, error) {
	result := Result{Machine: runtime.GOOS + "/" + runtime.GOARCH, CPUs: runtime.NumCPU(), Fleet: p.Fleet, Seconds: p.Seconds}
	if err := checkDescriptorLimit(p.Proxies + spareDescriptors); err != nil {
		return result, err
	}
	halfRate := 0.0
	for _, n := range p.Cores {
		for _, frontend := range p.frontends() {
			p.Progress("%d cores, %s: %d proxies join", n, frontend, p.Proxies)
			run, err := p.measureRun(ctx, n, frontend, &halfRate)
			if err != nil {
				return result, fmt.Errorf("%d cores, %s: %w", n, frontend, err)
			}
			result.Runs = append(result.Runs, run)
		}
	}
	return result, nil
}

func (p Plan) frontends() []Frontend {
	if len(p.Frontends) == 0 {
		return []Frontend{Lines}
	}
	return p.Frontends
}

func (p Plan) measureRun(ctx context.Context, n int, frontend Frontend, halfRate *float64) (run Run, err error) {
	discovery, err := standin.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return run, err
	}
	defer discovery.Close()
	discovery.Change(p.members()...)
	planner, err := p.start(ctx, p.Command, discovery.Addr(), n, p.Proxies+spareDescriptors, frontend != Lines)
	if err != nil {
		return run, err
	}
	defer func() {
		if stop := planner.Stop(); err == nil {
			err = stop
		}
	}()
	generator, err := newLoadGenerator(p.Fleet, frontend, discovery)
	if err != nil {
		return run, err
	}
	defer generator.close()
	stopAudit := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stopAudit)
	group.Go(func() { generator.runAudit(stopAudit) })

	before, err := planner.usage()
	if err != nil {
		return run, err
	}
	startedAt := time.Now()
	if err := generator.join(planner.Address); err != nil {
		return run, err
	}
	joined, err := planner.usage()
	if err != nil {
		return run, err
	}
	run = Run{Cores: n, Frontend: frontend, OverMachine: n > runtime.NumCPU(),
		JoinMS:       float64(time.Since(startedAt)) / float64(time.Millisecond),
		KiBPerStream: (joined.memoryKiB - before.memoryKiB) / float64(p.Proxies), QueueLimit: queueLinesPerProxy * float64(p.Proxies)}

	stopDrains := make(chan struct{})
	var drains sync.WaitGroup
	drains.Go(func() { generator.runDrains(stopDrains) })
	defer func() {
		close(stopDrains)
		drains.Wait()
	}()
	span := time.Duration(p.Seconds * float64(time.Second))
	p.Progress("%d cores: as many events as they take", n)
	usageBefore, messages := joined, generator.messages.Load()
	events, took, err := generator.sendReports(0, span)
	if err != nil {
		return run, err
	}
	after, err := planner.usage()
	if err != nil {
		return run, err
	}
	run.EventsPerS, run.OrdersPerS = events/took.Seconds(), float64(generator.messages.Load()-messages)/took.Seconds()
	run.CPUAtFull = (after.cpuSeconds - usageBefore.cpuSeconds) / took.Seconds()
	run.CPUPerEvent = (after.cpuSeconds - usageBefore.cpuSeconds) / events * 1e6
	if *halfRate == 0 {
		*halfRate = run.EventsPerS / 2 / float64(n)
	}
	run.HalfRate = *halfRate
	p.Progress("%d cores: %.0f events a second; now %.0f", n, run.EventsPerS, *halfRate)
	generator.mu.Lock()
	generator.reset()
	generator.mu.Unlock()
	if _, took, err = generator.sendReports(*halfRate, span); err != nil {
		return run, err
	}
	last, err := planner.usage()
	if err != nil {
		return run, err
	}
	run.CPUAtHalf, run.MemoryMB = (last.cpuSeconds-after.cpuSeconds)/took.Seconds(), last.memoryKiB/1024
	generator.mu.Lock()
	defer generator.mu.Unlock()
	run.Drain, run.Order = quantiles(generator.lastProxyLatency), quantiles(generator.proxyLatency)
	run.Violations, run.MaxQueueLines, run.MaxDrainMillis = generator.auditor.Violations(), generator.auditor.Peak.QueueLines, generator.auditor.Peak.DrainMillis
	run.ViolationCount = len(run.Violations)
	run.Violations = run.Violations[:min(len(run.Violations), 10)]
	return run, nil
}
