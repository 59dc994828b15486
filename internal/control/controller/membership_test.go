package controller

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/platform/nodesettings"
)

// A replica that was away learns of its removal and of later changes at once, before any of that is durable. It keeps the
// identity that it draws at its removal.
func TestReplicaThatIsVotedOutKeepsItsNextIdentity(t *testing.T) {
	c := &Controller{set: &nodesettings.Settings{IP: "10.0.0.3"}, logger: log.NewNopLogger(), began: time.Now(), identity: "10.0.0.3",
		membership: consensus.Membership{Epoch: 4, Voters: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}},
		replica:    consensus.New(consensus.Config{ID: "10.0.0.3", Timing: consensus.Timing{Heartbeat: heartbeatEvery, ElectionTimeout: electionTimeout}}),
		claimStore: idempotency.NewStore(time.Minute, false), coordinator: idempotency.NewCoordinator(nil, claimHedge, claimLimit),
		known: map[string]bool{"10.0.0.1": true, "10.0.0.2": true, "10.0.0.4": true, "10.0.0.5": true}}
	next := []string{"10.0.0.1", "10.0.0.2", "10.0.0.4"}
	c.applyMembership(consensus.Membership{Epoch: 5, Voters: c.membership.Voters, Next: next})
	c.applyMembership(consensus.Membership{Epoch: 6, Voters: next})
	c.applyMembership(consensus.Membership{Epoch: 7, Voters: next, Next: []string{"10.0.0.1", "10.0.0.2", "10.0.0.5"}})
	stored := ""
	for i, b := range c.store.pending {
		if b.Identity != "" {
			stored = b.Identity
		}
		c.store.after[i](true)
	}
	if stored == "" || c.identity != stored || c.replica.ID() != stored {
		t.Fatalf("the disk holds the identity %q, the controller goes by %q, its replica by %q", stored, c.identity, c.replica.ID())
	}
}
