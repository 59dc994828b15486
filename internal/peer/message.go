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

// Handshake opens a link, in both directions. A controller also sends it later on, once the first voters are durable.
type Handshake struct {
	Node            string   `cbor:"1,keyasint"`
	IP              string   `cbor:"2,keyasint"`
	Zone            string   `cbor:"3,keyasint"`
	Edge            bool     `cbor:"4,keyasint,omitempty"` // false: a controller
	Incarnation     uint64   `cbor:"5,keyasint"`           // drawn at random when the process starts
	Version         uint64   `cbor:"6,keyasint,omitempty"` // of the configuration that an edge has; 0: none
	BootstrapVoters []string `cbor:"7,keyasint,omitempty"` // identities of the voters of the cluster's first start
	// an edge that probes, or sends claims, and belongs to another controller
	ProbeOnly bool `cbor:"8,keyasint,omitempty"`
	// the claim store lost its disk: responses that edges still have are wanted
	Recovering bool   `cbor:"9,keyasint,omitempty"`
	Counted    bool   `cbor:"10,keyasint,omitempty"`
	Cluster    uint64 `cbor:"11,keyasint,omitempty"` // that a controller belongs to; 0: not known yet
}

// Summary is the heartbeat of a link. Every few of them are full and also carry what changes slowly.
type Summary struct {
	InContact   bool     `cbor:"1,keyasint,omitempty"` // the sender is a controller in contact with a majority of the voters
	Version     uint64   `cbor:"2,keyasint,omitempty"` // of the configuration
	Edges       int      `cbor:"3,keyasint,omitempty"` // attached to the sender
	Fleet       int      `cbor:"7,keyasint,omitempty"` // edges of all controllers
	Full        bool     `cbor:"6,keyasint,omitempty"`
	Controllers []string `cbor:"4,keyasint,omitempty"` // IP addresses that the sender has links to

	TrafficByZone  []ZoneTraffic `cbor:"5,keyasint,omitempty"` // of the sender's edges
	RegistryDigest uint64        `cbor:"8,keyasint,omitempty"` // of the servers that the sender knows

	EdgesByZone map[string][]uint32 `cbor:"9,keyasint,omitempty"`  // to controllers: hashes of the sender's edges
	ZoneEdges   []uint32            `cbor:"10,keyasint,omitempty"` // to an edge: hashes of all edges of its zone, after a change
	Clock       float64             `cbor:"11,keyasint,omitempty"` // to controllers: the sender's time of day, in seconds
}

// EdgeHash is the short name of an edge in lists of edges.
func EdgeHash(node string) uint32 { return uint32(xxh3.HashString(node)) }

// ZoneTraffic is a zone's typical traffic of one service, in requests a second.
type ZoneTraffic struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Zone    string
	Rate    float64
}

// ReplicaStatus is what a controller says of its part in the consensus. It is sent after the handshake and whenever it
// changes.
type ReplicaStatus struct {
	Identity     string `cbor:"1,keyasint"`
	Cluster      uint64 `cbor:"2,keyasint,omitempty"`
	Epoch        uint64 `cbor:"3,keyasint,omitempty"` // of the newest membership that is applied and durable there
	Ready        bool   `cbor:"4,keyasint,omitempty"` // its claim store may grant
	ShuttingDown bool   `cbor:"5,keyasint,omitempty"`
}

// ConsensusMessages go from replica to replica.
type ConsensusMessages []consensus.Message

// RegistryUpdate tells what changed of servers, or all that is known of them. With an AckID the receiver answers with a
// RegistryAck once the entries are in force there, and at the edges behind it.
type RegistryUpdate struct {
	Entries []registry.Entry
	AckID   uint64 // 0: none is wanted
}

// RegistryAck answers a RegistryUpdate; it is its AckID.
type RegistryAck uint64

// Digests compares what two processes know of servers, zone by zone. A reply comes with the entries of the zones that
// differ in a RegistryUpdate of the same frame.
type Digests struct {
	ByZone map[string]uint64 `cbor:"1,keyasint,omitempty"`
	Reply  bool              `cbor:"2,keyasint,omitempty"`
}

// Config carries a configuration to an edge, complete or as the change that leads to it.
type Config struct {
	Version  uint64 `cbor:"1,keyasint"`
	Base     uint64 `cbor:"2,keyasint,omitempty"` // the version that Delta applies to
	Snapshot []byte `cbor:"3,keyasint,omitempty"` // JSON, complete
	Delta    []byte `cbor:"4,keyasint,omitempty"` // JSON, the body of the operator's PATCH
}

// ConfigRequest asks a controller for the complete configuration: a Delta didn't apply.
type ConfigRequest struct{}

// Weights are changed lines of an edge's weight tables.
type Weights struct {
	Tokens   []uint64 `cbor:"1,keyasint,omitempty"` // to be returned in Report.Applied
	Changed  []Weight `cbor:"3,keyasint,omitempty"`
	Replaced []string `cbor:"4,keyasint,omitempty"` // services whose table is cleared before Changed is applied
}

// Weight is a server's weight in the table of its service; 0 takes it out.
type Weight struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Weight float64
}

// Report is what an edge counted since its last report.
type Report struct {
	Period   float64        `cbor:"1,keyasint"` // seconds
	Servers  []ServerStats  `cbor:"2,keyasint,omitempty"`
	Services []ServiceStats `cbor:"3,keyasint,omitempty"`
	Applied  []uint64       `cbor:"4,keyasint,omitempty"` // tokens of Weights
}

// ServerStats is what an edge counted at one server.
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

// ClaimRequests are claims of keyed operations, from an edge to a controller.
type ClaimRequests []idempotency.Record

// ClaimOutcomes answer ClaimRequests.
type ClaimOutcomes []ClaimOutcome

// ClaimOutcome is the outcome of one claim.
type ClaimOutcome struct {
	Token    idempotency.Token     `cbor:"1,keyasint"`
	Outcome  idempotency.Outcome   `cbor:"2,keyasint"`
	Response *idempotency.Response `cbor:"3,keyasint,omitempty"` // of the first run, where another claim holds the key
}

// GrantRequests go from a coordinator to a claim store.
type GrantRequests struct {
	Epoch   uint64 // of the membership under which they are asked
	Records []idempotency.Record
}

// GrantReplies answer GrantRequests.
type GrantReplies []GrantReply

// GrantReply is a claim store's reply on one claim.
type GrantReply struct {
	Token  idempotency.Token      `cbor:"1,keyasint"`
	Reply  idempotency.GrantReply `cbor:"2,keyasint"`
	Holder *idempotency.Record    `cbor:"3,keyasint,omitempty"` // of the key, with ReplyConflict
}

// Revocations withdraw claims under which nothing was run, or ever will be.
type Revocations []idempotency.Record

// Responses are the responses of completed operations, to be kept for repeats.
type Responses []idempotency.Record

// ResponseQueries ask another controller for the responses that it keeps for these claims.
type ResponseQueries []idempotency.Record

// ResponseReplies answer ResponseQueries; a record without a response tells that none is kept.
type ResponseReplies []idempotency.Record

// CopyRequest asks a claim store for all claims that it holds.
type CopyRequest struct {
	Epoch uint64 // of the joint membership in which the sender is a new voter
}

// ClaimsCopy is a chunk of a claim store.
type ClaimsCopy struct {
	Epoch uint64 // of the CopyRequest
	*ClaimsChunk
}

// ClaimsChunk is the wire form of a ClaimsCopy without its epoch.
type ClaimsChunk struct {
	Records    []idempotency.Record `cbor:"1,keyasint,omitempty"`
	Last       bool                 `cbor:"2,keyasint,omitempty"`
	Recovering bool                 `cbor:"3,keyasint,omitempty"` // the sender's own store is not complete
}

// Reservations are all that are in force, as the leader of a term says.
type Reservations struct {
	Term uint64                    `cbor:"1,keyasint"`
	List []reservation.Reservation `cbor:"2,keyasint,omitempty"`
}

// Demands go from an edge to its controller, and on to the controller that allocates.
type Demands []EdgeDemand

// EdgeDemand is what one edge wants of the reservations.
type EdgeDemand struct {
	Edge   string             `cbor:"1,keyasint"` // IP address; set by the edge's controller
	Demand reservation.Demand `cbor:"2,keyasint"`
}

// Leases answer Demands, on the same way back.
type Leases []EdgeLease

// EdgeLease is one edge's lease on its shares of the reservations.
type EdgeLease struct {
	Edge  string            `cbor:"1,keyasint"`
	Lease reservation.Lease `cbor:"2,keyasint"`
}

// SyncRequest asks for a SyncReply with the same number once all that was sent before it is durable at the receiver.
type SyncRequest uint64

// SyncReply answers a SyncRequest.
type SyncReply uint64
