// Package ring provides the byte buffer between a socket and a protocol machine, one for each direction.
package ring

import (
	"bytes"
	"errors"
	"sync/atomic"
)

// ErrFull is returned if a buffer has reached its limit, or all buffers together their budget.
var ErrFull = errors.New("buffer is full")

// Budget limits the total memory of many buffers. It is safe for concurrent use. The first bytes of each buffer don't count,
// so that a few large buffers can't starve the others.
type Budget struct {
	limit         atomic.Int64
	freePerBuffer int
	used          atomic.Int64
}

// NewBudget returns a budget of limit bytes in all, to which the first freePerBuffer bytes of each buffer don't count.
func NewBudget(limit int64, freePerBuffer int) *Budget {
	b := &Budget{freePerBuffer: freePerBuffer}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. Memory that is already reserved stays reserved.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// reserve accounts for a buffer's change from one size to another and reports whether the budget allows it.
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

// Buffer is a ring buffer of bytes. It doubles its size as needed, up to its limit, and frees its memory when it is empty
// again and has grown.
type Buffer struct {
	data           []byte
	head, length   int
	initial, limit int
	budget         *Budget
}

// New returns an empty buffer. It allocates no memory until it is written to. The budget may be nil.
func New(initial, limit int, budget *Budget) *Buffer {
	return &Buffer{initial: min(initial, limit), limit: limit, budget: budget}
}

// Len returns the number of buffered bytes.
func (b *Buffer) Len() int { return b.length }

// SetLimit changes the limit. Bytes that are already buffered stay.
func (b *Buffer) SetLimit(limit int) { b.limit = limit }

// grow makes room for the needed bytes as far as the limit and the budget allow.
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

// Space returns free memory to read into. It grows the buffer if it is full.
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

// Commit appends the first n bytes of the memory that Space returned.
func (b *Buffer) Commit(n int) { b.length += n }

// Write appends all of p. If p doesn't fit within the limit and the budget, it appends nothing and returns ErrFull.
func (b *Buffer) Write(p []byte) (int, error) {
	if b.length+len(p) > max(b.limit, len(b.data)) {
		return 0, ErrFull
	}
	if b.length+len(p) > len(b.data) {
		b.grow(len(p))
	}
	if b.length+len(p) > len(b.data) { // the budget is exhausted
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

// Peek returns the buffered bytes, oldest first, in two slices. The second is empty unless the bytes wrap around. The slices
// are valid until the next call that changes the buffer.
func (b *Buffer) Peek() (first, second []byte) {
	if end := b.head + b.length; end > len(b.data) {
		return b.data[b.head:], b.data[:end-len(b.data)]
	}
	return b.data[b.head : b.head+b.length], nil
}

// Index returns the index of the first c at or after from, or -1.
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

// Front returns the first n bytes as one slice. It copies them only if they wrap around.
func (b *Buffer) Front(n int) []byte {
	first, second := b.Peek()
	if n <= len(first) {
		return first[:n]
	}
	return append(append(make([]byte, 0, n), first...), second[:n-len(first)]...)
}

// Discard removes the first n bytes.
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

// Free discards all bytes and releases the memory. The buffer may be used again.
func (b *Buffer) Free() {
	b.budget.reserve(len(b.data), 0)
	b.data, b.head, b.length = nil, 0, 0
}
