package ring

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
)

// contents returns a copy of the buffered bytes.
func contents(b *Buffer) []byte {
	first, second := b.Peek()
	return append(append([]byte{}, first...), second...)
}

// TestAgainstSlice applies random reads and writes to buffers of several sizes and to a slice. It guards against bytes that
// are lost or moved when the ring wraps around, grows or frees its memory.
func TestAgainstSlice(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		initial, limit := 1+rng.IntN(8), 1+rng.IntN(64)
		b, model, next := New(initial, limit, nil), []byte{}, byte(0)
		for step := range 2000 {
			switch n := rng.IntN(12); rng.IntN(4) {
			case 0:
				p := make([]byte, n)
				for i := range p {
					p[i] = next + byte(i)
				}
				wrote, err := b.Write(p)
				if fits := len(model)+n <= limit; fits != (err == nil) || fits && wrote != n || !fits && wrote != 0 {
					t.Fatalf("seed %d step %d: write of %d at %d of %d: %d, %v", seed, step, n, len(model), limit, wrote, err)
				}
				if err == nil {
					model, next = append(model, p...), next+byte(n)
				}
			case 1:
				space, err := b.Space()
				if (err == nil) != (len(model) < limit) {
					t.Fatalf("seed %d step %d: space at %d of %d: %v", seed, step, len(model), limit, err)
				}
				for i := range min(n, len(space)) {
					space[i] = next
					model, next = append(model, next), next+1
				}
				b.Commit(min(n, len(space)))
			case 2:
				n = min(n, len(model))
				if got := b.Front(n); !bytes.Equal(got, model[:n]) {
					t.Fatalf("seed %d step %d: front %v, want %v", seed, step, got, model[:n])
				}
				b.Discard(n)
				model = model[n:]
			case 3:
				from, c := rng.IntN(len(model)+1), next-byte(n)
				want := bytes.IndexByte(model[from:], c)
				if want >= 0 {
					want += from
				}
				if got := b.Index(c, from); got != want {
					t.Fatalf("seed %d step %d: index %d, want %d", seed, step, got, want)
				}
			}
			if got := contents(b); !bytes.Equal(got, model) || b.Len() != len(model) {
				t.Fatalf("seed %d step %d: holds %v (%d), want %v", seed, step, got, b.Len(), model)
			}
		}
	}
}

// TestMemory guards against idle connections that cost memory: a buffer allocates none before its first bytes and frees it
// when it is empty again.
func TestMemory(t *testing.T) {
	b := New(16, 1024, nil)
	if b.data != nil {
		t.Error("an unused buffer holds memory")
	}
	if _, err := b.Write(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Write([]byte{1}); !errors.Is(err, ErrFull) {
		t.Errorf("write over the limit: %v", err)
	}
	if b.Discard(1023); len(b.data) != 1024 {
		t.Errorf("%d bytes of memory while one byte is buffered", len(b.data))
	}
	if b.Discard(1); b.data != nil {
		t.Errorf("%d bytes of memory kept by an empty buffer", len(b.data))
	}
	if b.SetLimit(4096); len(contents(b)) != 0 {
		t.Error("an empty buffer holds bytes")
	}
	if _, err := b.Write(make([]byte, 4000)); err != nil {
		t.Errorf("write under a raised limit: %v", err)
	}
}

// TestBudget guards against buffers that are each within their limit and together exceed the memory.
func TestBudget(t *testing.T) {
	budget := NewBudget(3000, 0)
	one, two := New(16, 4096, budget), New(16, 4096, budget)
	if _, err := one.Write(make([]byte, 2000)); err != nil {
		t.Fatal(err)
	}
	if _, err := two.Write(make([]byte, 2000)); !errors.Is(err, ErrFull) || two.Len() != 0 {
		t.Errorf("a write over the budget: %v, %d bytes held", err, two.Len())
	}
	if _, err := two.Write(make([]byte, 500)); err != nil {
		t.Errorf("a write within the budget: %v", err)
	}
	one.Discard(2000)
	if _, err := two.Write(make([]byte, 1500)); err != nil || two.Len() != 2000 {
		t.Errorf("a write after memory was freed: %v, %d bytes held", err, two.Len())
	}
	if two.Free(); budget.used.Load() != 0 {
		t.Errorf("%d bytes are still reserved", budget.used.Load())
	}
	budget = NewBudget(3000, 512)
	one, two = New(16, 4096, budget), New(16, 4096, budget)
	if _, err := one.Write(make([]byte, 2040)); err != nil {
		t.Fatal(err)
	}
	budget.used.Store(3000)
	if _, err := two.Write(make([]byte, 500)); err != nil {
		t.Errorf("a small write while the budget is exhausted: %v", err)
	}
	if _, err := two.Write(make([]byte, 500)); !errors.Is(err, ErrFull) {
		t.Errorf("a larger write: %v", err)
	}
}
