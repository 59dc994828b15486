package routing

import (
	"math/bits"

	"mulleinwood/internal/protocol"
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
}

// stream is a joined proxy.
type stream struct {
	peer    Peer
	proxy   rules.ProxyID
	bound   bool
	table   rules.TableID
	orders  protocol.Orders // of the step that is being carried out
	replace bool
	marked  bool // by a mark of this step
}

// tables holds the mirrors and turns the actions of one step into one message for each proxy.
type tables struct {
	names    *names
	of       map[rules.TableID]*table
	all      []level                                   // levels for all joined proxies
	out      map[rules.ServerID]bool                   // servers withdrawn
	shut     map[rules.ProxyID]map[rules.ServerID]bool // what each proxy was told to shut out, over its streams
	joined   map[rules.ProxyID]*stream
	touched  []*stream // by this step, in order
	lastSent int       // lines of the last step's messages, heads left aside
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
	for _, other := range t.touched {
		if other == s {
			return
		}
	}
	t.touched = append(t.touched, s)
}

// using calls f for each joined proxy that is bound to a table.
func (t *tables) using(id rules.TableID, f func(*stream)) {
	for _, proxy := range t.order() {
		if s := t.joined[proxy]; s.bound && s.table == id {
			f(s)
		}
	}
}

// order lists the joined proxies by number.
func (t *tables) order() []rules.ProxyID {
	set := make(map[rules.ServerID]bool, len(t.joined))
	for p := range t.joined {
		set[rules.ServerID(p)] = true
	}
	var list []rules.ProxyID
	for _, p := range sorted(set) {
		list = append(list, rules.ProxyID(p))
	}
	return list
}

func (t *tables) setWeight(a rules.SetWeight) {
	tab := t.table(a.Table)
	if a.Weight > 0 {
		tab.weights[a.Server] = a.Weight
	} else {
		delete(tab.weights, a.Server)
	}
	t.using(a.Table, func(s *stream) {
		t.reach(s)
		s.orders.Rows = append(s.orders.Rows, protocol.Row{Server: t.names.servers[a.Server].name, Weight: a.Weight})
	})
}

func (t *tables) bind(a rules.Bind) {
	if s := t.joined[a.Proxy]; s != nil {
		t.reach(s)
		s.bound, s.table, s.replace = true, a.Table, true
	}
}

// withdraw shuts a server out at each proxy whose table holds it, or lets it in where it was shut out.
func (t *tables) withdraw(a rules.Withdraw) {
	if a.Out {
		t.out[a.Server] = true
	} else {
		delete(t.out, a.Server)
	}
	for _, proxy := range t.order() {
		s := t.joined[proxy]
		if !s.bound {
			continue
		}
		if _, holds := t.table(s.table).weights[a.Server]; a.Out && holds && !t.shut[proxy][a.Server] {
			t.reach(s)
			t.drop(s, a.Server)
		} else if !a.Out && t.shut[proxy][a.Server] {
			t.reach(s)
			t.undrop(s, a.Server)
		}
	}
}

func (t *tables) drop(s *stream, id rules.ServerID) {
	if t.shut[s.proxy] == nil {
		t.shut[s.proxy] = map[rules.ServerID]bool{}
	}
	t.shut[s.proxy][id] = true
	s.orders.Drop = append(s.orders.Drop, t.names.servers[id].name)
}

func (t *tables) undrop(s *stream, id rules.ServerID) {
	delete(t.shut[s.proxy], id)
	s.orders.Undrop = append(s.orders.Undrop, t.names.servers[id].name)
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
		s.orders.Gates = append(s.orders.Gates, t.gates(s, a.Mask)...)
	}
	if a.Table != rules.AllTables {
		t.using(a.Table, write)
		return
	}
	for _, proxy := range t.order() {
		write(t.joined[proxy])
	}
}

// gates returns what holds at a proxy for the classes in a mask. Where its table and all tables have a level,
// the lower one counts, with the table's own way of trying again.
func (t *tables) gates(s *stream, mask uint16) []protocol.Gate {
	var list []protocol.Gate
	for k := range t.all {
		if mask&(1<<k) == 0 {
			continue
		}
		now := t.all[k]
		if s.bound {
			if own := t.table(s.table).levels[k]; own.set {
				if now.set {
					own.value = min(own.value, now.value)
				}
				now = own
			}
		}
		if !now.set {
			continue
		}
		last := len(list) - 1
		if last >= 0 && list[last].Level == now.value && list[last].Again == int(now.again) && mask != all {
			list[last].Classes = append(list[last].Classes, t.names.className[k])
			continue
		}
		list = append(list, protocol.Gate{Classes: []string{t.names.className[k]}, Level: now.value,
			Again: int(now.again)})
	}
	return list
}

// all is the mask of every class.
const all = ^uint16(0)

func (t *tables) mark(a rules.Mark) {
	for _, s := range t.touched {
		s.orders.Stamp = &a.Token
	}
}

// flush sends each proxy its message of this step. A proxy that was bound gets its whole table as it stands,
// since it may hold anything: the table of another planner, or one of an earlier life of this one.
func (t *tables) flush(failed func(*stream, error)) {
	t.lastSent = 0
	for _, s := range t.touched {
		if s.replace {
			t.whole(s)
		}
		text, err := s.orders.Append(nil)
		t.lastSent += s.orders.Lines()
		s.orders, s.replace = protocol.Orders{}, false
		if err == nil {
			err = s.peer.Send(text)
		}
		if err != nil {
			failed(s, err)
		}
	}
	t.touched = t.touched[:0]
}

func (t *tables) whole(s *stream) {
	tab := t.table(s.table)
	s.orders = protocol.Orders{Replace: true, Stamp: s.orders.Stamp, Gates: t.gates(s, all)}
	for _, id := range sorted(tab.weights) {
		s.orders.Rows = append(s.orders.Rows,
			protocol.Row{Server: t.names.servers[id].name, Weight: tab.weights[id]})
		if t.out[id] {
			t.drop(s, id) // again: which of our words a proxy still has is not known
		}
	}
	for _, id := range sorted(t.shut[s.proxy]) {
		if !t.out[id] {
			t.undrop(s, id)
		}
	}
}
