package proxy

import (
	"slices"
	"sync"
	"time"
)

// queue holds requests that wait for room at a server, by rank and then by arrival.
type queue struct {
	mu      sync.Mutex
	waiters map[string][]*waiter
}

type waiter struct {
	rank  int
	since time.Duration
	wake  chan struct{}
}

// enqueue joins a service's queue.
func (q *queue) enqueue(service string, rank int, now time.Duration) *waiter {
	w := &waiter{rank: rank, since: now, wake: make(chan struct{}, 1)}
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
func (q *queue) remove(service string, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters[service] = slices.DeleteFunc(q.waiters[service], func(o *waiter) bool { return o == w })
}

// wake lets the first waiter of a service look again.
func (q *queue) wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if list := q.waiters[service]; len(list) > 0 {
		select {
		case list[0].wake <- struct{}{}:
		default:
		}
	}
}

// wakeAll lets all look again: servers came or went.
func (q *queue) wakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, list := range q.waiters {
		for _, w := range list {
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}
}
