package soak

import (
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// allRequestKinds contains the kinds of requests in the order of the page.
var allRequestKinds = []RequestKind{Lookup, Review, Note, Post, Stream, Upload}

// pageQuantiles contains the quantiles of the page, in percent.
var pageQuantiles = []float64{50, 90, 99, 99.9, 100}

// shutdownBucket is the bucket width of the distribution of times from SIGTERM to exit.
const shutdownBucket = 500 * time.Millisecond

// Summary aggregates the outcomes of several runs for the HTML page. The zero value is empty and ready to use.
type Summary struct {
	lines     []string
	broken    int
	latencies Latencies
	shutdowns []time.Duration
}

// Add adds the outcome of a run.
func (s *Summary) Add(outcome *Outcome) {
	if s.latencies == nil {
		s.latencies = Latencies{}
	}
	s.lines = append(s.lines, outcome.Line())
	if len(outcome.Breaches) > 0 {
		s.broken++
	}
	s.latencies.Add(outcome.Record)
	s.shutdowns = append(s.shutdowns, shutdownTimes(outcome.Record)...)
}

// latencyRow is a row of the latency table. Millis contains pageQuantiles in milliseconds.
type latencyRow struct {
	Kind   RequestKind
	Count  int64
	Millis []float64
}

// bar is a bucket of the distribution of shutdown times.
type bar struct {
	From, To time.Duration
	Count    int
	Percent  float64 // of the longest bar
}

func (s *Summary) latencyRows() (rows []latencyRow) {
	for _, kind := range allRequestKinds {
		histogram := s.latencies[kind]
		if histogram == nil {
			continue
		}
		rows = append(rows, latencyRow{kind, histogram.TotalCount(), quantilesOf(histogram)})
	}
	return rows
}

func quantilesOf(histogram *hdrhistogram.Histogram) (millis []float64) {
	for _, quantile := range pageQuantiles {
		millis = append(millis, float64(histogram.ValueAtQuantile(quantile))/1000)
	}
	return millis
}

func (s *Summary) shutdownBars() []bar {
	if len(s.shutdowns) == 0 {
		return nil
	}
	bars := make([]bar, 1+slices.Max(s.shutdowns)/shutdownBucket)
	highest := 0
	for _, took := range s.shutdowns {
		i := took / shutdownBucket
		bars[i].Count++
		highest = max(highest, bars[i].Count)
	}
	for i := range bars {
		bars[i].From = time.Duration(i) * shutdownBucket
		bars[i].To = bars[i].From + shutdownBucket
		bars[i].Percent = 100 * float64(bars[i].Count) / float64(highest)
	}
	return bars
}

var pageTemplate = template.Must(template.New("soak").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Soak</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}td,th{padding:.2em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}.bar{background:#48a;height:1em}li{margin:.3em 0}</style>
<h1>Soak: {{len .Lines}} runs, {{.Broken}} with a breach</h1>
<h2>Latencies of requests that a server answered, in milliseconds</h2>
<table><tr><th>kind</th><th>requests</th>{{range .Quantiles}}<th>{{.}}%</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Kind}}</td><td>{{.Count}}</td>{{range .Millis}}<td>{{printf "%.1f" .}}</td>{{end}}</tr>
{{end}}</table>
<h2>From SIGTERM to the end of an edge</h2>
<table>{{range .Bars}}<tr><td>{{.From}} to {{.To}}</td><td>{{.Count}}</td>
<td style="width:30em"><div class="bar" style="width:{{printf "%.1f" .Percent}}%"></div></td></tr>
{{end}}</table>
<h2>Runs</h2><ol>{{range .Lines}}<li>{{.}}</li>
{{end}}</ol></html>
`))

// WritePage writes the summary as an HTML page.
func (s *Summary) WritePage(out io.Writer) error {
	return pageTemplate.Execute(out, struct {
		Lines     []string
		Broken    int
		Quantiles []float64
		Rows      []latencyRow
		Bars      []bar
	}{s.lines, s.broken, pageQuantiles, s.latencyRows(), s.shutdownBars()})
}
