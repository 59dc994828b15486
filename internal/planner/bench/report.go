package bench

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// WriteTable prints the runs as text.
func (r Result) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%d proxies, %d servers, seed %d; machine with %d cores, which the peers share; phases of %g s\n\n",
		r.Proxies, r.Servers, r.Seed, r.CPUs, r.Seconds)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table,
		"cores\tevents/s\torders/s\tCPU\tCPU µs/event\tat events/s\tCPU\tdrain ms p50\tp99\tp99.9\tmax\tKiB/stream\tMB\tqueue of limit\tbreaks")
	for _, n := range r.Runs {
		suffix := ""
		if n.OverMachine {
			suffix = " (over the machine's)"
		}
		fmt.Fprintf(table, "%d%s\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f of %.0f\t%d\n",
			n.Cores, suffix, n.EventsPerS,
			n.OrdersPerS, n.CPUAtFull, n.CPUPerEvent, n.HalfRate, n.CPUAtHalf, n.Drain.P50, n.Drain.P99, n.Drain.P999, n.Drain.Max,
			n.KiBPerStream, n.MemoryMB, n.MaxQueueLines, n.QueueLimit, n.ViolationCount)
	}
	return table.Flush()
}

// WriteJSON writes a result to a file as indented JSON.
func WriteJSON(file string, result any) error {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

var (
	blue = color.RGBA{R: 31, G: 84, B: 153, A: 255}
	red  = color.RGBA{R: 190, G: 60, B: 40, A: 255}
)

// WritePlot draws throughput and latency against the number of cores, side by side, as a PNG file.
func (r Result) WritePlot(file string) error {
	var rate, ideal, p50, p99 plotter.XYs
	for _, n := range r.Runs {
		x := float64(n.Cores)
		rate = append(rate, plotter.XY{X: x, Y: n.EventsPerS / 1000})
		ideal = append(ideal, plotter.XY{X: x, Y: r.Runs[0].EventsPerS / 1000 * min(x,
			float64(r.CPUs)) / float64(r.Runs[0].Cores)})
		p50 = append(p50, plotter.XY{X: x, Y: n.Drain.P50})
		p99 = append(p99, plotter.XY{X: x, Y: n.Drain.P99})
	}
	left, err := chart(fmt.Sprintf("Events handled (%d proxies, %d servers)", r.Proxies, r.Servers), "thousand a second",
		series{"measured", blue, rate, false}, series{"in proportion to the machine's cores", red, ideal, true})
	if err != nil {
		return err
	}
	right, err := chart("From a drain to the last proxy's order", "ms", series{"p50", blue, p50, false},
		series{"p99", red, p99, false})
	if err != nil {
		return err
	}
	return sideBySide(file, left, right)
}

// series is one line of a chart.
type series struct {
	name   string
	color  color.Color
	points plotter.XYs
	dashed bool
}

func chart(title, unit string, lines ...series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = title, "cores", unit, 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for _, s := range lines {
		line, points, err := plotter.NewLinePoints(s.points)
		if err != nil {
			return nil, err
		}
		line.Color, points.Color, points.Shape = s.color, s.color, draw.CircleGlyph{}
		if s.dashed {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(line, points)
		p.Legend.Add(s.name, line, points)
		for _, xy := range s.points {
			p.Y.Max = max(p.Y.Max, xy.Y*1.25)
		}
	}
	return p, nil
}

// sideBySide draws charts in one row and writes them to a PNG file.
func sideBySide(file string, charts ...*plot.Plot) error {
	const width, height = 13 * vg.Centimeter, 10 * vg.Centimeter
	if !strings.HasSuffix(file, ".png") {
		return fmt.Errorf("%s: plot file name must end in .png", file)
	}
	canvas := vgimg.New(width*vg.Length(len(charts)), height)
	for i, p := range charts {
		x := width * vg.Length(i)
		p.Draw(draw.Crop(draw.New(canvas), x, x+width-width*vg.Length(len(charts)), 0, 0))
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer out.Close()
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(out); err != nil {
		return err
	}
	return out.Close()
}
