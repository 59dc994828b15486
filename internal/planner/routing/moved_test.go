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

// TestDiscoveryMoved follows discovery to another address. Guards against drains that are missed while nobody watches, answers
// of calls that no longer count, and several moves before the first is answered.
func TestDiscoveryMoved(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	g.advance(rules.Watch{})
	g.router.Handle(WatchStarted{Call: 1})
	g.router.Handle(DiscoveryMoved{Discovery: "b"})
	g.expect("the new watch from the revision held, the old one kept", *g.calls,
		callLog{"watch 1 from 41", "move to b", "watch 2 from 41"})
	g.advance()
	g.takeEvents()
	g.router.Handle(ListReceived{Call: 1, List: changeList(42, member("s-1", "draining"))})
	g.advance()
	g.expect("a drain from the old one", len(g.takeEvents()), 1)
	g.router.Handle(DiscoveryMoved{Discovery: "c"}) // before the second was answered
	g.expect("the third in its place", (*g.calls)[3:], callLog{"move to c", "cancel 2", "watch 3 from 42"})
	g.router.Handle(CallFailed{Call: 2, Err: errors.New("cancelled")})
	g.router.Handle(ListReceived{Call: 2, List: changeList(50, member("s-2", "up"))})
	g.advance()
	g.expect("what the second says", g.takeEvents(), []rules.Event(nil))
	g.router.Handle(WatchStarted{Call: 3})
	g.expect("the old one ends", (*g.calls)[6:], callLog{"cancel 1"})
	g.router.Handle(ListReceived{Call: 1, List: changeList(43, member("s-1", "up"))})
	g.router.Handle(CallFailed{Call: 1, Err: errors.New("cancelled")})
	g.advance()
	g.expect("what it still says", g.takeEvents(), []rules.Event{rules.List{Kind: rules.ListChanges}})

	g.router.Handle(DiscoveryMoved{Discovery: "d"})
	g.router.Handle(CallFailed{Call: 3, Err: errors.New("closed by its side")})
	g.advance()
	g.expect("the old one ends first: the new one is under way", g.takeEvents(), []rules.Event(nil))
	g.router.Handle(CallFailed{Call: 4, Err: errors.New("nobody there")})
	g.advance(rules.Watch{})
	g.expect("no answer at the new address", g.takeEvents(), []rules.Event{rules.List{Kind: rules.ListFailed}})
	g.expect("asked again there", (*g.calls)[9:], callLog{"watch 5 from 42"})
}

// TestMovedBeforeAnyWatch guards against a move that waits for the module to ask.
func TestMovedBeforeAnyWatch(t *testing.T) {
	g := newHarness(t)
	g.router.Handle(DiscoveryMoved{Discovery: "b"})
	g.advance(rules.Watch{}, rules.Fetch{})
	g.router.Handle(DiscoveryMoved{Discovery: "c"})
	g.expect("calls", *g.calls, callLog{"move to b", "watch 1 from 41", "fetch 2", "move to c", "cancel 1", "watch 3 from 41",
		"cancel 2", "fetch 4"})
}

// TestRevisionRestarted guards against a service that counts its revisions from another start: its changes don't build on the
// list held, and its whole list is no old one.
func TestRevisionRestarted(t *testing.T) {
	g := newHarness(t, member("s-1", "up"), member("s-2", "up"))
	g.advance(rules.Watch{})
	g.router.Handle(WatchStarted{Call: 1})
	g.router.Handle(DiscoveryMoved{Discovery: "b"})
	g.router.Handle(WatchStarted{Call: 2})
	g.router.Handle(ListReceived{Call: 2, List: changeList(7, member("s-2", "draining"))})
	g.expect("the whole list is asked for", (*g.calls)[4:], callLog{"fetch 3"})
	g.advance()
	g.takeEvents()
	g.router.Handle(ListReceived{Call: 3, List: protocol.List{Revision: 7, Complete: true, Members: []protocol.Member{member("s-2", "draining")}}})
	g.advance()
	told := g.takeEvents()
	if len(told) != 1 || told[0].(rules.List).Kind != rules.ListFull {
		t.Errorf("told %+v", told)
	}
	g.advance()
	g.router.Handle(DiscoveryMoved{Discovery: "c"})
	g.router.Handle(WatchStarted{Call: 4})
	g.router.Handle(ListReceived{Call: 4, List: protocol.List{Revision: 3, Complete: true, Members: []protocol.Member{member("s-1", "up")}}})
	g.advance()
	told = g.takeEvents()
	if list, ok := told[len(told)-1].(rules.List); !ok || list.Kind != rules.ListFull || len(list.Servers) != 1 {
		t.Errorf("a whole list with a lower revision: told %+v", told)
	}
	g.expect("nothing else is asked for", len(*g.calls), 8)
}
