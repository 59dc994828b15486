package crossbar

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A server that says nothing: a lookup asks another one once three quarters of its aim are gone, and nothing else does.
func TestSecondServerBesideASilentOne(t *testing.T) {
	late := func(after time.Duration, answer func(*http.Request) string) func(*http.Request) string {
		return func(r *http.Request) string { time.Sleep(after); return answer(r) }
	}
	first := func(h *hall, answer func(*http.Request) string) { // whichever server is picked first
		n := 0
		script := func(r *http.Request) string {
			h.mu.Lock()
			n++
			mine := n
			h.mu.Unlock()
			if mine == 1 {
				return answer(r)
			}
			return good(r)
		}
		h.serve("i-1", script)
		h.serve("i-2", script)
		for range 4 { // fills the purse
			h.asks("tags")
		}
	}
	for name, c := range map[string]struct {
		answer func(*http.Request) string
		path   string
		status int
		took   time.Duration
		sent   int
	}{
		"silence":                           {hang, "/s/x", 200, 300 * time.Millisecond, 2},
		"silence, and it may not run twice": {hang, "/u/x", 504, 995 * time.Millisecond, 1},
		"an answer that comes first":        {late(290*time.Millisecond, good), "/s/x", 200, 290 * time.Millisecond, 1},
		"one that breaks off meanwhile":     {late(290*time.Millisecond, cut), "/s/x", 200, 290 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			in(t, func(h *hall) {
				first(h, c.answer)
				began := h.now()
				w := h.send("GET", c.path, "")
				h.g.Expect(w.Code).To(Equal(c.status))
				h.g.Expect(h.now() - began).To(BeNumerically("~", c.took, 3*time.Millisecond))
				time.Sleep(2 * time.Second)
				synctest.Wait()
				h.g.Expect(h.got).To(HaveLen(c.sent))
				for _, l := range h.lines.All() {
					h.g.Expect(l.Out()).To(Equal(0), "its place is given back")
				}
				h.g.Expect(h.held.left.Load()).To(BeEquivalentTo(heldShare * h.set.Limits.MemoryMB * (1 << 20)))
			})
		})
	}
	t.Run("not without budget", func(t *testing.T) {
		in(t, func(h *hall) {
			h.serve("i-1", hang)
			h.serve("i-2", hang)
			h.g.Expect(h.ask("GET", "/s/x", "").Code).To(Equal(504))
			h.g.Expect(h.got).To(HaveLen(1))
		})
	})
	t.Run("the first good answer counts, and the other's bytes are given back", func(t *testing.T) {
		in(t, func(h *hall) {
			long := strings.Repeat("x", 20_000)
			first(h, late(500*time.Millisecond, func(r *http.Request) string { return reply(r, "200 OK", "X-Server-Seal: s\r\n", long) }))
			h.g.Expect(h.send("GET", "/s/x", "").Body.String()).To(Equal("bytes"))
			time.Sleep(time.Second)
			synctest.Wait()
			h.g.Expect(h.held.left.Load()).To(BeEquivalentTo(heldShare * h.set.Limits.MemoryMB * (1 << 20)))
		})
	})
}
