// Package peer is the links between the gateway's own processes: frames of CBOR, each after its length, over one TCP
// connection a pair. Both ends send summaries, so that a cut, which is silent, is heard within a second.
package peer

import (
	"github.com/zeebo/xxh3"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
)

// Frame is one message. Most have one field set; what is said together travels together.
type Frame struct {
	Handshake       *Handshake           `cbor:"1,keyasint,omitempty"`
	Summary         *Summary             `cbor:"2,keyasint,omitempty"`
	Consensus       []consensus.Message  `cbor:"3,keyasint,omitempty"`
	Entries         []registry.Entry     `cbor:"4,keyasint,omitempty"`
	AckID           uint64               `cbor:"5,keyasint,omitempty"` // to be sent back once Entries are in force
	Acked           uint64               `cbor:"6,keyasint,omitempty"`
	Config          *Config              `cbor:"7,keyasint,omitempty"`
	Weights         *Weights             `cbor:"8,keyasint,omitempty"`
	Report          *Report              `cbor:"9,keyasint,omitempty"`
	Claims          []idempotency.Record `cbor:"10,keyasint,omitempty"` // edge to its controller
	Outcomes        []ClaimOutcome       `cbor:"11,keyasint,omitempty"` // and back
	GrantRequests   []idempotency.Record `cbor:"12,keyasint,omitempty"` // coordinator to claim store
	GrantReplies    []GrantReply         `cbor:"13,keyasint,omitempty"` // and back
	Revocations     []idempotency.Record `cbor:"14,keyasint,omitempty"`
	Responses       []idempotency.Record `cbor:"15,keyasint,omitempty"`
	ResponseQueries []idempotency.Record `cbor:"16,keyasint,omitempty"` // an answer that another controller holds
	ResponseReplies []idempotency.Record `cbor:"17,keyasint,omitempty"`
	CopyRequest     bool                 `cbor:"18,keyasint,omitempty"` // the whole claim store is wanted
	ClaimsChunk     *ClaimsChunk         `cbor:"19,keyasint,omitempty"`
	SnapshotRequest bool                 `cbor:"20,keyasint,omitempty"` // a whole configuration is wanted
	Digests         *Digests             `cbor:"21,keyasint,omitempty"`
	Reservations    *Reservations        `cbor:"22,keyasint,omitempty"`
	Demands         []EdgeDemand         `cbor:"23,keyasint,omitempty"` // edge to its controller, and on to the dealer
	Leases          []EdgeLease          `cbor:"24,keyasint,omitempty"` // and back
	ReplicaStatus   *ReplicaStatus       `cbor:"25,keyasint,omitempty"` // between controllers
	Epoch           uint64               `cbor:"26,keyasint,omitempty"` // of the membership under which Asks, Copy and Copied are meant
	SyncRequest     uint64               `cbor:"27,keyasint,omitempty"` // to be sent back as Synced once all before it is durable
	SyncReply       uint64               `cbor:"28,keyasint,omitempty"`
}

// Reservations are all that are held, as the leader of a term says.
type Reservations struct {
	Term uint64                    `cbor:"1,keyasint"`
	List []reservation.Reservation `cbor:"2,keyasint,omitempty"`
}

// EdgeDemand is an edge's word on its reservations.
type EdgeDemand struct {
	Edge   string             `cbor:"1,keyasint"` // IP
	Demand reservation.Demand `cbor:"2,keyasint"`
}

// EdgeLease is an edge's parts of the reservations.
type EdgeLease struct {
	Edge  string            `cbor:"1,keyasint"`
	Lease reservation.Lease `cbor:"2,keyasint"`
}

// ReplicaStatus is what a controller says of its part in the consensus.
type ReplicaStatus struct {
	Identity     string `cbor:"1,keyasint"`
	Cluster      uint64 `cbor:"2,keyasint,omitempty"`
	Epoch        uint64 `cbor:"3,keyasint,omitempty"` // of the newest membership that it applied durably
	Ready        bool   `cbor:"4,keyasint,omitempty"` // its store of claims may grant
	ShuttingDown bool   `cbor:"5,keyasint,omitempty"` // it was told to end
}

// Digests compares what two processes hold of servers, cell by cell. The answer comes with the lives of the cells that
// differ in Entries.
type Digests struct {
	ByZone map[string]uint64 `cbor:"1,keyasint,omitempty"` // by zone
	Reply  bool              `cbor:"2,keyasint,omitempty"`
}

// Handshake opens a connection, both ways.
type Handshake struct {
	Node            string   `cbor:"1,keyasint"`
	IP              string   `cbor:"2,keyasint"`
	Zone            string   `cbor:"3,keyasint"`
	Edge            bool     `cbor:"4,keyasint,omitempty"`
	Incarnation     uint64   `cbor:"5,keyasint"`
	Version         uint64   `cbor:"6,keyasint,omitempty"`  // of the configuration held
	BootstrapVoters []string `cbor:"7,keyasint,omitempty"`  // of the consensus, as a controller knows them
	ProbeOnly       bool     `cbor:"8,keyasint,omitempty"`  // only to see how a controller is
	Recovering      bool     `cbor:"9,keyasint,omitempty"`  // the disk came back empty: answers that others still hold are wanted
	Counted         bool     `cbor:"10,keyasint,omitempty"` // a controller that the platform counts, and that may be a member
	Cluster         uint64   `cbor:"11,keyasint,omitempty"` // that a controller belongs to; 0: not known yet
}

// Summary says that the sender lives. Attached: a controller that hears more than half of the core. Every few summaries are
// full: with the controllers that the sender is linked to, and the traffic of its edges.
type Summary struct {
	Attached       bool          `cbor:"1,keyasint,omitempty"`
	Version        uint64        `cbor:"2,keyasint,omitempty"`
	Edges          int           `cbor:"3,keyasint,omitempty"` // whose controller the sender is
	Fleet          int           `cbor:"7,keyasint,omitempty"` // edges of all controllers
	Full           bool          `cbor:"6,keyasint,omitempty"`
	Controllers    []string      `cbor:"4,keyasint,omitempty"`
	TrafficByZone  []ZoneTraffic `cbor:"5,keyasint,omitempty"` // requests a second that the sender's edges bring
	RegistryDigest uint64        `cbor:"8,keyasint,omitempty"` // of the servers that the sender knows, in full summaries

	EdgesByZone map[string][]uint32 `cbor:"9,keyasint,omitempty"`  // to controllers: the sender's edges, by zone
	ZoneEdges   []uint32            `cbor:"10,keyasint,omitempty"` // to an edge: all of its zone, once it has changed
	Clock       float64             `cbor:"11,keyasint,omitempty"` // to controllers: the sender's time of day, in seconds
}

// EdgeHash is the short name of an edge in rosters.
func EdgeHash(node string) uint32 { return uint32(xxh3.HashString(node)) }

// ZoneTraffic is a zone's traffic of one service.
type ZoneTraffic struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Zone    string
	Rate    float64
}

// Config carries a configuration, whole or as the change that leads to it.
type Config struct {
	Version  uint64 `cbor:"1,keyasint"`
	Base     uint64 `cbor:"2,keyasint,omitempty"` // the change applies to this version
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
	Delta    []byte `cbor:"4,keyasint,omitempty"`
}

// Weights are changed lines of an edge's tables.
type Weights struct {
	Tokens   []uint64 `cbor:"1,keyasint,omitempty"` // to be answered by Report.Applied
	Changed  []Weight `cbor:"3,keyasint,omitempty"`
	Replaced []string `cbor:"4,keyasint,omitempty"` // services whose former table is over
}

// Weight is a server's in the table of its service; 0 takes it out.
type Weight struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Weight float64
}

// Report is what an edge saw, since its last one.
type Report struct {
	Period   float64        `cbor:"1,keyasint"` // seconds
	Servers  []ServerStats  `cbor:"2,keyasint,omitempty"`
	Services []ServiceStats `cbor:"3,keyasint,omitempty"`
	Applied  []uint64       `cbor:"4,keyasint,omitempty"` // tokens of weights
}

// ServerStats is what an edge met at one server.
type ServerStats struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	Attempts  uint32
	Failed    uint32
	TotalTime float64 // seconds, over all answers
}

// ServiceStats counts the requests for a service.
type ServiceStats struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Requests uint32
	Failed   uint32
}

// ClaimOutcome tells an edge the outcome of its claim.
type ClaimOutcome struct {
	Token    idempotency.Token     `cbor:"1,keyasint"`
	Outcome  idempotency.Outcome   `cbor:"2,keyasint"`
	Response *idempotency.Response `cbor:"3,keyasint,omitempty"` // of the first run
}

// GrantReply tells a coordinator what a claim store says.
type GrantReply struct {
	Token  idempotency.Token      `cbor:"1,keyasint"`
	Reply  idempotency.GrantReply `cbor:"2,keyasint"`
	Holder *idempotency.Record    `cbor:"3,keyasint,omitempty"`
}

// ClaimsChunk is a part of a claim store, for one that copies.
type ClaimsChunk struct {
	Records    []idempotency.Record `cbor:"1,keyasint,omitempty"`
	Last       bool                 `cbor:"2,keyasint,omitempty"`
	Recovering bool                 `cbor:"3,keyasint,omitempty"` // the sender knows nothing itself
}
