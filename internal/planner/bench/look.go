package bench

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot/plotter"

	"mulleinwood/internal/planner/protocol"
)

const (
	roundIntervalMS = 100.0 // interval of the decision module's rounds
	warmupRounds    = 40    // rounds until the tables have converged
	measuredRounds  = 100   // rounds
	roundsPerDrain  = 5     // rounds between two drains
)

// RoundTimes contains the durations of decision rounds at one number of cores, in milliseconds. A round ends when the last
// core has decided and encoded its assignments.
type RoundTimes struct {
	Cores       int     `json:"cores"`
	OverMachine bool    `json:"over_machine"`
	P50         float64 `json:"look_ms_p50"`
	P99         float64 `json:"look_ms_p99"`
	Max         float64 `json:"look_ms_max"`
	JoinMax     float64 `json:"joining_ms_max"` // longest round while all proxies receive their complete tables
	Messages    int     `json:"messages"`
}

// RoundsResult is the result of MeasureRounds.
type RoundsResult struct {
	CPUs int `json:"machine_cores"`
	Fleet
	Rounds []RoundTimes `json:"looks"`
}

// MeasureRounds measures decision rounds without sockets. The routers and decision modules of all cores run concurrently
// while reports arrive and servers drain.
func MeasureRounds(f Fleet, coreCounts []int, progress func(string, ...any)) (RoundsResult, error) {
	debug.SetGCPercent(400) // the setting of a planner on several cores
	result := RoundsResult{CPUs: runtime.NumCPU(), Fleet: f}
	for _, n := range coreCounts {
		progress("%d cores: %d proxies x %d servers", n, f.Proxies, f.Servers)
		times, err := f.timeRounds(n)
		if err != nil {
			return result, err
		}
		result.Rounds = append(result.Rounds, times)
	}
	return result, nil
}

func (f Fleet) timeRounds(n int) (RoundTimes, error) {
	before := runtime.GOMAXPROCS(min(n, runtime.NumCPU()))
	defer runtime.GOMAXPROCS(before)
	var mu sync.Mutex
	messages := 0
	g, err := newGroup(f, n, func(_ int, o protocol.Assignment) {
		text, _ := o.Append(nil) // encoding is part of a round
		mu.Lock()
		messages += min(1, len(text))
		mu.Unlock()
	})
	if err != nil {
		return RoundTimes{}, err
	}
	streams := map[int]*proxyStream{}
	for p := range f.Proxies {
		if err := g.join(streams, p, proxyRate); err != nil {
			return RoundTimes{}, err
		}
	}
	times, joinMax := []float64{}, 0.0
	for round := range warmupRounds + measuredRounds {
		g.now += roundIntervalMS
		if round > warmupRounds && round%roundsPerDrain == 0 {
			at := round / roundsPerDrain % f.Servers
			g.changeMember(member(at, protocol.PhaseDraining, 0))
		}
		for p := round % 10; p < f.Proxies; p += 10 { // each proxy reports once a second
			for k, class := range classes {
				g.deliver(streams[p], protocol.UsageReport{Proxy: p, Class: class, Requests: float64(3 + (p+k)%9),
					Period: reportIntervalMS})
			}
			for _, token := range streams[p].tokens {
				g.deliver(streams[p], protocol.Ack{Proxy: p, Token: token, Elapsed: 5})
			}
			streams[p].tokens = nil
		}
		for i := round % 10; i < f.Servers; i += 10 {
			for _, zone := range zones {
				g.deliver(nil, protocol.ServerReport{Zone: zone, Server: fmt.Sprint("s-", i), Attempts: 20, Latency: 100 +
					float64(i*7%40), Period: reportIntervalMS})
			}
		}
		runtime.GC() // each round starts with the same heap; a collection during a round is still measured
		startedAt := time.Now()
		var group sync.WaitGroup
		errs := make([]error, n)
		for i, c := range g.cores {
			group.Go(func() { _, _, errs[i] = c.router.Advance(g.now) })
		}
		group.Wait()
		elapsed := float64(time.Since(startedAt)) / float64(time.Millisecond)
		for _, err := range errs {
			if err != nil {
				return RoundTimes{}, err
			}
		}
		if round < warmupRounds {
			joinMax = max(joinMax, elapsed)
		} else {
			times = append(times, elapsed)
		}
		if err := g.reportProgress(); err != nil {
			return RoundTimes{}, err
		}
	}
	slices.Sort(times)
	return RoundTimes{Cores: n, OverMachine: n > runtime.NumCPU(), P50: times[len(times)/2], P99: times[len(times)*99/100],
		Max:     times[len(times)-1],
		JoinMax: joinMax, Messages: messages}, nil
}

// WriteTable prints the round times as text.
func (r RoundsResult) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%d proxies x %d servers in this process, without sockets; machine with %d cores\n\n", r.Proxies,
		r.Servers, r.CPUs)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "cores\tlook ms p50\tp99\tmax\twhile all join, max\tmessages")
	for _, k := range r.Rounds {
		suffix := ""
		if k.OverMachine {
			suffix = " (over the machine's)"
		}
		fmt.Fprintf(table, "%d%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\n", k.Cores, suffix, k.P50, k.P99, k.Max, k.JoinMax, k.Messages)
	}
	return table.Flush()
}

// WritePlot draws the duration of a round against the number of cores.
func (r RoundsResult) WritePlot(file string) error {
	var p50, p99 plotter.XYs
	for _, k := range r.Rounds {
		p50 = append(p50, plotter.XY{X: float64(k.Cores), Y: k.P50})
		p99 = append(p99, plotter.XY{X: float64(k.Cores), Y: k.P99})
	}
	p, err := chart(fmt.Sprintf("A look at %d proxies x %d servers", r.Proxies, r.Servers), "ms",
		series{"p50", blue, p50, false}, series{"p99", red, p99, false})
	if err != nil {
		return err
	}
	return sideBySide(file, p)
}
