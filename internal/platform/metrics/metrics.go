// Package metrics counts what a process did and gave up, and serves it in the Prometheus exposition format.
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

// Metrics is one process's counters.
type Metrics struct {
	registry *prometheus.Registry
	Requests *prometheus.CounterVec // by route kind and status
	GivenUp  *prometheus.CounterVec // by error kind
	Tries    *prometheus.CounterVec // by ending
	Claims   *prometheus.CounterVec // by ruling
	Syncs    prometheus.Histogram   // seconds
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
		Requests: vec("requests_total", "Requests answered.", "kind", "status"),
		GivenUp:  vec("given_up_total", "Requests and calls given up, by kind of error.", "error"),
		Tries:    vec("tries_total", "Tries at servers, by how they ended.", "ending"),
		Claims:   vec("claims_total", "Claims of keyed operations, by ruling.", "ruling"),
		Syncs: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "mulleinwood", Name: "sync_seconds",
			Help:        "Time that a write to disk took.",
			ConstLabels: labels, Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .25, 1, 4}}),
	}
	if role == Controller {
		r.MustRegister(m.Syncs)
	}
	return m
}

// Handler tells the counters.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
