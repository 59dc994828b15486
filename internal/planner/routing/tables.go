package routing

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// level is what was ordered of a class.
type level struct {
	set   bool
	value float64
	retry rules.Retry
}

// table mirrors a table of the module: the module writes changes, and a proxy that is bound needs all of it.
type table struct {
	weights map[rules.ServerID]float64
	levels  []level
	users   []*stream // joined proxies that are bound to it, by number
}

// stream is a joined proxy.
type stream struct {
	peer       Peer
	proxy      rules.ProxyID
	joined     rules.Joined // as the module was told
	bound      bool
	table      rules.TableID
	assignment protocol.Assignment // of the step that is being carried out
	replace    bool
	changed    bool
}

// tables holds the mirrors and turns the actions of one step into one message for each proxy.
type tables struct {
	names     *names
	byID      map[rules.TableID]*table
	allLevels []level                                   // levels for all joined proxies
	withdrawn map[rules.ServerID]bool                   // servers withdrawn
	excluded  map[rules.ProxyID]map[rules.ServerID]bool // what each proxy was told to shut out, over its streams
	joined    map[rules.ProxyID]*stream
	changed   []*stream // by this step, in order
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

// markChanged puts a proxy among those that get a message from this step.
func (t *tables) markChanged(s *stream) {
	if !s.changed {
		s.changed = true
		t.changed = append(t.changed, s)
	}
}

// join takes a proxy among those that may be bound to tables.
func (t *tables) join(s *stream) { t.joined[s.proxy] = s }

// leave forgets a proxy but for what it was told to shut out, which it keeps.
func (t *tables) leave(s *stream) {
	delete(t.joined, s.proxy)
	t.unbind(s)
}

// forget ends what is kept of a server, if no table that is in use holds it and no proxy has to shut it out. Tables of
// proxies that are not here are sent whole before they are in use again.
func (t *tables) forget(id rules.ServerID) bool {
	if t.withdrawn[id] {
		return false
	}
	for _, shut := range t.excluded {
		if shut[id] {
			return false
		}
	}
	for _, tab := range t.byID {
		if _, holds := tab.weights[id]; holds && len(tab.users) > 0 {
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

// forEachJoined calls f for each joined proxy, in the order of their numbers, so that messages are the same each time.
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

// withdraw shuts a server out at each proxy whose table holds it, or lets it in where it was shut out.
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
		shut := t.excluded[s.proxy][a.Server]
		if _, holds := t.table(s.table).weights[a.Server]; a.Excluded && holds && !shut {
			t.markChanged(s)
			t.exclude(s, a.Server)
		} else if !a.Excluded && shut {
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

// gates returns what holds at a proxy for the classes in a mask, one by one. Where its table and all tables
// have a level, the lower one counts, with the table's own way of trying again.
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

// mergeGates joins gates that say the same, since an order for several classes counts as one line.
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

// flush sends each proxy its message of this step. A proxy that was bound gets its whole table as it stands,
// since it may hold anything: the table of another planner, or one of an earlier life of this one.
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
			t.exclude(s, id) // again: which of our words a proxy still has is not known
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.excluded[s.proxy])) {
		if !t.withdrawn[id] {
			t.include(s, id)
		}
	}
}
