// Package metrics counts what a process did and what failed, and serves it in the Prometheus exposition format.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// The roles.
const (
	Controller = "controller"
	Edge       = "edge"
)

// Metrics is one process's counters. The names and labels of the metrics are those of the first version, since dashboards
// read them. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	Requests *prometheus.CounterVec // by route kind and status
	Failures *prometheus.CounterVec // by error kind
	Attempts *prometheus.CounterVec // by outcome
	Claims   *prometheus.CounterVec // by outcome
	Syncs    prometheus.Histogram   // seconds
	// Responses counts events of the stored responses of keyed operations. At a controller: received, confirmed,
	// unconfirmed, found_here, found_elsewhere, not_found. At an edge: sent, unsent (it is attached to no controller),
	// confirmed, dropped (without a confirmation).
	Responses *prometheus.CounterVec

	ClientsLeft   *prometheus.CounterVec // by what their request was waiting for
	AbandonedWork prometheus.Histogram   // seconds
}

// New makes counters for a process of a role.
func New(role string) *Metrics {
	r := prometheus.NewRegistry()
	labels := prometheus.Labels{"role": role}
	vec := func(name, help string, by ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "mulleinwood", Name: name, Help: help,
			ConstLabels: labels}, by)
		r.MustRegister(c)
		return c
	}
	m := &Metrics{registry: r,
		Requests:  vec("requests_total", "Requests that were answered, by kind of route and status.", "kind", "status"),
		Failures:  vec("given_up_total", "Requests and calls that were refused or failed, by kind of error.", "error"),
		Attempts:  vec("tries_total", "Attempts at servers, by outcome.", "ending"),
		Claims:    vec("claims_total", "Claims of keyed operations, by outcome.", "ruling"),
		Responses: vec("responses_total", "Events of the stored responses of keyed operations.", "event"),
		Syncs: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "mulleinwood", Name: "sync_seconds",
			Help:        "Duration of writes to disk, in seconds.",
			ConstLabels: labels, Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .25, 1, 4}}),
	}
	if role == Controller {
		r.MustRegister(m.Syncs)
		return m
	}
	m.ClientsLeft = vec("clients_left_total", "Clients that left before their request was answered, by its stage.", "stage")
	m.AbandonedWork = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "mulleinwood", Name: "abandoned_work_seconds",
		Help:        "How long the work on a request went on after its client had left, in seconds.",
		ConstLabels: labels, Buckets: []float64{.005, .02, .1, .25, .5, 1, 2, 5, 10}})
	r.MustRegister(m.AbandonedWork)
	return m
}

// Handler serves the counters.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
