package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinwood/internal/node"
)

// requestStage is the stage of processing that a request has reached.
type requestStage uint32

// The stages, in the order in which a request reaches them.
const (
	stageReading   requestStage = iota // its body is being read
	stageClaiming                      // its key is being claimed
	stageQueued                        // it waits for a free slot at a server
	stageAtServer                      // a server was picked, and no response was received yet
	stageStreaming                     // the beginning of a long response was forwarded
)

// String returns the stage's name in logs and metrics.
func (s requestStage) String() string {
	return [...]string{"reading", "claiming", "queued", "at_server", "streaming"}[min(s, stageStreaming)]
}

// maxCutOffLines limits the log lines about requests that are still active at the end of the process.
const maxCutOffLines = 20

// activeRequest contains the data about a request in progress for logs and metrics. All times are on the monotonic clock.
type activeRequest struct {
	attemptID string
	startedAt time.Duration
	stage     atomic.Uint32 // a requestStage
	leftAt    atomic.Int64  // when the client left, in nanoseconds; 0 while it is connected
}

func (a *activeRequest) setStage(stage requestStage) { a.stage.Store(uint32(stage)) }

func (a *activeRequest) currentStage() requestStage { return requestStage(a.stage.Load()) }

// activeRequests contains all requests in progress. It is safe for concurrent use.
type activeRequests struct {
	*node.Env
	logLimiter *logLimiter

	mu  sync.Mutex
	all map[*activeRequest]struct{}
}

func newActiveRequests(env *node.Env, limiter *logLimiter) *activeRequests {
	return &activeRequests{Env: env, logLimiter: limiter, all: map[*activeRequest]struct{}{}}
}

// begin adds a request, and watches its client until end is called.
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

// handleClientLeft records that the client's connection was closed while its request was served.
func (r *activeRequests) handleClientLeft(a *activeRequest) {
	a.leftAt.Store(int64(max(1, r.Now())))
	r.Metrics.ClientsLeft.WithLabelValues(a.currentStage().String()).Inc()
}

// remove removes a request that is done. If its client had left, it logs how long the work continued after that.
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

// logCutOff logs the requests that are still active at the end of the process.
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
