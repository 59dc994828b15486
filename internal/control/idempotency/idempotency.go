// Package idempotency is the ledger of operations that may run only once. Each controller that counts holds a Ledger of
// claims; an Office beside it collects enough of them for a claim to stand. Both are values fed with events.
//
// A claim stands once more than half of the ledgers hold it durably. A ledger whose disk came back empty grants nothing
// before it has copied what every other ledger holds, so any two claims that stand have a ledger in common that
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

// Record is a line of the ledger.
type Record struct {
	Key    Key     `cbor:"1,keyasint"`
	Token  Token   `cbor:"2,keyasint"`
	Home   string  `cbor:"3,keyasint,omitempty"` // the planner that will hold the answer
	Void   bool    `cbor:"4,keyasint,omitempty"` // withdrawn: nothing was run under it
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	Copied bool    `cbor:"6,keyasint,omitempty"` // from another ledger: nobody is granted it here
	// Contested: copied for two tokens. Which of them stood is not known, so neither can be withdrawn, here or where it
	// is copied to.
	Contested bool `cbor:"7,keyasint,omitempty"`
}

// Verdict of one ledger on a claim.
type Verdict uint8

// The verdicts.
const (
	Unable  Verdict = iota // the ledger can't tell now: its disk is ill, or not restored yet
	Granted                // it holds the claim, durably
	Held                   // another token holds the key
)

// Ledger holds the claims of one planner.
type Ledger struct {
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

// NewLedger makes a ledger. A blank one grants nothing before Restored.
func NewLedger(window time.Duration, blank bool) *Ledger {
	return &Ledger{window: window, claims: map[Key]*claim{}, voided: map[Token]time.Duration{}, blank: blank}
}

// Bound sets how many bytes the bodies of answers may take. The oldest go first: a repeat comes soon or never, and one
// that comes late is told that the operation is at work.
func (l *Ledger) Bound(bytes int64) { l.most = bytes }

// keep holds an answer of a claim.
func (l *Ledger) keep(c *claim, a *Answer) {
	if c.ran || a == nil {
		return
	}
	c.Answer, c.ran = a, true
	l.bytes += int64(len(a.Body))
	l.answered = append(l.answered, answered{c.Key, c.Token})
	n := 0
	for ; l.most > 0 && l.bytes > l.most; n++ {
		if old := l.claims[l.answered[n].key]; old != nil && old.Token == l.answered[n].token {
			l.forget(old)
		}
	}
	l.answered = l.answered[n:]
}

func (l *Ledger) forget(c *claim) {
	if c.Answer != nil {
		l.bytes -= int64(len(c.Answer.Body))
		c.Answer = nil
	}
}

// drop takes a claim out.
func (l *Ledger) drop(c *claim) {
	l.forget(c)
	delete(l.claims, c.Key)
	n := 0
	for ; n < len(l.answered); n++ {
		if c := l.claims[l.answered[n].key]; c != nil && c.Token == l.answered[n].token && c.Answer != nil {
			break
		}
	}
	l.answered = l.answered[n:]
}

// Load takes over a line that the disk held. Its age is not known: it counts from now.
func (l *Ledger) Load(r Record, now time.Duration) {
	c := l.claims[r.Key]
	switch {
	case r.Void:
		if c != nil && c.Token == r.Token {
			l.drop(c)
		}
	case c == nil || c.Token != r.Token:
		l.add(r, now).durable = true
	default:
		c.Copied, c.Contested = c.Copied || r.Copied, c.Contested || r.Contested
		l.keep(c, r.Answer)
	}
}

// Copy takes over a line of another ledger, while this one is blank. What this ledger granted itself before it lost its
// disk is not known, so nobody is granted a copied key: two ledgers may hold two claims of one key, of which one stood
// with the grant that is lost here, and to grant the other would let both stand.
func (l *Ledger) Copy(r Record, now time.Duration) Record {
	if c := l.claims[r.Key]; c != nil {
		c.Copied, c.Contested = true, c.Contested || r.Contested || c.Token != r.Token
		return c.Record
	}
	r.Copied = true
	c := l.add(r, now)
	c.durable = true
	return c.Record
}

func (l *Ledger) add(r Record, now time.Duration) *claim {
	a := r.Answer
	r.Answer = nil
	c := &claim{Record: r, born: now}
	if old := l.claims[r.Key]; old != nil {
		l.forget(old)
	}
	l.claims[r.Key] = c
	l.keep(c, a)
	l.ages = append(l.ages, aged{r.Key, now})
	return c
}

// Restored ends the time in which a blank ledger grants nothing.
func (l *Ledger) Restored() { l.blank = false }

// Blank tells whether the ledger still grants nothing.
func (l *Ledger) Blank() bool { return l.blank }

// Len is how many claims are held.
func (l *Ledger) Len() int { return len(l.claims) }

// Claim takes a claim. If it is granted and store says so, it has to be durable before that is told: Stored or Failed
// tells how it went.
func (l *Ledger) Claim(r Record, now time.Duration) (v Verdict, holder Record, store bool) {
	if l.blank {
		return Unable, Record{}, false
	}
	if c := l.claims[r.Key]; c != nil {
		if c.Token == r.Token && !c.Copied {
			return Granted, c.Record, !c.durable
		}
		return Held, Record{Key: c.Key, Token: c.Token, Home: c.Home}, false
	}
	if _, late := l.voided[r.Token]; late {
		return Unable, Record{}, false
	}
	return Granted, l.add(r, now).Record, true
}

// Stored tells that a claim is durable, and answers whether it may be granted: it may have been withdrawn meanwhile.
func (l *Ledger) Stored(key Key, token Token) bool {
	c := l.claims[key]
	if c == nil || c.Token != token {
		return false
	}
	c.durable = true
	return true
}

// Failed tells that a claim could not be stored. One that was durable before stays.
func (l *Ledger) Failed(key Key, token Token) {
	if c := l.claims[key]; c != nil && c.Token == token && !c.durable {
		l.drop(c)
	}
}

// Void withdraws a claim under which nothing was run, or ever will be.
func (l *Ledger) Void(key Key, token Token, now time.Duration) (r Record, store bool) {
	l.voided[token] = now
	if c := l.claims[key]; c != nil && c.Token == token && !c.ran && !c.Contested {
		l.drop(c)
		return Record{Key: key, Token: token, Void: true}, true
	}
	return Record{}, false
}

// Done keeps the answer of a claim's run.
func (l *Ledger) Done(r Record, now time.Duration) {
	if c := l.claims[r.Key]; c != nil {
		if c.Token == r.Token {
			l.keep(c, r.Answer)
		}
		return
	}
	l.add(r, now)
}

// Answer finds the answer of a claim's run.
func (l *Ledger) Answer(key Key, token Token) *Answer {
	if c := l.claims[key]; c != nil && c.Token == token {
		return c.Answer
	}
	return nil
}

// Each hands out every line without its answer, for a ledger that copies.
func (l *Ledger) Each(do func(Record)) {
	for _, c := range l.claims {
		do(Record{Key: c.Key, Token: c.Token, Home: c.Home, Contested: c.Contested})
	}
}

// Expire forgets claims whose window is over.
func (l *Ledger) Expire(now time.Duration) {
	n := 0
	for ; n < len(l.ages) && now-l.ages[n].born > l.window; n++ {
		if c := l.claims[l.ages[n].key]; c != nil && now-c.born > l.window {
			l.drop(c)
		}
	}
	if n > 0 {
		l.ages = append([]aged(nil), l.ages[n:]...)
	}
	for t, at := range l.voided {
		if now-at > 10*time.Second {
			delete(l.voided, t)
		}
	}
}
