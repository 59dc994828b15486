package record

import (
	"sync"
	"time"
)

const (
	maxQueuedEntries = 4096 // entries that may wait to be written
	maxBatchEntries  = 512  // entries in one transaction
)

// Writer writes entries in a separate goroutine. Add never blocks: entries that can't be written, or that exceed the queue,
// are counted, and a gap with their number is written before the next entry that can be written.
type Writer struct {
	appendEntries func(now time.Time, list ...Entry) error
	now           func() time.Time
	onFailure     func(error) // is called with the first error of consecutive failures
	queue         chan Entry
	done          chan struct{}

	mu      sync.Mutex
	lost    uint64
	closed  bool
	failing bool // accessed by the goroutine only
}

// NewWriter starts a writer to a record. The writer closes the record after Close is called. It calls onFailure in its
// goroutine with the first error of consecutive failures.
func NewWriter(r *Record, retention Retention, onFailure func(error)) *Writer {
	w := newWriter(func(now time.Time, list ...Entry) error { return r.Append(now, retention, list...) }, onFailure)
	go func() {
		w.run()
		_ = r.Close() // each batch is committed: a failed close loses nothing
		close(w.done)
	}()
	return w
}

func newWriter(appendEntries func(time.Time, ...Entry) error, onFailure func(error)) *Writer {
	return &Writer{appendEntries: appendEntries, now: time.Now, onFailure: onFailure,
		queue: make(chan Entry, maxQueuedEntries), done: make(chan struct{})}
}

// Add queues an entry, or counts it as lost if the queue is full. After Close it does nothing.
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

// Close writes the queued entries and waits for the goroutine to end.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
}

// run writes the queued entries in batches until the queue is closed.
func (w *Writer) run() {
	for e := range w.queue {
		batch := []Entry{e}
	more:
		for len(batch) < maxBatchEntries {
			select {
			case e, open := <-w.queue:
				if !open {
					break more
				}
				batch = append(batch, e)
			default:
				break more
			}
		}
		w.write(batch)
	}
	w.write(nil) // writes a gap if the last entries were lost
}

// write writes a batch, preceded by a gap if entries were lost. Entries are lost after those that were queued at that time,
// so that the gap may come one batch too early. It is never omitted.
func (w *Writer) write(batch []Entry) {
	w.mu.Lock()
	lost := w.lost
	w.lost = 0
	w.mu.Unlock()
	now := w.now()
	if lost > 0 {
		batch = append([]Entry{{At: now, Cause: "gap", Gap: lost}}, batch...)
	}
	if len(batch) == 0 {
		return
	}
	err := w.appendEntries(now, batch...)
	if err == nil {
		w.failing = false
		return
	}
	w.mu.Lock()
	for _, e := range batch {
		w.lost += max(1, e.Gap)
	}
	w.mu.Unlock()
	if !w.failing {
		w.failing = true
		w.onFailure(err)
	}
}
