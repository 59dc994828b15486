package controller

import (
	"slices"
	"time"

	"mulleinwood/internal/peer"
)

// fullSummaryEvery is the interval of full summaries, in summaries. The additional fields of a full one change slowly.
const fullSummaryEvery = 4

// summarySchedule schedules the summaries.
type summarySchedule struct {
	next  time.Duration
	count int
}

// sendNow schedules the next summary for the next tick.
func (s *summarySchedule) sendNow(now time.Duration) { s.next = now }

// full returns a full summary, as sent to a peer that joins.
func (s *summarySchedule) full(c *Controller) *peer.Summary {
	summary := c.shortSummary()
	summary.Full = true
	for ip := range c.links.controllers {
		summary.Controllers = append(summary.Controllers, ip)
	}
	slices.Sort(summary.Controllers)
	summary.RegistryDigest = c.servers.registry.Digest()
	return summary
}

// shortSummary returns a summary without the additional fields of a full one. During a shutdown it reports no contact with
// the majority, so that edges look for another controller.
func (c *Controller) shortSummary() *peer.Summary {
	summary := &peer.Summary{InContact: c.consensus.inContact() && !c.shutdown.started, Version: c.consensus.state.Version(),
		Edges: len(c.links.edges), Fleet: len(c.links.edges)}
	for _, other := range c.links.controllers {
		summary.Fleet += other.summary.edges
	}
	return summary
}

// sendSummaries sends a summary on all links if one is due. The first time it also starts dialling the known controllers.
func (c *Controller) sendSummaries(now time.Duration) {
	if now < c.summaries.next {
		return
	}
	if c.summaries.next == 0 {
		for ip := range c.links.known {
			go c.dialController(c.linkCtx, ip)
		}
	}
	c.summaries.next = now + peer.SummaryInterval
	c.summaries.count++
	if c.summaries.count%fullSummaryEvery == 0 {
		c.sendFullSummaries(now)
		return
	}
	summary := c.shortSummary()
	c.links.sendToEdges(summary)
	c.sendToSecondary(summary)
	c.links.sendToControllers(summary)
}

func (c *Controller) sendToSecondary(m peer.Message) {
	for p := range c.links.secondary {
		p.link.Send(m)
	}
}

func (c *Controller) sendFullSummaries(now time.Duration) {
	summary := c.summaries.full(c)
	for _, e := range c.links.edges {
		edgeSummary := summary
		if edges := c.links.zoneEdgeHashes(e.zone); !slices.Equal(edges, e.zoneEdges) {
			e.zoneEdges = edges
			withZoneEdges := *summary
			withZoneEdges.ZoneEdges = edges
			edgeSummary = &withZoneEdges
		}
		e.link.Send(edgeSummary)
	}
	c.sendToSecondary(summary)

	toControllers := *summary
	toControllers.TrafficByZone = c.weights.tables.OwnTraffic()
	toControllers.EdgesByZone = map[string][]uint32{}
	toControllers.Clock = wallClock()
	c.reservations.clock.Observe(c.Settings.IP, toControllers.Clock, now)
	for _, e := range c.links.edges {
		toControllers.EdgesByZone[e.zone] = append(toControllers.EdgesByZone[e.zone], peer.EdgeHash(e.node))
	}
	c.links.sendToControllers(&toControllers)
}
