package proxy

import (
	"slices"
	"sync"
)

// requestQueue contains the requests that wait for a slot at a server. The requests of a service are ordered by rank, then
// by arrival. It is safe for concurrent use.
type requestQueue struct {
	mu      sync.Mutex
	waiters map[string][]*waiter
}

// waiter is a waiting request. A value on wake signals it to try again.
type waiter struct {
	rank int // the lowest is served first
	wake chan struct{}
}

func newRequestQueue() *requestQueue { return &requestQueue{waiters: map[string][]*waiter{}} }

// enqueue adds a waiter to a service's queue, behind all of the same rank. The caller must remove it.
func (q *requestQueue) enqueue(service string, rank int) *waiter {
	w := &waiter{rank: rank, wake: make(chan struct{}, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.waiters[service]
	at, _ := slices.BinarySearchFunc(list, w, func(a, b *waiter) int {
		if a.rank <= b.rank {
			return -1
		}
		return 1
	})
	q.waiters[service] = slices.Insert(list, at, w)
	return w
}

// remove removes a waiter from a service's queue.
func (q *requestQueue) remove(service string, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters[service] = slices.DeleteFunc(q.waiters[service], func(other *waiter) bool { return other == w })
}

// wake notifies the first waiter of a service. It is called when a slot may have become free.
func (q *requestQueue) wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if list := q.waiters[service]; len(list) > 0 {
		list[0].notify()
	}
}

// wakeAll notifies all waiters. It is called when servers or leases changed.
func (q *requestQueue) wakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range q.waiters {
		for _, w := range list {
			w.notify()
		}
	}
}

// notify signals the waiter without blocking.
func (w *waiter) notify() {
	select {
	case w.wake <- struct{}{}:
	default: // a signal is pending already
	}
}
