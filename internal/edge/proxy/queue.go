package proxy

import (
	"slices"
	"sync"
)

// requestQueue holds the requests that wait for a slot at a server, by service, then by rank, then by arrival.
type requestQueue struct {
	mu      sync.Mutex
	waiters map[string][]*waiter
}

// waiter is a request that waits. A value on wake tells it to try again.
type waiter struct {
	rank int // the lowest goes first
	wake chan struct{}
}

func newRequestQueue() *requestQueue { return &requestQueue{waiters: map[string][]*waiter{}} }

// enqueue joins a service's queue, behind all of the same rank. The waiter has to be removed again.
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

// remove takes a waiter out.
func (q *requestQueue) remove(service string, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters[service] = slices.DeleteFunc(q.waiters[service], func(other *waiter) bool { return other == w })
}

// wake has the first waiter of a service try again: a slot may be free.
func (q *requestQueue) wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if list := q.waiters[service]; len(list) > 0 {
		list[0].notify()
	}
}

// wakeAll has all waiters try again: servers came or went.
func (q *requestQueue) wakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range q.waiters {
		for _, w := range list {
			w.notify()
		}
	}
}

func (w *waiter) notify() {
	select {
	case w.wake <- struct{}{}:
	default: // it was notified already
	}
}
