package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// Message is what a proxy or a collector says.
type Message interface{ message() }

// The messages. Figures are finite and not negative; times are in milliseconds.
type (
	// Heartbeat is answered once orders can be made.
	Heartbeat struct{}
	// Collector is the first message of a zone's collector.
	Collector struct{ Zone string }
	// Attach is the first message on a proxy's stream.
	Attach struct {
		Proxy int
		Zone  string
		Rate  float64
		Fresh bool

		Versions bool // it asks for versioned updates
	}
	// Ack says that a proxy applied all up to a mark.
	Ack struct {
		Proxy   int
		Token   uint32
		Elapsed float64
	}
	// ResyncRequest asks for versioned updates that a proxy has missed: those after a number, or the whole table.
	ResyncRequest struct {
		Proxy int
		Full  bool
		After uint64
	}
	// Nack says that a proxy could not use what it was sent: what it holds isn't known.
	Nack struct{ Proxy int }
	// ServerReport is what the proxies of a zone met at a server. One without a name is known by its address.
	ServerReport struct {
		Zone, Server, Address             string
		Attempts, Failed, Latency, Period float64
		Load                              map[string]float64
	}
	// UsageReport counts the requests of a class that came to a proxy.
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

// MaxValue bounds every figure that is taken, so that sums of them stay finite.
const MaxValue = 1e12

// Bounds are what the figures of one deployment's messages keep within. 0 stands for not known.
type Bounds struct {
	Proxies    int     // their numbers are below it
	MaxLatency float64 // milliseconds; an answer that came later than any deadline is no answer
	MaxPeriod  float64 // milliseconds; a report that covers more tells nothing of now
}

// MaxRate is the most requests a second that a report or a joining may tell of: far more than a proxy forwards, or a
// server does.
const MaxRate = 100e3

var (
	errLineTooLong   = errors.New("over 1 MiB")
	errNotJSON       = errors.New("no JSON line")
	errNegative      = errors.New("a figure is below 0")
	errValueTooLarge = errors.New("a figure is over 1e12")
	errMissing       = errors.New("a field is missing")
	errUnknownKind   = errors.New("unknown kind")
	errUnknownProxy  = errors.New("no such proxy")
	errMoreFailed    = errors.New("more failed than tried")
	errPeriod        = errors.New("covers a time that can't be")
	errToken         = errors.New("a mark that none of ours can be")
	errRate          = errors.New("more requests than there can be")
	errLatency       = errors.New("a mean that no answer can have")
	errLoad          = errors.New("a load report outside its units")
)

// heartbeatReply is the answer to a Heartbeat.
const heartbeatReply = `{"t":"hb_ok"}` + "\n"

// HeartbeatReply returns the line that answers a Heartbeat.
func HeartbeatReply() []byte { return []byte(heartbeatReply) }

// line has the fields of all messages. Pointers tell what was left out: a figure that is absent is no 0.
type line struct {
	Kind     string              `json:"t"`
	Zone     *string             `json:"zone"`
	Server   *string             `json:"server"`
	Class    *string             `json:"class"`
	Proxy    *int                `json:"proxy"`
	Token    *int64              `json:"mark"`
	Fresh    bool                `json:"fresh"` // nothing is decided by it
	Weight   *float64            `json:"weight"`
	Elapsed  *float64            `json:"took_ms"`
	Attempts *float64            `json:"tries"`
	Failed   *float64            `json:"failed"`
	Latency  *float64            `json:"mean_ms"`
	Period   *float64            `json:"span_ms"`
	Load     map[string]*float64 `json:"load"`

	Versions bool   `json:"versions"`
	Whole    bool   `json:"whole"`
	After    uint64 `json:"after"`
}

// Decode reads one line. Unknown fields are skipped. Its error is a LineError: either the line is JSON and can't be
// used, or it is none, and then neither can what follows it.
func Decode(text []byte, within Bounds) (Message, error) {
	var d decoder
	return d.decode(text, within)
}

// What stands in a field that a line leaves out. A line that writes one of these leaves it out.
const (
	absentFloat = -1e300
	absentInt   = math.MinInt64
	absentText  = "\x00"
)

// decoder reads lines with no memory for each field of each. It holds what the fields of a line point to.
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

// clearAbsent makes a field that the line left out point to nothing.
func clearAbsent[T comparable](field **T, absent T) {
	if *field != nil && **field == absent {
		*field = nil
	}
}

// message checks the fields that the line's kind has.
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
		return ResyncRequest{Proxy: *l.Proxy, Full: l.Whole, After: l.After}, nil
	case "done":
		return l.done()
	case "upstream_stats":
		return l.serverReport(within)
	case "client_stats":
		return l.usageReport(within)
	}
	return nil, fmt.Errorf("%w %.40q", errUnknownKind, l.Kind)
}

// checkNumbers checks the numbers that any kind of line may have. JSON has no way to write one that is not finite.
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

// attach reads a proxy's joining.
func (l *line) attach() (Message, error) {
	if l.Proxy == nil || l.Zone == nil || l.Weight == nil {
		return nil, errMissing
	}
	if *l.Weight > MaxRate {
		return nil, errRate
	}
	return Attach{Proxy: *l.Proxy, Zone: *l.Zone, Rate: *l.Weight, Fresh: l.Fresh, Versions: l.Versions}, nil
}

// done reads the answer to a mark.
func (l *line) done() (Message, error) {
	if l.Proxy == nil || l.Token == nil || l.Elapsed == nil {
		return nil, errMissing
	}
	if *l.Token < 0 || *l.Token > math.MaxUint32 {
		return nil, errToken
	}
	return Ack{Proxy: *l.Proxy, Token: uint32(*l.Token), Elapsed: *l.Elapsed}, nil
}

// usageReport reads what came to a proxy of a class.
func (l *line) usageReport(within Bounds) (Message, error) {
	if l.Proxy == nil || l.Class == nil || l.Attempts == nil || l.Failed == nil || l.Period == nil {
		return nil, errMissing
	}
	m := UsageReport{Proxy: *l.Proxy, Class: *l.Class, Requests: *l.Attempts, Unanswered: *l.Failed, Period: *l.Period}
	return m, m.Check(within)
}

// checkCounts checks what both kinds of report have.
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

// Check says whether a report can be true. It may count more requests as not served than came in: they came before its
// span.
func (m UsageReport) Check(within Bounds) error {
	return checkCounts(m.Requests, m.Unanswered, m.Period, within)
}

// Check says whether a report can be true. It guards against a server that looks like the fastest of all, or the slowest,
// by a spoilt report: a mean is needed where there were answers, and no answer takes no time or longer than anybody waits.
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

// serverReport reads what a zone's proxies met at a server.
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
