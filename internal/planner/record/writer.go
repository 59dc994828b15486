package record

import (
	"sync"
	"time"
)

const (
	maxQueuedEntries = 4096 // entries that may wait for the disk
	maxBatchEntries  = 512  // entries of one transaction
)

// Writer writes entries in a goroutine of its own. It never holds its user up: what the disk doesn't take in time, or not at
// all, is counted, and the next entry that can be written is preceded by a gap that tells how many are missing.
type Writer struct {
	append    func(now time.Time, list ...Entry) error
	now       func() time.Time
	onFailure func(error) // told of the first failure of a series
	queue     chan Entry
	done      chan struct{}

	mu      sync.Mutex
	lost    uint64
	closed  bool
	failing bool // the goroutine's own
}

// NewWriter returns a writer on a record, which it closes in the end.
func NewWriter(r *Record, retention Retention, onFailure func(error)) *Writer {
	w := newWriter(func(now time.Time, list ...Entry) error { return r.Append(now, retention, list...) }, onFailure)
	go func() {
		w.run()
		_ = r.Close() // each batch was a transaction: nothing is lost with a close that fails
		close(w.done)
	}()
	return w
}

func newWriter(append func(time.Time, ...Entry) error, onFailure func(error)) *Writer {
	return &Writer{append: append, now: time.Now, onFailure: onFailure,
		queue: make(chan Entry, maxQueuedEntries), done: make(chan struct{})}
}

// Add takes an entry, or counts it as lost.
func (w *Writer) Add(e Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	select {
	case w.queue <- e:
	default:
		w.lost++
	}
}

// Close writes what waits and ends the goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
}

// run writes what waits, as much as there is at a time.
func (w *Writer) run() {
	for e := range w.queue {
		list := []Entry{e}
	more:
		for len(list) < maxBatchEntries {
			select {
			case e, open := <-w.queue:
				if !open {
					break more
				}
				list = append(list, e)
			default:
				break more
			}
		}
		w.write(list)
	}
	w.write(nil) // a gap at the very end
}

// write writes a batch, with a gap before it if entries were lost. Entries lost while others waited came after those, so the
// gap may stand a batch too early; it is never left out.
func (w *Writer) write(list []Entry) {
	w.mu.Lock()
	lost := w.lost
	w.lost = 0
	w.mu.Unlock()
	now := w.now()
	if lost > 0 {
		list = append([]Entry{{At: now, Cause: "gap", Gap: lost}}, list...)
	}
	if len(list) == 0 {
		return
	}
	err := w.append(now, list...)
	if err == nil {
		w.failing = false
		return
	}
	w.mu.Lock()
	for _, e := range list {
		w.lost += max(1, e.Gap)
	}
	w.mu.Unlock()
	if !w.failing {
		w.failing = true
		w.onFailure(err)
	}
}
