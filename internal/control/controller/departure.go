package controller

import (
	"context"
	"net/http"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
)

// Spans of an end in order, all within the platform's grace.
const (
	graceKept    = time.Second            // of the grace, that is left for the end itself
	leaveAtLeast = 400 * time.Millisecond // for edges to find another controller
	handOverFor  = 1500 * time.Millisecond
	drainFor     = 100 * time.Millisecond // for frames that are queued
	shutdownFor  = 300 * time.Millisecond // for calls that are being answered
	answersChunk = 256 << 10              // bytes of answers in one frame
)

// departure is the state of a controller that was told to end.
type departure struct {
	since      time.Duration
	limit      time.Duration
	handedOver time.Duration // since when answers are on their way to another controller; 0: not yet
	synced     bool          // they are durable there
	over       bool
}

// beginLeaving begins to end in order: leadership is passed on, edges go elsewhere, and where a successor stands by this
// replica is voted out before it ends.
func (c *Controller) beginLeaving() {
	now := c.now()
	c.leaving = true
	grace := c.set.Seconds("grace_s", 6)
	c.departure = departure{since: now, limit: now + max(leaveAtLeast, grace-graceKept)}
	_ = c.logger.Log("event", "told to end", "leads", c.leads(), "votes", c.replica.Votes(), "edges", len(c.edges))
	c.tellStanding()
	c.nextSummary = now
	c.summarize(now)
}

// depart goes on with the end.
func (c *Controller) depart(now time.Duration) {
	if !c.leaving {
		return
	}
	c.nextSummary = now // edges that are still here look for another controller at each summary
	switch {
	case now > c.departure.limit:
		_ = c.logger.Log("event", "ends before all was handed on", "leads", c.leads(), "votes", c.replica.Votes())
		c.departure.over = true
	case c.leads() && c.others():
	case c.replica.Votes() && c.successorStandsBy():
	case c.retired && !c.handedOver(now):
	case now-c.departure.since < leaveAtLeast && len(c.edges) > 0:
	case len(c.waiters) > 0:
	default:
		c.departure.over = true
	}
}

func (c *Controller) departed() bool { return c.departure.over }

// others tells whether any voter is in contact that leadership could be passed to.
func (c *Controller) others() bool {
	for _, id := range c.replica.Membership().All() {
		if p := c.replicaAt(id); p != nil && !p.standing.ShuttingDown {
			return true
		}
	}
	return false
}

// successorStandsBy tells whether a controller is in contact that could take this one's vote.
func (c *Controller) successorStandsBy() bool {
	if c.replica.Membership().Joint() {
		return true
	}
	for _, p := range c.peers {
		if p.counted && !p.standing.ShuttingDown && p.standing.Identity != "" && !c.replica.Membership().Contains(p.standing.Identity) {
			return true
		}
	}
	return false
}

// handedOver sends the answers that are kept here to another controller, and tells whether they are durable there.
func (c *Controller) handedOver(now time.Duration) bool {
	if c.departure.handedOver == 0 {
		c.departure.handedOver = now
		if to := c.heir(); to != nil {
			c.sendAnswers(to)
		} else {
			c.departure.synced = true
		}
	}
	return c.departure.synced || now-c.departure.handedOver > handOverFor
}

// heir is who takes the kept answers over: a controller of the own zone, else the leader, else any.
func (c *Controller) heir() (heir *remote) {
	for _, p := range c.peers {
		if p.standing.ShuttingDown {
			continue
		}
		if p.zone == c.set.Zone {
			return p
		}
		if heir == nil || p.ip == c.leader() {
			heir = p
		}
	}
	return heir
}

func (c *Controller) sendAnswers(to *remote) {
	f, bytes, count := &peer.Frame{}, 0, 0
	c.claimStore.EachResponse(func(r idempotency.Record) {
		f.Responses, bytes, count = append(f.Responses, r), bytes+len(r.Response.Body), count+1
		if bytes >= answersChunk {
			to.link.Send(f)
			f, bytes = &peer.Frame{}, 0
		}
	})
	f.SyncRequest = 1
	to.link.Send(f)
	_ = c.logger.Log("event", "answers handed over", "to", to.node, "answers", count)
}

// shutdown ends the calls of servers and operators that are being answered, within a bound.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownFor)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}

// drainLinks lets what is queued for peers leave before the process ends.
func (c *Controller) drainLinks() {
	limit := time.Now().Add(drainFor)
	for _, p := range c.peers {
		p.link.Drain(limit)
	}
	for _, e := range c.edges {
		e.link.Drain(limit)
	}
}
