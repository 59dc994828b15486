package program

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/rules"
)

const (
	// watchTimeout is the idle timeout of a watch. Discovery writes a line at least every 2 s, so a watch without one for a
	// quarter longer is dead. The timeout also applies to discovery calls that get no response.
	watchTimeout = 2500 * time.Millisecond

	maxConcurrentProbes = 16        // concurrent probes over all servers
	maxBufferedResponse = 256 << 10 // most bytes buffered of a response that isn't decoded yet
)

// errEnded reports that a call completed, or that discovery ended a watch normally.
var errEnded = errors.New("ended in good order")

// calls implements routing.Calls with requests to discovery and to servers. Each call has its own goroutine, which ends with
// the call.
type calls struct {
	ctx            context.Context
	discovery      string // used only by the routing goroutine, as are Watch, Fetch and SetDiscovery
	connectTimeout time.Duration
	post           func(routing.Event)
	group          *sync.WaitGroup
	probeSlots     chan struct{}
	prober         *serverProber
	log            zerolog.Logger // rate-limited

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // of the discovery calls in flight, by call number
}

func (c *calls) startCall(call uint64, request []byte, response *protocol.HTTPExchange) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancels[call] = cancel
	c.mu.Unlock()
	exchange := transport.Call{Address: c.discovery, ConnectTimeout: c.connectTimeout, IdleTimeout: watchTimeout,
		Request: request, MaxBuffered: maxBufferedResponse}
	c.group.Go(func() {
		err := exchange.Do(ctx, response)
		c.Cancel(call)
		if err == nil {
			err = errEnded
		}
		c.post(routing.CallFailed{Call: call, Err: err})
	})
}

// Cancel implements routing.Calls. It closes the call's connection if the call is still in flight.
func (c *calls) Cancel(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[call]; cancel != nil {
		delete(c.cancels, call)
		cancel()
	}
}

// SetDiscovery implements routing.Calls.
func (c *calls) SetDiscovery(discovery string) { c.discovery = discovery }

// listHandler returns a function that decodes one list and posts it.
func (c *calls) listHandler(call uint64) func([]byte) error {
	return func(text []byte) error {
		list, invalid, err := protocol.DecodeList(text)
		if err != nil {
			return err
		}
		if invalid > 0 {
			c.log.Warn().Int("entries", invalid).Int64("revision", list.Revision).Msg("odd entries in the list")
		}
		c.post(routing.ListReceived{Call: call, List: list})
		return nil
	}
}

func (c *calls) Watch(call uint64, from int64) {
	request, response := protocol.WatchRequest(c.discovery, from,
		func() { c.post(routing.WatchStarted{Call: call}) }, c.listHandler(call))
	c.startCall(call, request, response)
}

func (c *calls) Fetch(call uint64) {
	request, response := protocol.FetchRequest(c.discovery, c.listHandler(call))
	c.startCall(call, request, response)
}

// Probe implements routing.Calls.
func (c *calls) Probe(server rules.ServerID, address string, load bool) {
	c.probe(address, load, func(result routing.Probed) {
		result.Server = server
		c.post(result)
	})
}

// probe sends a health check to a server and passes the result to handle, unless the context ends first.
func (c *calls) probe(address string, load bool, handle func(routing.Probed)) {
	c.group.Go(func() {
		select {
		case c.probeSlots <- struct{}{}:
			defer func() { <-c.probeSlots }()
		case <-c.ctx.Done():
			return
		}
		if result, cancelled := c.prober.probe(c.ctx, address, load); !cancelled {
			handle(result)
		}
	})
}
