package controller

import (
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
)

// Timing of a graceful shutdown, which must complete within the platform's grace period (grace_s).
const (
	defaultGrace    = 6.0                    // seconds, if the settings have none
	exitReserve     = time.Second            // part of the grace period reserved for the exit itself
	minShutdown     = 400 * time.Millisecond // minimum duration while edges are attached, so that they can move
	handOverTimeout = 1500 * time.Millisecond
	drainTimeout    = 100 * time.Millisecond // for writing queued frames
	handOverChunk   = 256 << 10              // bytes of responses in one frame
	handOverSyncID  = 1
)

// shutdown is the state of a graceful shutdown. Before the process exits, leadership is transferred, edges move to other
// controllers, a standby takes over the vote, and the stored responses are handed over.
type shutdown struct {
	started           bool
	startedAt         time.Duration
	deadline          time.Duration
	handOverStartedAt time.Duration // when responses were sent to another controller; 0: not sent yet
	handOverSynced    bool          // the handed-over responses are durable at the other controller
	done              bool
	drained           chan struct{} // closed when the pending calls are answered; nil until done is set
}

// beginShutdown starts the graceful shutdown. It is called once, on SIGTERM.
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

// continueShutdown advances the shutdown. It is called at every tick.
func (c *Controller) continueShutdown(now time.Duration) {
	if !c.shutdown.started {
		return
	}
	c.summaries.sendNow(now) // each summary makes the remaining edges look for another controller
	switch {
	case now > c.shutdown.deadline:
		c.LogEvent("shutdown deadline exceeded", "leads", c.consensus.leads(), "votes", c.consensus.replica.IsVoter())
		c.shutdown.done = true
	case !c.mustWait(now):
		c.shutdown.done = true
	}
}

// drainEndpoint starts draining the HTTP endpoint once the shutdown is done. The owner keeps running meanwhile, since the
// pending calls need it for their answers.
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

// mustWait reports whether the shutdown has to wait for a step that is not complete and can still succeed.
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

// handedOver sends the stored responses to another controller, once. It reports whether they are durable there or
// handOverTimeout has passed.
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

// handOverTarget returns a controller of the same zone, else the leader, else any other, or nil if there is none.
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
