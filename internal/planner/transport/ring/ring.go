// Package ring holds the byte buffer that stands between a socket and a protocol machine, one a direction.
package ring

import (
	"bytes"
	"errors"
	"sync/atomic"
)

// ErrFull says that a buffer has reached its cap, or all together their budget.
var ErrFull = errors.New("buffer is full")

// Budget bounds the memory of many buffers together. Buffers of several goroutines may share one. The first
// bytes of each buffer are free, so that a few large buffers can't keep out the others.
type Budget struct {
	limit         atomic.Int64
	freePerBuffer int
	used          atomic.Int64
}

// NewBudget returns a budget of most bytes beyond the free ones of each buffer.
func NewBudget(limit int64, freePerBuffer int) *Budget {
	b := &Budget{freePerBuffer: freePerBuffer}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the bound. What is already held stays.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// reserve books a buffer's change from one size to another; it says whether there was room for it.
func (b *Budget) reserve(from, to int) bool {
	if b == nil {
		return true
	}
	bytes := max(0, to-b.freePerBuffer) - max(0, from-b.freePerBuffer)
	if b.used.Add(int64(bytes)) > b.limit.Load() && bytes > 0 {
		b.used.Add(int64(-bytes))
		return false
	}
	return true
}

// Buffer is a ring of bytes. It starts small, doubles when it must, never beyond its cap, and gives the memory
// back once it is empty again.
type Buffer struct {
	data           []byte
	head, length   int
	initial, limit int
	budget         *Budget
}

// New returns an empty buffer. It allocates nothing until bytes come. The budget may be nil.
func New(initial, limit int, budget *Budget) *Buffer {
	return &Buffer{initial: min(initial, limit), limit: limit, budget: budget}
}

// Len is the number of bytes held.
func (b *Buffer) Len() int { return b.length }

// SetLimit changes the cap. Bytes already held stay.
func (b *Buffer) SetLimit(limit int) { b.limit = limit }

// grow makes room for at least one more byte, or for want more where the cap allows.
func (b *Buffer) grow(needed int) {
	size := max(len(b.data), b.initial, 1)
	for size < b.length+needed {
		size *= 2
	}
	if size = min(size, b.limit); size <= len(b.data) || !b.budget.reserve(len(b.data), size) {
		return
	}
	data := make([]byte, size)
	first, second := b.Peek()
	copy(data[copy(data, first):], second)
	b.data, b.head = data, 0
}

// Space returns a piece of free memory to read into, growing the buffer when it is full.
func (b *Buffer) Space() ([]byte, error) {
	if b.length == len(b.data) {
		b.grow(1)
	}
	if b.length == len(b.data) {
		return nil, ErrFull
	}
	tail := (b.head + b.length) % len(b.data)
	if tail < b.head {
		return b.data[tail:b.head], nil
	}
	return b.data[tail:], nil
}

// Commit says that the first n bytes of Space have been filled.
func (b *Buffer) Commit(n int) { b.length += n }

// Write appends all of p, or nothing of it if it would not fit under the cap.
func (b *Buffer) Write(p []byte) (int, error) {
	if b.length+len(p) > max(b.limit, len(b.data)) {
		return 0, ErrFull
	}
	if b.length+len(p) > len(b.data) {
		b.grow(len(p))
	}
	if b.length+len(p) > len(b.data) { // over the budget
		return 0, ErrFull
	}
	for rest := p; len(rest) > 0; {
		space, err := b.Space()
		if err != nil {
			return 0, err
		}
		n := copy(space, rest)
		b.Commit(n)
		rest = rest[n:]
	}
	return len(p), nil
}

// Peek returns the bytes held, oldest first, in two pieces; the second is empty unless they wrap. The pieces
// are valid until the next call that changes the buffer.
func (b *Buffer) Peek() (first, second []byte) {
	if end := b.head + b.length; end > len(b.data) {
		return b.data[b.head:], b.data[:end-len(b.data)]
	}
	return b.data[b.head : b.head+b.length], nil
}

// Index returns the position of the first c at or after from, or -1.
func (b *Buffer) Index(c byte, from int) int {
	first, second := b.Peek()
	if from < len(first) {
		if i := bytes.IndexByte(first[from:], c); i >= 0 {
			return from + i
		}
		from = len(first)
	}
	if i := bytes.IndexByte(second[min(from-len(first), len(second)):], c); i >= 0 {
		return from + i
	}
	return -1
}

// Front returns the first n bytes as one piece; it copies only where they wrap.
func (b *Buffer) Front(n int) []byte {
	first, second := b.Peek()
	if n <= len(first) {
		return first[:n]
	}
	return append(append(make([]byte, 0, n), first...), second[:n-len(first)]...)
}

// Discard drops the first n bytes.
func (b *Buffer) Discard(n int) {
	n = min(n, b.length)
	if b.length -= n; b.length > 0 {
		b.head = (b.head + n) % len(b.data)
		return
	}
	b.head = 0
	if len(b.data) > b.initial {
		b.Free()
	}
}

// Free gives up the memory and all that is held. The buffer may be used again.
func (b *Buffer) Free() {
	b.budget.reserve(len(b.data), 0)
	b.data, b.head, b.length = nil, 0, 0
}
