package membership

import (
	"cmp"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
)

// Times after which the leader acts on silence. A voter is replaced only where another controller is on standby: a network
// partition, a frozen process or a restart of all controllers without a standby changes nothing. ReplaceAfter is above three
// election timeouts, so that a leader that was just elected has heard everybody.
const (
	ReplaceAfter  = 1500 * time.Millisecond // that a voter is unreachable
	AbandonAfter  = 2 * time.Second         // that a new voter is unreachable
	ReadyTimeout  = 10 * time.Second        // for new voters to become ready, before the change is abandoned
	transferRetry = 200 * time.Millisecond  // between two attempts to transfer leadership
)

// Controller is one controller as the leader sees it.
type Controller struct {
	ID           string
	Zone         string
	MayVote      bool // the platform counts its loss: it has a disk and may vote
	Connected    bool // in contact now
	CaughtUp     bool // its durable log is nearly level with what the leader has committed
	ShuttingDown bool
	Epoch        uint64 // of the membership that it has applied durably
	Ready        bool   // its claim store may grant
}

// View is what the leader sees.
type View struct {
	Self         string
	Term         uint64
	Membership   consensus.Membership // the newest in its log
	Committed    bool                 // and whether that is committed
	Controllers  []Controller         // all that are known, the leader included
	WantedVoters int                  // voters, so that a majority remains when as many as are tolerated are lost
}

// Action is what the leader is to do.
type Action uint8

// The actions.
const (
	ActionNone               Action = iota
	ActionBegin                     // a change that leads to the voters Next
	ActionAdopt                     // finish the change under way: the next voters remain
	ActionAbandon                   // end the change under way: the voters from before it remain
	ActionTransferLeadership        // to the voter To
)

// String is the action's name in logs.
func (a Action) String() string {
	return [...]string{"none", "begin", "adopt", "abandon", "transfer leadership"}[min(a, ActionTransferLeadership)]
}

// Decision is an action with its cause, in a few words for the log.
type Decision struct {
	Action Action
	Next   []string
	To     string
	Cause  string
}

// Manager decides for a leader. Its zero value is ready.
type Manager struct {
	term         uint64
	unreachable  map[string]time.Duration // voters and new voters, and since when
	nextTransfer time.Duration            // leadership is not transferred again before
	epoch        uint64                   // of the change under way
	changeSeenAt time.Duration            // when it was first seen
}

// Decide says what to do now. It is called at every tick while the replica leads.
func (m *Manager) Decide(v View, now time.Duration) Decision {
	if m.term != v.Term || m.unreachable == nil { // what was seen under an earlier term doesn't count
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

// trackReachability notes since when voters and new voters have been unreachable.
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

// transfer hands leadership to another voter, before the own replica is replaced under that one.
func (m *Manager) transfer(v View, known map[string]Controller, now time.Duration) Decision {
	to := v.Membership.Voters
	if v.Membership.Joint() {
		to = v.Membership.Next
	}
	return m.transferTo(to, "the leader is shutting down", v, known, now)
}

// transferTo hands leadership to one of these voters, again and again until one leads.
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

// finishChange adopts the change under way once all new voters are ready, or abandons it when one is lost.
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

// endChange ends a change, unless the leader would be no voter afterwards: then one that remains has to do it.
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

// planChange looks for voters that have to be replaced, and for standbys that can take their place.
func (m *Manager) planChange(v View, known map[string]Controller, now time.Duration) Decision {
	standby := standbys(v)
	if len(standby) == 0 {
		return Decision{}
	}
	next, cause := slices.Clone(v.Membership.Voters), ""
	for i, id := range next {
		why := m.replacementCause(id, v, known, now)
		if why == "" {
			continue
		}
		by := chooseReplacement(id, known, standby, next)
		if by < 0 {
			continue
		}
		next[i], cause = standby[by].ID, id+" "+why
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

// standbys are the controllers that could become voters now, in a fixed order.
func standbys(v View) []Controller {
	var standby []Controller
	for _, c := range v.Controllers {
		applied := c.Epoch == v.Membership.Epoch // one that may not have heard of its own removal is no candidate
		if c.MayVote && c.Connected && c.CaughtUp && applied && !c.ShuttingDown && !v.Membership.Contains(c.ID) {
			standby = append(standby, c)
		}
	}
	slices.SortFunc(standby, func(a, b Controller) int { return cmp.Compare(a.ID, b.ID) })
	return standby
}

// replacementCause says why a voter should be replaced; empty: it should not be.
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

// diskReplaced reports whether another replica runs at the voter's address.
func diskReplaced(id string, controllers []Controller) bool {
	return slices.ContainsFunc(controllers, func(c Controller) bool {
		return c.Connected && c.ID != id && Address(c.ID) == Address(id)
	})
}

// chooseReplacement chooses the standby that takes a voter's place, by its index: the replica at its own address, one of its
// zone, or one of the zone with the fewest voters; below 0: there is none.
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

// addVoters adds standbys until there are as many voters as wanted, those of the zones with the fewest voters first.
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

// balanceZones moves a vote from a zone with two more voters to a zone with a standby, while all voters are reachable: the
// loss of a zone should cost as few voters as possible.
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

// ReplaceError says why a replacement that an operator asks for can't be made now.
type ReplaceError string

// Error implements error.
func (r ReplaceError) Error() string { return string(r) }

// The reasons for which a replacement can't be made now.
const (
	ErrChangeInProgress ReplaceError = "another change of the membership is under way"
	ErrVoterIsLeader    ReplaceError = "the voter leads: leadership is transferred first"
	ErrUnknownVoter     ReplaceError = "no such voter"
	ErrNoStandby        ReplaceError = "there is no standby that could take the vote"
)

// Replace gives the voters after a replacement that an operator asks for, by any standby if by is empty. They are the
// present ones if the replacement was made before.
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
