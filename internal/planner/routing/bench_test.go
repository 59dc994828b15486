package routing

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// discardPeer is a peer that discards everything.
type discardPeer struct{ id uint64 }

func (s discardPeer) ID() uint64                         { return s.id }
func (s discardPeer) Assign(o protocol.Assignment) error { _, err := o.Append(nil); return err }
func (s discardPeer) AnswerHeartbeat() error             { return nil }
func (s discardPeer) DeferHeartbeat()                    {}
func (s discardPeer) Close(error)                        {}

// BenchmarkWholeTables measures the most expensive step of a large deployment: 600 proxies get tables of 30 servers at once.
func BenchmarkWholeTables(b *testing.B) {
	const proxies, servers, lines = 600, 500, 30
	set, module, calls := testSettings(), &scriptedModule{}, &callLog{}
	set.Rules.Proxies = proxies
	known := protocol.List{}
	for i := range servers {
		known.Members = append(known.Members, member(fmt.Sprint("s-", i), protocol.PhaseUp))
	}
	r := New(set, module, calls, known, zerolog.Nop())
	var orders []rules.Action
	for p := range proxies {
		r.Handle(MessageReceived{Peer: discardPeer{uint64(p + 1)}, Message: attach(p)})
		for i := range lines {
			orders = append(orders, rules.SetWeight{Table: rules.TableID(p), Server: rules.ServerID((p + i) % servers), Weight: 1})
		}
		orders = append(orders, rules.Bind{Proxy: rules.ProxyID(p), Table: rules.TableID(p)})
	}
	orders = append(orders, rules.Mark{Token: 1})
	for b.Loop() {
		module.actions = orders
		r.pending = append(r.pending, rules.Tick{})
		if _, _, err := r.Advance(1); err != nil {
			b.Fatal(err)
		}
	}
}
