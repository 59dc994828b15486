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

// Plan describes the measurements of `bench cores` and `bench fronts`.
type Plan struct {
	Fleet
	Cores     []int
	Frontends []Frontend // empty: only Lines
	Seconds   float64    // duration of each phase
	Command   []string   // command line that runs a planner
	Progress  func(format string, args ...any)
}

// Quantiles summarizes a distribution of times in milliseconds.
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

// Run is the result for one number of cores and one frontend.
type Run struct {
	Cores          int               `json:"cores"`
	Frontend       Frontend          `json:"front"`
	OverMachine    bool              `json:"over_machine"` // more cores than the machine has
	JoinMS         float64           `json:"join_ms"`      // until every proxy has its complete table
	EventsPerS     float64           `json:"events_per_s"`
	OrdersPerS     float64           `json:"orders_per_s"` // messages to proxies during saturation
	CPUAtFull      float64           `json:"cpu_at_full"`  // CPUs used during saturation
	CPUPerEvent    float64           `json:"cpu_us_per_event"`
	HalfRate       float64           `json:"half_events_per_s"` // half of one core; the load for CPUAtHalf, Drain, Order
	CPUAtHalf      float64           `json:"cpu_at_half"`
	Drain          Quantiles         `json:"drain_ms"` // from a drain's start until the last proxy has read its assignment
	Order          Quantiles         `json:"order_ms"` // from a drain's start until a proxy has read its assignment
	KiBPerStream   float64           `json:"kib_per_stream"`
	MemoryMB       float64           `json:"memory_mb"`
	MaxQueueLines  float64           `json:"queue_lines_most"`
	QueueLimit     float64           `json:"queue_lines_limit"`
	MaxDrainMillis float64           `json:"audit_drain_ms_most"`
	ViolationCount int               `json:"breaks"`
	Violations     []audit.Violation `json:"broken,omitempty"`
}

// Result contains all runs of a plan.
type Result struct {
	Machine string `json:"machine"`
	CPUs    int    `json:"machine_cores"`
	Fleet
	Seconds float64 `json:"seconds"`
	Runs    []Run   `json:"runs"`
}

// spareDescriptors is the number of file descriptors that each side needs in addition to one per stream.
const spareDescriptors = 128

// checkDescriptorLimit returns an error if the process may not open the required number of file descriptors.
func checkDescriptorLimit(required int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < uint64(required) {
		return fmt.Errorf("%d file descriptors are needed, the limit is %d (ulimit -n); reduce --proxies", required, limit.Cur)
	}
	return nil
}

// Measure runs the plan. It starts one planner for each number of cores and each frontend.
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
		KiBPerStream: (joined.memoryKiB - before.memoryKiB) / float64(p.Proxies),
		QueueLimit:   queueLinesPerProxy * float64(p.Proxies)}

	stopDrains := make(chan struct{})
	var drains sync.WaitGroup
	drains.Go(func() { generator.runDrains(stopDrains) })
	defer func() {
		close(stopDrains)
		drains.Wait()
	}()
	span := time.Duration(p.Seconds * float64(time.Second))
	p.Progress("%d cores: saturating the planner with events", n)
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
	p.Progress("%d cores: %.0f events/s; continuing at %.0f events/s", n, run.EventsPerS, *halfRate)
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
	run.Violations, run.MaxQueueLines, run.MaxDrainMillis = generator.auditor.Violations(),
		generator.auditor.Peak.QueueLines, generator.auditor.Peak.DrainMillis
	run.ViolationCount = len(run.Violations)
	run.Violations = run.Violations[:min(len(run.Violations), 10)]
	return run, nil
}
