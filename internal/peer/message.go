package peer

import (
	"github.com/zeebo/xxh3"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
)

// Message is one of the messages between processes. The set is closed: every implementation is in this file.
type Message interface {
	// addTo sets the message's fields of a frame.
	addTo(f *Frame)
}

// Handshake opens a link, in both directions. A controller sends it again once the bootstrap voters are durable.
type Handshake struct {
	Node            string   `cbor:"1,keyasint"`
	IP              string   `cbor:"2,keyasint"`
	Zone            string   `cbor:"3,keyasint"`
	Edge            bool     `cbor:"4,keyasint,omitempty"` // false: a controller
	Incarnation     uint64   `cbor:"5,keyasint"`           // drawn at random when the process starts
	Version         uint64   `cbor:"6,keyasint,omitempty"` // configuration version of an edge; 0: none
	BootstrapVoters []string `cbor:"7,keyasint,omitempty"` // identities of the voters of the cluster's first start
	// ProbeOnly is set by an edge that belongs to another controller and only probes or sends claims.
	ProbeOnly bool `cbor:"8,keyasint,omitempty"`
	// Recovering is set if the claim store lost its disk: edges of earlier versions send the responses that they still have.
	Recovering bool   `cbor:"9,keyasint,omitempty"`
	Counted    bool   `cbor:"10,keyasint,omitempty"`
	Cluster    uint64 `cbor:"11,keyasint,omitempty"` // cluster of a controller; 0: not known yet
}

// Summary is the heartbeat of a link. Every few summaries one is full and includes the fields that change slowly.
type Summary struct {
	InContact   bool     `cbor:"1,keyasint,omitempty"` // the sender is a controller in contact with a majority of the voters
	Version     uint64   `cbor:"2,keyasint,omitempty"` // version of the configuration
	Edges       int      `cbor:"3,keyasint,omitempty"` // attached to the sender
	Fleet       int      `cbor:"7,keyasint,omitempty"` // edges of all controllers
	Full        bool     `cbor:"6,keyasint,omitempty"`
	Controllers []string `cbor:"4,keyasint,omitempty"` // IP addresses of the controllers that the sender has links to

	TrafficByZone  []ZoneTraffic `cbor:"5,keyasint,omitempty"` // of the sender's edges
	RegistryDigest uint64        `cbor:"8,keyasint,omitempty"` // digest of the sender's server registry

	EdgesByZone map[string][]uint32 `cbor:"9,keyasint,omitempty"`  // to controllers: hashes of the sender's edges
	ZoneEdges   []uint32            `cbor:"10,keyasint,omitempty"` // to an edge: hashes of all edges of its zone, after a change
	Clock       float64             `cbor:"11,keyasint,omitempty"` // to controllers: the sender's time of day, in seconds
}

// EdgeHash returns the hash that identifies an edge in lists of edges.
func EdgeHash(node string) uint32 { return uint32(xxh3.HashString(node)) }

// ZoneTraffic is a zone's typical traffic of one service, in requests a second.
type ZoneTraffic struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Zone    string
	Rate    float64
}

// ReplicaStatus is the state of a controller's replica. It is sent after the handshake and whenever it changes.
type ReplicaStatus struct {
	Identity     string `cbor:"1,keyasint"`
	Cluster      uint64 `cbor:"2,keyasint,omitempty"`
	Epoch        uint64 `cbor:"3,keyasint,omitempty"` // epoch of the newest membership that is applied and durable at the sender
	Ready        bool   `cbor:"4,keyasint,omitempty"` // its claim store may grant
	ShuttingDown bool   `cbor:"5,keyasint,omitempty"`
}

// ConsensusMessages are exchanged between replicas.
type ConsensusMessages []consensus.Message

// RegistryUpdate carries changed registry entries, or all of them. If AckID is set, the receiver answers with a RegistryAck
// once the entries are applied at the receiver and at its edges.
type RegistryUpdate struct {
	Entries []registry.Entry
	AckID   uint64 // 0: no acknowledgement requested
}

// RegistryAck answers a RegistryUpdate with its AckID.
type RegistryAck uint64

// Digests carries the sender's registry digests by zone, for anti-entropy. The frame of a reply also has a RegistryUpdate with
// the entries of the zones that differ.
type Digests struct {
	ByZone map[string]uint64 `cbor:"1,keyasint,omitempty"`
	Reply  bool              `cbor:"2,keyasint,omitempty"`
}

// Config carries a configuration to an edge, either complete or as a delta.
type Config struct {
	Version  uint64 `cbor:"1,keyasint"`
	Base     uint64 `cbor:"2,keyasint,omitempty"` // the version that Delta applies to
	Snapshot []byte `cbor:"3,keyasint,omitempty"` // JSON, complete
	Delta    []byte `cbor:"4,keyasint,omitempty"` // JSON, the body of the operator's PATCH
}

// ConfigRequest requests the complete configuration from a controller after a Delta could not be applied.
type ConfigRequest struct{}

// Weights carries changed entries of an edge's weight tables.
type Weights struct {
	Tokens   []uint64 `cbor:"1,keyasint,omitempty"` // to be returned in Report.Applied
	Changed  []Weight `cbor:"3,keyasint,omitempty"`
	Replaced []string `cbor:"4,keyasint,omitempty"` // services whose table is cleared before Changed is applied
}

// Weight is a server's weight in the table of its service; 0 removes the server.
type Weight struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Weight float64
}

// Report contains an edge's statistics since its last report.
type Report struct {
	Period   float64        `cbor:"1,keyasint"` // seconds
	Servers  []ServerStats  `cbor:"2,keyasint,omitempty"`
	Services []ServiceStats `cbor:"3,keyasint,omitempty"`
	Applied  []uint64       `cbor:"4,keyasint,omitempty"` // tokens of Weights
}

// ServerStats counts an edge's attempts at one server.
type ServerStats struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	Attempts  uint32
	Failed    uint32
	TotalTime float64 // seconds, over all successful attempts
}

// ServiceStats counts the requests for a service.
type ServiceStats struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Requests uint32
	Failed   uint32
}

// ClaimRequests are claims of keyed operations that an edge sends to a controller.
type ClaimRequests []idempotency.Record

// ClaimOutcomes answer ClaimRequests.
type ClaimOutcomes []ClaimOutcome

// ClaimOutcome is the outcome of one claim.
type ClaimOutcome struct {
	Token    idempotency.Token     `cbor:"1,keyasint"`
	Outcome  idempotency.Outcome   `cbor:"2,keyasint"`
	Response *idempotency.Response `cbor:"3,keyasint,omitempty"` // response of the first run, if another claim holds the key
}

// GrantRequests are sent by a coordinator to a claim store.
type GrantRequests struct {
	Epoch   uint64 // epoch of the membership that the coordinator requests the grants under
	Records []idempotency.Record
}

// GrantReplies answer GrantRequests.
type GrantReplies []GrantReply

// GrantReply is a claim store's reply for one claim.
type GrantReply struct {
	Token  idempotency.Token      `cbor:"1,keyasint"`
	Reply  idempotency.GrantReply `cbor:"2,keyasint"`
	Holder *idempotency.Record    `cbor:"3,keyasint,omitempty"` // claim that holds the key, with ReplyConflict
}

// Revocations revoke claims under which no attempt was or will be made.
type Revocations []idempotency.Record

// Responses are the responses of completed operations, to be stored for repeated requests.
type Responses []idempotency.Record

// ResponseCopies are responses that a controller sends to a claim store, which replies with ResponseCopyReplies.
type ResponseCopies struct {
	Epoch   uint64 // epoch of the membership that the sender collects the confirmations under
	Records []idempotency.Record
}

// ResponseCopyReplies answer ResponseCopies: a granted response is durable at the sender's claim store.
type ResponseCopyReplies []GrantReply

// ResponseConfirmations tell an edge the claims whose responses it need not send again: they are durable at a majority of the
// claim stores, or too few stores take them, since they are beyond their limits.
type ResponseConfirmations []idempotency.Token

// ResponseQueries request the stored responses for claims from another controller.
type ResponseQueries []idempotency.Record

// ResponseReplies answer ResponseQueries; a record without a response means that none is stored.
type ResponseReplies []idempotency.Record

// KeyQueries request the stored responses of keys from another controller, whichever claim of the key ran.
type KeyQueries []idempotency.Record

// KeyReplies answer the first keys of KeyQueries, as many as fit into a frame. A record has the token of the claim that ran;
// one without a response means that none is stored.
type KeyReplies []idempotency.Record

// CopyRequest requests all claims of a claim store.
type CopyRequest struct {
	Epoch uint64 // epoch of the joint membership in which the sender is a new voter
}

// ClaimsCopy is a chunk of the claims of a claim store.
type ClaimsCopy struct {
	Epoch uint64 // epoch of the CopyRequest
	*ClaimsChunk
}

// ClaimsChunk is the wire format of a ClaimsCopy without its epoch.
type ClaimsChunk struct {
	Records    []idempotency.Record `cbor:"1,keyasint,omitempty"`
	Last       bool                 `cbor:"2,keyasint,omitempty"`
	Recovering bool                 `cbor:"3,keyasint,omitempty"` // the sender's store is incomplete
}

// Reservations lists all active reservations, as announced by the leader of a term.
type Reservations struct {
	Term uint64                    `cbor:"1,keyasint"`
	List []reservation.Reservation `cbor:"2,keyasint,omitempty"`
}

// Demands are sent by an edge to its controller and forwarded to the controller that allocates.
type Demands []EdgeDemand

// EdgeDemand is one edge's demand on the reservations.
type EdgeDemand struct {
	Edge   string             `cbor:"1,keyasint"` // IP address; set by the edge's controller
	Demand reservation.Demand `cbor:"2,keyasint"`
}

// Leases answer Demands, along the same path in reverse.
type Leases []EdgeLease

// EdgeLease is one edge's lease on its shares of the reservations.
type EdgeLease struct {
	Edge  string            `cbor:"1,keyasint"`
	Lease reservation.Lease `cbor:"2,keyasint"`
}

// SyncRequest requests a SyncReply with the same number once everything sent before it is durable at the receiver.
type SyncRequest uint64

// SyncReply answers a SyncRequest.
type SyncReply uint64
