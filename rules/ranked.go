package rules

import "container/heap"

// ranked is a set whose first element, by an order that only falls for elements that are looked at, is found without
// comparing all. No decision is made here; the orders are in dealing.go.
type ranked[T any] struct {
	items  []T
	before func(a, b T) bool
	aside  []T
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (r *ranked[T]) Len() int           { return len(r.items) }
func (r *ranked[T]) Less(i, j int) bool { return r.before(r.items[i], r.items[j]) }
func (r *ranked[T]) Swap(i, j int)      { r.items[i], r.items[j] = r.items[j], r.items[i] }
func (r *ranked[T]) Push(x any)         { r.items = append(r.items, x.(T)) }
func (r *ranked[T]) Pop() any {
	last := len(r.items) - 1
	x := r.items[last]
	r.items = r.items[:last]
	return x
}

// begin empties the set and gives it an order.
func (r *ranked[T]) begin(before func(a, b T) bool) { r.items, r.before = r.items[:0], before }

// add puts an element in.
func (r *ranked[T]) add(x T) { heap.Push(r, x) }

// first returns the first element that is not to be passed over; those that are stay aside until all are returned.
func (r *ranked[T]) first(passOver func(T) bool) (x T, found bool) {
	for len(r.items) > 0 {
		if x = r.items[0]; !passOver(x) {
			return x, true
		}
		r.aside = append(r.aside, heap.Pop(r).(T))
	}
	return x, false
}

// moved says that the first element's place has changed.
func (r *ranked[T]) moved() {
	if len(r.items) > 0 {
		heap.Fix(r, 0)
	}
}

// restore brings back what is aside.
func (r *ranked[T]) restore() {
	for _, x := range r.aside {
		r.add(x)
	}
	r.aside = r.aside[:0]
}
