package idempotency

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Key identifies an operation. It is a hash of the tenant and the tenant's idempotency key.
type Key [16]byte

// String returns the key in hexadecimal, as in log lines.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyOf returns the Key of a tenant's idempotency key. Equal keys of different tenants identify different operations.
func KeyOf(tenant, key string) Key {
	h := sha256.New()
	h.Write([]byte(tenant))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:len(Key{})])
}

// Token identifies one attempt to claim a key: the incarnation of the claimant and a sequence number within it.
type Token struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
}

// Response is the response of the first run of an operation, returned to repeated requests.
type Response struct {
	Status  int               `cbor:"1,keyasint"`
	Headers map[string]string `cbor:"2,keyasint,omitempty"`
	Body    []byte            `cbor:"3,keyasint,omitempty"`
}

// Record is the encoded form of a claim, in messages between processes and on disk.
type Record struct {
	Key   Key   `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
	// ResponseHolder is the IP address of the controller that will store the response.
	ResponseHolder string    `cbor:"3,keyasint,omitempty"`
	Revoked        bool      `cbor:"4,keyasint,omitempty"` // no operation ran under it or ever will
	Response       *Response `cbor:"5,keyasint,omitempty"` // nil: not completed, or dropped
	Imported       bool      `cbor:"6,keyasint,omitempty"` // imported from another store, so never granted here
	// Contested is set if claims of this key were imported for two tokens. It is unknown which of them was granted, so
	// neither can be revoked, here or at a store that imports it.
	Contested bool `cbor:"7,keyasint,omitempty"`
}

// GrantReply is a store's reply to a claim. Its numbers are part of the protocol between processes.
type GrantReply uint8

// The replies of a store to a claim.
const (
	ReplyUnavailable GrantReply = iota // the store is failing or recovering, or the claim was revoked
	ReplyGranted                       // the store holds the claim durably
	ReplyConflict                      // a claim of another token, or an imported one, holds the key
	ReplyStaleEpoch                    // the store has applied a newer membership than the request's epoch
)

// revokedRetention is how long revoked tokens are remembered, since a revocation may arrive before its claim.
const revokedRetention = 10 * time.Second

// Store holds the claims of one controller. It is not safe for concurrent use.
type Store struct {
	window     time.Duration
	claims     map[Key]*claim
	ages       []claimAge              // one for each insertion within the window, oldest first
	revoked    map[Token]time.Duration // recently revoked tokens, with the time of the revocation
	recovering bool

	responses        []responseRef // references to stored responses, oldest first
	responseBytes    int64         // total size of the response bodies
	maxResponseBytes int64         // limit of responseBytes; 0: unlimited

	address         string // of this controller, which tells its own responses from replicas; empty: all are its own
	replicaBytes    int64  // total size of the replicas' bodies
	maxReplicaBytes int64  // limit of replicaBytes
}

// responseRef identifies the claim of a stored response.
type responseRef struct {
	key   Key
	token Token
}

type claim struct {
	Record    // without its response
	response  packedResponse
	bodyBytes int64 // of the response
	replica   bool  // another controller received the response from its edge
	createdAt time.Duration
	durable   bool
	executed  bool // a response was received, whether or not it is still stored
	// responseDurable is set once the response is on this store's disk.
	responseDurable bool
	ageUnknown      bool // loaded from disk or imported, so its real age is unknown
}

type claimAge struct {
	key       Key
	createdAt time.Duration
}

// NewStore returns an empty store that retains claims for window. A recovering store grants nothing until FinishRecovery is
// called.
func NewStore(window time.Duration, recovering bool) *Store {
	return &Store{window: window, claims: map[Key]*claim{}, revoked: map[Token]time.Duration{}, recovering: recovering}
}

// SetMaxResponseBytes limits the total size of the stored response bodies; 0 means unlimited. The oldest responses are dropped
// first, because most repeats come soon after the first request. A later repeat gets the reply that the operation is in
// progress.
func (s *Store) SetMaxResponseBytes(bytes int64) { s.maxResponseBytes = bytes }

// LimitReplicas sets this controller's address and the limit of replicas: of the bodies of responses that other controllers
// received from their edges. Further ones are declined.
func (s *Store) LimitReplicas(address string, bytes int64) {
	s.address, s.maxReplicaBytes = address, bytes
}

// isReplica reports whether another controller received a response from its edge.
func (s *Store) isReplica(r Record) bool { return s.address != "" && r.ResponseHolder != s.address }

// Declines reports whether a response is a replica beyond the limit.
func (s *Store) Declines(r Record) bool {
	if c := s.claims[r.Key]; c != nil && c.executed || r.Response == nil {
		return false
	}
	return s.isReplica(r) && s.replicaBytes+int64(len(r.Response.Body)) > s.maxReplicaBytes
}

// keepResponse stores the first response of a claim and drops the oldest responses beyond the limit.
func (s *Store) keepResponse(c *claim, r Record) {
	if c.executed || r.Response == nil {
		return
	}
	c.response, c.bodyBytes, c.executed = packResponse(r.Response), int64(len(r.Response.Body)), true
	if c.replica = s.isReplica(r); c.replica {
		s.replicaBytes += c.bodyBytes
	}
	s.responseBytes += c.bodyBytes
	s.responses = append(s.responses, responseRef{c.Key, c.Token})
	dropped := 0
	for ; s.maxResponseBytes > 0 && s.responseBytes > s.maxResponseBytes; dropped++ {
		if oldest := s.findClaim(s.responses[dropped]); oldest != nil {
			s.dropResponse(oldest)
		}
	}
	s.responses = s.responses[dropped:]
}

// findClaim returns the claim of a stored response, or nil if its key has no claim or a claim of another token.
func (s *Store) findClaim(ref responseRef) *claim {
	if c := s.claims[ref.key]; c != nil && c.Token == ref.token {
		return c
	}
	return nil
}

func (s *Store) dropResponse(c *claim) {
	if c.response == nil {
		return
	}
	s.responseBytes -= c.bodyBytes
	if c.replica {
		s.replicaBytes -= c.bodyBytes
	}
	c.response, c.bodyBytes = nil, 0
}

// remove deletes a claim and the references to responses that are no longer stored.
func (s *Store) remove(c *claim) {
	s.dropResponse(c)
	delete(s.claims, c.Key)
	dropped := 0
	for ; dropped < len(s.responses); dropped++ {
		if c := s.findClaim(s.responses[dropped]); c != nil && c.response != nil {
			break
		}
	}
	s.responses = s.responses[dropped:]
}

// Load restores a record from disk. Records must be loaded in the order in which they were written. The age of a loaded claim
// is unknown, so its window starts now.
func (s *Store) Load(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case r.Revoked:
		if c != nil && c.Token == r.Token {
			s.remove(c)
		}
	case c == nil || c.Token != r.Token:
		c := s.insert(r, now)
		c.durable, c.ageUnknown, c.responseDurable = true, true, r.Response != nil
	default:
		c.Imported, c.Contested = c.Imported || r.Imported, c.Contested || r.Contested
		s.keepResponse(c, r)
		c.responseDurable = c.responseDurable || r.Response != nil
	}
}

// Import adds a record of another store while this store is recovering. It returns the record that the caller must make
// durable.
func (s *Store) Import(r Record, now time.Duration) Record {
	if c := s.claims[r.Key]; c != nil {
		c.Imported, c.Contested = true, c.Contested || r.Contested || c.Token != r.Token
		return c.Record
	}
	r.Imported = true
	c := s.insert(r, now)
	c.durable, c.ageUnknown = true, true
	return c.Record
}

// insert adds a claim and replaces the previous claim of its key, if any.
func (s *Store) insert(r Record, now time.Duration) *claim {
	c := &claim{Record: r, createdAt: now}
	c.Response = nil
	if previous := s.claims[r.Key]; previous != nil {
		s.dropResponse(previous)
	}
	s.claims[r.Key] = c
	s.keepResponse(c, r)
	s.ages = append(s.ages, claimAge{r.Key, now})
	return c
}

// BeginRecovery stops the store from granting claims. It is called when the replica is no longer a voter; before the store
// may grant again it must import the claims of the other stores.
func (s *Store) BeginRecovery() { s.recovering = true }

// FinishRecovery allows the store to grant claims again.
func (s *Store) FinishRecovery() { s.recovering = false }

// Recovering reports whether the store grants nothing because claims may be missing.
func (s *Store) Recovering() bool { return s.recovering }

// Len returns the number of claims held.
func (s *Store) Len() int { return len(s.claims) }

// ResponseCount returns the number of responses held.
func (s *Store) ResponseCount() (count int) {
	for _, c := range s.claims {
		if c.response != nil {
			count++
		}
	}
	return count
}

// Grant requests a claim. If mustStore is true, the caller must make the claim durable before it sends ReplyGranted, and then
// call MarkDurable or MarkFailed. With ReplyConflict holder is the claim that holds the key.
func (s *Store) Grant(r Record, now time.Duration) (reply GrantReply, holder Record, mustStore bool) {
	if s.recovering {
		return ReplyUnavailable, Record{}, false
	}
	if c := s.claims[r.Key]; c != nil {
		if c.Token == r.Token && !c.Imported {
			return ReplyGranted, c.Record, !c.durable
		}
		return ReplyConflict, Record{Key: c.Key, Token: c.Token, ResponseHolder: c.ResponseHolder, Imported: c.Imported}, false
	}
	if _, revoked := s.revoked[r.Token]; revoked {
		return ReplyUnavailable, Record{}, false
	}
	return ReplyGranted, s.insert(r, now).Record, true
}

// MarkDurable records that a claim is durable, and reports whether it may be granted. It returns false if the claim was
// revoked in the meantime.
func (s *Store) MarkDurable(key Key, token Token) bool {
	c := s.claims[key]
	if c == nil || c.Token != token {
		return false
	}
	c.durable = true
	return true
}

// MarkFailed removes a claim that could not be stored. A claim that was already durable remains.
func (s *Store) MarkFailed(key Key, token Token) {
	if c := s.claims[key]; c != nil && c.Token == token && !c.durable {
		s.remove(c)
	}
}

// Revoke revokes a claim under which no operation ran or ever will. If mustStore is true, the caller must make the returned
// record durable; nothing depends on when.
func (s *Store) Revoke(key Key, token Token, now time.Duration) (r Record, mustStore bool) {
	s.revoked[token] = now
	if c := s.claims[key]; c != nil && c.Token == token && !c.executed && !c.Contested {
		s.remove(c)
		return Record{Key: key, Token: token, Revoked: true}, true
	}
	return Record{}, false
}

// Complete stores the response of a claim that ran. That claim was granted, so any other claim of its key held here can't be
// granted, and is replaced.
func (s *Store) Complete(r Record, now time.Duration) {
	c := s.claims[r.Key]
	switch {
	case c == nil, c.Token != r.Token && !c.executed && r.Response != nil:
		s.insert(r, now)
	case c.Token == r.Token:
		s.keepResponse(c, r)
	}
}

// StoreResponse stores the response of a claim that ran, as Complete does. It reports whether the store has that claim, and
// whether the response is durable already. If it isn't, the caller must make the record durable, and then call
// MarkResponseDurable.
func (s *Store) StoreResponse(r Record, now time.Duration) (stored, durable bool) {
	s.Complete(r, now)
	c := s.findClaim(responseRef{r.Key, r.Token})
	return c != nil, c != nil && c.responseDurable
}

// MarkResponseDurable records that the response of a claim is durable.
func (s *Store) MarkResponseDurable(key Key, token Token) {
	if c := s.findClaim(responseRef{key, token}); c != nil {
		c.responseDurable = true
	}
}

// MissingResponses returns the imported claims without a response, ordered by key: another store may hold it.
func (s *Store) MissingResponses() (missing []Record) {
	for _, c := range s.claims {
		if c.Imported && !c.executed {
			missing = append(missing, Record{Key: c.Key, Token: c.Token})
		}
	}
	slices.SortFunc(missing, func(a, b Record) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return missing
}

// MissesResponse reports whether the store holds a claim without its response.
func (s *Store) MissesResponse(r Record) bool {
	c := s.findClaim(responseRef{r.Key, r.Token})
	return c != nil && !c.executed
}

// Response returns the response of a claim's run, or nil if there is none or it was dropped. If another claim of the key ran,
// its response is returned: only one claim of a key runs within the window, and the holder reported to concurrent repeats may
// be a claim that holds the key at a minority of the stores and never ran. A claim of unknown age may belong to an earlier
// window, so its response is returned for its own token only.
func (s *Store) Response(key Key, token Token) *Response {
	c := s.claims[key]
	if c == nil || c.Token != token && c.ageUnknown {
		return nil
	}
	return c.response.unpack()
}

// ResponseOfKey returns the claim of a key that ran here with its response, whichever token it has and however old it is. It
// reports false if there is none.
func (s *Store) ResponseOfKey(key Key) (ran Record, ok bool) {
	c := s.claims[key]
	if c == nil || c.response == nil {
		return Record{}, false
	}
	return Record{Key: c.Key, Token: c.Token, Response: c.response.unpack()}, true
}

// ImportResponse stores the response of a key that another store holds, in place of an imported claim without one. Such a
// claim may belong to another token, which was never granted. If ok is true, the caller must make the record durable, and then
// call MarkResponseDurable.
func (s *Store) ImportResponse(r Record, now time.Duration) (stored Record, ok bool) {
	if c := s.claims[r.Key]; c == nil || c.executed || r.Response == nil || s.Declines(r) {
		return Record{}, false
	}
	r.Imported = true
	s.Complete(r, now)
	c := s.claims[r.Key]
	c.Imported, c.durable, c.ageUnknown = true, true, true
	return r, true
}

// EachResponse calls visit for every stored response with its claim, in no particular order.
func (s *Store) EachResponse(visit func(Record)) {
	for _, c := range s.claims {
		if c.response != nil {
			visit(Record{Key: c.Key, Token: c.Token, Response: c.response.unpack()})
		}
	}
}

// EachClaim calls visit for every claim without its response, in no particular order. Another store imports these records.
func (s *Store) EachClaim(visit func(Record)) {
	for _, c := range s.claims {
		visit(Record{Key: c.Key, Token: c.Token, ResponseHolder: c.ResponseHolder, Contested: c.Contested})
	}
}

// Expire removes claims whose window has passed and forgets old revocations. It is called every few milliseconds.
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
