package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Groups of processes that Quota.On accepts besides the name of a process.
const (
	onEdges       = "edges"
	onControllers = "controllers"
	onAll         = "all"
)

// Parameters of quotas.
const (
	// minQuotaPeriod far exceeds the delay of the ticker that applies a quota.
	minQuotaPeriod = 50 * time.Millisecond
	// platformPeriod is the quota period of the users' platform: full speed until the share is used up, then no CPU time for the
	// rest of the period.
	platformPeriod = 100 * time.Millisecond
	minDrawnShare  = 0.08
	maxDrawnShare  = 0.3
	// maxPlannedStop is the longest pause by a quota. A longer one counts as a fault, which excuses the process. Every pause of a
	// quota whose ticker is on time is shorter.
	maxPlannedStop = platformPeriod
)

// Quota limits processes to a share of a core: they run for that share of each period and are stopped for the rest.
type Quota struct {
	On      string  `toml:"on"` // name of a process, or "edges", "controllers" or "all"
	AtS     float64 `toml:"at_s"`
	ForS    float64 `toml:"for_s"`
	Share   float64 `toml:"share"`    // of each period; above 0 and below 1
	PeriodS float64 `toml:"period_s"` // seconds
}

// String returns the quota as it appears in reports.
func (q Quota) String() string {
	return fmt.Sprintf("%.2f of %.0f ms on %s from %.1f s for %.1f s", q.Share, q.PeriodS*1000, q.On, q.AtS, q.ForS)
}

// check rejects a quota that can't be applied.
func (q Quota) check(size Size) error {
	nodes := append(size.controllerNames(), size.edgeNames()...)
	switch {
	case !(q.Share > 0 && q.Share < 1):
		return fmt.Errorf("quota: a share of %g is not between 0 and 1", q.Share)
	case !(q.PeriodS >= minQuotaPeriod.Seconds()):
		return fmt.Errorf("quota: a period of %g s is below %g s, so the ticker's own lateness would show", q.PeriodS,
			minQuotaPeriod.Seconds())
	case !(q.AtS >= 0 && q.ForS > 0):
		return fmt.Errorf("quota: from %g s for %g s is no span", q.AtS, q.ForS)
	case !slices.Contains([]string{onEdges, onControllers, onAll}, q.On) && !slices.Contains(nodes, q.On):
		return fmt.Errorf("quota: there is no process %q", q.On)
	}
	return nil
}

// names returns the names of the processes to which the quota applies.
func (q Quota) names(size Size) []string {
	switch q.On {
	case onEdges:
		return size.edgeNames()
	case onControllers:
		return size.controllerNames()
	case onAll:
		return append(size.controllerNames(), size.edgeNames()...)
	}
	return []string{q.On}
}

// drawQuotas draws the quotas of a schedule by seed modulo 3: 0 has a quota on all edges for the whole run, sometimes on the
// controllers, too; 1 has one on all edges or a single edge for half of the run; 2 has none.
func drawQuotas(seed uint64, size Size) []Quota {
	random := rand.New(rand.NewPCG(seed, 2))
	q := Quota{On: onEdges, ForS: size.DurationSeconds, PeriodS: platformPeriod.Seconds(),
		Share: float64(int(100*(minDrawnShare+random.Float64()*(maxDrawnShare-minDrawnShare)))) / 100}
	switch seed % 3 {
	case 0:
		if random.IntN(4) == 0 {
			q.On = onAll
		}
	case 1:
		q.AtS = float64(int(size.DurationSeconds * random.Float64() / 2))
		q.ForS = float64(int(size.DurationSeconds / 2))
		if edges := size.edgeNames(); random.IntN(2) == 0 {
			q.On = edges[random.IntN(len(edges))]
		}
	default:
		return nil
	}
	return []Quota{q}
}

// ThrottledSpan is a pause of a process by its quota.
type ThrottledSpan struct {
	Node string
	At   time.Duration
	For  time.Duration
}

// throttle applies a quota to one process until ctx ends. phase offsets its periods from those of other processes.
func (s *supervisor) throttle(ctx context.Context, q Quota, phase time.Duration) {
	period := seconds(q.PeriodS)
	running := time.Duration(q.Share * float64(period))
	sleep(ctx, phase)
	for due := time.Now(); ctx.Err() == nil; due = due.Add(period) {
		if late := time.Since(due); late > period { // a missed period is skipped
			due = due.Add(late)
		}
		sleep(ctx, time.Until(due.Add(running)))
		process, ok := s.stopByQuota()
		stoppedAt := s.cluster.recorder.now()
		sleep(ctx, time.Until(due.Add(period)))
		if ok {
			s.resumeByQuota(process, stoppedAt)
		}
	}
}

// throttleSummary returns the number of pauses by quotas, the number of those over maxPlannedStop, and the longest pause.
func (r *Record) throttleSummary() string {
	longest, long := time.Duration(0), 0
	for _, p := range r.Throttled {
		longest = max(longest, p.For)
		if p.For > maxPlannedStop {
			long++
		}
	}
	return fmt.Sprintf("%d pauses, %d of them over %s, %s at most", len(r.Throttled), long, maxPlannedStop,
		longest.Round(time.Millisecond))
}

// longestThrottleAround returns the longest pause by a quota within delayWindow of at.
func (r *Record) longestThrottleAround(at time.Duration) (longest time.Duration) {
	for _, p := range r.Throttled {
		if p.At >= at-delayWindow && p.At <= at+delayWindow {
			longest = max(longest, p.For)
		}
	}
	return longest
}

// stopByQuota stops the process unless it has exited or a fault has suspended it. ok reports whether it was stopped.
func (s *supervisor) stopByQuota() (process quotaProcess, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended || s.process.CheckRunning() != nil {
		return nil, false
	}
	return s.process, s.process.Signal(syscall.SIGSTOP) == nil
}

// quotaProcess is a process that a quota stops and resumes.
type quotaProcess interface {
	CheckRunning() error
	Signal(signal syscall.Signal) error
}

// resumeByQuota resumes the process, unless a fault has suspended it meanwhile, and records the pause. A pause over
// maxPlannedStop is recorded as a fault, too.
func (s *supervisor) resumeByQuota(process quotaProcess, stoppedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended || process.CheckRunning() != nil {
		return
	}
	_ = process.Signal(syscall.SIGCONT) // the process may have been killed meanwhile
	now := s.cluster.recorder.now()
	s.cluster.recorder.add(func(all *Record) {
		all.Throttled = append(all.Throttled, ThrottledSpan{s.spec.Name, stoppedAt, now - stoppedAt})
	})
	if now-stoppedAt > maxPlannedStop {
		s.cluster.recorder.add(func(all *Record) {
			all.Processes = append(all.Processes, ProcessChange{stoppedAt, s.spec.Name, Suspended, "by its quota, for too long"},
				ProcessChange{now, s.spec.Name, Resumed, ""})
		})
	}
}

// startQuotas applies the schedule's quotas in the background. The returned function ends them and waits until all processes
// are resumed.
func (r *run) startQuotas(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	random := rand.New(rand.NewPCG(r.schedule.Seed, 3))
	for _, q := range r.schedule.Quotas {
		for _, name := range q.names(r.schedule.Size) {
			node, phase := r.cluster.node(name), time.Duration(random.Float64()*q.PeriodS*float64(time.Second))
			r.pendingQuotas.Go(func() {
				sleep(ctx, seconds(q.AtS))
				limited, end := context.WithTimeout(ctx, seconds(q.ForS))
				defer end()
				node.throttle(limited, q, phase)
			})
		}
	}
	return func() {
		cancel()
		r.pendingQuotas.Wait()
	}
}
