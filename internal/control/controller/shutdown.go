package controller

import (
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
)

// Timing of a graceful shutdown, all within the grace that the platform gives (grace_s).
const (
	defaultGrace    = 6.0                    // seconds, where the settings don't say
	exitReserve     = time.Second            // kept of the grace for the end itself
	minShutdown     = 400 * time.Millisecond // for edges to find another controller
	handOverTimeout = 1500 * time.Millisecond
	drainTimeout    = 100 * time.Millisecond // for frames that are queued
	handOverChunk   = 256 << 10              // bytes of responses in one frame
	handOverSyncID  = 1
)

// shutdown is the state of a controller that was asked to end. It ends in order: leadership is transferred, edges go
// elsewhere, a standby takes over the vote, and what was kept here is handed over before the process exits.
type shutdown struct {
	started           bool
	startedAt         time.Duration
	deadline          time.Duration
	handOverStartedAt time.Duration // when responses were sent to another controller; 0: not yet
	handOverSynced    bool          // they are durable there
	done              bool
	drained           chan struct{} // closed when the calls are answered, after done; nil: not asked for yet
}

// beginShutdown is called once, on SIGTERM.
func (c *Controller) beginShutdown() {
	now := c.Now()
	grace := c.Settings.Seconds("grace_s", defaultGrace)
	c.shutdown = shutdown{started: true, startedAt: now, deadline: now + max(minShutdown, grace-exitReserve)}
	c.LogEvent("shutdown requested", "leads", c.consensus.leads(), "votes", c.consensus.replica.IsVoter(), "edges",
		len(c.links.edges))
	c.members.announceStatus()
	c.summaries.sendNow(now)
	c.sendSummaries(now)
}

// continueShutdown goes on with it at every tick.
func (c *Controller) continueShutdown(now time.Duration) {
	if !c.shutdown.started {
		return
	}
	c.summaries.sendNow(now) // edges that are still here look for another controller at each summary
	switch {
	case now > c.shutdown.deadline:
		c.LogEvent("shutdown deadline exceeded", "leads", c.consensus.leads(), "votes", c.consensus.replica.IsVoter())
		c.shutdown.done = true
	case !c.mustWait(now):
		c.shutdown.done = true
	}
}

// drainEndpoint has the calls answered that have arrived, once the shutdown is done. The owner goes on meanwhile, since it
// decides what they are answered.
func (c *Controller) drainEndpoint() {
	if !c.shutdown.done || c.shutdown.drained != nil {
		return
	}
	c.shutdown.drained = make(chan struct{})
	if c.endpoint == nil {
		close(c.shutdown.drained)
		return
	}
	go func() {
		c.endpoint.drain()
		close(c.shutdown.drained)
	}()
}

// mustWait reports whether anything is left to do that another process could take over.
func (c *Controller) mustWait(now time.Duration) bool {
	switch {
	case c.consensus.leads() && c.otherVoterLinked():
	case c.consensus.replica.IsVoter() && c.standbyLinked():
	case c.members.retired && !c.handedOver(now):
	case now-c.shutdown.startedAt < minShutdown && len(c.links.edges) > 0:
	case len(c.consensus.proposals) > 0:
	default:
		return false
	}
	return true
}

// otherVoterLinked reports whether there is a link to a voter that leadership could be transferred to.
func (c *Controller) otherVoterLinked() bool {
	for _, identity := range c.consensus.replica.Membership().All() {
		if p := c.links.replica(identity); p != nil && !p.status.ShuttingDown {
			return true
		}
	}
	return false
}

// standbyLinked reports whether there is a link to a controller that could take over this one's vote.
func (c *Controller) standbyLinked() bool {
	m := c.consensus.replica.Membership()
	if m.Joint() {
		return true
	}
	for _, p := range c.links.controllers {
		if p.counted && !p.status.ShuttingDown && p.status.Identity != "" && !m.Contains(p.status.Identity) {
			return true
		}
	}
	return false
}

// handedOver sends the responses that are kept here to another controller, once, and reports whether they are durable
// there or waiting for that is over.
func (c *Controller) handedOver(now time.Duration) bool {
	if c.shutdown.handOverStartedAt == 0 {
		c.shutdown.handOverStartedAt = now
		if to := c.handOverTarget(); to != nil {
			c.handOverResponses(to)
		} else {
			c.shutdown.handOverSynced = true
		}
	}
	return c.shutdown.handOverSynced || now-c.shutdown.handOverStartedAt > handOverTimeout
}

// handOverTarget is a controller of the own zone, else the leader, else any; nil: there is none.
func (c *Controller) handOverTarget() (target *remote) {
	for _, p := range c.links.controllers {
		if p.status.ShuttingDown {
			continue
		}
		if p.zone == c.Settings.Zone {
			return p
		}
		if target == nil || p.ip == c.consensus.leaderIP() {
			target = p
		}
	}
	return target
}

func (c *Controller) handOverResponses(to *remote) {
	var chunk peer.Responses
	bytes, count := 0, 0
	c.claims.store.EachResponse(func(r idempotency.Record) {
		chunk, bytes, count = append(chunk, r), bytes+len(r.Response.Body), count+1
		if bytes >= handOverChunk {
			to.link.Send(chunk)
			chunk, bytes = nil, 0
		}
	})
	to.link.Send(chunk, peer.SyncRequest(handOverSyncID))
	c.LogEvent("responses handed over", "to", to.node, "responses", count)
}
