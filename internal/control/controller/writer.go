package controller

import (
	"slices"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
)

const (
	// writeRetry is how long the writer waits after a failed write.
	writeRetry = 100 * time.Millisecond
	// maxWriteDelay is how long a record without a waiting caller may be delayed to share another write.
	maxWriteDelay = 100 * time.Millisecond
	// writeTimeSmoothing is the weight of the newest write in the mean duration of writes.
	writeTimeSmoothing = 0.2
)

// writer buffers records while a write is in progress, so that one sync makes all of them durable. It belongs to the owner's
// goroutine; only the write itself runs on another goroutine.
type writer struct {
	*node.Env
	commit     func([]*storage.Batch) error // blocks until the batches are durable
	runOnOwner func(func())

	batches       []*storage.Batch // consensus state and the records stored with it, in order
	afterBatches  []func()
	claims        []idempotency.Record
	afterClaims   []func(durable bool)
	afterDeferred []deferredClaim // records of claims whose caller doesn't wait
	servers       []registry.Entry
	deferredSince time.Duration // when the oldest deferred record was added; 0: there is none
	busy          bool          // a write is in progress
	retryAt       time.Duration // earliest time of the next write after a failure
	failing       bool          // the last write failed
	meanMillis    float64       // smoothed duration of writes, in milliseconds
}

// idle reports whether no write is in progress and no batch is buffered.
func (w *writer) idle() bool { return !w.busy && len(w.batches) == 0 }

// write makes a batch durable, in order, retrying until it succeeds. It calls done, which may be nil, once the batch is
// durable.
func (w *writer) write(b *storage.Batch, done func()) {
	if done == nil {
		done = func() {}
	}
	w.batches = append(w.batches, b)
	w.afterBatches = append(w.afterBatches, done)
}

// writeClaim writes a record of the claim store and calls done with whether it is durable. With a nil done the write is
// deferred: the record is written with the next record that has a waiting caller, or after maxWriteDelay, since syncs
// account for most of the disk and CPU time.
func (w *writer) writeClaim(r idempotency.Record, done func(durable bool)) {
	w.claims = append(w.claims, r)
	if done != nil {
		w.afterClaims = append(w.afterClaims, done)
		return
	}
	w.deferWrite()
}

// deferredClaim is a deferred record, with a callback that gets the reply for it.
type deferredClaim struct {
	token idempotency.Token
	done  func(idempotency.GrantReply)
}

// writeResponse writes a record with a response, deferred as in writeClaim, and calls done with ReplyGranted once it is
// durable, with ReplyUnavailable if the write fails, or with ReplyConflict if the response would exceed the limit of the file.
func (w *writer) writeResponse(r idempotency.Record, done func(idempotency.GrantReply)) {
	w.afterDeferred = append(w.afterDeferred, deferredClaim{r.Token, done})
	w.writeClaim(r, nil)
}

// writeServers stores registry entries for a restart after all machines lost power. With heartbeats alone the servers would
// come back one by one, and the first of them would receive all the traffic.
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

// due reports whether any record has to be written now.
func (w *writer) due(now time.Duration) bool {
	deferred := len(w.claims)+len(w.servers) > 0 && now-w.deferredSince >= maxWriteDelay
	return len(w.batches) > 0 || len(w.afterClaims) > 0 || deferred
}

// flush starts a write of the buffered records, unless one is in progress. After a failed write the batches stay buffered,
// since they may be neither acknowledged nor dropped. Claims are rejected at once, since other claim stores can take them.
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
	refused, deferred := w.afterClaims, w.afterDeferred
	w.claims, w.afterClaims, w.afterDeferred, w.deferredSince = nil, nil, nil, 0
	for _, done := range refused {
		done(false)
	}
	for _, c := range deferred {
		c.done(idempotency.ReplyUnavailable)
	}
}

// pendingWrite holds the callbacks of a write in progress, and the records to write again if it fails.
type pendingWrite struct {
	batches       []*storage.Batch
	afterBatches  []func()
	claims        *storage.Batch // the records of claims and servers
	afterClaims   []func(durable bool)
	afterDeferred []deferredClaim
	servers       []registry.Entry
}

func (w *writer) startWrite() {
	pending := pendingWrite{batches: w.batches, afterBatches: w.afterBatches,
		claims:      &storage.Batch{Claims: w.claims, Servers: w.servers},
		afterClaims: w.afterClaims, afterDeferred: w.afterDeferred, servers: w.servers}
	batches := w.batches
	if len(w.claims)+len(w.servers) > 0 {
		batches = append(batches[:len(batches):len(batches)], pending.claims)
	}
	w.batches, w.afterBatches, w.claims, w.afterClaims, w.afterDeferred, w.servers = nil, nil, nil, nil, nil, nil
	w.busy, w.deferredSince = true, 0
	startedAt := w.Now()
	go func() {
		err := w.commit(batches)
		took := w.Now() - startedAt
		w.Metrics.Syncs.Observe(took.Seconds())
		w.runOnOwner(func() { w.finishWrite(pending, took, err) })
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
	for _, c := range p.afterDeferred {
		switch {
		case err != nil:
			c.done(idempotency.ReplyUnavailable)
		case slices.Contains(p.claims.Omitted, c.token):
			c.done(idempotency.ReplyConflict)
		default:
			c.done(idempotency.ReplyGranted)
		}
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
