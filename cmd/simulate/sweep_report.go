package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter

	// normal95 is the quantile of the normal distribution that a 95% interval reaches to.
	normal95 = 1.96
)

// confidenceInterval returns a mean and half the width of its 95% interval.
func confidenceInterval(values []float64) (mean, half float64) {
	count := float64(len(values))
	for _, value := range values {
		mean += value / count
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	if count > 1 {
		half = normal95 * math.Sqrt(squares/(count-1)/count)
	}
	return mean, half
}

// pairedDifference is how much higher a point's figures are than the first point's, seed by seed.
func pairedDifference(values, first []float64) (mean, half float64) {
	differences := make([]float64, len(values))
	for i := range values {
		differences[i] = values[i] - first[i]
	}
	return confidenceInterval(differences)
}

// writeSweepReport writes figures.csv, the plots and report.html, prints the figures, and fails if a rule was broken.
func writeSweepReport(dir, setting string, points []*sweepPoint) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	rows := sweepRows(setting, points)
	if err := writeCSV(filepath.Join(dir, "figures.csv"), rows); err != nil {
		return err
	}
	for name, figure := range map[string]func(*sweepPoint) float64{
		"served": func(point *sweepPoint) float64 { mean, _ := confidenceInterval(point.served); return mean },
		"p99":    func(point *sweepPoint) float64 { return point.quantileMs(99) },
	} {
		if err := plotSweep(filepath.Join(dir, name+".png"), setting, name, points, figure); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), []byte(sweepPage(setting, points, rows)), 0o644); err != nil {
		return err
	}
	for _, row := range rows {
		fmt.Println(strings.Join(row, "\t"))
	}
	for _, point := range points {
		if len(point.violations) > 0 {
			return fmt.Errorf("%s %s, %s", setting, point.label, point.violations[0])
		}
	}
	return nil
}

// sweepRows are the figures of all points, with a head.
func sweepRows(setting string, points []*sweepPoint) [][]string {
	rows := [][]string{{setting, "served", "served ±", "against first", "against first ±", "late", "p50 ms", "p99 ms",
		"p99.9 ms", "waiting beside idle", "broken"}}
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	for _, point := range points {
		served, servedHalf := confidenceInterval(point.served)
		difference, differenceHalf := pairedDifference(point.served, points[0].served)
		late, _ := confidenceInterval(point.late)
		beside := point.total.AvoidableWaitSeconds / max(1, point.total.WorkSeconds+point.total.AvoidableWaitSeconds)
		rows = append(rows, []string{point.label, number(served), number(servedHalf), number(difference), number(differenceHalf),
			number(late), number(point.quantileMs(50)), number(point.quantileMs(99)), number(point.quantileMs(99.9)),
			number(beside), strconv.Itoa(len(point.violations))})
	}
	return rows
}

func writeCSV(path string, rows [][]string) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	err = csv.NewWriter(out).WriteAll(rows)
	return errors.Join(err, out.Close())
}

func sweepPage(setting string, points []*sweepPoint, rows [][]string) string {
	var page strings.Builder
	fmt.Fprintf(&page, "<!doctype html><title>Simulation: %s</title><h1>Service days by %s</h1>"+
		"<p>Simulated time; %d seeds at each value, the same ones; ± is half of the 95%% interval. Made %s.</p><table border=1>",
		setting, setting, len(points[0].served), time.Now().Format(time.DateTime))
	for _, row := range rows {
		page.WriteString("<tr><td>" + strings.Join(row, "<td>"))
	}
	page.WriteString(`</table><img src="served.png" alt="share served">` +
		`<img src="p99.png" alt="99th percentile of answer times, ms">`)
	for _, point := range points {
		for _, violation := range point.violations {
			fmt.Fprintf(&page, "<p>%s %s, %s", setting, point.label, violation)
		}
	}
	return page.String()
}

// plotSweep draws a figure of all points.
func plotSweep(path, xLabel, yLabel string, points []*sweepPoint, figure func(*sweepPoint) float64) error {
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = xLabel, yLabel
	curve := plotter.XYs{}
	for _, point := range points {
		curve = append(curve, plotter.XY{X: point.value, Y: figure(point)})
	}
	line, markers, err := plotter.NewLinePoints(curve)
	if err != nil {
		return err
	}
	chart.Add(line, markers, plotter.NewGrid())
	return chart.Save(plotWidth, plotHeight, path)
}
