package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinwood/internal/node"
)

// requestStage is what a request is waiting for.
type requestStage uint32

// The stages, in the order in which a request reaches them.
const (
	stageReading   requestStage = iota // its body is being read
	stageClaiming                      // its key is being claimed
	stageQueued                        // no server has a free slot
	stageAtServer                      // a server was chosen, and no response came yet
	stageStreaming                     // the beginning of a long response was forwarded
)

// String is the stage's name in logs and metrics.
func (s requestStage) String() string {
	return [...]string{"reading", "claiming", "queued", "at_server", "streaming"}[min(s, stageStreaming)]
}

// maxCutOffLines bounds the lines of log about requests that end with their process.
const maxCutOffLines = 20

// activeRequest is a request that is being served, as far as logs and metrics tell of it. All times are on the steady clock.
type activeRequest struct {
	attemptID string
	startedAt time.Duration
	stage     atomic.Uint32 // a requestStage
	leftAt    atomic.Int64  // when its client left, in nanoseconds; 0: it is still there
}

func (a *activeRequest) setStage(stage requestStage) { a.stage.Store(uint32(stage)) }

func (a *activeRequest) currentStage() requestStage { return requestStage(a.stage.Load()) }

// activeRequests holds all requests that are being served.
type activeRequests struct {
	*node.Env
	logLimiter *logLimiter

	mu  sync.Mutex
	all map[*activeRequest]struct{}
}

func newActiveRequests(env *node.Env, limiter *logLimiter) *activeRequests {
	return &activeRequests{Env: env, logLimiter: limiter, all: map[*activeRequest]struct{}{}}
}

// begin notes a request, and watches its client until end is called.
func (r *activeRequests) begin(request *http.Request, now time.Duration) (a *activeRequest, end func()) {
	a = &activeRequest{attemptID: request.Header.Get(headerAttemptID), startedAt: now}
	stopWatching := context.AfterFunc(request.Context(), func() { r.handleClientLeft(a) })
	r.mu.Lock()
	r.all[a] = struct{}{}
	r.mu.Unlock()
	return a, func() {
		stopWatching()
		r.remove(a)
	}
}

// handleClientLeft notes that net/http saw the client's connection end while its request was served.
func (r *activeRequests) handleClientLeft(a *activeRequest) {
	a.leftAt.Store(int64(max(1, r.Now())))
	r.Metrics.ClientsLeft.WithLabelValues(a.currentStage().String()).Inc()
}

// remove takes out a request that is over. Where its client had left, it tells how long the work went on after that.
func (r *activeRequests) remove(a *activeRequest) {
	r.mu.Lock()
	delete(r.all, a)
	r.mu.Unlock()
	leftAt := time.Duration(a.leftAt.Load())
	if leftAt == 0 {
		return
	}
	now := r.Now()
	r.Metrics.AbandonedWork.Observe((now - leftAt).Seconds())
	if r.logLimiter.allow("client left", now) {
		r.LogEvent("client left", "attempt", a.attemptID, "stage", a.currentStage(), "after", leftAt-a.startedAt,
			"work_went_on", now-leftAt)
	}
}

// logCutOff logs the requests that end with the process.
func (r *activeRequests) logCutOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := 0
	for a := range r.all {
		if lines++; lines > maxCutOffLines {
			return
		}
		r.LogEvent("request cut off", "attempt", a.attemptID, "stage", a.currentStage(), "after", r.Now()-a.startedAt)
	}
}
