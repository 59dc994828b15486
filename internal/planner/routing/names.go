package routing

import (
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// serverInfo holds the facts about a server that the module doesn't need.
type serverInfo struct {
	name    string
	address string
	zone    string // by name
	probing bool
}

// names translates between the protocol's names and the module's numeric IDs. A server keeps its ID as long as it is listed
// or anything refers to it; then the ID is released and may be reused for another server.
type names struct {
	zones, classes, kinds map[string]int
	classNames            []string
	loadFields            []string
	ids                   map[string]rules.ServerID
	byAddress             map[string]rules.ServerID
	servers               []serverInfo            // by ID
	freeIDs               []rules.ServerID        // released IDs
	unlisted              map[rules.ServerID]bool // no longer listed, and not yet released
}

func newNames(set settings.Settings) *names {
	n := &names{zones: indexByName(set.ZoneNames), kinds: indexByName(set.KindNames), loadFields: set.LoadFields,
		ids: map[string]rules.ServerID{}, byAddress: map[string]rules.ServerID{}, unlisted: map[rules.ServerID]bool{}}
	for _, c := range set.Rules.Classes {
		n.classNames = append(n.classNames, c.Name)
	}
	n.classes = indexByName(n.classNames)
	return n
}

func indexByName(list []string) map[string]int {
	indexes := map[string]int{}
	for i, name := range list {
		indexes[name] = i
	}
	return indexes
}

// serverID returns the ID of a name; an unknown name gets a new one.
func (n *names) serverID(name string) rules.ServerID {
	id, known := n.ids[name]
	if known {
		return id
	}
	if last := len(n.freeIDs) - 1; last >= 0 {
		id, n.freeIDs = n.freeIDs[last], n.freeIDs[:last]
	} else {
		id = rules.ServerID(len(n.servers))
		n.servers = append(n.servers, serverInfo{})
	}
	n.ids[name], n.servers[id] = id, serverInfo{name: name}
	return id
}

// removeAddress removes the entry of a server's address, unless another server has the address now.
func (n *names) removeAddress(id rules.ServerID) {
	if address := n.servers[id].address; n.byAddress[address] == id {
		delete(n.byAddress, address)
	}
}

// reportedServer returns the server that a report is about: by its name, or by its address if it has no name.
func (n *names) reportedServer(m protocol.ServerReport) (id rules.ServerID, known bool) {
	if m.Server == "" {
		id, known = n.byAddress[m.Address]
	} else {
		id, known = n.ids[m.Server]
	}
	return id, known
}

// row returns the table row of a server.
func (n *names) row(id rules.ServerID, weight float64) protocol.Row {
	info := &n.servers[id]
	return protocol.Row{Server: info.name, Weight: weight, Address: info.address, Zone: info.zone}
}

// release removes a server. Its ID may be reused from now on.
func (n *names) release(id rules.ServerID) {
	n.removeAddress(id)
	delete(n.ids, n.servers[id].name)
	delete(n.unlisted, id)
	n.servers[id] = serverInfo{}
	n.freeIDs = append(n.freeIDs, id)
}

// noteRemoved records the servers that a list has dropped: those it marks as removed and, where the list is complete, those
// it doesn't contain.
func (n *names) noteRemoved(list rules.List) {
	if list.Kind != rules.ListChanges {
		for _, id := range n.ids {
			n.unlisted[id] = true
		}
	}
	for _, s := range list.Servers {
		if delete(n.unlisted, s.ID); s.State == rules.Removed {
			n.unlisted[s.ID] = true
		}
	}
}

// serverEntry translates an entry of the list. A zone or kind that the settings don't name gets the number after the
// last known one, which the module may merge with another.
func (n *names) serverEntry(m protocol.Member) rules.Server {
	s := rules.Server{ID: n.serverID(m.ID), Weight: m.Weight, Cell: m.Cell, StartedAt: m.StartedAt}
	if info := &n.servers[s.ID]; m.Address != "" && m.Address != info.address {
		n.removeAddress(s.ID)
		info.address, n.byAddress[m.Address] = m.Address, s.ID
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

// loadValues returns the values of a load report in the order of the settings' fields; missing values are 0.
func (n *names) loadValues(report map[string]float64) []float64 {
	if len(report) == 0 {
		return nil
	}
	values := make([]float64, len(n.loadFields))
	for i, name := range n.loadFields {
		values[i] = report[name]
	}
	return values
}
