package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatency      = 1
	maxLatency      = 60_000_000
	latencyFigures  = 3
	medianQuantile  = 50
	highestQuantile = 99
)

// Latencies contains histograms of the latencies of requests with a server's response, in microseconds, by kind.
type Latencies map[RequestKind]*hdrhistogram.Histogram

// Add adds the latencies of a record.
func (l Latencies) Add(record *Record) {
	for _, request := range record.Requests {
		if !request.Complete || request.Seal == "" {
			continue
		}
		if l[request.Kind] == nil {
			l[request.Kind] = hdrhistogram.New(minLatency, maxLatency, latencyFigures)
		}
		_ = l[request.Kind].RecordValue((request.EndedAt - request.StartedAt).Microseconds()) // above maxLatency: dropped
	}
}

// millis returns a quantile, in percent, of a kind's latencies in milliseconds. The kind must have a histogram.
func (l Latencies) millis(kind RequestKind, quantile float64) float64 {
	return float64(l[kind].ValueAtQuantile(quantile)) / 1000
}

// shutdownTimes returns the times from SIGTERM to exit of the edges that exited before the end of traffic.
func shutdownTimes(record *Record) (all []time.Duration) {
	terminated := map[string]time.Duration{}
	for _, change := range record.Processes {
		switch change.What {
		case Terminated:
			if strings.HasPrefix(change.Node, "edge") {
				terminated[change.Node] = change.At
			}
		case Ended:
			if at, ok := terminated[change.Node]; ok && change.At < record.QuietAt {
				all = append(all, change.At-at)
			}
			delete(terminated, change.Node)
		case Killed:
			delete(terminated, change.Node)
		}
	}
	return all
}

// Line returns the report of a run in one line.
func (o *Outcome) Line() string {
	latencies := Latencies{}
	latencies.Add(o.Record)
	rejected, left := 0, 0
	for _, request := range o.Record.Requests {
		if request.Status == http.StatusServiceUnavailable && request.Seal == "" {
			rejected++
		}
		if request.LeftAt > 0 {
			left++
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d requests, %d left early, %d rejected; %d events; own delay %s; ", o.Record.Schedule.Seed,
		len(o.Record.Requests), left, rejected, len(o.Record.Schedule.Events), o.Record.maxDelay().Round(time.Millisecond))
	for _, q := range o.Record.Schedule.Quotas {
		fmt.Fprintf(&text, "quota %s, %s; ", q, o.Record.throttleSummary())
	}
	if len(o.Breaches) == 0 {
		text.WriteString("no breach")
	} else {
		text.WriteString("breaches:")
		for _, rule := range Rules {
			if n := countOf(o.Breaches, rule); n > 0 {
				fmt.Fprintf(&text, " %s %d", rule, n)
			}
		}
	}
	if times := shutdownTimes(o.Record); len(times) > 0 {
		slices.Sort(times)
		fmt.Fprintf(&text, "; edges end %.1f s after SIGTERM, %.1f s at most", times[len(times)/2].Seconds(),
			times[len(times)-1].Seconds())
	}
	for _, kind := range []RequestKind{Lookup, Review, Note, Post, Stream, Upload} {
		if latencies[kind] != nil {
			fmt.Fprintf(&text, "; %s p50 %.0f p99 %.0f max %.0f ms", kind, latencies.millis(kind, medianQuantile),
				latencies.millis(kind, highestQuantile), float64(latencies[kind].Max())/1000)
		}
	}
	return text.String()
}

func countOf(breaches []Breach, rule Rule) (count int) {
	for _, breach := range breaches {
		if breach.Rule == rule {
			count++
		}
	}
	return count
}
