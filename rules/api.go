// Package rules holds the decisions of a control plane that assigns servers to proxies.
//
// This file is its whole interface: settings, events in, actions out. The decisions are in rules.go and the files beside it
// that the deploy file lists.
// Times are milliseconds on the caller's clock. Nothing here knows a wire format.
package rules

// Names of servers, proxies and tables. The numbers carry no meaning.
type (
	// ServerID names a server.
	ServerID uint32
	// ProxyID names a proxy.
	ProxyID uint16
	// TableID names a table of weights.
	TableID uint16
)

// AllTables stands for every table of every joined proxy in Admit.
const AllTables TableID = 65535

// Effect says whether running a request of a class twice does harm.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may run again at any time
	Keyed                // carries a key; servers of Class.Scope drop a repeat within Class.Window
	Unsafe               // must never run twice
)

// Scope says which servers know a keyed request again.
type Scope uint8

// The scopes of a key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name          string
	LatencyTarget float64 // full worth when answered within this time
	Deadline      float64 // the client waits this long over all tries
	Value         float64
	LateValue     float64 // share of the worth earned between aim and deadline
	Effect        Effect
	Scope         Scope
	Window        float64
	OwnZone       bool // may go only to servers of the proxy's zone
}

// AdmitKind says how a proxy reads an admission level.
type AdmitKind uint8

// The kinds of admission level.
const (
	AdmitShare AdmitKind = iota // a fraction of a class, 1 for all
	AdmitRate                   // requests a second at each proxy
	AdmitNone                   // levels are ignored; the retry method still counts
)

// Retry says when a proxy tries another server.
type Retry uint8

// The retry methods.
const (
	RetryNever    Retry = iota
	RetryIfNotRun       // once, after proof that the first try never ran
	RetryOnce           // once, after any failure
	RetryTwice          // twice, after any failure
)

// Settings are the facts a controller is given when it starts.
type Settings struct {
	Instances            int // controllers, this one included
	Zone                 int // this controller's zone
	Zones                int
	Proxies              int // over all instances
	Classes              []Class
	QueryDiscovery       bool // the server list comes only when asked for
	Probes               bool
	KeyRanges            int // above 0: tables are slices of a key space, given into charge
	Admission            AdmitKind
	RetryDefault         Retry
	AttemptTimeoutFactor float64 // a try that may be followed waits this many aims
	ReportPeriod         float64
	QueueLines           float64 // most lines that may wait in the channel
	LinesPerSec          float64 // usual pace of the channel
	MessageCost          float64 // lines that each message costs beyond its own
	MaxMessages          int     // most messages to one proxy within MessageWindow; 0: no limit
	MessageWindow        float64
	DrainGrace           float64
	MinConnections       float64 // connections that the smallest servers accept; 0: not known
	LocalFirst           bool    // a proxy joins a controller of its own zone if there is one
	DrainOnly            bool    // a server that the list drops may stay in use; only draining binds
	MaxTimeWithoutServer float64 // a joined proxy may be without a line for this long
	WarmupTime           float64 // a started server is warm after this time at the latest
	StartCapacity        float64 // share of its capacity that a server starts with at least
	OverloadFactor       float64 // a cold server sent more than this multiple of its capacity
	OverloadTime         float64 // for this long falls over
}

// State of a server in the list.
type State uint8

// The states of a server.
const (
	Removed State = iota
	Ready
	Draining
)

// Server is one entry of the server list.
type Server struct {
	ID        ServerID
	Weight    float64 // listed weight
	Kind      int
	Zone      int
	Cell      int
	State     State
	StartedAt float64 // last start of its process; 0: long ago
}

// Event is something a controller is told.
type Event interface{ event() }

// ListKind says what a List holds.
type ListKind uint8

// The kinds of List.
const (
	ListChanges ListKind = iota
	ListFull
	ListCached // as this instance last held it, perhaps stale
	ListFailed // a call failed or the subscription broke; no entries
)

// The events.
type (
	// List is an answer of discovery.
	List struct {
		Kind    ListKind
		Servers []Server
	}
	// Tick is a timer that fell due.
	Tick struct{ Token uint32 }
	// Forgotten says that a server is not listed any more and in no table: its number may name another from now on.
	Forgotten struct{ Server ServerID }
	// Probed is the result of one probe. Load holds the server's load report, if it sent one.
	Probed struct {
		Server  ServerID
		OK      bool
		Refused bool // turned away: draining or too many probes; the process lives
		Elapsed float64
		Load    []float64
	}
	// Joined says that a proxy's stream to this controller stands.
	Joined struct {
		Proxy ProxyID
		Zone  int
		Rate  float64 // requests a second it usually gets
		Fresh bool    // it holds only its standing table
	}
	// Left says that a proxy's stream broke.
	Left struct{ Proxy ProxyID }
	// Ack says that a proxy applied the message marked Token and all before it.
	Ack struct {
		Proxy   ProxyID
		Token   uint32
		Elapsed float64
	}
	// Part tells a controller that shares a planner with others what of the channel is its own, and what the proxies
	// joined to the others bring. Without one it has the whole planner.
	Part struct {
		ChannelShare  float64   // share of the channel's queue and pace
		JoinedProxies float64   // proxies
		TypicalRates  []float64 // their requests a second, by zone
		Demands       []float64 // the same lately, by class
	}
	// Heard sums up what the joined proxies of one zone met at one server.
	Heard struct {
		Zone     int
		Server   ServerID
		Attempts float64
		Failed   float64
		Latency  float64 // mean of the successful tries; 0: none
		Period   float64
		Load     []float64
	}
	// Demand counts the requests of a class that came to a proxy, repeats and refused ones included.
	Demand struct {
		Proxy      ProxyID
		Class      int
		Requests   float64
		Unanswered float64
		Period     float64
	}
)

func (List) event()      {}
func (Tick) event()      {}
func (Probed) event()    {}
func (Forgotten) event() {}
func (Joined) event()    {}
func (Left) event()      {}
func (Ack) event()       {}
func (Part) event()      {}
func (Heard) event()     {}
func (Demand) event()    {}

// Action is something a controller orders.
type Action interface{ action() }

// The actions.
type (
	// Timer asks for a Tick after Delay.
	Timer struct {
		Delay float64
		Token uint32
	}
	// Probe tests a server.
	Probe struct{ Server ServerID }
	// Watch subscribes to changes of the server list.
	Watch struct{}
	// Fetch asks once for the whole server list.
	Fetch struct{}
	// Log adds a line to the operators' log.
	Log struct{ Text string }
	// SetWeight sets one line of a table; 0 removes it.
	SetWeight struct {
		Table  TableID
		Server ServerID
		Weight float64
	}
	// Bind gives a proxy a whole table for all classes, and its changes from then on.
	Bind struct {
		Proxy ProxyID
		Table TableID
	}
	// Withdraw shuts a server out of every table of the joined proxies, or lets it in again.
	Withdraw struct {
		Server   ServerID
		Excluded bool
	}
	// Admit sets the level and the retry method of the classes in Mask (bit k is class k).
	Admit struct {
		Table TableID
		Mask  uint16
		Level float64
		Retry Retry
	}
	// Mark asks every proxy reached by this step's messages for an Ack.
	Mark struct{ Token uint32 }
)

func (Timer) action()     {}
func (Probe) action()     {}
func (Watch) action()     {}
func (Fetch) action()     {}
func (Log) action()       {}
func (SetWeight) action() {}
func (Bind) action()      {}
func (Withdraw) action()  {}
func (Admit) action()     {}
func (Mark) action()      {}
