package xds

import (
	"fmt"
	"slices"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"mulleinwood/internal/planner/protocol"
)

// EndpointsTypeURL is the one type of resource that is served: the assignments of a class.
const EndpointsTypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

const (
	maxPendingMarks = 64 // messages sent and not answered that are remembered; older answers are void

	refusedFirst = 1000.0 // milliseconds from a refusal to the whole table that answers it; doubled with each
	maxRefused   = 60000.0
)

// AssignmentStream is the machine of one stream that takes assignments, of either form.
type AssignmentStream struct {
	facts Config
	known bool
	who   Identity
	table table

	incremental bool
	names       []string // classes subscribed to, in the order of the settings
	joined      bool
	sent        []mark
	unmarked    int     // messages sent without a mark, which get a nonce of their own
	refusals    int     // since the last that was accepted
	due         float64 // when a whole table is asked for; 0: none is
}

// mark is a message that is to be answered.
type mark struct {
	nonce string
	value uint32
	is    bool // it has a mark, and isn't only a nonce
	at    float64
}

// NewAssignmentStream returns the machine of a stream. Incremental says which form its messages have.
func NewAssignmentStream(f Config, incremental bool) *AssignmentStream {
	return &AssignmentStream{facts: f, table: newTable(), incremental: incremental}
}

// Identity is the proxy, once it has named itself.
func (a *AssignmentStream) Identity() (Identity, bool) { return a.who, a.known }

// HandleRequest takes a message of the state of the world. Its messages go to routing; what is of no use comes back as Voids; an
// error ends the stream.
func (a *AssignmentStream) HandleRequest(now float64, r *discovery.DiscoveryRequest) (said []protocol.Message,
	voids []InvalidPartError, err error) {
	if err := a.begin(r.GetNode(), r.GetTypeUrl()); err != nil {
		return nil, nil, err
	}
	newest := r.GetResponseNonce() == "" || len(a.sent) == 0 || a.sent[len(a.sent)-1].nonce == r.GetResponseNonce()
	said, voids = a.answered(now, r.GetResponseNonce(), r.GetErrorDetail())
	if !newest {
		return said, voids, nil // names in an answer to an older message don't count
	}
	more, odd, err := a.subscribe(r.GetResourceNames())
	return append(said, more...), append(voids, odd...), err
}

// HandleDeltaRequest takes an incremental message.
func (a *AssignmentStream) HandleDeltaRequest(now float64, r *discovery.DeltaDiscoveryRequest) (said []protocol.Message,
	voids []InvalidPartError, err error) {
	if err := a.begin(r.GetNode(), r.GetTypeUrl()); err != nil {
		return nil, nil, err
	}
	said, voids = a.answered(now, r.GetResponseNonce(), r.GetErrorDetail())
	if len(r.GetResourceNamesSubscribe()) > 2*len(a.facts.Classes)+1 {
		return said, voids, ErrTooManyNames
	}
	names := slices.Concat(a.names, r.GetResourceNamesSubscribe())
	if first := !a.joined && len(names) == 0; first {
		names = []string{"*"} // nothing named at first stands for everything
	}
	names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(r.GetResourceNamesUnsubscribe(), name) })
	if a.joined && len(r.GetResourceNamesSubscribe())+len(r.GetResourceNamesUnsubscribe()) == 0 {
		return said, voids, nil
	}
	if len(names) == 0 {
		a.names = nil
		return said, voids, nil
	}
	more, odd, err := a.subscribe(names)
	return append(said, more...), append(voids, odd...), err
}

// begin checks who speaks, and of what.
func (a *AssignmentStream) begin(n *core.Node, typeURL string) error {
	if !a.known {
		who, err := Identify(n, a.facts)
		if err != nil {
			return err
		}
		if who.Role != Proxy {
			return ErrNotProxy
		}
		a.who, a.known = who, true
	} else if !same(n, a.who, a.facts) {
		return ErrNodeChanged
	}
	if typeURL != EndpointsTypeURL {
		return fmt.Errorf("%w: %.80q", ErrUnsupportedType, typeURL)
	}
	return nil
}

// answered takes the answer to a message. An acceptance is the line protocol's done; a refusal asks for a whole table
// later, each time after twice the wait.
func (a *AssignmentStream) answered(now float64, nonce string, detail *statuspb.Status) (said []protocol.Message,
	voids []InvalidPartError) {
	if nonce == "" {
		return nil, nil
	}
	at := slices.IndexFunc(a.sent, func(m mark) bool { return m.nonce == nonce })
	if at < 0 {
		return nil, []InvalidPartError{{"nonce", fmt.Errorf("%.40q answers nothing that waits", nonce)}}
	}
	m := a.sent[at]
	a.sent = a.sent[at+1:]
	if detail != nil {
		wait := refusedFirst
		for range a.refusals {
			wait = min(maxRefused, 2*wait)
		}
		a.refusals++
		a.due = max(a.due, now+wait)
		return nil, []InvalidPartError{{"refused by the proxy", fmt.Errorf("%.200s", detail.GetMessage())}}
	}
	if a.due == 0 {
		a.refusals = 0
	}
	if m.is {
		said = append(said, protocol.Ack{Proxy: a.who.Proxy, Token: m.value, Elapsed: max(0, now-m.at)})
	}
	return said, nil
}

// subscribe takes the names of a stream's resources. The first make it join; others get it a whole table, since what it
// holds of a class that it newly names isn't known.
func (a *AssignmentStream) subscribe(names []string) (said []protocol.Message, voids []InvalidPartError, err error) {
	if len(names) > 2*len(a.facts.Classes)+1 { // room for some that are no class, each told of once
		return nil, nil, ErrTooManyNames
	}
	var wanted []string
	all := len(names) == 0 || slices.Contains(names, "*")
	for _, class := range a.facts.Classes {
		if all || slices.Contains(names, class) {
			wanted = append(wanted, class)
		}
	}
	for _, name := range names {
		if name != "*" && !slices.Contains(a.facts.Classes, name) {
			voids = append(voids, InvalidPartError{"resource", fmt.Errorf("%.40q is no class", name)})
		}
	}
	more := slices.ContainsFunc(wanted, func(class string) bool { return !slices.Contains(a.names, class) })
	a.names = wanted
	switch {
	case !a.joined && len(wanted) > 0:
		a.joined = true
		said = append(said, protocol.Attach{Proxy: a.who.Proxy, Zone: a.who.Zone, Rate: a.who.Rate, Fresh: a.who.Fresh})
	case a.joined && more:
		said = append(said, protocol.Nack{Proxy: a.who.Proxy})
	}
	return said, voids, nil
}

// WakeAt is when Wake is to be called; 0: not at all.
func (a *AssignmentStream) WakeAt() float64 { return a.due }

// Wake asks for the whole table that a refusal has earned, once its wait is over.
func (a *AssignmentStream) Wake(now float64) []protocol.Message {
	if a.due == 0 || now < a.due {
		return nil
	}
	a.due = 0
	return []protocol.Message{protocol.Nack{Proxy: a.who.Proxy}}
}

// Encode takes an order in and returns the message that carries it, of the stream's form; nil where nothing that the proxy
// has subscribed to changes and no answer is asked for.
func (a *AssignmentStream) Encode(now float64, o protocol.Assignment) (proto.Message, error) {
	changed := a.table.apply(o, a.facts.Classes)
	changed = slices.DeleteFunc(slices.Clone(changed), func(class string) bool { return !slices.Contains(a.names, class) })
	if len(changed) == 0 && o.Token == nil {
		return nil, nil
	}
	m := mark{at: now}
	if o.Token != nil {
		m.value, m.is, m.nonce = *o.Token, true, strconv.FormatUint(uint64(*o.Token), 10)
	} else {
		a.unmarked++
		m.nonce = "u" + strconv.Itoa(a.unmarked)
	}
	if a.sent = append(a.sent, m); len(a.sent) > maxPendingMarks {
		a.sent = a.sent[1:]
	}
	if a.incremental {
		out := &discovery.DeltaDiscoveryResponse{SystemVersionInfo: m.nonce, TypeUrl: EndpointsTypeURL, Nonce: m.nonce}
		for _, class := range changed {
			packed, err := anypb.New(a.table.assignment(class, a.facts.RateLevels))
			if err != nil {
				return nil, err
			}
			out.Resources = append(out.Resources, &discovery.Resource{Name: class, Version: m.nonce, Resource: packed})
		}
		return out, nil
	}
	out := &discovery.DiscoveryResponse{VersionInfo: m.nonce, TypeUrl: EndpointsTypeURL, Nonce: m.nonce}
	for _, class := range changed {
		packed, err := anypb.New(a.table.assignment(class, a.facts.RateLevels))
		if err != nil {
			return nil, err
		}
		out.Resources = append(out.Resources, packed)
	}
	return out, nil
}
