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
	_    struct{} `cbor:",toarray"`
	Life uint64
	N    uint64
}

// Answer is what the first run answered.
type Answer struct {
	Status  int               `cbor:"1,keyasint"`
	Headers map[string]string `cbor:"2,keyasint,omitempty"`
	Body    []byte            `cbor:"3,keyasint,omitempty"`
}

// Record is a record of the claim store.
type Record struct {
	Key    Key     `cbor:"1,keyasint"`
	Token  Token   `cbor:"2,keyasint"`
	Home   string  `cbor:"3,keyasint,omitempty"` // the planner that will hold the answer
	Void   bool    `cbor:"4,keyasint,omitempty"` // withdrawn: nothing was run under it
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	Copied bool    `cbor:"6,keyasint,omitempty"` // from another claim store: nobody is granted it here
	// Contested: copied for two tokens. Which of them stood is not known, so neither can be withdrawn, here or where it
	// is copied to.
	Contested bool `cbor:"7,keyasint,omitempty"`
}

// Verdict of one claim store on a claim.
type Verdict uint8

// The verdicts.
const (
	Unable  Verdict = iota // the claim store can't tell now: its disk is ill, or not restored yet
	Granted                // it holds the claim, durably
	Held                   // another token holds the key
	Behind                 // the claim store knows a newer membership than the one under which it was asked
)

// Store holds the claims of one planner.
type Store struct {
	window time.Duration
	claims map[Key]*claim
	ages   []aged
	voided map[Token]time.Duration // withdrawn before the claim came: it may still be on its way
	blank  bool

	answered []answered // oldest first
	bytes    int64      // of answers' bodies
	most     int64      // that they may take; 0: any
}

type answered struct {
	key   Key
	token Token
}

type claim struct {
	Record
	born    time.Duration
	durable bool
	ran     bool // an answer came, whether or not it is still held
}

type aged struct {
	key  Key
	born time.Duration
}

// NewStore makes a claim store. A blank one grants nothing before Restored.
func NewStore(window time.Duration, blank bool) *Store {
	return &Store{window: window, claims: map[Key]*claim{}, voided: map[Token]time.Duration{}, blank: blank}
}

// Bound sets how many bytes the bodies of answers may take. The oldest go first: a repeat comes soon or never, and one
// that comes late is told that the operation is at work.
func (s *Store) Bound(bytes int64) { s.most = bytes }

// keep holds an answer of a claim.
func (s *Store) keep(c *claim, a *Answer) {
	if c.ran || a == nil {
		return
	}
	c.Answer, c.ran = a, true
	s.bytes += int64(len(a.Body))
	s.answered = append(s.answered, answered{c.Key, c.Token})
	n := 0
	for ; s.most > 0 && s.bytes > s.most; n++ {
		if old := s.claims[s.answered[n].key]; old != nil && old.Token == s.answered[n].token {
			s.forget(old)
		}
	}
	s.answered = s.answered[n:]
}

func (s *Store) forget(c *claim) {
	if c.Answer != nil {
		s.bytes -= int64(len(c.Answer.Body))
		c.Answer = nil
	}
}

// drop takes a claim out.
func (s *Store) drop(c *claim) {
	s.forget(c)
	delete(s.claims, c.Key)
	n := 0
	for ; n < len(s.answered); n++ {
		if c := s.claims[s.answered[n].key]; c != nil && c.Token == s.answered[n].token && c.Answer != nil {
			break
		}
	}
	s.answered = s.answered[n:]
}

// Load takes over a line that the disk held. Its age is not known: it counts from now.
func (s *Store) Load(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case r.Void:
		if c != nil && c.Token == r.Token {
			s.drop(c)
		}
	case c == nil || c.Token != r.Token:
		s.add(r, now).durable = true
	default:
		c.Copied, c.Contested = c.Copied || r.Copied, c.Contested || r.Contested
		s.keep(c, r.Answer)
	}
}

// Copy takes over a record of another claim store, while this one is blank. What this claim store granted itself before it lost its
// disk is not known, so nobody is granted a copied key: two claim stores may hold two claims of one key, of which one stood
// with the grant that is lost here, and to grant the other would let both stand.
func (s *Store) Copy(r Record, now time.Duration) Record {
	if c := s.claims[r.Key]; c != nil {
		c.Copied, c.Contested = true, c.Contested || r.Contested || c.Token != r.Token
		return c.Record
	}
	r.Copied = true
	c := s.add(r, now)
	c.durable = true
	return c.Record
}

func (s *Store) add(r Record, now time.Duration) *claim {
	a := r.Answer
	r.Answer = nil
	c := &claim{Record: r, born: now}
	if old := s.claims[r.Key]; old != nil {
		s.forget(old)
	}
	s.claims[r.Key] = c
	s.keep(c, a)
	s.ages = append(s.ages, aged{r.Key, now})
	return c
}

// Restored ends the time in which a blank claim store grants nothing.
func (s *Store) Restored() { s.blank = false }

// Revoke begins such a time: the store counts for nothing any more, and before it counts again it copies what the others
// hold.
func (s *Store) Revoke() { s.blank = true }

// Blank tells whether the claim store still grants nothing.
func (s *Store) Blank() bool { return s.blank }

// Len is how many claims are held.
func (s *Store) Len() int { return len(s.claims) }

// Claim takes a claim. If it is granted and store says so, it has to be durable before that is told: Stored or Failed
// tells how it went.
func (s *Store) Claim(r Record, now time.Duration) (v Verdict, holder Record, store bool) {
	if s.blank {
		return Unable, Record{}, false
	}
	if c := s.claims[r.Key]; c != nil {
		if c.Token == r.Token && !c.Copied {
			return Granted, c.Record, !c.durable
		}
		return Held, Record{Key: c.Key, Token: c.Token, Home: c.Home}, false
	}
	if _, late := s.voided[r.Token]; late {
		return Unable, Record{}, false
	}
	return Granted, s.add(r, now).Record, true
}

// Stored tells that a claim is durable, and answers whether it may be granted: it may have been withdrawn meanwhile.
func (s *Store) Stored(key Key, token Token) bool {
	c := s.claims[key]
	if c == nil || c.Token != token {
		return false
	}
	c.durable = true
	return true
}

// Failed tells that a claim could not be stored. One that was durable before stays.
func (s *Store) Failed(key Key, token Token) {
	if c := s.claims[key]; c != nil && c.Token == token && !c.durable {
		s.drop(c)
	}
}

// Void withdraws a claim under which nothing was run, or ever will be.
func (s *Store) Void(key Key, token Token, now time.Duration) (r Record, store bool) {
	s.voided[token] = now
	if c := s.claims[key]; c != nil && c.Token == token && !c.ran && !c.Contested {
		s.drop(c)
		return Record{Key: key, Token: token, Void: true}, true
	}
	return Record{}, false
}

// Done keeps the answer of a claim's run. A claim that ran stood, so another claim of its key, which was granted or copied
// here, never will: it makes room.
func (s *Store) Done(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case c == nil, c.Token != r.Token && !c.ran && r.Answer != nil:
		s.add(r, now)
	case c.Token == r.Token:
		s.keep(c, r.Answer)
	}
}

// Answer finds the answer of a claim's run.
func (s *Store) Answer(key Key, token Token) *Answer {
	if c := s.claims[key]; c != nil && c.Token == token {
		return c.Answer
	}
	return nil
}

// EachAnswer hands out every answer that is held, with its claim.
func (s *Store) EachAnswer(do func(Record)) {
	for _, c := range s.claims {
		if c.Answer != nil {
			do(Record{Key: c.Key, Token: c.Token, Answer: c.Answer})
		}
	}
}

// Each hands out every line without its answer, for a claim store that copies.
func (s *Store) Each(do func(Record)) {
	for _, c := range s.claims {
		do(Record{Key: c.Key, Token: c.Token, Home: c.Home, Contested: c.Contested})
	}
}

// Expire forgets claims whose window is over.
func (s *Store) Expire(now time.Duration) {
	n := 0
	for ; n < len(s.ages) && now-s.ages[n].born > s.window; n++ {
		if c := s.claims[s.ages[n].key]; c != nil && now-c.born > s.window {
			s.drop(c)
		}
	}
	if n > 0 {
		s.ages = append([]aged(nil), s.ages[n:]...)
	}
	for t, at := range s.voided {
		if now-at > 10*time.Second {
			delete(s.voided, t)
		}
	}
}
