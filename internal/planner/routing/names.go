package routing

import (
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// serverInfo is what the host knows of a server and the module doesn't need.
type serverInfo struct {
	name    string
	address string
	zone    string // by name
	probing bool
}

// names translates between the protocol's names and the module's numbers. A server keeps its number for as
// long as it is listed or anything refers to it; then the number is given back, and a later server may get it.
type names struct {
	zones, classes, kinds map[string]int
	className             []string
	loadFields            []string
	ids                   map[string]rules.ServerID
	at                    map[string]rules.ServerID // by address
	servers               []serverInfo              // by number
	free                  []rules.ServerID          // numbers that were given back
	gone                  map[rules.ServerID]bool   // not listed any more, and not yet given back
}

func newNames(set settings.Settings) *names {
	n := &names{zones: index(set.ZoneNames), kinds: index(set.KindNames), loadFields: set.LoadFields,
		ids: map[string]rules.ServerID{}, at: map[string]rules.ServerID{}, gone: map[rules.ServerID]bool{}}
	for _, c := range set.Rules.Classes {
		n.className = append(n.className, c.Name)
	}
	n.classes = index(n.className)
	return n
}

func index(list []string) map[string]int {
	at := map[string]int{}
	for i, name := range list {
		at[name] = i
	}
	return at
}

// server returns the number of a name, a new one for a name not met before.
func (n *names) server(name string) rules.ServerID {
	id, known := n.ids[name]
	if known {
		return id
	}
	if last := len(n.free) - 1; last >= 0 {
		id, n.free = n.free[last], n.free[:last]
	} else {
		id = rules.ServerID(len(n.servers))
		n.servers = append(n.servers, serverInfo{})
	}
	n.ids[name], n.servers[id] = id, serverInfo{name: name}
	return id
}

// leaveAddress forgets where a server was, unless another is there by now.
func (n *names) leaveAddress(id rules.ServerID) {
	if address := n.servers[id].address; n.at[address] == id {
		delete(n.at, address)
	}
}

// reported is the server that a report is about: by its name, or by its address if it gives none.
func (n *names) reported(m protocol.ServerReport) (id rules.ServerID, known bool) {
	if m.Server == "" {
		id, known = n.at[m.Address]
	} else {
		id, known = n.ids[m.Server]
	}
	return id, known
}

// row is a line of a table.
func (n *names) row(id rules.ServerID, weight float64) protocol.Row {
	info := &n.servers[id]
	return protocol.Row{Server: info.name, Weight: weight, Address: info.address, Zone: info.zone}
}

// giveBack ends a name. Its number may be given to another from now on.
func (n *names) giveBack(id rules.ServerID) {
	n.leaveAddress(id)
	delete(n.ids, n.servers[id].name)
	delete(n.gone, id)
	n.servers[id] = serverInfo{}
	n.free = append(n.free, id)
}

// left notes which servers a list has dropped: those it calls gone and, where it is whole, those it doesn't name.
func (n *names) left(list rules.List) {
	if list.Kind != rules.ListChanges {
		for _, id := range n.ids {
			n.gone[id] = true
		}
	}
	for _, s := range list.Servers {
		if delete(n.gone, s.ID); s.State == rules.Removed {
			n.gone[s.ID] = true
		}
	}
}

// entry translates an entry of the list. A zone or kind that the settings don't name gets the number after the
// last, which the module is free to fold.
func (n *names) entry(m protocol.Member) rules.Server {
	s := rules.Server{ID: n.server(m.ID), Weight: m.Weight, Cell: m.Cell, StartedAt: m.StartedAt}
	if info := &n.servers[s.ID]; m.Address != "" && m.Address != info.address {
		n.leaveAddress(s.ID)
		info.address, n.at[m.Address] = m.Address, s.ID
	}
	n.servers[s.ID].zone = m.Zone
	var known bool
	if s.Zone, known = n.zones[m.Zone]; !known {
		s.Zone = len(n.zones)
	}
	if s.Kind, known = n.kinds[m.Kind]; !known {
		s.Kind = len(n.kinds)
	}
	switch m.Phase {
	case protocol.PhaseUp:
		s.State = rules.Ready
	case protocol.PhaseDraining:
		s.State = rules.Draining
	default:
		s.State = rules.Removed
	}
	return s
}

// load orders a load report as the settings name its fields; values that are missing are 0.
func (n *names) load(report map[string]float64) []float64 {
	if len(report) == 0 {
		return nil
	}
	values := make([]float64, len(n.loadFields))
	for i, name := range n.loadFields {
		values[i] = report[name]
	}
	return values
}
