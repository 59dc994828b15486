package controller

import (
	"testing"

	"github.com/go-kit/log"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/node"
	"mulleinwood/internal/platform/nodesettings"
)

// A replica that was disconnected may apply its removal and later changes in one go, before any of them is durable. It must
// keep the identity that it got at its removal.
func TestRemovedReplicaKeepsItsNextIdentity(t *testing.T) {
	c := newController(node.Config{Settings: &nodesettings.Settings{IP: "10.0.0.3"}, Logger: log.NewNopLogger()}, 1)
	c.members.identity, c.members.current = "10.0.0.3", consensus.Membership{Epoch: 4, Voters: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}}
	c.consensus.replica = consensus.New(consensus.Config{ID: "10.0.0.3", Timing: consensus.Timing{Heartbeat: heartbeatInterval, ElectionTimeout: electionTimeout}})
	c.claims = newClaimsService(c.Env, c.writer, c.links, c.members, newStore(c.Env))
	c.members.claims = c.claims
	c.links.known = map[string]bool{"10.0.0.1": true, "10.0.0.2": true, "10.0.0.4": true, "10.0.0.5": true}
	next := []string{"10.0.0.1", "10.0.0.2", "10.0.0.4"}
	c.members.apply(consensus.Membership{Epoch: 5, Voters: c.members.current.Voters, Next: next})
	c.members.apply(consensus.Membership{Epoch: 6, Voters: next})
	c.members.apply(consensus.Membership{Epoch: 7, Voters: next, Next: []string{"10.0.0.1", "10.0.0.2", "10.0.0.5"}})
	stored := ""
	for i, b := range c.writer.batches {
		if b.Identity != "" {
			stored = b.Identity
		}
		c.writer.afterBatches[i]()
	}
	if stored == "" || c.members.identity != stored || c.consensus.replica.ID() != stored {
		t.Fatalf("identity on disk is %q, of the controller %q, of its replica %q", stored, c.members.identity, c.consensus.replica.ID())
	}
}
