// Package idempotency is the claim store of operations that may run only once. Each controller that counts holds a Store of
// claims; a Coordinator beside it collects enough of them for a claim to stand. Both are values fed with events.
//
// A claim stands once more than half of the claim stores hold it durably. A claim store whose disk came back empty grants nothing
// before it has copied what every other claim store holds, so any two claims that stand have a claim store in common that
// remembers. A claim is withdrawn only while it is certain that nothing was run under it.
package idempotency

import (
	"crypto/sha256"
	"time"
)

// Key names an operation: its tenant and its key, hashed.
type Key [16]byte

// KeyOf hashes a tenant's key. The same key of another tenant is another operation.
func KeyOf(tenant, key string) Key {
	h := sha256.New()
	h.Write([]byte(tenant))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:16])
}

// Token names one attempt to claim a key: the life of the claimer and a number of its own.
type Token struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
}

// Response is what the first run answered.
type Response struct {
	Status  int               `cbor:"1,keyasint"`
	Headers map[string]string `cbor:"2,keyasint,omitempty"`
	Body    []byte            `cbor:"3,keyasint,omitempty"`
}

// Record is a record of the claim store.
type Record struct {
	Key            Key       `cbor:"1,keyasint"`
	Token          Token     `cbor:"2,keyasint"`
	ResponseHolder string    `cbor:"3,keyasint,omitempty"` // the planner that will hold the answer
	Revoked        bool      `cbor:"4,keyasint,omitempty"` // withdrawn: nothing was run under it
	Response       *Response `cbor:"5,keyasint,omitempty"`
	Copied         bool      `cbor:"6,keyasint,omitempty"` // from another claim store: nobody is granted it here
	// Contested: copied for two tokens. Which of them stood is not known, so neither can be withdrawn, here or where it
	// is copied to.
	Contested bool `cbor:"7,keyasint,omitempty"`
}

// GrantReply of one claim store on a claim.
type GrantReply uint8

// The verdicts.
const (
	ReplyUnavailable GrantReply = iota // the claim store can't tell now: its disk is ill, or not restored yet
	ReplyGranted                       // it holds the claim, durably
	ReplyConflict                      // another token holds the key
	ReplyStaleEpoch                    // the claim store knows a newer membership than the one under which it was asked
)

// Store holds the claims of one planner.
type Store struct {
	window     time.Duration
	claims     map[Key]*claim
	ages       []claimAge
	revoked    map[Token]time.Duration // withdrawn before the claim came: it may still be on its way
	recovering bool

	responses        []responseRef // oldest first
	responseBytes    int64         // of answers' bodies
	maxResponseBytes int64         // that they may take; 0: any
}

type responseRef struct {
	key   Key
	token Token
}

type claim struct {
	Record
	createdAt time.Duration
	durable   bool
	executed  bool // an answer came, whether or not it is still held
}

type claimAge struct {
	key       Key
	createdAt time.Duration
}

// NewStore makes a claim store. A blank one grants nothing before Restored.
func NewStore(window time.Duration, recovering bool) *Store {
	return &Store{window: window, claims: map[Key]*claim{}, revoked: map[Token]time.Duration{}, recovering: recovering}
}

// SetMaxResponseBytes sets how many bytes the bodies of answers may take. The oldest go first: a repeat comes soon or never, and one
// that comes late is told that the operation is at work.
func (s *Store) SetMaxResponseBytes(bytes int64) { s.maxResponseBytes = bytes }

// keepResponse holds an answer of a claim.
func (s *Store) keepResponse(c *claim, a *Response) {
	if c.executed || a == nil {
		return
	}
	c.Response, c.executed = a, true
	s.responseBytes += int64(len(a.Body))
	s.responses = append(s.responses, responseRef{c.Key, c.Token})
	n := 0
	for ; s.maxResponseBytes > 0 && s.responseBytes > s.maxResponseBytes; n++ {
		if old := s.claims[s.responses[n].key]; old != nil && old.Token == s.responses[n].token {
			s.dropResponse(old)
		}
	}
	s.responses = s.responses[n:]
}

func (s *Store) dropResponse(c *claim) {
	if c.Response != nil {
		s.responseBytes -= int64(len(c.Response.Body))
		c.Response = nil
	}
}

// remove takes a claim out.
func (s *Store) remove(c *claim) {
	s.dropResponse(c)
	delete(s.claims, c.Key)
	n := 0
	for ; n < len(s.responses); n++ {
		if c := s.claims[s.responses[n].key]; c != nil && c.Token == s.responses[n].token && c.Response != nil {
			break
		}
	}
	s.responses = s.responses[n:]
}

// Load takes over a line that the disk held. Its age is not known: it counts from now.
func (s *Store) Load(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case r.Revoked:
		if c != nil && c.Token == r.Token {
			s.remove(c)
		}
	case c == nil || c.Token != r.Token:
		s.insert(r, now).durable = true
	default:
		c.Copied, c.Contested = c.Copied || r.Copied, c.Contested || r.Contested
		s.keepResponse(c, r.Response)
	}
}

// Import takes over a record of another claim store, while this one is blank. What this claim store granted itself before it lost its
// disk is not known, so nobody is granted a copied key: two claim stores may hold two claims of one key, of which one stood
// with the grant that is lost here, and to grant the other would let both stand.
func (s *Store) Import(r Record, now time.Duration) Record {
	if c := s.claims[r.Key]; c != nil {
		c.Copied, c.Contested = true, c.Contested || r.Contested || c.Token != r.Token
		return c.Record
	}
	r.Copied = true
	c := s.insert(r, now)
	c.durable = true
	return c.Record
}

func (s *Store) insert(r Record, now time.Duration) *claim {
	a := r.Response
	r.Response = nil
	c := &claim{Record: r, createdAt: now}
	if old := s.claims[r.Key]; old != nil {
		s.dropResponse(old)
	}
	s.claims[r.Key] = c
	s.keepResponse(c, a)
	s.ages = append(s.ages, claimAge{r.Key, now})
	return c
}

// FinishRecovery ends the time in which a blank claim store grants nothing.
func (s *Store) FinishRecovery() { s.recovering = false }

// BeginRecovery begins such a time: the store counts for nothing any more, and before it counts again it copies what the others
// hold.
func (s *Store) BeginRecovery() { s.recovering = true }

// Recovering tells whether the claim store still grants nothing.
func (s *Store) Recovering() bool { return s.recovering }

// Len is how many claims are held.
func (s *Store) Len() int { return len(s.claims) }

// Grant takes a claim. If it is granted and store says so, it has to be durable before that is told: Stored or Failed
// tells how it went.
func (s *Store) Grant(r Record, now time.Duration) (reply GrantReply, holder Record, mustStore bool) {
	if s.recovering {
		return ReplyUnavailable, Record{}, false
	}
	if c := s.claims[r.Key]; c != nil {
		if c.Token == r.Token && !c.Copied {
			return ReplyGranted, c.Record, !c.durable
		}
		return ReplyConflict, Record{Key: c.Key, Token: c.Token, ResponseHolder: c.ResponseHolder}, false
	}
	if _, revoked := s.revoked[r.Token]; revoked {
		return ReplyUnavailable, Record{}, false
	}
	return ReplyGranted, s.insert(r, now).Record, true
}

// MarkDurable tells that a claim is durable, and answers whether it may be granted: it may have been withdrawn meanwhile.
func (s *Store) MarkDurable(key Key, token Token) bool {
	c := s.claims[key]
	if c == nil || c.Token != token {
		return false
	}
	c.durable = true
	return true
}

// MarkFailed tells that a claim could not be stored. One that was durable before stays.
func (s *Store) MarkFailed(key Key, token Token) {
	if c := s.claims[key]; c != nil && c.Token == token && !c.durable {
		s.remove(c)
	}
}

// Revoke withdraws a claim under which nothing was run, or ever will be.
func (s *Store) Revoke(key Key, token Token, now time.Duration) (r Record, mustStore bool) {
	s.revoked[token] = now
	if c := s.claims[key]; c != nil && c.Token == token && !c.executed && !c.Contested {
		s.remove(c)
		return Record{Key: key, Token: token, Revoked: true}, true
	}
	return Record{}, false
}

// Complete keeps the answer of a claim's run. A claim that ran stood, so another claim of its key, which was granted or copied
// here, never will: it makes room.
func (s *Store) Complete(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case c == nil, c.Token != r.Token && !c.executed && r.Response != nil:
		s.insert(r, now)
	case c.Token == r.Token:
		s.keepResponse(c, r.Response)
	}
}

// Response finds the answer of a claim's run.
func (s *Store) Response(key Key, token Token) *Response {
	if c := s.claims[key]; c != nil && c.Token == token {
		return c.Response
	}
	return nil
}

// EachResponse hands out every answer that is held, with its claim.
func (s *Store) EachResponse(do func(Record)) {
	for _, c := range s.claims {
		if c.Response != nil {
			do(Record{Key: c.Key, Token: c.Token, Response: c.Response})
		}
	}
}

// EachClaim hands out every line without its answer, for a claim store that copies.
func (s *Store) EachClaim(do func(Record)) {
	for _, c := range s.claims {
		do(Record{Key: c.Key, Token: c.Token, ResponseHolder: c.ResponseHolder, Contested: c.Contested})
	}
}

// Expire forgets claims whose window is over.
func (s *Store) Expire(now time.Duration) {
	n := 0
	for ; n < len(s.ages) && now-s.ages[n].createdAt > s.window; n++ {
		if c := s.claims[s.ages[n].key]; c != nil && now-c.createdAt > s.window {
			s.remove(c)
		}
	}
	if n > 0 {
		s.ages = append([]claimAge(nil), s.ages[n:]...)
	}
	for t, at := range s.revoked {
		if now-at > 10*time.Second {
			delete(s.revoked, t)
		}
	}
}
