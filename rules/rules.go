package rules

// The decisions of the control plane. The interface (settings, events, actions) is in api.go.
//
// The ordinary path: each round compares a server's speed with the fleet's mean and sets its weight to
// listed x (1 + kP*e + kP/tI*sum). Everything else keeps that path safe when things fail.
// What is remembered is in state.go. Reading order: constants and events here, then estimates, round, health,
// admission, dealing, publish.

import (
	"cmp"
	"slices"
)

// Tuned values. Times in milliseconds.
const (
	kP         = 1.0   // gain of the error
	tI         = 5.0   // rounds over which a steady error is corrected
	tDecay     = 1.0   // decay of the sum, in rounds
	sumCap     = 500.0 // cap of the sum, either way
	factorLow  = 0.1   // least factor on a listed weight
	factorHigh = 1.5   // largest factor
	deadBand   = 0.1   // a mean error within this leaves weight and sum alone
	approach   = 0.15  // of the way that a round goes to the computed factor; the whole way swings
	errorsKept = 3     // rounds over which a server's error is averaged
	roundTime  = 2500.0
	coverage   = 0.6     // share of the usable servers that must have been heard
	heardFor   = 60000.0 // how long a report of a server counts for that

	minColdCapacity = 0.05   // of the demand is let in even if all servers are cold
	startShare      = 0.25   // of its weight that a started server gets at once
	warmupSafety    = 0.6    // of the cold budget that we plan to use
	zoneSlack       = 0.15   // a zone may take this much over its even share before it spills to others
	demandTime      = 1500.0 // time over which the demand of a class at a proxy is averaged
	silenceTimeout  = 2.0    // report periods without a report of a class, from which on its demand fades
	typicalTime     = 4000.0 // and the usual rate of a proxy

	decideTime       = 100.0   // between two looks at everything
	suspectTries     = 6.0     // tries in a row without one answer that cast doubt on a server
	suspectLatencies = 3.0     // and for at least this many mean answer times
	maxSuspected     = 0.4     // share of the ready servers that doubt may keep out
	minSuspicion     = 3000.0  // a doubted server stays out at least this long; doubled each time it relapses
	maxSuspicion     = 24000.0 // at most
	returnTime       = 10000   // from its end until a doubted server has its whole weight again
	probeBackoff     = 1000.0  // between two probes of a doubted server
	probesToReturn   = 2       // answers in a row that end a doubt

	collapse           = 1.6    // pressure over which cold servers are kept out
	avoidTries         = 3.0    // at one server, that fail in a row: from then on a proxy may avoid it
	latencyTargetShare = 0.5    // of the aim: the idle answer time is taken to be no longer
	baseShare          = 1.1    // of the idle answer time that is wanted at most, plus
	waitShare          = 0.08   // of the aim, for waiting
	idleLooks          = 3      // decisions in a row that tell the idle response time
	filledEnough       = 0.9    // of that average before it tells the idle answer time
	fleetTime          = 1000   // time over which the fleet's answers are averaged
	throughputDecay    = 0.98   // what is left after a step of the most that the fleet answered
	sheddingFrom       = 0.8    // pressure from which work is held against what the fleet can do
	capacitySlope      = 0.5    // of what the fleet can do that is refused for each point of pressure over 1
	minCapacity        = 0.5    // of it that is let in at any pressure
	limitGrowth        = 1.06   // of the limit at each step without pressure
	maxShedding        = 0.9    // of the work may be refused
	sheddingStep       = 1000.0 // between two looks at the pressure
	unlimited          = 1e6    // a rate that never binds
	rateHeadroom       = 0.5    // square roots of a proxy's rate that are let in over it

	// of the connections that a small server takes: what all tables together may open
	connShare            = 0.25
	tableShare           = 0.5 // of the channel's queue: what one table for every proxy may take
	minLines             = 4   // of any table
	maxMeanLines         = 8   // of a mean one, at most, or
	linesPerFilledServer = 4   // for each server that its traffic fills
	// of its part of the traffic: a server held for less than that is dealt once more
	starvedShare  = 0.4
	fitSteps      = 3   // of fitting the weights to the tables, each look
	maxCorrection = 5.0 // largest correction of a weight for how the server is held, up or down

	ackTimeout        = 2000.0 // a message's answers are waited for this long
	messageGap        = 500.0  // between two ordinary messages to one proxy
	urgentGap         = 250.0  // between two urgent ones
	minMove           = 0.1    // relative change of a line that is worth an order
	minLevel          = 0.05   // relative change of a level that is worth an order
	unackedPace       = 0.5    // of its usual pace that the channel is trusted to keep while nobody answers
	orderLag          = 1000.0 // that ordinary orders may be on their way: what waits here can still change
	maxUnacknowledged = 16     // messages of a proxy whose answers are looked for
	ordinaryPace      = 0.1    // of that pace that ordinary orders may use in the long run
	// of its time that they owe at most: newcomers would wait for all that was urgent
	maxDebt       = 500.0
	ordinaryShare = 0.4    // of the channel's limits that ordinary orders may fill
	urgentShare   = 0.8    // and urgent ones
	resendAfter   = 8000.0 // when discovery does not answer at all
	resendPause   = 800.0  // before discovery is asked again, plus as much by chance
	maxLogLines   = 150    // lines of log from one controller within
	logSpan       = 60000.0
)

// Safe repeats: guards the rule that nothing takes effect twice. Proxies try again only after proof that the
// first try never ran, whatever the class. (For safe classes more was measured: it doubles work under load.)
const retry = RetryIfNotRun

// Step takes what happened at now and returns what to do. Events only add up between two looks.
func (c *Controller) Step(now float64, events []Event) []Action {
	c.now, c.actions = now, nil
	if c.nextRound == 0 { // the first turn
		c.queueUpdatedAt, c.lastShedding, c.nextRound = now, now, now+roundTime
	}
	for _, event := range events {
		c.handle(event)
	}
	if now < c.nextDecision {
		return nil
	}
	c.nextDecision = now + decideTime
	c.actions = append(c.actions, Timer{Delay: decideTime})
	if c.settings.QueryDiscovery && !c.watching && now >= c.queryAt { // discovery that speaks only when asked
		c.queryAt = now + resendAfter
		c.actions = append(c.actions, Watch{})
	}
	c.checkHealth()
	if now >= c.nextRound {
		c.runRound()
	}
	// so that each look has a whole report
	if now-c.lastShedding >= max(sheddingStep, c.settings.ReportPeriod) {
		c.updateAdmission(now - c.lastShedding)
		c.lastShedding = now
	}
	c.publish()
	return c.actions
}

// handle takes one event. It decides nothing.
func (c *Controller) handle(event Event) {
	switch e := event.(type) {
	case List:
		c.handleList(e)
	case Probed:
		c.handleProbed(e)
	case Joined:
		c.handleJoined(e)
	case Left:
		if p := c.proxyByID[e.Proxy]; p != nil {
			p.joined = false
		}
	case Ack:
		c.handleAck(e)
	case Heard:
		c.handleReport(e)
	case Part:
		c.otherParts = e
	case Forgotten:
		c.handleForgotten(e.Server)
	case Demand:
		c.handleDemand(e)
	}
}

// handleProbed counts the probes that a server answered in a row. One that refuses a connection is alive too.
func (c *Controller) handleProbed(e Probed) {
	s := c.serverByID[e.Server]
	switch {
	case s == nil:
	case e.OK || e.Refused:
		s.probesAnswered++
	default:
		s.probesAnswered = 0
	}
}

// handleList follows discovery. A server missing from a whole list is gone.
func (c *Controller) handleList(e List) {
	if e.Kind == ListFailed {
		c.watching, c.queryAt = false, c.now+resendPause*(1+c.rng.Float64())
		return
	}
	if e.Kind != ListCached {
		c.watching = true
	}
	listed := map[ServerID]bool{}
	for _, entry := range e.Servers {
		listed[entry.ID] = true
		entry.Zone = min(entry.Zone, len(c.zones)-1)
		s := c.serverByID[entry.ID]
		if s == nil {
			s = &server{Server: entry, factor: 1, correction: 1, nextSuspicion: minSuspicion}
			s.zones = make([]tally, len(c.zones))
			c.serverByID[entry.ID], c.servers = s, append(c.servers, s)
		}
		s.applyListing(entry, c.settings.DrainOnly)
	}
	slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range c.servers {
		if gone := s.Server; !listed[s.ID] && (e.Kind == ListFull || e.Kind == ListCached) {
			gone.State = Removed
			s.applyListing(gone, c.settings.DrainOnly)
		}
	}
}

// applyListing takes what the list says of a server. Where only draining binds, a ready server that the list
// drops stays in use while it answers: guards against a list that is wrong or behind. A dead one falls into
// doubt.
func (s *server) applyListing(e Server, drainOnly bool) {
	if e.StartedAt > s.StartedAt {
		// A new process: what was held against the old one, and its stale sum, no longer counts.
		s.recentErrors, s.errorSum, s.factor, s.unanswered, s.suspected = nil, 0, 1, 0, false
	}
	if s.unlisted = drainOnly && e.State == Removed && s.State == Ready; s.unlisted {
		e.State = Ready
	}
	s.Server = e
}
