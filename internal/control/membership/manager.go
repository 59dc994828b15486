package membership

import (
	"cmp"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
)

// Timeouts after which the leader acts on unreachable or late controllers. A voter is replaced only if a standby is available:
// without one, a network partition, a frozen process or a restart of all controllers changes nothing. ReplaceAfter is more
// than three election timeouts, so that a newly elected leader has had contact with all reachable controllers.
const (
	ReplaceAfter  = 1500 * time.Millisecond // time for which a voter may be unreachable
	AbandonAfter  = 2 * time.Second         // time for which a new voter may be unreachable
	ReadyTimeout  = 10 * time.Second        // time for new voters to become ready before the change is abandoned
	transferRetry = 200 * time.Millisecond  // interval of attempts to transfer leadership
)

// Controller is the leader's view of one controller.
type Controller struct {
	ID           string
	Zone         string
	MayVote      bool // it has a persistent disk, and the platform counts its loss
	Connected    bool // currently in contact with the leader
	CaughtUp     bool // its durable log is close to the leader's commit index
	ShuttingDown bool
	Epoch        uint64 // epoch of the newest membership that it has applied durably
	Ready        bool   // its claim store may grant
}

// View is the leader's view of the cluster.
type View struct {
	Self         string
	Term         uint64
	Membership   consensus.Membership // newest membership in the leader's log
	Committed    bool                 // Membership is committed
	Controllers  []Controller         // all known controllers, including the leader
	WantedVoters int                  // so that a majority remains after the loss of as many voters as are tolerated
}

// Action is an action for the leader to execute.
type Action uint8

// The actions.
const (
	ActionNone               Action = iota
	ActionBegin                     // begin a change to the voters Next
	ActionAdopt                     // end the change in progress with the new voters
	ActionAbandon                   // end the change in progress with the voters from before it
	ActionTransferLeadership        // transfer leadership to the voter To
)

// String returns the action's name in logs.
func (a Action) String() string {
	return [...]string{"none", "begin", "adopt", "abandon", "transfer leadership"}[min(a, ActionTransferLeadership)]
}

// Decision is an action with its arguments, and its cause for the log.
type Decision struct {
	Action Action
	Next   []string
	To     string
	Cause  string
}

// Manager makes the decisions of a leader. Its zero value is ready to use. It is not safe for concurrent use.
type Manager struct {
	term         uint64
	unreachable  map[string]time.Duration // unreachable voters and new voters, and since when
	nextTransfer time.Duration            // earliest time of the next attempt to transfer leadership
	epoch        uint64                   // epoch of the change in progress
	changeSeenAt time.Duration            // time at which the change in progress was first seen
}

// Decide returns the next action. It is called at every tick while the replica is the leader.
func (m *Manager) Decide(v View, now time.Duration) Decision {
	if m.term != v.Term || m.unreachable == nil { // observations of an earlier term are discarded
		m.term, m.unreachable, m.nextTransfer = v.Term, map[string]time.Duration{}, 0
	}
	known := byID(v.Controllers)
	m.trackReachability(v, known, now)
	if known[v.Self].ShuttingDown {
		return m.transfer(v, known, now)
	}
	if !v.Committed {
		return Decision{}
	}
	if v.Membership.Joint() {
		return m.finishChange(v, known, now)
	}
	return m.planChange(v, known, now)
}

func byID(controllers []Controller) map[string]Controller {
	known := make(map[string]Controller, len(controllers))
	for _, c := range controllers {
		known[c.ID] = c
	}
	return known
}

// trackReachability records since when voters and new voters have been unreachable.
func (m *Manager) trackReachability(v View, known map[string]Controller, now time.Duration) {
	all := v.Membership.All()
	for _, id := range all {
		if known[id].Connected || id == v.Self {
			delete(m.unreachable, id)
		} else if _, noted := m.unreachable[id]; !noted {
			m.unreachable[id] = now
		}
	}
	for id := range m.unreachable {
		if !slices.Contains(all, id) {
			delete(m.unreachable, id)
		}
	}
}

func (m *Manager) unreachableFor(id string, now time.Duration) time.Duration {
	since, unreachable := m.unreachable[id]
	if !unreachable {
		return 0
	}
	return now - since
}

// transfer transfers leadership to another voter before this replica is replaced.
func (m *Manager) transfer(v View, known map[string]Controller, now time.Duration) Decision {
	to := v.Membership.Voters
	if v.Membership.Joint() {
		to = v.Membership.Next
	}
	return m.transferTo(to, "the leader is shutting down", v, known, now)
}

// transferTo transfers leadership to one of the given voters. It is repeated every transferRetry until one is elected.
func (m *Manager) transferTo(ids []string, cause string, v View, known map[string]Controller, now time.Duration) Decision {
	if now < m.nextTransfer {
		return Decision{}
	}
	for _, id := range ids {
		if c := known[id]; id != v.Self && c.Connected && c.CaughtUp && !c.ShuttingDown {
			m.nextTransfer = now + transferRetry
			return Decision{Action: ActionTransferLeadership, To: id, Cause: cause}
		}
	}
	return Decision{}
}

// finishChange adopts the change in progress once all new voters are ready. It abandons the change if a new voter is lost or
// not ready in time.
func (m *Manager) finishChange(v View, known map[string]Controller, now time.Duration) Decision {
	if m.epoch != v.Membership.Epoch {
		m.epoch, m.changeSeenAt = v.Membership.Epoch, now
	}
	ready := true
	for _, id := range v.Membership.Next {
		if slices.Contains(v.Membership.Voters, id) {
			continue
		}
		c := known[id]
		if m.unreachableFor(id, now) > AbandonAfter || c.ShuttingDown {
			return m.endChange(ActionAbandon, "new voter "+id+" is lost", v, known, now)
		}
		ready = ready && c.Ready && c.Epoch >= v.Membership.Epoch
	}
	switch {
	case ready:
		return m.endChange(ActionAdopt, "the new voters are ready", v, known, now)
	case now-m.changeSeenAt > ReadyTimeout:
		return m.endChange(ActionAbandon, "the new voters are not ready in time", v, known, now)
	}
	return Decision{}
}

// endChange ends a change. If the leader would be no voter afterwards, it transfers leadership to a remaining voter, which
// then ends the change.
func (m *Manager) endChange(action Action, cause string, v View, known map[string]Controller, now time.Duration) Decision {
	after := v.Membership.Next
	if action == ActionAbandon {
		after = v.Membership.Voters
	}
	if !slices.Contains(after, v.Self) {
		return m.transferTo(after, "the leader is no voter after the change", v, known, now)
	}
	return Decision{Action: action, Cause: cause}
}

// planChange begins a change if voters have to be replaced, added or balanced over the zones, and a standby is available.
func (m *Manager) planChange(v View, known map[string]Controller, now time.Duration) Decision {
	standby := standbys(v)
	if len(standby) == 0 {
		return Decision{}
	}
	next, cause := slices.Clone(v.Membership.Voters), ""
	for i, id := range next {
		reason := m.replacementCause(id, v, known, now)
		if reason == "" {
			continue
		}
		by := chooseReplacement(id, known, standby, next)
		if by < 0 {
			continue
		}
		next[i], cause = standby[by].ID, id+" "+reason
		if standby = slices.Delete(standby, by, by+1); len(standby) == 0 {
			break
		}
	}
	if cause == "" && len(next) < v.WantedVoters {
		next, cause = addVoters(next, known, standby, v.WantedVoters), "there are too few voters"
	}
	if cause == "" {
		next, cause = balanceZones(v, known, standby)
	}
	if cause == "" || len(next) == len(v.Membership.Voters) && slices.Equal(next, v.Membership.Voters) {
		return Decision{}
	}
	slices.Sort(next)
	return Decision{Action: ActionBegin, Next: next, Cause: cause}
}

// standbys returns the controllers that may become voters now, sorted by identity.
func standbys(v View) []Controller {
	var standby []Controller
	for _, c := range v.Controllers {
		applied := c.Epoch == v.Membership.Epoch // a controller may not know yet that it was removed
		if c.MayVote && c.Connected && c.CaughtUp && applied && !c.ShuttingDown && !v.Membership.Contains(c.ID) {
			standby = append(standby, c)
		}
	}
	slices.SortFunc(standby, func(a, b Controller) int { return cmp.Compare(a.ID, b.ID) })
	return standby
}

// replacementCause returns the reason to replace a voter, or an empty string if there is none.
func (m *Manager) replacementCause(id string, v View, known map[string]Controller, now time.Duration) string {
	switch c := known[id]; {
	case id == v.Self:
		return ""
	case c.Connected && c.ShuttingDown:
		return "is shutting down"
	case c.Connected:
		return ""
	case diskReplaced(id, v.Controllers):
		return "lost its disk"
	case m.unreachableFor(id, now) > ReplaceAfter:
		return "is unreachable"
	}
	return ""
}

// diskReplaced reports whether a replica with another identity runs at the voter's address.
func diskReplaced(id string, controllers []Controller) bool {
	return slices.ContainsFunc(controllers, func(c Controller) bool {
		return c.Connected && c.ID != id && Address(c.ID) == Address(id)
	})
}

// chooseReplacement returns the index of the standby that replaces a voter: the one at the voter's address, else one in the
// voter's zone, else one in the zone with the fewest voters. It returns -1 if there is no standby.
func chooseReplacement(id string, known map[string]Controller, standby []Controller, voters []string) int {
	for i, c := range standby {
		if Address(c.ID) == Address(id) {
			return i
		}
	}
	best := -1
	for i, c := range standby {
		if c.Zone == known[id].Zone {
			return i
		}
		if best < 0 || zoneCount(c.Zone, voters, known) < zoneCount(standby[best].Zone, voters, known) {
			best = i
		}
	}
	return best
}

func zoneCount(zone string, voters []string, known map[string]Controller) (count int) {
	for _, id := range voters {
		if known[id].Zone == zone {
			count++
		}
	}
	return count
}

// addVoters adds standbys up to the wanted number of voters, from the zones with the fewest voters first.
func addVoters(voters []string, known map[string]Controller, standby []Controller, wanted int) []string {
	for len(voters) < wanted && len(standby) > 0 {
		best := 0
		for i, c := range standby {
			if zoneCount(c.Zone, voters, known) < zoneCount(standby[best].Zone, voters, known) {
				best = i
			}
		}
		voters = append(voters, standby[best].ID)
		standby = slices.Delete(standby, best, best+1)
	}
	return voters
}

// balanceZones replaces a voter by a standby in a zone with at least two voters less, so that the loss of a zone costs as few
// voters as possible. It changes nothing while a voter is unreachable.
func balanceZones(v View, known map[string]Controller, standby []Controller) (next []string, cause string) {
	voters := v.Membership.Voters
	for _, id := range voters {
		if !known[id].Connected && id != v.Self {
			return nil, ""
		}
	}
	for _, c := range standby {
		for i, id := range voters {
			if id != v.Self && zoneCount(known[id].Zone, voters, known) >= zoneCount(c.Zone, voters, known)+2 {
				next = slices.Clone(voters)
				next[i] = c.ID
				return next, "zone " + c.Zone + " has fewer voters"
			}
		}
	}
	return nil, ""
}

// ReplaceError is the reason for which a replacement requested by an operator is rejected.
type ReplaceError string

// Error returns the reason.
func (r ReplaceError) Error() string { return string(r) }

// The reasons for which a replacement is rejected.
const (
	ErrChangeInProgress ReplaceError = "another change of the membership is under way"
	ErrVoterIsLeader    ReplaceError = "the voter leads: leadership is transferred first"
	ErrUnknownVoter     ReplaceError = "no such voter"
	ErrNoStandby        ReplaceError = "there is no standby that could take the vote"
)

// Replace returns the voters after a replacement requested by an operator. If by is empty, any standby may replace the voter.
// If the replacement was already made, Replace returns the current voters.
func Replace(v View, voter, by string) (next []string, err error) {
	voters := v.Membership.Voters
	at := slices.Index(voters, voter)
	switch {
	case v.Membership.Joint() || !v.Committed:
		return nil, ErrChangeInProgress
	case at < 0 && by != "" && slices.Contains(voters, by):
		return voters, nil
	case at < 0:
		return nil, ErrUnknownVoter
	case voter == v.Self:
		return nil, ErrVoterIsLeader
	}
	known := byID(v.Controllers)
	standby := standbys(v)
	if by != "" {
		standby = slices.DeleteFunc(standby, func(c Controller) bool { return c.ID != by })
	}
	chosen := chooseReplacement(voter, known, standby, voters)
	if chosen < 0 {
		return nil, ErrNoStandby
	}
	next = slices.Clone(voters)
	next[at] = standby[chosen].ID
	slices.Sort(next)
	return next, nil
}
