package peer

import (
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
)

// Frame is the wire format of one or more messages. The field numbers are part of the protocol; the number of a removed
// field is never reused.
type Frame struct {
	Handshake       *Handshake           `cbor:"1,keyasint,omitempty"`
	Summary         *Summary             `cbor:"2,keyasint,omitempty"`
	Consensus       []consensus.Message  `cbor:"3,keyasint,omitempty"`
	Entries         []registry.Entry     `cbor:"4,keyasint,omitempty"`
	AckID           uint64               `cbor:"5,keyasint,omitempty"`
	Acked           uint64               `cbor:"6,keyasint,omitempty"`
	Config          *Config              `cbor:"7,keyasint,omitempty"`
	Weights         *Weights             `cbor:"8,keyasint,omitempty"`
	Report          *Report              `cbor:"9,keyasint,omitempty"`
	Claims          []idempotency.Record `cbor:"10,keyasint,omitempty"`
	Outcomes        []ClaimOutcome       `cbor:"11,keyasint,omitempty"`
	GrantRequests   []idempotency.Record `cbor:"12,keyasint,omitempty"`
	GrantReplies    []GrantReply         `cbor:"13,keyasint,omitempty"`
	Revocations     []idempotency.Record `cbor:"14,keyasint,omitempty"`
	Responses       []idempotency.Record `cbor:"15,keyasint,omitempty"`
	ResponseQueries []idempotency.Record `cbor:"16,keyasint,omitempty"`
	ResponseReplies []idempotency.Record `cbor:"17,keyasint,omitempty"`
	CopyRequest     bool                 `cbor:"18,keyasint,omitempty"`
	ClaimsChunk     *ClaimsChunk         `cbor:"19,keyasint,omitempty"`
	ConfigRequest   bool                 `cbor:"20,keyasint,omitempty"`
	Digests         *Digests             `cbor:"21,keyasint,omitempty"`
	Reservations    *Reservations        `cbor:"22,keyasint,omitempty"`
	Demands         []EdgeDemand         `cbor:"23,keyasint,omitempty"`
	Leases          []EdgeLease          `cbor:"24,keyasint,omitempty"`
	ReplicaStatus   *ReplicaStatus       `cbor:"25,keyasint,omitempty"`
	// Epoch belongs to GrantRequests, CopyRequest, ClaimsChunk and ResponseCopies.
	Epoch                 uint64               `cbor:"26,keyasint,omitempty"`
	SyncRequest           uint64               `cbor:"27,keyasint,omitempty"`
	SyncReply             uint64               `cbor:"28,keyasint,omitempty"`
	ResponseCopies        []idempotency.Record `cbor:"29,keyasint,omitempty"`
	ResponseCopyReplies   []GrantReply         `cbor:"30,keyasint,omitempty"`
	ResponseConfirmations []idempotency.Token  `cbor:"31,keyasint,omitempty"`
	KeyQueries            []idempotency.Record `cbor:"32,keyasint,omitempty"`
	KeyReplies            []idempotency.Record `cbor:"33,keyasint,omitempty"`
}

// FrameOf returns a frame that contains the messages. No two of them may be of the same type.
func FrameOf(messages ...Message) *Frame {
	f := &Frame{}
	for _, m := range messages {
		m.addTo(f)
	}
	return f
}

// Messages returns the messages of a frame in the order in which the receiver must handle them: the handshake, the state of
// the cluster and of servers, then the messages that depend on it. A RegistryUpdate comes before the digests that include
// it, and a SyncRequest after all messages that it covers.
func (f *Frame) Messages() []Message {
	messages := make([]Message, 0, 2)
	messages = f.appendCluster(messages)
	messages = f.appendTraffic(messages)
	messages = f.appendReservations(messages)
	messages = f.appendClaims(messages)
	messages = f.appendResponses(messages)
	if f.SyncRequest != 0 {
		messages = append(messages, SyncRequest(f.SyncRequest))
	}
	if f.SyncReply != 0 {
		messages = append(messages, SyncReply(f.SyncReply))
	}
	return messages
}

func (f *Frame) appendCluster(messages []Message) []Message {
	if f.Handshake != nil {
		messages = append(messages, f.Handshake)
	}
	if f.Summary != nil {
		messages = append(messages, f.Summary)
	}
	if f.ReplicaStatus != nil {
		messages = append(messages, f.ReplicaStatus)
	}
	if len(f.Consensus) > 0 {
		messages = append(messages, ConsensusMessages(f.Consensus))
	}
	if len(f.Entries) > 0 || f.AckID != 0 {
		messages = append(messages, RegistryUpdate{Entries: f.Entries, AckID: f.AckID})
	}
	if f.Digests != nil {
		messages = append(messages, f.Digests)
	}
	if f.Acked != 0 {
		messages = append(messages, RegistryAck(f.Acked))
	}
	return messages
}

func (f *Frame) appendTraffic(messages []Message) []Message {
	if f.ConfigRequest {
		messages = append(messages, ConfigRequest{})
	}
	if f.Config != nil {
		messages = append(messages, f.Config)
	}
	if f.Weights != nil {
		messages = append(messages, f.Weights)
	}
	if f.Report != nil {
		messages = append(messages, f.Report)
	}
	return messages
}

func (f *Frame) appendReservations(messages []Message) []Message {
	if f.Reservations != nil {
		messages = append(messages, f.Reservations)
	}
	if len(f.Demands) > 0 {
		messages = append(messages, Demands(f.Demands))
	}
	if len(f.Leases) > 0 {
		messages = append(messages, Leases(f.Leases))
	}
	return messages
}

func (f *Frame) appendClaims(messages []Message) []Message {
	if len(f.Claims) > 0 {
		messages = append(messages, ClaimRequests(f.Claims))
	}
	if len(f.Outcomes) > 0 {
		messages = append(messages, ClaimOutcomes(f.Outcomes))
	}
	if len(f.GrantRequests) > 0 {
		messages = append(messages, GrantRequests{Epoch: f.Epoch, Records: f.GrantRequests})
	}
	if len(f.GrantReplies) > 0 {
		messages = append(messages, GrantReplies(f.GrantReplies))
	}
	if len(f.Revocations) > 0 {
		messages = append(messages, Revocations(f.Revocations))
	}
	if f.CopyRequest {
		messages = append(messages, CopyRequest{Epoch: f.Epoch})
	}
	if f.ClaimsChunk != nil {
		messages = append(messages, ClaimsCopy{Epoch: f.Epoch, ClaimsChunk: f.ClaimsChunk})
	}
	return messages
}

func (f *Frame) appendResponses(messages []Message) []Message {
	if len(f.Responses) > 0 {
		messages = append(messages, Responses(f.Responses))
	}
	if len(f.ResponseQueries) > 0 {
		messages = append(messages, ResponseQueries(f.ResponseQueries))
	}
	if len(f.ResponseReplies) > 0 {
		messages = append(messages, ResponseReplies(f.ResponseReplies))
	}
	if len(f.ResponseCopies) > 0 {
		messages = append(messages, ResponseCopies{Epoch: f.Epoch, Records: f.ResponseCopies})
	}
	if len(f.ResponseCopyReplies) > 0 {
		messages = append(messages, ResponseCopyReplies(f.ResponseCopyReplies))
	}
	if len(f.ResponseConfirmations) > 0 {
		messages = append(messages, ResponseConfirmations(f.ResponseConfirmations))
	}
	if len(f.KeyQueries) > 0 {
		messages = append(messages, KeyQueries(f.KeyQueries))
	}
	if len(f.KeyReplies) > 0 {
		messages = append(messages, KeyReplies(f.KeyReplies))
	}
	return messages
}

func (h *Handshake) addTo(f *Frame)        { f.Handshake = h }
func (s *Summary) addTo(f *Frame)          { f.Summary = s }
func (s *ReplicaStatus) addTo(f *Frame)    { f.ReplicaStatus = s }
func (m ConsensusMessages) addTo(f *Frame) { f.Consensus = m }
func (u RegistryUpdate) addTo(f *Frame)    { f.Entries, f.AckID = u.Entries, u.AckID }
func (a RegistryAck) addTo(f *Frame)       { f.Acked = uint64(a) }
func (d *Digests) addTo(f *Frame)          { f.Digests = d }
func (c *Config) addTo(f *Frame)           { f.Config = c }
func (ConfigRequest) addTo(f *Frame)       { f.ConfigRequest = true }
func (w *Weights) addTo(f *Frame)          { f.Weights = w }
func (r *Report) addTo(f *Frame)           { f.Report = r }
func (c ClaimRequests) addTo(f *Frame)     { f.Claims = c }
func (o ClaimOutcomes) addTo(f *Frame)     { f.Outcomes = o }
func (g GrantRequests) addTo(f *Frame)     { f.GrantRequests, f.Epoch = g.Records, g.Epoch }
func (g GrantReplies) addTo(f *Frame)      { f.GrantReplies = g }
func (r Revocations) addTo(f *Frame)       { f.Revocations = r }
func (r Responses) addTo(f *Frame)         { f.Responses = r }
func (q ResponseQueries) addTo(f *Frame)   { f.ResponseQueries = q }
func (r ResponseReplies) addTo(f *Frame)   { f.ResponseReplies = r }
func (c CopyRequest) addTo(f *Frame)       { f.CopyRequest, f.Epoch = true, c.Epoch }
func (c ClaimsCopy) addTo(f *Frame)        { f.ClaimsChunk, f.Epoch = c.ClaimsChunk, c.Epoch }
func (r *Reservations) addTo(f *Frame)     { f.Reservations = r }
func (d Demands) addTo(f *Frame)           { f.Demands = d }
func (l Leases) addTo(f *Frame)            { f.Leases = l }
func (s SyncRequest) addTo(f *Frame)       { f.SyncRequest = uint64(s) }
func (c ResponseCopies) addTo(f *Frame) {
	f.ResponseCopies, f.Epoch = c.Records, c.Epoch
}
func (r ResponseCopyReplies) addTo(f *Frame)   { f.ResponseCopyReplies = r }
func (q KeyQueries) addTo(f *Frame)            { f.KeyQueries = q }
func (r KeyReplies) addTo(f *Frame)            { f.KeyReplies = r }
func (c ResponseConfirmations) addTo(f *Frame) { f.ResponseConfirmations = c }
func (s SyncReply) addTo(f *Frame)             { f.SyncReply = uint64(s) }
