package routing

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// level is the admission level and retry method of a class.
type level struct {
	set   bool
	value float64
	retry rules.Retry
}

// table mirrors a table of the module: the module sends changes only, and a newly bound proxy needs the whole table.
type table struct {
	weights map[rules.ServerID]float64
	levels  []level
	users   []*stream // joined proxies that are bound to it, ordered by ID
}

// stream is a joined proxy.
type stream struct {
	peer       Peer
	proxy      rules.ProxyID
	joined     rules.Joined // the event that the module got
	bound      bool
	table      rules.TableID
	assignment protocol.Assignment // collected during the current step
	replace    bool
	changed    bool
}

// tables holds the mirrors and combines the actions of one step into one message for each proxy.
type tables struct {
	names     *names
	byID      map[rules.TableID]*table
	allLevels []level                                   // levels that hold for all tables, by class
	withdrawn map[rules.ServerID]bool                   // servers that the module has withdrawn
	excluded  map[rules.ProxyID]map[rules.ServerID]bool // servers that each proxy was told to exclude, kept across its streams
	joined    map[rules.ProxyID]*stream
	changed   []*stream // streams with a message in this step, in order
}

func newTables(n *names) *tables {
	return &tables{names: n, byID: map[rules.TableID]*table{}, allLevels: make([]level, len(n.classNames)),
		withdrawn: map[rules.ServerID]bool{}, excluded: map[rules.ProxyID]map[rules.ServerID]bool{},
		joined: map[rules.ProxyID]*stream{}}
}

func (t *tables) table(id rules.TableID) *table {
	if t.byID[id] == nil {
		t.byID[id] = &table{weights: map[rules.ServerID]float64{}, levels: make([]level, len(t.names.classNames))}
	}
	return t.byID[id]
}

// markChanged adds a proxy to those that get a message in this step.
func (t *tables) markChanged(s *stream) {
	if !s.changed {
		s.changed = true
		t.changed = append(t.changed, s)
	}
}

// join adds a proxy to those that may be bound to tables.
func (t *tables) join(s *stream) { t.joined[s.proxy] = s }

// leave removes a proxy. Its exclusions are kept, since the proxy keeps them too.
func (t *tables) leave(s *stream) {
	delete(t.joined, s.proxy)
	t.unbind(s)
}

// forget removes a server's state and returns true, unless a table in use contains the server, the module has withdrawn it
// or a proxy excludes it. Tables that no joined proxy uses don't matter: they are sent whole before they are used again.
func (t *tables) forget(id rules.ServerID) bool {
	if t.withdrawn[id] {
		return false
	}
	for _, excluded := range t.excluded {
		if excluded[id] {
			return false
		}
	}
	for _, tab := range t.byID {
		if _, found := tab.weights[id]; found && len(tab.users) > 0 {
			return false
		}
	}
	for _, tab := range t.byID {
		delete(tab.weights, id)
	}
	return true
}

func (t *tables) unbind(s *stream) {
	if s.bound {
		tab := t.table(s.table)
		tab.users = slices.DeleteFunc(tab.users, func(user *stream) bool { return user == s })
		s.bound = false
	}
}

// forEachJoined calls f for each joined proxy in the order of their IDs, so that messages are deterministic.
func (t *tables) forEachJoined(f func(*stream)) {
	for _, proxy := range slices.Sorted(maps.Keys(t.joined)) {
		f(t.joined[proxy])
	}
}

func (t *tables) setWeight(a rules.SetWeight) {
	tab := t.table(a.Table)
	if a.Weight > 0 {
		tab.weights[a.Server] = a.Weight
	} else {
		delete(tab.weights, a.Server)
	}
	for _, s := range tab.users {
		t.markChanged(s)
		s.assignment.Rows = append(s.assignment.Rows, t.names.row(a.Server, a.Weight))
	}
}

func (t *tables) bind(a rules.Bind) {
	s := t.joined[a.Proxy]
	if s == nil {
		return
	}
	t.markChanged(s)
	t.unbind(s)
	s.bound, s.table, s.replace = true, a.Table, true
	tab := t.table(a.Table)
	at, _ := slices.BinarySearchFunc(tab.users, s.proxy, func(user *stream, proxy rules.ProxyID) int {
		return cmp.Compare(user.proxy, proxy)
	})
	tab.users = slices.Insert(tab.users, at, s)
}

// withdraw excludes a server at each proxy whose table contains it, or includes it again where it was excluded.
func (t *tables) withdraw(a rules.Withdraw) {
	if a.Excluded {
		t.withdrawn[a.Server] = true
	} else {
		delete(t.withdrawn, a.Server)
	}
	t.forEachJoined(func(s *stream) {
		if !s.bound {
			return
		}
		excluded := t.excluded[s.proxy][a.Server]
		if _, found := t.table(s.table).weights[a.Server]; a.Excluded && found && !excluded {
			t.markChanged(s)
			t.exclude(s, a.Server)
		} else if !a.Excluded && excluded {
			t.markChanged(s)
			t.include(s, a.Server)
		}
	})
}

func (t *tables) exclude(s *stream, id rules.ServerID) {
	if t.excluded[s.proxy] == nil {
		t.excluded[s.proxy] = map[rules.ServerID]bool{}
	}
	t.excluded[s.proxy][id] = true
	s.assignment.Exclude = append(s.assignment.Exclude, t.names.servers[id].name)
}

func (t *tables) include(s *stream, id rules.ServerID) {
	delete(t.excluded[s.proxy], id)
	s.assignment.Include = append(s.assignment.Include, t.names.servers[id].name)
}

func (t *tables) admit(a rules.Admit) {
	levels := t.allLevels
	if a.Table != rules.AllTables {
		levels = t.table(a.Table).levels
	}
	for mask := a.Mask; mask != 0; mask &= mask - 1 {
		if k := bits.TrailingZeros16(mask); k < len(levels) {
			levels[k] = level{set: true, value: a.Level, retry: a.Retry}
		}
	}
	write := func(s *stream) {
		t.markChanged(s)
		s.assignment.Gates = append(s.assignment.Gates, mergeGates(t.gates(s, a.Mask))...)
	}
	if a.Table == rules.AllTables {
		t.forEachJoined(write)
		return
	}
	for _, s := range t.table(a.Table).users {
		write(s)
	}
}

// gates returns the effective admission levels of a proxy for the classes in a mask, one class each. Where a class has a
// level in the proxy's table and one for all tables, the lower one applies, with the retry method of the proxy's table.
func (t *tables) gates(s *stream, mask uint16) []protocol.Gate {
	var gates []protocol.Gate
	for k, effective := range t.allLevels {
		if mask&(1<<k) == 0 {
			continue
		}
		if s.bound {
			if own := t.table(s.table).levels[k]; own.set {
				if effective.set {
					own.value = min(own.value, effective.value)
				}
				effective = own
			}
		}
		if effective.set {
			gates = append(gates, protocol.Gate{Classes: []string{t.names.classNames[k]}, Level: effective.value,
				Retry: int(effective.retry)})
		}
	}
	return gates
}

// mergeGates merges gates with equal level and retry method, since a gate for several classes counts as one line.
func mergeGates(gates []protocol.Gate) []protocol.Gate {
	var merged []protocol.Gate
next:
	for _, g := range gates {
		for i := range merged {
			if merged[i].Level == g.Level && merged[i].Retry == g.Retry {
				merged[i].Classes = append(merged[i].Classes, g.Classes...)
				continue next
			}
		}
		merged = append(merged, g)
	}
	return merged
}

// allClasses is the mask of every class.
const allClasses = ^uint16(0)

func (t *tables) mark(a rules.Mark) {
	for _, s := range t.changed {
		s.assignment.Token = &a.Token
	}
}

// flush sends each proxy its message of this step. A newly bound proxy gets its whole table, since it may hold any other:
// the table of another planner, or one from before a restart of this planner.
func (t *tables) flush(failed func(*stream, error)) {
	for _, s := range t.changed {
		if s.replace {
			t.assignWholeTable(s)
		}
		err := s.peer.Assign(s.assignment)
		s.assignment, s.replace, s.changed = protocol.Assignment{}, false, false
		if err != nil {
			failed(s, err)
		}
	}
	t.changed = t.changed[:0]
}

func (t *tables) assignWholeTable(s *stream) {
	tab := t.table(s.table)
	s.assignment = protocol.Assignment{Replace: true, Token: s.assignment.Token, Gates: t.gates(s, allClasses)}
	for _, id := range slices.Sorted(maps.Keys(tab.weights)) {
		s.assignment.Rows = append(s.assignment.Rows, t.names.row(id, tab.weights[id]))
		if t.withdrawn[id] {
			t.exclude(s, id) // sent again: it isn't known which earlier exclusions the proxy still has
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.excluded[s.proxy])) {
		if !t.withdrawn[id] {
			t.include(s, id)
		}
	}
}
