package idempotency

import (
	"slices"
	"time"
)

const (
	// maxBackfillQueries is the largest number of claims in one query.
	maxBackfillQueries = 256
	// backfillTimeout is how long a source may take to reply to a query.
	backfillTimeout = 500 * time.Millisecond
	// backfillRetryDelay is how long a source that did not reply is left alone.
	backfillRetryDelay = time.Second
)

// Backfill fetches the responses of the claims that a store imported, from the other stores in turn: which of them holds a
// response isn't known. One query is in flight at a time, so that neither side buffers more than one reply. It is not safe
// for concurrent use.
type Backfill struct {
	wanted    []Record
	expiresAt time.Duration            // when the window of all wanted claims has passed
	asked     map[string]int           // by source: number of wanted claims that need no further query there
	retryAt   map[string]time.Duration // by source: when one that did not reply is asked again
	query     backfillQuery            // the query in flight; its source is empty if there is none
	fetched   int
}

// backfillQuery is a query for the wanted claims at the given indexes, which are ascending.
type backfillQuery struct {
	source   string
	indexes  []int
	deadline time.Duration
}

// NewBackfill returns a backfill for claims whose responses are missing. It gives up at expiresAt.
func NewBackfill(claims []Record, expiresAt time.Duration) *Backfill {
	return &Backfill{wanted: claims, expiresAt: expiresAt, asked: map[string]int{}, retryAt: map[string]time.Duration{}}
}

// Next returns the next query and its source, one of sources. It returns no query while one is in flight, or if none is
// needed now. missing reports whether the response of a claim is still missing.
func (b *Backfill) Next(sources []string, missing func(Record) bool, now time.Duration) (source string, query []Record) {
	if b.query.source != "" {
		if now < b.query.deadline {
			return "", nil
		}
		b.retryAt[b.query.source] = now + backfillRetryDelay
		b.query = backfillQuery{}
	}
	for _, source := range sources {
		if now < b.retryAt[source] {
			continue
		}
		if query := b.start(source, missing, now); len(query) > 0 {
			return source, query
		}
	}
	return "", nil
}

// start starts the next query to a source, unless it was asked for all wanted claims.
func (b *Backfill) start(source string, missing func(Record) bool, now time.Duration) (query []Record) {
	var indexes []int
	next := b.asked[source]
	for ; next < len(b.wanted) && len(indexes) < maxBackfillQueries; next++ {
		if missing(b.wanted[next]) {
			indexes = append(indexes, next)
			query = append(query, Record{Key: b.wanted[next].Key, Token: b.wanted[next].Token})
		}
	}
	if len(indexes) == 0 {
		b.asked[source] = next
		return nil
	}
	b.query = backfillQuery{source: source, indexes: indexes, deadline: now + backfillTimeout}
	return query
}

// HandleReplies processes the replies of a source. A reply to a query answers its first claims, at least one, by their keys;
// the others are asked for again. It returns the records with a response.
func (b *Backfill) HandleReplies(source string, replies []Record) (found []Record) {
	if source != b.query.source {
		return nil
	}
	answered := 0
	for answered < len(replies) && answered < len(b.query.indexes) &&
		replies[answered].Key == b.wanted[b.query.indexes[answered]].Key {
		answered++
	}
	if answered == 0 {
		return nil // the replies belong to another query
	}
	b.asked[source] = b.query.indexes[answered-1] + 1
	b.query = backfillQuery{}
	for _, r := range replies[:answered] {
		if r.Response != nil {
			found = append(found, r)
		}
	}
	b.fetched += len(found)
	return found
}

// Done reports whether all of sources were asked for all wanted claims, or the claims have expired.
func (b *Backfill) Done(sources []string, now time.Duration) bool {
	unfinished := func(source string) bool { return b.asked[source] < len(b.wanted) }
	return now > b.expiresAt || b.query.source == "" && !slices.ContainsFunc(sources, unfinished)
}

// Fetched returns the number of responses that were fetched.
func (b *Backfill) Fetched() int { return b.fetched }
