package exchange

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/agreement"
	"mulleinwood/internal/booking"
	"mulleinwood/internal/dialplan"
	"mulleinwood/internal/tone"
)

// change is a call of an operator, as the history holds it.
type change struct {
	Base  uint64 `cbor:"1,keyasint"`
	Patch bool   `cbor:"2,keyasint,omitempty"`
	Body  []byte `cbor:"3,keyasint"`

	Book *booking.Op `cbor:"4,keyasint,omitempty"` // instead: a change of the book
}

// digest tells calls apart: the same call again has the same.
func (c change) digest() [32]byte {
	h := sha256.New()
	b, _ := cbor.Marshal(c.Base)
	h.Write(b)
	if c.Patch {
		h.Write([]byte{1})
	}
	h.Write(c.Body)
	return [32]byte(h.Sum(nil))
}

// taken is a configuration that was taken, and the call that brought it.
type taken struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  [32]byte
}

// history is what the entries of the agreement lead to.
type history struct {
	config *dialplan.Config // nil before the first
	book   *booking.Book
	taken  []taken
	index  uint64
	since  int // entries since the last snapshot
}

func newHistory() *history { return &history{book: booking.NewBook()} }

func (h *history) version() uint64 {
	if h.config == nil {
		return 0
	}
	return uint64(h.config.Version)
}

// apply takes an entry. Every planner comes to the same outcome, so that a refused change is refused everywhere.
func (h *history) apply(e agreement.Entry) (applied *change, err error) {
	h.index = e.Index
	h.since++
	if len(e.Data) == 0 {
		return nil, nil
	}
	var c change
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
		return nil, tone.Invalid.Wrap(err, "entry %d", e.Index)
	}
	if c.Book != nil {
		return nil, h.book.Apply(*c.Book)
	}
	digest := c.digest()
	for _, t := range h.taken {
		if t.Digest == digest {
			return nil, nil // the same call again, after an answer that was lost
		}
	}
	if c.Base != h.version() {
		return nil, tone.Stale.New("built on %s, current is %s", dialplan.Version(c.Base), dialplan.Version(h.version()))
	}
	next, err := h.check(c)
	if err != nil {
		return nil, err
	}
	h.config = next
	h.taken = append(h.taken, taken{Version: uint64(next.Version), Digest: digest})
	h.taken = h.taken[max(0, len(h.taken)-historyKept):]
	return &c, nil
}

// check gives the configuration that a change would lead to.
func (h *history) check(c change) (*dialplan.Config, error) {
	if c.Patch {
		if h.config == nil {
			return nil, tone.Stale.New("there is no configuration to change")
		}
		return h.config.Patch(c.Body)
	}
	next, err := dialplan.Parse(c.Body)
	if err == nil && uint64(next.Version) <= h.version() {
		err = tone.Invalid.New("version %s is not above %s", next.Version, dialplan.Version(h.version()))
	}
	return next, err
}

type savedHistory struct {
	Config []byte  `cbor:"1,keyasint,omitempty"`
	Taken  []taken `cbor:"2,keyasint,omitempty"`

	Book *booking.Book `cbor:"3,keyasint,omitempty"`
}

// save is the snapshot of a history.
func (h *history) save() ([]byte, error) {
	s := savedHistory{Taken: h.taken}
	if h.book.Version > 0 {
		s.Book = h.book
	}
	if h.config != nil {
		var err error
		if s.Config, err = json.Marshal(h.config); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(s)
}

// restore takes a snapshot over.
func (h *history) restore(s agreement.Snapshot) error {
	var saved savedHistory
	if err := cbor.Unmarshal(s.Data, &saved); err != nil {
		return err
	}
	next := history{taken: saved.Taken, index: s.Index, book: booking.NewBook()}
	if saved.Book != nil {
		next.book = saved.Book
	}
	if saved.Config != nil {
		config, err := dialplan.Parse(saved.Config)
		if err != nil {
			return err
		}
		next.config = config
	}
	*h = next
	return nil
}
