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
	again rules.Retry
}

// table mirrors a table of the module: the module writes changes, and a proxy that is bound needs all of it.
type table struct {
	weights map[rules.ServerID]float64
	levels  []level
	users   []*stream // joined proxies that are bound to it, by number
}

// stream is a joined proxy.
type stream struct {
	peer    Peer
	proxy   rules.ProxyID
	joined  rules.Joined // as the module was told
	bound   bool
	table   rules.TableID
	orders  protocol.Assignment // of the step that is being carried out
	replace bool
	touched bool
}

// tables holds the mirrors and turns the actions of one step into one message for each proxy.
type tables struct {
	names   *names
	of      map[rules.TableID]*table
	all     []level                                   // levels for all joined proxies
	out     map[rules.ServerID]bool                   // servers withdrawn
	shut    map[rules.ProxyID]map[rules.ServerID]bool // what each proxy was told to shut out, over its streams
	joined  map[rules.ProxyID]*stream
	touched []*stream // by this step, in order
}

func newTables(n *names) *tables {
	return &tables{names: n, of: map[rules.TableID]*table{}, all: make([]level, len(n.className)),
		out: map[rules.ServerID]bool{}, shut: map[rules.ProxyID]map[rules.ServerID]bool{},
		joined: map[rules.ProxyID]*stream{}}
}

func (t *tables) table(id rules.TableID) *table {
	if t.of[id] == nil {
		t.of[id] = &table{weights: map[rules.ServerID]float64{}, levels: make([]level, len(t.names.className))}
	}
	return t.of[id]
}

// reach puts a proxy among those that get a message from this step.
func (t *tables) reach(s *stream) {
	if !s.touched {
		s.touched = true
		t.touched = append(t.touched, s)
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
	if t.out[id] {
		return false
	}
	for _, shut := range t.shut {
		if shut[id] {
			return false
		}
	}
	for _, tab := range t.of {
		if _, holds := tab.weights[id]; holds && len(tab.users) > 0 {
			return false
		}
	}
	for _, tab := range t.of {
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

// each calls f for each joined proxy, in the order of their numbers, so that messages are the same each time.
func (t *tables) each(f func(*stream)) {
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
		t.reach(s)
		s.orders.Rows = append(s.orders.Rows, t.names.row(a.Server, a.Weight))
	}
}

func (t *tables) bind(a rules.Bind) {
	s := t.joined[a.Proxy]
	if s == nil {
		return
	}
	t.reach(s)
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
		t.out[a.Server] = true
	} else {
		delete(t.out, a.Server)
	}
	t.each(func(s *stream) {
		if !s.bound {
			return
		}
		shut := t.shut[s.proxy][a.Server]
		if _, holds := t.table(s.table).weights[a.Server]; a.Excluded && holds && !shut {
			t.reach(s)
			t.drop(s, a.Server)
		} else if !a.Excluded && shut {
			t.reach(s)
			t.undrop(s, a.Server)
		}
	})
}

func (t *tables) drop(s *stream, id rules.ServerID) {
	if t.shut[s.proxy] == nil {
		t.shut[s.proxy] = map[rules.ServerID]bool{}
	}
	t.shut[s.proxy][id] = true
	s.orders.Exclude = append(s.orders.Exclude, t.names.servers[id].name)
}

func (t *tables) undrop(s *stream, id rules.ServerID) {
	delete(t.shut[s.proxy], id)
	s.orders.Include = append(s.orders.Include, t.names.servers[id].name)
}

func (t *tables) admit(a rules.Admit) {
	levels := t.all
	if a.Table != rules.AllTables {
		levels = t.table(a.Table).levels
	}
	for mask := a.Mask; mask != 0; mask &= mask - 1 {
		if k := bits.TrailingZeros16(mask); k < len(levels) {
			levels[k] = level{set: true, value: a.Level, again: a.Retry}
		}
	}
	write := func(s *stream) {
		t.reach(s)
		s.orders.Gates = append(s.orders.Gates, merged(t.gates(s, a.Mask))...)
	}
	if a.Table == rules.AllTables {
		t.each(write)
		return
	}
	for _, s := range t.table(a.Table).users {
		write(s)
	}
}

// gates returns what holds at a proxy for the classes in a mask, one by one. Where its table and all tables
// have a level, the lower one counts, with the table's own way of trying again.
func (t *tables) gates(s *stream, mask uint16) []protocol.Gate {
	var list []protocol.Gate
	for k, now := range t.all {
		if mask&(1<<k) == 0 {
			continue
		}
		if s.bound {
			if own := t.table(s.table).levels[k]; own.set {
				if now.set {
					own.value = min(own.value, now.value)
				}
				now = own
			}
		}
		if now.set {
			list = append(list, protocol.Gate{Classes: []string{t.names.className[k]}, Level: now.value,
				Retry: int(now.again)})
		}
	}
	return list
}

// merged joins gates that say the same, since an order for several classes counts as one line.
func merged(list []protocol.Gate) []protocol.Gate {
	var out []protocol.Gate
next:
	for _, g := range list {
		for i := range out {
			if out[i].Level == g.Level && out[i].Retry == g.Retry {
				out[i].Classes = append(out[i].Classes, g.Classes...)
				continue next
			}
		}
		out = append(out, g)
	}
	return out
}

// all is the mask of every class.
const all = ^uint16(0)

func (t *tables) mark(a rules.Mark) {
	for _, s := range t.touched {
		s.orders.Token = &a.Token
	}
}

// flush sends each proxy its message of this step. A proxy that was bound gets its whole table as it stands,
// since it may hold anything: the table of another planner, or one of an earlier life of this one.
func (t *tables) flush(failed func(*stream, error)) {
	for _, s := range t.touched {
		if s.replace {
			t.whole(s)
		}
		err := s.peer.Assign(s.orders)
		s.orders, s.replace, s.touched = protocol.Assignment{}, false, false
		if err != nil {
			failed(s, err)
		}
	}
	t.touched = t.touched[:0]
}

func (t *tables) whole(s *stream) {
	tab := t.table(s.table)
	s.orders = protocol.Assignment{Replace: true, Token: s.orders.Token, Gates: t.gates(s, all)}
	for _, id := range slices.Sorted(maps.Keys(tab.weights)) {
		s.orders.Rows = append(s.orders.Rows, t.names.row(id, tab.weights[id]))
		if t.out[id] {
			t.drop(s, id) // again: which of our words a proxy still has is not known
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.shut[s.proxy])) {
		if !t.out[id] {
			t.undrop(s, id)
		}
	}
}
