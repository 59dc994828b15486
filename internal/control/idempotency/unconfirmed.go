package idempotency

import (
	"slices"
	"time"
)

const (
	// minResendDelay and maxResendDelay bound the delays after which an unconfirmed response is sent again. They double
	// each time. The first is longer than a confirmation takes beside a slow disk.
	minResendDelay = time.Second
	maxResendDelay = 16 * time.Second
	// recordOverheadBytes is what a buffered response needs besides its body.
	recordOverheadBytes = 256
)

// Unconfirmed buffers the responses of an edge until a majority of the claim stores has confirmed that they are durable.
// Until then the edge may hold the only copy, so they are sent again: at once to another controller, and otherwise with a
// growing delay. It is not safe for concurrent use.
type Unconfirmed struct {
	window   time.Duration
	maxBytes int
	bytes    int
	entries  []*unconfirmedResponse // oldest first
	byToken  map[Token]*unconfirmedResponse
	dropped  int
}

type unconfirmedResponse struct {
	record  Record
	addedAt time.Duration
	sendAt  time.Duration // when it is sent again
	delay   time.Duration // added to the time of sending to get the next sendAt
}

func (u *unconfirmedResponse) size() int { return len(u.record.Response.Body) + recordOverheadBytes }

// NewUnconfirmed returns an empty buffer. It drops responses that are older than window, and the oldest ones beyond maxBytes.
func NewUnconfirmed(window time.Duration, maxBytes int) *Unconfirmed {
	return &Unconfirmed{window: window, maxBytes: maxBytes, byToken: map[Token]*unconfirmedResponse{}}
}

// Add adds a response, which is due to be sent at once.
func (b *Unconfirmed) Add(r Record, now time.Duration) {
	u := &unconfirmedResponse{record: r, addedAt: now, sendAt: now, delay: minResendDelay}
	b.entries = append(b.entries, u)
	b.byToken[r.Token] = u
	b.bytes += u.size()
	b.dropOldest(now)
}

// dropOldest drops the responses that are older than the window or beyond maxBytes.
func (b *Unconfirmed) dropOldest(now time.Duration) {
	count := 0
	for ; count < len(b.entries) && (now-b.entries[count].addedAt > b.window || b.bytes > b.maxBytes); count++ {
		b.forget(b.entries[count])
	}
	b.dropped += count
	b.entries = slices.Delete(b.entries, 0, count)
}

func (b *Unconfirmed) forget(u *unconfirmedResponse) {
	delete(b.byToken, u.record.Token)
	b.bytes -= u.size()
}

// Confirm removes the responses of these claims, which a majority of the claim stores holds durably.
func (b *Unconfirmed) Confirm(tokens []Token) {
	for _, token := range tokens {
		if u := b.byToken[token]; u != nil {
			b.forget(u)
		}
	}
	b.entries = slices.DeleteFunc(b.entries, func(u *unconfirmedResponse) bool { return b.byToken[u.record.Token] != u })
}

// MarkAllDue makes all responses due. It is called when the edge attaches to a controller, which may have none of them.
func (b *Unconfirmed) MarkAllDue(now time.Duration) {
	for _, u := range b.entries {
		u.sendAt, u.delay = now, minResendDelay
	}
}

// Due returns the oldest responses that are due, at most maxBytes of them but at least one, and counts them as sent now.
func (b *Unconfirmed) Due(now time.Duration, maxBytes int) (due []Record) {
	b.dropOldest(now)
	bytes := 0
	for _, u := range b.entries {
		if u.sendAt > now {
			continue
		}
		if bytes += u.size(); bytes > maxBytes && len(due) > 0 {
			break
		}
		u.sendAt, u.delay = now+u.delay, min(2*u.delay, maxResendDelay)
		due = append(due, u.record)
	}
	return due
}

// Len returns the number of buffered responses.
func (b *Unconfirmed) Len() int { return len(b.entries) }

// Dropped returns the number of responses that were dropped without a confirmation.
func (b *Unconfirmed) Dropped() int { return b.dropped }
