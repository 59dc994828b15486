package bench

import (
	"fmt"
	"image/color"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot/plotter"
)

// FrontendsResult is a result whose runs differ by frontend.
type FrontendsResult struct{ Result }

// find returns the run with the given number of cores and frontend, and whether there is one.
func (r FrontendsResult) find(cores int, frontend Frontend) (Run, bool) {
	for _, n := range r.Runs {
		if n.Cores == cores && n.Frontend == frontend {
			return n, true
		}
	}
	return Run{}, false
}

// WriteTable prints the runs as text, each with its ratio to the run of the line protocol.
func (r FrontendsResult) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%d proxies, %d servers, seed %d; machine with %d cores, which the peers share; phases of %g s\n\n",
		r.Proxies, r.Servers, r.Seed, r.CPUs, r.Seconds)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table,
		"cores\tfront\tevents/s\torders/s\tCPU µs/event\tof lines\tat events/s\tCPU\tdrain ms p50\tp99\tof lines\tKiB/stream\tMB\tbreaks")
	for _, n := range r.Runs {
		cpu, drain := "-", "-"
		if lines, known := r.find(n.Cores, Lines); known && n.Frontend != Lines {
			cpu, drain = fmt.Sprintf("%.2f", n.CPUPerEvent/lines.CPUPerEvent), fmt.Sprintf("%.2f", n.Drain.P99/lines.Drain.P99)
		}
		fmt.Fprintf(table, "%d\t%s\t%.0f\t%.0f\t%.2f\t%s\t%.0f\t%.2f\t%.0f\t%.0f\t%s\t%.1f\t%.0f\t%d\n", n.Cores,
			n.Frontend, n.EventsPerS, n.OrdersPerS, n.CPUPerEvent, cpu, n.HalfRate, n.CPUAtHalf, n.Drain.P50, n.Drain.P99, drain, n.KiBPerStream,
			n.MemoryMB, n.ViolationCount)
	}
	return table.Flush()
}

var green = color.RGBA{R: 60, G: 140, B: 70, A: 255}

// WritePlot draws throughput and latency against the number of cores, one line per frontend.
func (r FrontendsResult) WritePlot(file string) error {
	colors := map[Frontend]color.Color{Lines: blue, GRPC: red, Half: green}
	var rates, drains []series
	for _, frontend := range Frontends {
		var rate, p99 plotter.XYs
		for _, n := range r.Runs {
			if n.Frontend == frontend {
				rate = append(rate, plotter.XY{X: float64(n.Cores), Y: n.EventsPerS / 1000})
				p99 = append(p99, plotter.XY{X: float64(n.Cores), Y: n.Drain.P99})
			}
		}
		if len(rate) > 0 {
			rates = append(rates, series{string(frontend), colors[frontend], rate, false})
			drains = append(drains, series{string(frontend), colors[frontend], p99, false})
		}
	}
	left, err := chart(fmt.Sprintf("Events handled (%d proxies, %d servers)", r.Proxies, r.Servers), "thousand a second",
		rates...)
	if err != nil {
		return err
	}
	right, err := chart("From a drain to the last proxy's order, p99", "ms", drains...)
	if err != nil {
		return err
	}
	return sideBySide(file, left, right)
}
