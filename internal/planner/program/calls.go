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
	// watchTimeout is how long a watch may be silent. The protocol writes a line every 2 s while nothing changes;
	// a quarter more than that is a watch that is dead. A call to discovery that isn't answered is held to it too.
	watchTimeout = 2500 * time.Millisecond

	maxProbes   = 16        // at once, over all servers
	maxResponse = 256 << 10 // most that may wait of an answer not yet understood
)

// errEnded is the end of a call that went well, and of a watch that its other side has ended.
var errEnded = errors.New("ended in good order")

// calls asks discovery and servers. Each call has a goroutine of its own, which ends with the call.
type calls struct {
	ctx       context.Context
	discovery string // the loop's own, as the calls of its methods
	connect   time.Duration
	post      func(routing.Event)
	group     *sync.WaitGroup
	probes    chan struct{}
	asker     *asker
	log       zerolog.Logger // bounded

	mu   sync.Mutex
	ends map[uint64]context.CancelFunc // of the calls to discovery that are under way
}

func (c *calls) ask(call uint64, request []byte, answer *protocol.HTTPExchange) {
	ctx, end := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.ends[call] = end
	c.mu.Unlock()
	task := transport.Call{Address: c.discovery, ConnectTimeout: c.connect, IdleTimeout: watchTimeout,
		Request: request, MaxBuffered: maxResponse}
	c.group.Go(func() {
		err := task.Do(ctx, answer)
		c.Cancel(call)
		if err == nil {
			err = errEnded
		}
		c.post(routing.CallFailed{Call: call, Err: err})
	})
}

// Cancel implements routing.Calls: it closes the call's connection, if the call is still under way.
func (c *calls) Cancel(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := c.ends[call]; end != nil {
		delete(c.ends, call)
		end()
	}
}

// SetDiscovery implements routing.Calls.
func (c *calls) SetDiscovery(discovery string) { c.discovery = discovery }

// take returns what reads one list and posts it.
func (c *calls) take(call uint64) func([]byte) error {
	return func(text []byte) error {
		list, odd, err := protocol.DecodeList(text)
		if err != nil {
			return err
		}
		if odd > 0 {
			c.log.Warn().Int("entries", odd).Int64("revision", list.Revision).Msg("odd entries in the list")
		}
		c.post(routing.ListReceived{Call: call, List: list})
		return nil
	}
}

func (c *calls) Watch(call uint64, from int64) {
	request, answer := protocol.WatchRequest(c.discovery, from,
		func() { c.post(routing.WatchStarted{Call: call}) }, c.take(call))
	c.ask(call, request, answer)
}

func (c *calls) Fetch(call uint64) {
	request, answer := protocol.FetchRequest(c.discovery, c.take(call))
	c.ask(call, request, answer)
}

// Probe implements routing.Calls.
func (c *calls) Probe(server rules.ServerID, address string, load bool) {
	c.probe(address, load, func(result routing.Probed) {
		result.Server = server
		c.post(result)
	})
}

// probe asks a server for its health, and tells of the answer.
func (c *calls) probe(address string, load bool, then func(routing.Probed)) {
	c.group.Go(func() {
		select {
		case c.probes <- struct{}{}:
			defer func() { <-c.probes }()
		case <-c.ctx.Done():
			return
		}
		if result, cancelled := c.asker.ask(c.ctx, address, load); !cancelled {
			then(result)
		}
	})
}
