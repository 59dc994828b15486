package controller

import (
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
)

const (
	// writeRetry is how long the writer waits after the disk refused a write.
	writeRetry = 100 * time.Millisecond
	// maxWriteDelay is how long a record that nobody waits for may wait for a write that is due anyway.
	maxWriteDelay = 100 * time.Millisecond
	// writeTimeSmoothing is the weight of the newest write in the mean duration of writes.
	writeTimeSmoothing = 0.2
)

// writer gathers what has to become durable while the disk is busy, so that one sync serves all of it. It is owned by the
// controller's goroutine; only the write itself runs on another one.
type writer struct {
	*node.Env
	commit     func([]*storage.Batch) error // blocks until the batches are durable
	runOnOwner func(func())

	batches       []*storage.Batch // of the consensus and what is stored with it, in order
	afterBatches  []func()
	claims        []idempotency.Record
	afterClaims   []func(durable bool)
	servers       []registry.Entry
	deferredSince time.Duration // since when records wait that nobody waits for; 0: none do
	busy          bool          // a write is under way
	retryAt       time.Duration // no write before, after a failure
	failing       bool          // the last write failed
	meanMillis    float64       // duration of the last writes
}

// idle reports whether nothing of the consensus waits for the disk.
func (w *writer) idle() bool { return !w.busy && len(w.batches) == 0 }

// write makes a batch durable, in order and without giving up; done is called once it is, and may be nil.
func (w *writer) write(b *storage.Batch, done func()) {
	if done == nil {
		done = func() {}
	}
	w.batches = append(w.batches, b)
	w.afterBatches = append(w.afterBatches, done)
}

// writeClaim makes a record of the claim store durable; done is called with whether it is. One without done is written together
// with the next record that somebody waits for, or a little later: syncs are what the disk and the processor spend.
func (w *writer) writeClaim(r idempotency.Record, done func(durable bool)) {
	w.claims = append(w.claims, r)
	if done != nil {
		w.afterClaims = append(w.afterClaims, done)
		return
	}
	w.deferWrite()
}

// writeServers keeps what is known of servers, for a start after all machines lost power: heartbeats alone would bring the
// servers back one by one, and the first of them would get all the traffic.
func (w *writer) writeServers(entries []registry.Entry) {
	if len(entries) == 0 {
		return
	}
	w.servers = append(w.servers, entries...)
	w.deferWrite()
}

func (w *writer) deferWrite() {
	if w.deferredSince == 0 {
		w.deferredSince = w.Now()
	}
}

// due reports whether anything has to go to the disk now.
func (w *writer) due(now time.Duration) bool {
	deferred := len(w.claims)+len(w.servers) > 0 && now-w.deferredSince >= maxWriteDelay
	return len(w.batches) > 0 || len(w.afterClaims) > 0 || deferred
}

// flush hands the disk what has gathered, if it is free. A disk that refuses keeps the batches waiting, since nothing of
// them may be acknowledged or dropped. Claims are refused at once: other claim stores can take them.
func (w *writer) flush() {
	now := w.Now()
	waiting := now < w.retryAt
	if w.busy || !w.due(now) || waiting && len(w.claims) == 0 {
		return
	}
	if w.failing && waiting {
		w.refuseClaims()
		return
	}
	w.startWrite()
}

func (w *writer) refuseClaims() {
	refused := w.afterClaims
	w.claims, w.afterClaims, w.deferredSince = nil, nil, 0
	for _, done := range refused {
		done(false)
	}
}

// pendingWrite is what one write is to make durable.
type pendingWrite struct {
	batches      []*storage.Batch
	afterBatches []func()
	afterClaims  []func(durable bool)
	servers      []registry.Entry
}

func (w *writer) startWrite() {
	p := pendingWrite{batches: w.batches, afterBatches: w.afterBatches, afterClaims: w.afterClaims, servers: w.servers}
	all := w.batches
	if len(w.claims)+len(w.servers) > 0 {
		all = append(all[:len(all):len(all)], &storage.Batch{Claims: w.claims, Servers: w.servers})
	}
	w.batches, w.afterBatches, w.claims, w.afterClaims, w.servers = nil, nil, nil, nil, nil
	w.busy, w.deferredSince = true, 0
	startedAt := w.Now()
	go func() {
		err := w.commit(all)
		took := w.Now() - startedAt
		w.Metrics.Syncs.Observe(took.Seconds())
		w.runOnOwner(func() { w.finishWrite(p, took, err) })
	}()
}

func (w *writer) finishWrite(p pendingWrite, took time.Duration, err error) {
	w.busy = false
	millis := float64(took.Microseconds()) / 1000
	w.meanMillis += writeTimeSmoothing * (millis - w.meanMillis)
	if err != nil {
		w.keepForRetry(p, err)
	} else {
		if w.failing {
			w.LogEvent("disk recovered")
		}
		w.failing = false
		for _, done := range p.afterBatches {
			done()
		}
	}
	for _, done := range p.afterClaims {
		done(err == nil)
	}
}

func (w *writer) keepForRetry(p pendingWrite, err error) {
	if !w.failing {
		w.LogEvent("disk write failed", "cause", err)
	}
	w.failing, w.retryAt = true, w.Now()+writeRetry
	w.batches = append(p.batches, w.batches...)
	w.afterBatches = append(p.afterBatches, w.afterBatches...)
	w.servers = append(p.servers, w.servers...)
}
