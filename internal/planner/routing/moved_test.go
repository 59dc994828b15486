package routing

import (
	"errors"
	"testing"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

func changeList(revision int64, members ...protocol.Member) protocol.List {
	return protocol.List{Revision: revision, Members: members}
}

// TestDiscoveryMoved moves discovery to other addresses. It detects drains that are missed between two watches, results
// accepted from calls that are no longer current, and mistakes if discovery moves again before the first new watch starts.
func TestDiscoveryMoved(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	g.advance(rules.Watch{})
	g.router.Handle(WatchStarted{Call: 1})
	g.router.Handle(DiscoveryMoved{Discovery: "b"})
	g.expect("the new watch starts from the held revision, the old one is kept", *g.calls,
		callLog{"watch 1 from 41", "move to b", "watch 2 from 41"})
	g.advance()
	g.takeEvents()
	g.router.Handle(ListReceived{Call: 1, List: changeList(42, member("s-1", "draining"))})
	g.advance()
	g.expect("a drain from the old watch", len(g.takeEvents()), 1)
	g.router.Handle(DiscoveryMoved{Discovery: "c"}) // before the second was answered
	g.expect("the third watch replaces it", (*g.calls)[3:], callLog{"move to c", "cancel 2", "watch 3 from 42"})
	g.router.Handle(CallFailed{Call: 2, Err: errors.New("cancelled")})
	g.router.Handle(ListReceived{Call: 2, List: changeList(50, member("s-2", "up"))})
	g.advance()
	g.expect("a change from the second watch", g.takeEvents(), []rules.Event(nil))
	g.router.Handle(WatchStarted{Call: 3})
	g.expect("the old watch is cancelled", (*g.calls)[6:], callLog{"cancel 1"})
	g.router.Handle(ListReceived{Call: 1, List: changeList(43, member("s-1", "up"))})
	g.router.Handle(CallFailed{Call: 1, Err: errors.New("cancelled")})
	g.advance()
	g.expect("a late change from the old watch", g.takeEvents(), []rules.Event{rules.List{Kind: rules.ListChanges}})

	g.router.Handle(DiscoveryMoved{Discovery: "d"})
	g.router.Handle(CallFailed{Call: 3, Err: errors.New("closed by its side")})
	g.advance()
	g.expect("the old watch ends first: the new one is requested already", g.takeEvents(), []rules.Event(nil))
	g.router.Handle(CallFailed{Call: 4, Err: errors.New("nobody there")})
	g.advance(rules.Watch{})
	g.expect("no response at the new address", g.takeEvents(), []rules.Event{rules.List{Kind: rules.ListFailed}})
	g.expect("requested again there", (*g.calls)[9:], callLog{"watch 5 from 42"})
}

// TestMovedBeforeAnyWatch checks that a move starts a watch at once, without a request of the module.
func TestMovedBeforeAnyWatch(t *testing.T) {
	g := newHarness(t)
	g.router.Handle(DiscoveryMoved{Discovery: "b"})
	g.advance(rules.Watch{}, rules.Fetch{})
	g.router.Handle(DiscoveryMoved{Discovery: "c"})
	g.expect("calls", *g.calls, callLog{"move to b", "watch 1 from 41", "fetch 2", "move to c", "cancel 1", "watch 3 from 41",
		"cancel 2", "fetch 4"})
}

// TestRevisionRestarted moves to a discovery service whose revisions are lower. Its changes don't apply to the held list, so
// the complete list must be fetched, and that list must not be rejected as outdated.
func TestRevisionRestarted(t *testing.T) {
	g := newHarness(t, member("s-1", "up"), member("s-2", "up"))
	g.advance(rules.Watch{})
	g.router.Handle(WatchStarted{Call: 1})
	g.router.Handle(DiscoveryMoved{Discovery: "b"})
	g.router.Handle(WatchStarted{Call: 2})
	g.router.Handle(ListReceived{Call: 2, List: changeList(7, member("s-2", "draining"))})
	g.expect("the complete list is fetched", (*g.calls)[4:], callLog{"fetch 3"})
	g.advance()
	g.takeEvents()
	g.router.Handle(ListReceived{Call: 3, List: protocol.List{Revision: 7, Complete: true, Members: []protocol.Member{member("s-2", "draining")}}})
	g.advance()
	events := g.takeEvents()
	if len(events) != 1 || events[0].(rules.List).Kind != rules.ListFull {
		t.Errorf("events %+v", events)
	}
	g.advance()
	g.router.Handle(DiscoveryMoved{Discovery: "c"})
	g.router.Handle(WatchStarted{Call: 4})
	g.router.Handle(ListReceived{Call: 4, List: protocol.List{Revision: 3, Complete: true, Members: []protocol.Member{member("s-1", "up")}}})
	g.advance()
	events = g.takeEvents()
	if list, ok := events[len(events)-1].(rules.List); !ok || list.Kind != rules.ListFull || len(list.Servers) != 1 {
		t.Errorf("a complete list with a lower revision: events %+v", events)
	}
	g.expect("no other calls", len(*g.calls), 8)
}
