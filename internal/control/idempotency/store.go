package idempotency

import (
	"crypto/sha256"
	"time"
)

// Key names an operation: its tenant and the tenant's key, hashed.
type Key [16]byte

// KeyOf hashes a tenant's key. The same key of another tenant is another operation.
func KeyOf(tenant, key string) Key {
	h := sha256.New()
	h.Write([]byte(tenant))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:len(Key{})])
}

// Token names one attempt to claim a key: the incarnation of the claimant and a number of its own.
type Token struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
}

// Response is what the first run of an operation answered, for repeats.
type Response struct {
	Status  int               `cbor:"1,keyasint"`
	Headers map[string]string `cbor:"2,keyasint,omitempty"`
	Body    []byte            `cbor:"3,keyasint,omitempty"`
}

// Record is a claim on its way between processes and on disk.
type Record struct {
	Key   Key   `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
	// ResponseHolder is the IP address of the controller that will keep the response.
	ResponseHolder string    `cbor:"3,keyasint,omitempty"`
	Revoked        bool      `cbor:"4,keyasint,omitempty"` // nothing was run under it, and nothing ever will be
	Response       *Response `cbor:"5,keyasint,omitempty"` // nil: not completed, or no longer kept
	Imported       bool      `cbor:"6,keyasint,omitempty"` // imported from another store: nobody is granted it here
	// Contested: imported for two tokens. Which of them was granted is not known, so neither can be revoked, here or at a
	// store that imports it.
	Contested bool `cbor:"7,keyasint,omitempty"`
}

// GrantReply is what one store says to a claim. The numbers are sent between processes.
type GrantReply uint8

// The replies of a store.
const (
	ReplyUnavailable GrantReply = iota // the store can't tell now: its disk is failing, or it is recovering
	ReplyGranted                       // it holds the claim, durably
	ReplyConflict                      // another token holds the key
	ReplyStaleEpoch                    // the store knows a newer membership than the one under which it was asked
)

// revokedRetention is how long a revocation is remembered that came before its claim, which may still be on its way.
const revokedRetention = 10 * time.Second

// Store holds the claims of one controller.
type Store struct {
	window     time.Duration
	claims     map[Key]*claim
	ages       []claimAge              // of all claims ever stored that are not expired, oldest first
	revoked    map[Token]time.Duration // lately, and when
	recovering bool

	responses        []responseRef // oldest first
	responseBytes    int64         // of the bodies
	maxResponseBytes int64         // 0: no limit
}

// responseRef names the claim of a kept response.
type responseRef struct {
	key   Key
	token Token
}

type claim struct {
	Record
	createdAt time.Duration
	durable   bool
	executed  bool // a response came, whether or not it is still kept
	aged      bool // read from a disk or copied: how long it has been held is not known
}

type claimAge struct {
	key       Key
	createdAt time.Duration
}

// NewStore makes an empty store that remembers claims for the window. One that is recovering grants nothing before
// FinishRecovery.
func NewStore(window time.Duration, recovering bool) *Store {
	return &Store{window: window, claims: map[Key]*claim{}, revoked: map[Token]time.Duration{}, recovering: recovering}
}

// SetMaxResponseBytes bounds the bodies of kept responses. The oldest are dropped first: a repeat comes soon or never, and
// one that comes late is told that the operation is in progress.
func (s *Store) SetMaxResponseBytes(bytes int64) { s.maxResponseBytes = bytes }

// keepResponse keeps the first response of a claim.
func (s *Store) keepResponse(c *claim, r *Response) {
	if c.executed || r == nil {
		return
	}
	c.Response, c.executed = r, true
	s.responseBytes += int64(len(r.Body))
	s.responses = append(s.responses, responseRef{c.Key, c.Token})
	dropped := 0
	for ; s.maxResponseBytes > 0 && s.responseBytes > s.maxResponseBytes; dropped++ {
		if oldest := s.find(s.responses[dropped]); oldest != nil {
			s.dropResponse(oldest)
		}
	}
	s.responses = s.responses[dropped:]
}

// find gives the claim of a kept response; nil: another claim has its key, or none.
func (s *Store) find(ref responseRef) *claim {
	if c := s.claims[ref.key]; c != nil && c.Token == ref.token {
		return c
	}
	return nil
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
	dropped := 0
	for ; dropped < len(s.responses); dropped++ {
		if c := s.find(s.responses[dropped]); c != nil && c.Response != nil {
			break
		}
	}
	s.responses = s.responses[dropped:]
}

// Load takes over a record that the disk held, in the order in which they were written. Its age is not known: it counts
// from now.
func (s *Store) Load(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case r.Revoked:
		if c != nil && c.Token == r.Token {
			s.remove(c)
		}
	case c == nil || c.Token != r.Token:
		c := s.insert(r, now)
		c.durable, c.aged = true, true
	default:
		c.Imported, c.Contested = c.Imported || r.Imported, c.Contested || r.Contested
		s.keepResponse(c, r.Response)
	}
}

// Import takes over a record of another store, while this one is recovering. It gives the record that has to become
// durable.
func (s *Store) Import(r Record, now time.Duration) Record {
	if c := s.claims[r.Key]; c != nil {
		c.Imported, c.Contested = true, c.Contested || r.Contested || c.Token != r.Token
		return c.Record
	}
	r.Imported = true
	c := s.insert(r, now)
	c.durable, c.aged = true, true
	return c.Record
}

// insert stores a claim in place of the one that held its key.
func (s *Store) insert(r Record, now time.Duration) *claim {
	response := r.Response
	r.Response = nil
	c := &claim{Record: r, createdAt: now}
	if previous := s.claims[r.Key]; previous != nil {
		s.dropResponse(previous)
	}
	s.claims[r.Key] = c
	s.keepResponse(c, response)
	s.ages = append(s.ages, claimAge{r.Key, now})
	return c
}

// BeginRecovery stops the store from granting: it counts for nothing any more, and before it counts again it has to import
// what the others hold.
func (s *Store) BeginRecovery() { s.recovering = true }

// FinishRecovery lets the store grant again.
func (s *Store) FinishRecovery() { s.recovering = false }

// Recovering reports whether the store grants nothing since it may lack claims.
func (s *Store) Recovering() bool { return s.recovering }

// Len is how many claims are held.
func (s *Store) Len() int { return len(s.claims) }

// Grant asks the store for a claim. A ReplyGranted with mustStore may be sent only once the claim is durable: MarkDurable or
// MarkFailed says how that went. With ReplyConflict holder is the claim that holds the key.
func (s *Store) Grant(r Record, now time.Duration) (reply GrantReply, holder Record, mustStore bool) {
	if s.recovering {
		return ReplyUnavailable, Record{}, false
	}
	if c := s.claims[r.Key]; c != nil {
		if c.Token == r.Token && !c.Imported {
			return ReplyGranted, c.Record, !c.durable
		}
		return ReplyConflict, Record{Key: c.Key, Token: c.Token, ResponseHolder: c.ResponseHolder}, false
	}
	if _, revoked := s.revoked[r.Token]; revoked {
		return ReplyUnavailable, Record{}, false
	}
	return ReplyGranted, s.insert(r, now).Record, true
}

// MarkDurable tells that a claim is durable, and reports whether it may be granted: it may have been revoked meanwhile.
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

// Revoke withdraws a claim under which nothing was run, or ever will be. The record, if there is one, has to become
// durable; nothing depends on when.
func (s *Store) Revoke(key Key, token Token, now time.Duration) (r Record, mustStore bool) {
	s.revoked[token] = now
	if c := s.claims[key]; c != nil && c.Token == token && !c.executed && !c.Contested {
		s.remove(c)
		return Record{Key: key, Token: token, Revoked: true}, true
	}
	return Record{}, false
}

// Complete keeps the response of a claim's run. A claim that ran was granted, so another claim of its key that was stored or
// imported here never will be: it makes room.
func (s *Store) Complete(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case c == nil, c.Token != r.Token && !c.executed && r.Response != nil:
		s.insert(r, now)
	case c.Token == r.Token:
		s.keepResponse(c, r.Response)
	}
}

// Response gives the response of a claim's run; nil: there is none, or it is no longer kept. Where another claim of the key
// ran, its response is given: within the window only one of them runs, and repeats that race each other may be told of one
// that holds the key at a few stores and never ran. A record whose age is not known may be of an earlier window, and speaks
// for its own claim alone.
func (s *Store) Response(key Key, token Token) *Response {
	c := s.claims[key]
	if c == nil || c.Token != token && c.aged {
		return nil
	}
	return c.Response
}

// EachResponse hands out every kept response with its claim, in no order.
func (s *Store) EachResponse(do func(Record)) {
	for _, c := range s.claims {
		if c.Response != nil {
			do(Record{Key: c.Key, Token: c.Token, Response: c.Response})
		}
	}
}

// EachClaim hands out every claim without its response, in no order, for a store that imports them.
func (s *Store) EachClaim(do func(Record)) {
	for _, c := range s.claims {
		do(Record{Key: c.Key, Token: c.Token, ResponseHolder: c.ResponseHolder, Contested: c.Contested})
	}
}

// Expire forgets claims whose window is over. It is called every few milliseconds.
func (s *Store) Expire(now time.Duration) {
	expired := 0
	for ; expired < len(s.ages) && now-s.ages[expired].createdAt > s.window; expired++ {
		if c := s.claims[s.ages[expired].key]; c != nil && now-c.createdAt > s.window {
			s.remove(c)
		}
	}
	if expired > 0 {
		s.ages = append([]claimAge(nil), s.ages[expired:]...)
	}
	for token, at := range s.revoked {
		if now-at > revokedRetention {
			delete(s.revoked, token)
		}
	}
}
