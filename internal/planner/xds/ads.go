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

// EndpointsTypeURL is the only resource type that is served: the endpoint assignment of a request class.
const EndpointsTypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

const (
	// maxPendingResponses limits the responses of a stream that wait for an ACK or NACK. Answers to older ones are ignored.
	maxPendingResponses = 64

	// minRejectionDelay is the time from the first NACK to the whole table that is requested in return, in milliseconds. It
	// doubles with each further NACK.
	minRejectionDelay = 1000.0
	// maxRejectionDelay limits that time, in milliseconds.
	maxRejectionDelay = 60000.0
)

// AssignmentStream is the state machine of one discovery stream of a proxy, state-of-the-world or incremental. It is not safe
// for concurrent use.
type AssignmentStream struct {
	config     Config
	identified bool
	identity   Identity
	table      table

	incremental    bool
	subscribed     []string // subscribed classes, in the order of the settings
	joined         bool
	pending        []pendingResponse
	unstampedCount int     // responses sent without a stamp, whose nonces are numbered separately
	rejections     int     // NACKs since the last ACK
	wakeAt         float64 // time at which to request a whole table; 0 if none is due
}

// pendingResponse is a response that waits for an ACK or NACK.
type pendingResponse struct {
	nonce   string
	stamp   uint32
	stamped bool // the response carries a stamp, whose acknowledgement is reported
	sentAt  float64
}

// NewAssignmentStream returns the state machine of a new stream. If incremental is true, its messages have the incremental
// (delta) form, otherwise the state-of-the-world form.
func NewAssignmentStream(config Config, incremental bool) *AssignmentStream {
	return &AssignmentStream{config: config, table: newTable(), incremental: incremental}
}

// Identity returns the identity of the proxy, and whether its first request has been accepted.
func (a *AssignmentStream) Identity() (Identity, bool) { return a.identity, a.identified }

// HandleRequest processes a state-of-the-world request. It returns the messages for routing and the invalid parts of the
// request. An error ends the stream.
func (a *AssignmentStream) HandleRequest(now float64, request *discovery.DiscoveryRequest) (messages []protocol.Message,
	invalid []InvalidPartError, err error) {
	if err := a.checkNode(request.GetNode(), request.GetTypeUrl()); err != nil {
		return nil, nil, err
	}
	newest := request.GetResponseNonce() == "" || len(a.pending) == 0 ||
		a.pending[len(a.pending)-1].nonce == request.GetResponseNonce()
	messages, invalid = a.handleAck(now, request.GetResponseNonce(), request.GetErrorDetail())
	if !newest {
		return messages, invalid, nil // names in the answer to an older response are outdated
	}
	subscribeMessages, unknownNames, err := a.subscribe(request.GetResourceNames())
	return append(messages, subscribeMessages...), append(invalid, unknownNames...), err
}

// HandleDeltaRequest processes an incremental request. It returns the same as HandleRequest.
func (a *AssignmentStream) HandleDeltaRequest(now float64, request *discovery.DeltaDiscoveryRequest) (messages []protocol.Message,
	invalid []InvalidPartError, err error) {
	if err := a.checkNode(request.GetNode(), request.GetTypeUrl()); err != nil {
		return nil, nil, err
	}
	messages, invalid = a.handleAck(now, request.GetResponseNonce(), request.GetErrorDetail())
	if len(request.GetResourceNamesSubscribe()) > 2*len(a.config.Classes)+1 {
		return messages, invalid, ErrTooManyNames
	}
	names := slices.Concat(a.subscribed, request.GetResourceNamesSubscribe())
	if first := !a.joined && len(names) == 0; first {
		names = []string{"*"} // a first request without names subscribes to all resources
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		return slices.Contains(request.GetResourceNamesUnsubscribe(), name)
	})
	if a.joined && len(request.GetResourceNamesSubscribe())+len(request.GetResourceNamesUnsubscribe()) == 0 {
		return messages, invalid, nil
	}
	if len(names) == 0 {
		a.subscribed = nil
		return messages, invalid, nil
	}
	subscribeMessages, unknownNames, err := a.subscribe(names)
	return append(messages, subscribeMessages...), append(invalid, unknownNames...), err
}

// checkNode checks the node and the resource type of a request. The first request must identify a proxy.
func (a *AssignmentStream) checkNode(node *core.Node, typeURL string) error {
	if !a.identified {
		identity, err := Identify(node, a.config)
		if err != nil {
			return err
		}
		if identity.Role != Proxy {
			return ErrNotProxy
		}
		a.identity, a.identified = identity, true
	} else if !sameNode(node, a.identity, a.config) {
		return ErrNodeChanged
	}
	if typeURL != EndpointsTypeURL {
		return fmt.Errorf("%w: %.80q", ErrUnsupportedType, typeURL)
	}
	return nil
}

// handleAck processes the ACK or NACK of a response. An ACK becomes the line protocol's done message. A NACK schedules the
// request of a whole table, after a delay that doubles with each NACK.
func (a *AssignmentStream) handleAck(now float64, nonce string, detail *statuspb.Status) (messages []protocol.Message,
	invalid []InvalidPartError) {
	if nonce == "" {
		return nil, nil
	}
	index := slices.IndexFunc(a.pending, func(response pendingResponse) bool { return response.nonce == nonce })
	if index < 0 {
		return nil, []InvalidPartError{{"nonce", fmt.Errorf("%.40q answers nothing that waits", nonce)}}
	}
	response := a.pending[index]
	a.pending = a.pending[index+1:]
	if detail != nil {
		delay := minRejectionDelay
		for range a.rejections {
			delay = min(maxRejectionDelay, 2*delay)
		}
		a.rejections++
		a.wakeAt = max(a.wakeAt, now+delay)
		return nil, []InvalidPartError{{"refused by the proxy", fmt.Errorf("%.200s", detail.GetMessage())}}
	}
	if a.wakeAt == 0 {
		a.rejections = 0
	}
	if response.stamped {
		messages = append(messages, protocol.Ack{Proxy: a.identity.Proxy, Token: response.stamp,
			Elapsed: max(0, now-response.sentAt)})
	}
	return messages, nil
}

// subscribe replaces the subscribed resources of a stream. The first subscription makes the proxy join. A later one that adds
// a class requests a whole table, since the table that the proxy holds for that class isn't known.
func (a *AssignmentStream) subscribe(names []string) (messages []protocol.Message, invalid []InvalidPartError, err error) {
	if len(names) > 2*len(a.config.Classes)+1 { // leaves room for some unknown names, each of which is reported once
		return nil, nil, ErrTooManyNames
	}
	var wanted []string
	all := len(names) == 0 || slices.Contains(names, "*")
	for _, class := range a.config.Classes {
		if all || slices.Contains(names, class) {
			wanted = append(wanted, class)
		}
	}
	for _, name := range names {
		if name != "*" && !slices.Contains(a.config.Classes, name) {
			invalid = append(invalid, InvalidPartError{"resource", fmt.Errorf("%.40q is no class", name)})
		}
	}
	added := slices.ContainsFunc(wanted, func(class string) bool { return !slices.Contains(a.subscribed, class) })
	a.subscribed = wanted
	switch {
	case !a.joined && len(wanted) > 0:
		a.joined = true
		messages = append(messages, protocol.Attach{Proxy: a.identity.Proxy, Zone: a.identity.Zone,
			Rate: a.identity.Rate, Fresh: a.identity.Fresh})
	case a.joined && added:
		messages = append(messages, protocol.Nack{Proxy: a.identity.Proxy})
	}
	return messages, invalid, nil
}

// WakeAt returns the time at which Wake must be called, or 0 if no call is due.
func (a *AssignmentStream) WakeAt() float64 { return a.wakeAt }

// Wake returns the request for a whole table after a NACK, once its delay has passed, and nil before.
func (a *AssignmentStream) Wake(now float64) []protocol.Message {
	if a.wakeAt == 0 || now < a.wakeAt {
		return nil
	}
	a.wakeAt = 0
	return []protocol.Message{protocol.Nack{Proxy: a.identity.Proxy}}
}

// Encode applies orders to the proxy's table and returns the response that carries them, in the stream's form. It returns nil
// if no subscribed class changes and the orders have no stamp to acknowledge.
func (a *AssignmentStream) Encode(now float64, orders protocol.Assignment) (proto.Message, error) {
	changed := a.table.apply(orders, a.config.Classes)
	changed = slices.DeleteFunc(slices.Clone(changed), func(class string) bool { return !slices.Contains(a.subscribed, class) })
	if len(changed) == 0 && orders.Token == nil {
		return nil, nil
	}
	response := pendingResponse{sentAt: now}
	if orders.Token != nil {
		response.stamp, response.stamped, response.nonce = *orders.Token, true, strconv.FormatUint(uint64(*orders.Token), 10)
	} else {
		a.unstampedCount++
		response.nonce = "u" + strconv.Itoa(a.unstampedCount)
	}
	if a.pending = append(a.pending, response); len(a.pending) > maxPendingResponses {
		a.pending = a.pending[1:]
	}
	if a.incremental {
		out := &discovery.DeltaDiscoveryResponse{SystemVersionInfo: response.nonce, TypeUrl: EndpointsTypeURL,
			Nonce: response.nonce}
		for _, class := range changed {
			packed, err := anypb.New(a.table.assignment(class, a.config.RateLevels))
			if err != nil {
				return nil, err
			}
			out.Resources = append(out.Resources, &discovery.Resource{Name: class, Version: response.nonce, Resource: packed})
		}
		return out, nil
	}
	out := &discovery.DiscoveryResponse{VersionInfo: response.nonce, TypeUrl: EndpointsTypeURL, Nonce: response.nonce}
	for _, class := range changed {
		packed, err := anypb.New(a.table.assignment(class, a.config.RateLevels))
		if err != nil {
			return nil, err
		}
		out.Resources = append(out.Resources, packed)
	}
	return out, nil
}
