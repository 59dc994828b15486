package routing

import (
	"testing"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// forgotten returns the servers of the Forgotten events that the module got since the last call.
func (g *harness) forgotten() (ids []rules.ServerID) {
	for _, e := range g.takeEvents() {
		if e, ok := e.(rules.Forgotten); ok {
			ids = append(ids, e.Server)
		}
	}
	return ids
}

// TestServerIDsReleased detects IDs that are never released, and IDs released while a table, an exclusion or a probe still
// refers to them: their assignments or results would be taken for another server's.
func TestServerIDsReleased(t *testing.T) {
	g := newHarness(t, member("s-0", "up"), member("s-1", "up"), member("s-2", "up"), member("s-3", "up"))
	p := g.join(1, 3)
	g.advance(rules.Watch{}, rules.SetWeight{Table: 3, Server: 0, Weight: 1}, rules.SetWeight{Table: 3, Server: 3, Weight: 1},
		rules.SetWeight{Table: 2, Server: 3, Weight: 1}, rules.Bind{Proxy: 3, Table: 3}, rules.Withdraw{Server: 3, Excluded: true},
		rules.Probe{Server: 1})
	turns := func() []rules.ServerID {
		g.advance(rules.Timer{Delay: 100}) // releases
		g.advance(rules.Timer{Delay: 100}) // reports to the module
		return g.forgotten()
	}
	g.expect("all are listed", turns(), []rules.ServerID(nil))
	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 50, Complete: true}})
	g.expect("the only one without references", turns(), []rules.ServerID{2})
	g.router.Handle(Probed{Server: 1})
	g.expect("the probe has ended", turns(), []rules.ServerID{1})
	g.advance(rules.SetWeight{Table: 3, Server: 0})
	g.expect("no table contains it", turns(), []rules.ServerID{0})
	g.advance(rules.SetWeight{Table: 3, Server: 3})
	g.expect("still excluded, and in an unused table", turns(), []rules.ServerID(nil))
	g.advance(rules.Withdraw{Server: 3})
	g.expect("included again", turns(), []rules.ServerID{3})
	g.expect("rows left in the unused table", len(g.router.tables.byID[2].weights), 0)

	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 51, Complete: true, Members: []protocol.Member{
		member("s-9", "up"), member("s-2", "up"), member("s-8", "draining"), member("s-7", "up")}}})
	g.advance()
	g.expect("IDs in use", len(g.router.names.servers), 4)
	list := g.takeEvents()[0].(rules.List)
	seen := map[rules.ServerID]bool{}
	for _, s := range list.Servers {
		seen[s.ID] = true
	}
	g.expect("distinct IDs", len(seen), 4)
	p.received()
	g.advance(rules.SetWeight{Table: 3, Server: g.router.names.ids["s-9"], Weight: 2})
	if text := p.received(); text != `{"t":"assign","rows":[["s-9",2]]}`+"\n" {
		t.Errorf("assigned %s", text)
	}
	g.advance()
	g.takeEvents()
	g.deliver(&peer{id: 9}, protocol.ServerReport{Zone: "south", Server: "s-0", Attempts: 1, Period: 1000})
	g.advance()
	g.expect("a late report of a forgotten server", g.takeEvents(), []rules.Event(nil))
	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 52, Members: []protocol.Member{member("s-7", "removed")}}})
	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 53, Members: []protocol.Member{member("s-7", "up")}}})
	g.expect("listed again before it was forgotten", turns(), []rules.ServerID(nil))
}

// TestUnlistedServerKept covers deployments where a server dropped by the list may stay in use. If IDs were released while
// no proxy has joined, a wrong list at that time would lose the servers permanently.
func TestUnlistedServerKept(t *testing.T) {
	g := newHarness(t, member("s-0", "up"))
	g.router.set.Rules.DrainOnly = true
	g.advance(rules.Watch{})
	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 50, Complete: true}})
	g.advance()
	g.advance(rules.Timer{Delay: 100})
	g.expect("no proxy has joined", g.forgotten(), []rules.ServerID(nil))
	g.join(1, 3)
	g.advance(rules.Timer{Delay: 100})
	g.advance(rules.Timer{Delay: 100})
	g.expect("no table of a proxy contains it", len(g.router.names.ids), 0)
}
