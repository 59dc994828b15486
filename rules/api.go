// Package rules holds the decisions of a control plane that assigns servers to proxies.
//
// This file is the whole interface: settings, events in, actions out. The decisions are in rules.go and the files beside it
// that the deploy file lists.
// Times are in milliseconds on the caller's clock. The package is independent of any wire format.
package rules

// Identifiers of servers, proxies and tables. The numbers have no meaning of their own.
type (
	// ServerID identifies a server.
	ServerID uint32
	// ProxyID identifies a proxy.
	ProxyID uint16
	// TableID identifies a table of weights.
	TableID uint16
)

// AllTables selects the tables of all joined proxies in Admit.
const AllTables TableID = 65535

// Effect classifies requests by whether they may run more than once.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may run again at any time
	Keyed                // carries an idempotency key; servers of Class.Scope drop a duplicate within Class.Window
	Unsafe               // must never run twice
)

// Scope is the set of servers that detect duplicates of a keyed request.
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
	LatencyTarget float64 // an answer within this time earns the full value
	Deadline      float64 // the client waits this long, over all attempts
	Value         float64
	LateValue     float64 // share of the value earned by an answer between latency target and deadline
	Effect        Effect
	Scope         Scope
	Window        float64 // duplicates of a keyed request are dropped within this time
	OwnZone       bool    // may go only to servers of the proxy's zone
}

// AdmitKind is the meaning of an admission level.
type AdmitKind uint8

// The kinds of admission level.
const (
	AdmitShare AdmitKind = iota // a fraction of a class, 1 for all
	AdmitRate                   // requests a second, at each proxy
	AdmitNone                   // levels are ignored; the retry method still applies
)

// Retry is a method of retrying a failed attempt at another server.
type Retry uint8

// The retry methods.
const (
	RetryNever    Retry = iota
	RetryIfNotRun       // once, after proof that the first attempt never ran
	RetryOnce           // once, after any failure
	RetryTwice          // twice, after any failure
)

// Settings are the parameters of a controller. They don't change while it runs.
type Settings struct {
	Instances            int // controllers, this one included
	Zone                 int // this controller's zone
	Zones                int
	Proxies              int // over all instances
	Classes              []Class
	QueryDiscovery       bool // the server list is sent only on request
	Probes               bool
	KeyRanges            int // above 0: tables assign ranges of a key space
	Admission            AdmitKind
	RetryDefault         Retry
	AttemptTimeoutFactor float64 // timeout of an attempt that may be retried, in latency targets of its class
	ReportPeriod         float64
	QueueLines           float64 // maximum number of lines that may wait in the channel
	LinesPerSec          float64 // usual pace of the channel, in lines a second
	MessageCost          float64 // lines that each message costs in addition to its content
	MaxMessages          int     // maximum number of messages to one proxy within MessageWindow; 0: no limit
	MessageWindow        float64
	DrainGrace           float64
	MinConnections       float64 // connections that the smallest servers accept; 0: unknown
	LocalFirst           bool    // a proxy joins a controller of its own zone if there is one
	DrainOnly            bool    // a server that the list drops may stay in use; only draining removes it
	MaxTimeWithoutServer float64 // a joined proxy may be without a line for at most this long
	WarmupTime           float64 // a started server is warm after at most this time
	StartCapacity        float64 // least share of its capacity that a started server has
	OverloadFactor       float64 // load of a cold server, as a multiple of its capacity, above which it fails
	OverloadTime         float64 // a cold server fails after this time above OverloadFactor
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

// Event is an input of a controller.
type Event interface{ event() }

// ListKind is the kind of content of a List.
type ListKind uint8

// The kinds of List.
const (
	ListChanges ListKind = iota
	ListFull
	ListCached // last list stored by this instance, possibly stale
	ListFailed // a call failed or the subscription broke; no entries
)

// The events.
type (
	// List is a response of discovery.
	List struct {
		Kind    ListKind
		Servers []Server
	}
	// Tick reports that a Timer expired.
	Tick struct{ Token uint32 }
	// Forgotten reports that a server is no longer listed and in no table: its number may be reused from now on.
	Forgotten struct{ Server ServerID }
	// Probed is the result of one probe. Load is the server's load report, if it sent one.
	Probed struct {
		Server  ServerID
		OK      bool
		Refused bool // rejected by a live process: draining, or too many probes
		Elapsed float64
		Load    []float64
	}
	// Joined reports that a proxy's stream to this controller is established.
	Joined struct {
		Proxy ProxyID
		Zone  int
		Rate  float64 // typical requests a second
		Fresh bool    // it has only its default table
	}
	// Left reports that a proxy's stream broke.
	Left struct{ Proxy ProxyID }
	// Ack reports that a proxy applied the message marked with Token and all earlier ones.
	Ack struct {
		Proxy   ProxyID
		Token   uint32
		Elapsed float64
	}
	// Part tells a controller that shares a planner with others its share of the channel, and the traffic of the proxies
	// joined to the others. Without one, the controller has the whole planner.
	Part struct {
		ChannelShare  float64   // of the channel's queue and pace
		JoinedProxies float64   // proxies joined to the others
		TypicalRates  []float64 // their typical requests a second, by zone
		Demands       []float64 // their recent requests a second, by class
	}
	// Heard sums up the attempts of the joined proxies of one zone at one server.
	Heard struct {
		Zone     int
		Server   ServerID
		Attempts float64
		Failed   float64
		Latency  float64 // mean of the successful attempts; 0: none
		Period   float64
		Load     []float64
	}
	// Demand counts the requests of a class that arrived at a proxy, including repeated and refused ones.
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

// Action is an output of a controller.
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
	// Bind assigns a complete table to a proxy for all classes; the proxy also gets the table's later changes.
	Bind struct {
		Proxy ProxyID
		Table TableID
	}
	// Withdraw excludes a server from all tables of the joined proxies, or readmits it.
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
	// Mark requests an Ack from every proxy that gets a message of this step.
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
