package routing

import (
	"errors"
	"testing"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

func changes(revision int64, members ...protocol.Member) protocol.List {
	return protocol.List{Revision: revision, Members: members}
}

// TestMoved follows discovery to another address. Guards against drains that are missed while nobody watches, answers
// of calls that no longer count, and several moves before the first is answered.
func TestMoved(t *testing.T) {
	g := newRig(t, member("s-1", "up"))
	g.turn(rules.Watch{})
	g.r.Handle(WatchStarted{Call: 1})
	g.r.Handle(DiscoveryMoved{Discovery: "b"})
	g.expect("the new watch from the revision held, the old one kept", *g.calls,
		book{"watch 1 from 41", "move to b", "watch 2 from 41"})
	g.turn()
	g.told()
	g.r.Handle(ListReceived{Call: 1, List: changes(42, member("s-1", "draining"))})
	g.turn()
	g.expect("a drain from the old one", len(g.told()), 1)
	g.r.Handle(DiscoveryMoved{Discovery: "c"}) // before the second was answered
	g.expect("the third in its place", (*g.calls)[3:], book{"move to c", "cancel 2", "watch 3 from 42"})
	g.r.Handle(CallFailed{Call: 2, Err: errors.New("cancelled")})
	g.r.Handle(ListReceived{Call: 2, List: changes(50, member("s-2", "up"))})
	g.turn()
	g.expect("what the second says", g.told(), []rules.Event(nil))
	g.r.Handle(WatchStarted{Call: 3})
	g.expect("the old one ends", (*g.calls)[6:], book{"cancel 1"})
	g.r.Handle(ListReceived{Call: 1, List: changes(43, member("s-1", "up"))})
	g.r.Handle(CallFailed{Call: 1, Err: errors.New("cancelled")})
	g.turn()
	g.expect("what it still says", g.told(), []rules.Event{rules.List{Kind: rules.ListChanges}})

	g.r.Handle(DiscoveryMoved{Discovery: "d"})
	g.r.Handle(CallFailed{Call: 3, Err: errors.New("closed by its side")})
	g.turn()
	g.expect("the old one ends first: the new one is under way", g.told(), []rules.Event(nil))
	g.r.Handle(CallFailed{Call: 4, Err: errors.New("nobody there")})
	g.turn(rules.Watch{})
	g.expect("no answer at the new address", g.told(), []rules.Event{rules.List{Kind: rules.ListFailed}})
	g.expect("asked again there", (*g.calls)[9:], book{"watch 5 from 42"})
}

// TestMovedBeforeAnyWatch guards against a move that waits for the module to ask.
func TestMovedBeforeAnyWatch(t *testing.T) {
	g := newRig(t)
	g.r.Handle(DiscoveryMoved{Discovery: "b"})
	g.turn(rules.Watch{}, rules.Fetch{})
	g.r.Handle(DiscoveryMoved{Discovery: "c"})
	g.expect("calls", *g.calls, book{"move to b", "watch 1 from 41", "fetch 2", "move to c", "cancel 1", "watch 3 from 41",
		"cancel 2", "fetch 4"})
}

// TestRenumbered guards against a service that counts its revisions from another start: its changes don't build on the
// list held, and its whole list is no old one.
func TestRenumbered(t *testing.T) {
	g := newRig(t, member("s-1", "up"), member("s-2", "up"))
	g.turn(rules.Watch{})
	g.r.Handle(WatchStarted{Call: 1})
	g.r.Handle(DiscoveryMoved{Discovery: "b"})
	g.r.Handle(WatchStarted{Call: 2})
	g.r.Handle(ListReceived{Call: 2, List: changes(7, member("s-2", "draining"))})
	g.expect("the whole list is asked for", (*g.calls)[4:], book{"fetch 3"})
	g.turn()
	g.told()
	g.r.Handle(ListReceived{Call: 3, List: protocol.List{Revision: 7, Complete: true, Members: []protocol.Member{member("s-2", "draining")}}})
	g.turn()
	told := g.told()
	if len(told) != 1 || told[0].(rules.List).Kind != rules.ListFull {
		t.Errorf("told %+v", told)
	}
	g.turn()
	g.r.Handle(DiscoveryMoved{Discovery: "c"})
	g.r.Handle(WatchStarted{Call: 4})
	g.r.Handle(ListReceived{Call: 4, List: protocol.List{Revision: 3, Complete: true, Members: []protocol.Member{member("s-1", "up")}}})
	g.turn()
	told = g.told()
	if list, ok := told[len(told)-1].(rules.List); !ok || list.Kind != rules.ListFull || len(list.Servers) != 1 {
		t.Errorf("a whole list with a lower revision: told %+v", told)
	}
	g.expect("nothing else is asked for", len(*g.calls), 8)
}
