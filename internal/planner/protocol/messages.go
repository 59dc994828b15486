package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// Message is a message from a proxy or a collector.
type Message interface{ message() }

// The messages. Numbers are finite and not negative; times are in milliseconds.
type (
	// Heartbeat is answered once the planner can make assignments.
	Heartbeat struct{}
	// Collector is the first message of a zone's collector.
	Collector struct{ Zone string }
	// Attach is the first message on a proxy's stream.
	Attach struct {
		Proxy int
		Zone  string
		Rate  float64 // requests per second
		Fresh bool

		Versions bool // the proxy requests versioned updates
	}
	// Ack reports that a proxy has applied everything up to a token.
	Ack struct {
		Proxy   int
		Token   uint32
		Elapsed float64
	}
	// ResyncRequest requests versioned updates that a proxy has missed: those after a version, or the whole table.
	ResyncRequest struct {
		Proxy int
		Full  bool
		After uint64
	}
	// Nack reports that a proxy has rejected an assignment; the state of its table is unknown.
	Nack struct{ Proxy int }
	// ServerReport aggregates the attempts of a zone's proxies at a server. A server without a name is identified by its
	// address. Latency is the mean of the attempts that did not fail.
	ServerReport struct {
		Zone, Server, Address             string
		Attempts, Failed, Latency, Period float64
		Load                              map[string]float64
	}
	// UsageReport counts the requests of a class that a proxy received.
	UsageReport struct {
		Proxy                        int
		Class                        string
		Requests, Unanswered, Period float64
	}
)

func (Heartbeat) message()     {}
func (Collector) message()     {}
func (Attach) message()        {}
func (Ack) message()           {}
func (Nack) message()          {}
func (ResyncRequest) message() {}
func (ServerReport) message()  {}
func (UsageReport) message()   {}

// MaxValue limits every number that is accepted, so that their sums stay finite.
const MaxValue = 1e12

// Bounds are the limits of the numbers in one deployment's messages. 0 means no limit.
type Bounds struct {
	Proxies    int     // number of proxies; their IDs are below it
	MaxLatency float64 // milliseconds; a response after the longest deadline doesn't count as one
	MaxPeriod  float64 // milliseconds; a report over a longer period doesn't describe the current state
}

// MaxRate is the highest rate, in requests per second, that a report or an Attach may contain: far more than a proxy
// forwards or a server handles.
const MaxRate = 100e3

var (
	errLineTooLong   = errors.New("line exceeds 1 MiB")
	errNotJSON       = errors.New("no JSON line")
	errNegative      = errors.New("number is negative")
	errValueTooLarge = errors.New("number exceeds 1e12")
	errMissing       = errors.New("field is missing")
	errUnknownKind   = errors.New("unknown message kind")
	errUnknownProxy  = errors.New("unknown proxy")
	errMoreFailed    = errors.New("more failures than attempts")
	errPeriod        = errors.New("period is 0 or too long")
	errToken         = errors.New("mark is out of range")
	errRate          = errors.New("request rate is too high")
	errLatency       = errors.New("mean latency is out of range")
	errLoad          = errors.New("load value is out of range")
)

// heartbeatReply is the line that answers a Heartbeat.
const heartbeatReply = `{"t":"hb_ok"}` + "\n"

// HeartbeatReply returns the line that answers a Heartbeat.
func HeartbeatReply() []byte { return []byte(heartbeatReply) }

// line has the fields of all messages. A nil pointer is a missing field, which differs from 0.
type line struct {
	Kind     string              `json:"t"`
	Zone     *string             `json:"zone"`
	Server   *string             `json:"server"`
	Class    *string             `json:"class"`
	Proxy    *int                `json:"proxy"`
	Token    *int64              `json:"mark"`
	Fresh    bool                `json:"fresh"` // optional, since no decision depends on it
	Weight   *float64            `json:"weight"`
	Elapsed  *float64            `json:"took_ms"`
	Attempts *float64            `json:"tries"`
	Failed   *float64            `json:"failed"`
	Latency  *float64            `json:"mean_ms"`
	Period   *float64            `json:"span_ms"`
	Load     map[string]*float64 `json:"load"`

	Versions bool   `json:"versions"`
	Full     bool   `json:"whole"`
	After    uint64 `json:"after"`
}

// Decode decodes one line. Unknown fields are ignored. Its error is a *LineError, whose Fault tells whether the lines after
// it can be decoded.
func Decode(text []byte, within Bounds) (Message, error) {
	var d decoder
	return d.decode(text, within)
}

// Placeholders for missing fields. A line that contains one of these values counts as without the field.
const (
	absentFloat = -1e300
	absentInt   = math.MinInt64
	absentText  = "\x00"
)

// decoder decodes lines without an allocation for each field. It holds the values that the fields of a line point to.
type decoder struct {
	texts   [3]string
	proxy   int
	token   int64
	numbers [6]float64
	line    line
}

func (d *decoder) decode(text []byte, within Bounds) (Message, error) {
	d.texts, d.proxy, d.token = [3]string{absentText, absentText, absentText}, absentInt, absentInt
	for i := range d.numbers {
		d.numbers[i] = absentFloat
	}
	l := &d.line
	*l = line{Zone: &d.texts[0], Server: &d.texts[1], Class: &d.texts[2], Proxy: &d.proxy, Token: &d.token, Weight: &d.numbers[0],
		Elapsed: &d.numbers[1], Attempts: &d.numbers[2], Failed: &d.numbers[3], Latency: &d.numbers[4], Period: &d.numbers[5]}
	if err := json.Unmarshal(text, l); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, &LineError{Fault: Unreadable, Err: fmt.Errorf("%w: %w", errNotJSON, err)}
		}
		return nil, &LineError{Kind: l.Kind, Err: err}
	}
	clearAbsent(&l.Zone, absentText)
	clearAbsent(&l.Server, absentText)
	clearAbsent(&l.Class, absentText)
	clearAbsent(&l.Proxy, absentInt)
	clearAbsent(&l.Token, absentInt)
	for _, figure := range []**float64{&l.Weight, &l.Elapsed, &l.Attempts, &l.Failed, &l.Latency, &l.Period} {
		clearAbsent(figure, absentFloat)
	}
	m, err := l.message(within)
	if err != nil {
		return nil, &LineError{Kind: l.Kind, Err: err}
	}
	return m, nil
}

// clearAbsent sets a field to nil if it still has its placeholder.
func clearAbsent[T comparable](field **T, absent T) {
	if *field != nil && **field == absent {
		*field = nil
	}
}

// message returns the line's message after checking the fields of its kind.
func (l *line) message(within Bounds) (Message, error) {
	if err := l.checkNumbers(within); err != nil {
		return nil, err
	}
	switch l.Kind {
	case "hb":
		return Heartbeat{}, nil
	case "telemetry":
		if l.Zone == nil {
			return nil, errMissing
		}
		return Collector{Zone: *l.Zone}, nil
	case "attach":
		return l.attach()
	case "again":
		if l.Proxy == nil {
			return nil, errMissing
		}
		return ResyncRequest{Proxy: *l.Proxy, Full: l.Full, After: l.After}, nil
	case "done":
		return l.done()
	case "upstream_stats":
		return l.serverReport(within)
	case "client_stats":
		return l.usageReport(within)
	}
	return nil, fmt.Errorf("%w %.40q", errUnknownKind, l.Kind)
}

// checkNumbers checks the numbers that any kind of line may have. JSON can't represent infinities or NaN.
func (l *line) checkNumbers(within Bounds) error {
	for _, figure := range []*float64{l.Weight, l.Elapsed, l.Attempts, l.Failed, l.Latency, l.Period} {
		switch {
		case figure == nil:
		case *figure < 0:
			return errNegative
		case *figure > MaxValue:
			return errValueTooLarge
		}
	}
	if l.Proxy != nil && (*l.Proxy < 0 || within.Proxies > 0 && *l.Proxy >= within.Proxies) {
		return errUnknownProxy
	}
	return nil
}

// attach returns the message that joins a proxy.
func (l *line) attach() (Message, error) {
	if l.Proxy == nil || l.Zone == nil || l.Weight == nil {
		return nil, errMissing
	}
	if *l.Weight > MaxRate {
		return nil, errRate
	}
	return Attach{Proxy: *l.Proxy, Zone: *l.Zone, Rate: *l.Weight, Fresh: l.Fresh, Versions: l.Versions}, nil
}

// done returns the acknowledgement of a token.
func (l *line) done() (Message, error) {
	if l.Proxy == nil || l.Token == nil || l.Elapsed == nil {
		return nil, errMissing
	}
	if *l.Token < 0 || *l.Token > math.MaxUint32 {
		return nil, errToken
	}
	return Ack{Proxy: *l.Proxy, Token: uint32(*l.Token), Elapsed: *l.Elapsed}, nil
}

// usageReport returns the report of the requests of a class at a proxy.
func (l *line) usageReport(within Bounds) (Message, error) {
	if l.Proxy == nil || l.Class == nil || l.Attempts == nil || l.Failed == nil || l.Period == nil {
		return nil, errMissing
	}
	m := UsageReport{Proxy: *l.Proxy, Class: *l.Class, Requests: *l.Attempts, Unanswered: *l.Failed, Period: *l.Period}
	return m, m.Check(within)
}

// checkCounts checks the fields that both kinds of report have.
func checkCounts(attempts, failed, period float64, within Bounds) error {
	switch {
	case !(attempts >= 0 && failed >= 0 && period >= 0):
		return errNegative
	case max(attempts, failed, period) > MaxValue:
		return errValueTooLarge
	case period == 0 || within.MaxPeriod > 0 && period > within.MaxPeriod:
		return errPeriod
	case max(attempts, failed) > MaxRate*max(1, period/1000):
		return errRate
	}
	return nil
}

// Check returns an error if the report is implausible. Unanswered may exceed Requests, as those requests may have arrived
// before the period.
func (m UsageReport) Check(within Bounds) error {
	return checkCounts(m.Requests, m.Unanswered, m.Period, within)
}

// Check returns an error if the report is implausible, so that a corrupt report can't make a server look like the fastest or
// the slowest. Reports with responses need a mean latency above 0 and not above the longest deadline.
func (m ServerReport) Check(within Bounds) error {
	if err := checkCounts(m.Attempts, m.Failed, m.Period, within); err != nil {
		return err
	}
	if m.Failed > m.Attempts {
		return errMoreFailed
	}
	if m.Attempts > m.Failed && (!(m.Latency > 0) || m.Latency > MaxValue ||
		within.MaxLatency > 0 && m.Latency > within.MaxLatency) {
		return errLatency
	}
	for _, value := range m.Load {
		if !(value >= 0 && value <= MaxValue) {
			return errLoad
		}
	}
	return nil
}

// serverReport returns the report of a zone's proxies about a server.
func (l *line) serverReport(within Bounds) (Message, error) {
	if l.Zone == nil || l.Server == nil || l.Attempts == nil || l.Failed == nil || l.Period == nil {
		return nil, errMissing
	}
	r := ServerReport{Zone: *l.Zone, Server: *l.Server, Attempts: *l.Attempts, Failed: *l.Failed, Period: *l.Period}
	if r.Attempts > r.Failed {
		if l.Latency == nil {
			return nil, errMissing
		}
		r.Latency = *l.Latency
	}
	for name, value := range l.Load {
		if value == nil {
			return nil, errLoad
		}
		if r.Load == nil {
			r.Load = make(map[string]float64, len(l.Load))
		}
		r.Load[name] = *value
	}
	return r, r.Check(within)
}
