package rules

import "container/heap"

// priorityQueue is a heap whose elements change their place only while they are first. No decision is made here; the orders
// are in dealing.go.
type priorityQueue[T any] struct {
	items   []T
	less    func(a, b T) bool
	skipped []T
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (r *priorityQueue[T]) Len() int           { return len(r.items) }
func (r *priorityQueue[T]) Less(i, j int) bool { return r.less(r.items[i], r.items[j]) }
func (r *priorityQueue[T]) Swap(i, j int)      { r.items[i], r.items[j] = r.items[j], r.items[i] }
func (r *priorityQueue[T]) Push(x any)         { r.items = append(r.items, x.(T)) }
func (r *priorityQueue[T]) Pop() any {
	last := len(r.items) - 1
	x := r.items[last]
	r.items = r.items[:last]
	return x
}

// reset empties the queue and sets its order.
func (r *priorityQueue[T]) reset(less func(a, b T) bool) { r.items, r.less = r.items[:0], less }

// add inserts an element.
func (r *priorityQueue[T]) add(x T) { heap.Push(r, x) }

// first returns the first element for which skip reports false. Skipped elements stay out of the queue until restore.
func (r *priorityQueue[T]) first(skip func(T) bool) (x T, found bool) {
	for len(r.items) > 0 {
		if x = r.items[0]; !skip(x) {
			return x, true
		}
		r.skipped = append(r.skipped, heap.Pop(r).(T))
	}
	return x, false
}

// fixFirst restores the order after the first element has changed.
func (r *priorityQueue[T]) fixFirst() {
	if len(r.items) > 0 {
		heap.Fix(r, 0)
	}
}

// restore inserts the skipped elements again.
func (r *priorityQueue[T]) restore() {
	for _, x := range r.skipped {
		r.add(x)
	}
	r.skipped = r.skipped[:0]
}
