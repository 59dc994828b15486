// Package broadcast spreads news of servers: it decides what a controller tells whom, and when a server's call is
// acknowledged. News goes to all edges and controllers that are linked; that a server leaves is acknowledged once all of
// them say that they hold it, or after a time: who is out of reach for that long is not in touch. It is a value fed with
// events; what has to be sent and answered gathers until Take.
package broadcast

import (
	"slices"
	"time"

	"mulleinwood/internal/control/registry"
)

// Waits for receipts.
const (
	near = 300 * time.Millisecond // for another controller's edges to say that they hold an entry
	far  = 600 * time.Millisecond // and for other controllers, theirs included
)

// Send is what one link is sent.
type Send struct {
	To       string
	Entries  []registry.Entry
	Receipt  uint64 // to be sent back once the entries are in force
	Received uint64
}

// Output is what has gathered.
type Output struct {
	Sends []Send
	Done  []uint64         // calls that are acknowledged now
	News  []registry.Entry // what changed here, for the tables and the disk
}

// Broadcaster is one controller's part.
type Broadcaster struct {
	registry *registry.Registry
	links    map[string]*link
	receipts map[uint64]*receipt
	next     uint64
	acked    map[string]registry.State // of servers that are leaving, what was acknowledged here
	out      Output
}

type link struct {
	edge  bool
	hears []string // controllers that it has links to
}

// receipt waits until others hold what was spread.
type receipt struct {
	need  map[string]bool
	until time.Duration
	done  func()
}

// New makes a broadcaster over a registry.
func New(servers *registry.Registry) *Broadcaster {
	return &Broadcaster{registry: servers, links: map[string]*link{}, receipts: map[uint64]*receipt{}, acked: map[string]registry.State{}}
}

// Take hands out what has gathered.
func (b *Broadcaster) Take() Output {
	out := b.out
	b.out = Output{}
	return out
}

// Join takes a link in, by a name that no other has. A new link of one that is there takes its place: what the former was
// to answer comes with the snapshot that a new link begins with.
func (b *Broadcaster) Join(name string, edge bool) {
	b.Left(name)
	b.links[name] = &link{edge: edge}
}

// Left takes a link out: nobody waits for it.
func (b *Broadcaster) Left(name string) {
	if b.links[name] == nil {
		return
	}
	delete(b.links, name)
	for _, r := range b.receipts {
		delete(r.need, name)
	}
	b.finish()
}

// Hears notes which controllers another one is linked to.
func (b *Broadcaster) Hears(name string, controllers []string) {
	if l := b.links[name]; l != nil {
		l.hears = controllers
	}
}

// Received takes a receipt.
func (b *Broadcaster) Received(name string, id uint64) {
	if r := b.receipts[id]; r != nil {
		delete(r.need, name)
		b.finish()
	}
}

// Heard takes what another process knows of servers, and passes on what is news. Want is the receipt that it asks for.
func (b *Broadcaster) Heard(from string, entries []registry.Entry, want uint64, now time.Duration) {
	var news []registry.Entry
	for _, e := range entries {
		if changed, isNews := b.registry.Take(e, now); isNews {
			news = append(news, changed)
		}
	}
	var done func()
	if want != 0 {
		done = func() { b.out.Sends = append(b.out.Sends, Send{To: from, Received: want}) }
	}
	b.spread(news, from, near, now, done)
}

// Changed passes on what changed here by itself.
func (b *Broadcaster) Changed(news []registry.Entry, now time.Duration) {
	b.spread(news, "", near, now, nil)
}

// Call takes a server's own word: a beat, or that it leaves or is gone. Call is what Done will hold once it is
// acknowledged.
func (b *Broadcaster) Call(e registry.Entry, call uint64, now time.Duration) (changed registry.Entry, first bool) {
	old, known := b.registry.Get(e.ID)
	if e.State == registry.Gone && known {
		e.Seq = old.Seq
	}
	changed, news := b.registry.Take(e, now)
	leaving := e.State > registry.Ready
	var list []registry.Entry
	if news || leaving {
		list = append(list, changed)
	}
	switch {
	case !leaving:
		b.spread(list, "", near, now, nil)
		b.out.Done = append(b.out.Done, call)
	case known && old.State >= changed.State && !news && b.acked[e.ID] >= changed.State:
		b.out.Done = append(b.out.Done, call) // said before, and known
	default:
		b.spread(list, "", far, now, func() {
			if changed.State == registry.Gone {
				delete(b.acked, e.ID) // it calls no more
			} else {
				b.acked[e.ID] = changed.State
			}
			b.out.Done = append(b.out.Done, call)
		})
	}
	return changed, !known || changed.State != old.State
}

// Tick gives up on receipts that don't come.
func (b *Broadcaster) Tick(now time.Duration) {
	for _, id := range b.order() {
		if r := b.receipts[id]; now > r.until {
			delete(b.receipts, id)
			r.done()
		}
	}
}

// spread tells edges and other controllers of news; done hears when those that have to know hold it. What another controller
// told goes on to controllers that it has no link to itself.
func (b *Broadcaster) spread(news []registry.Entry, from string, limit, now time.Duration, done func()) {
	need, id := map[string]bool{}, uint64(0)
	if done != nil {
		b.next++
		id = b.next
	}
	if len(news) > 0 {
		b.out.News = append(b.out.News, news...)
		teller := b.links[from]
		for name, l := range b.links {
			if name != from && (l.edge || teller == nil || teller.edge || !slices.Contains(teller.hears, name)) {
				need[name] = true
			}
		}
		for _, name := range sorted(need) {
			b.out.Sends = append(b.out.Sends, Send{To: name, Entries: news, Receipt: id})
		}
	}
	if done != nil {
		b.receipts[id] = &receipt{need: need, until: now + limit, done: done}
		b.finish()
	}
}

// finish ends the receipts that all have given.
func (b *Broadcaster) finish() {
	for _, id := range b.order() {
		if r := b.receipts[id]; r != nil && len(r.need) == 0 {
			delete(b.receipts, id)
			r.done()
		}
	}
}

// order gives the receipts as they began, so that the same events have the same outcome.
func (b *Broadcaster) order() []uint64 { return sorted(b.receipts) }

func sorted[K uint64 | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
