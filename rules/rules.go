package rules

// The decisions of the control plane. The interface (settings, events, actions) is in api.go.
//
// In normal operation, each round compares a server's speed with the fleet's mean and sets its weight to
// listed x (1 + kP*e + kP/tI*sum), a proportional-integral controller. Everything else handles failures.
// The state is in state.go. Reading order: constants and events here, then estimates, round, health,
// admission, dealing, publish.

import (
	"cmp"
	"slices"
)

// Times are in milliseconds unless the comment names another unit.
const (
	kP             = 1.0   // proportional gain
	tI             = 5.0   // integral time: rounds over which a steady error is corrected
	tDecay         = 1.0   // decay of the error sum, in rounds
	maxErrorSum    = 500.0 // bound of the absolute error sum
	minFactor      = 0.1   // smallest factor on a listed weight
	maxFactor      = 1.5   // largest factor on a listed weight
	deadBand       = 0.1   // a mean error within this range leaves the factor and the error sum unchanged
	factorStep     = 0.15  // share of the distance to the computed factor per round; all of it oscillates
	errorWindow    = 3     // rounds over which a server's error is averaged
	roundInterval  = 2500.0
	minCoverage    = 0.6     // share of the servers in our tables that must have a recent report
	reportLifetime = 60000.0 // how long a server's report counts as recent

	minColdCapacity = 0.05   // smallest share of the demand that is admitted, even if all servers are cold
	initialShare    = 0.25   // share of its weight that a started or returned server gets at once
	coldBudgetShare = 0.6    // share of a cold server's capacity budget that is used
	zoneHeadroom    = 0.15   // relative excess over its even share that a zone takes before it spills
	demandTime      = 1500.0 // time constant of the average demand of a class at a proxy
	silentPeriods   = 2.0    // report periods without a report of a class after which its demand decays
	typicalRateTime = 4000.0 // time constant of a proxy's typical rate

	decisionInterval  = 100.0   // least time between two decisions
	suspectAttempts   = 6.0     // consecutive attempts without an answer that make a server suspected
	suspectLatencies  = 3.0     // least duration of these attempts, in median latencies of the fleet
	maxSuspectedShare = 0.4     // largest share of the ready servers that suspicion may exclude
	minSuspicionTime  = 3000.0  // least duration of a first suspicion; doubled each time a server relapses
	maxSuspicionTime  = 24000.0 // largest value of the doubled duration
	slowStartTime     = 10000   // time after a suspicion until a server has its full weight again
	probeInterval     = 1000.0  // least time between two probes of a suspected server
	probesToReturn    = 2       // consecutive answered probes that end a suspicion

	collapsePressure  = 1.6    // pressure above which cold servers are excluded
	avoidanceAttempts = 3.0    // consecutive failed attempts at a server after which a proxy may avoid it
	maxIdleShare      = 0.5    // upper bound of the assumed idle latency, as a share of the latency target
	idleLatencyFactor = 1.1    // multiple of the idle latency that is in the wanted latency
	queueingShare     = 0.08   // share of the latency target that the wanted latency adds for queueing
	idleSamples       = 3      // consecutive latencies whose largest is a sample of the idle latency
	minFill           = 0.9    // averageFill from which the fleet's average is used
	fleetTime         = 1000   // time constant of the average of the fleet's answers
	throughputDecay   = 0.98   // share of the best throughput that is left after a second
	sheddingPressure  = 0.8    // pressure above which the work limit is bound to the fleet's capacity
	capacitySlope     = 0.5    // share of the capacity that is refused per unit of pressure above 1
	minCapacityShare  = 0.5    // share of the capacity that is admitted at any pressure
	limitGrowth       = 1.06   // growth of the work limit per second without pressure
	maxShedShare      = 0.9    // largest share of the offered work that is refused
	admissionInterval = 1000.0 // least time between two updates of the admission levels
	unlimitedRate     = 1e6    // requests a second that never limit a proxy
	rateHeadroom      = 0.5    // headroom of a proxy's rate limit, in square roots of the rate

	// connectionShare is the share of a small server's connections that all tables together may open.
	connectionShare      = 0.25
	tableQueueShare      = 0.5 // share of the channel's queue for one table of each proxy
	minTableLines        = 4   // smallest number of lines of a table
	maxMeanTableLines    = 8   // bound of the mean number of lines of a table, if larger than the next one
	linesPerFilledServer = 4   // bound of the same mean, lines per server that a mean proxy fills
	// A server whose tables bring it less than underassignedShare of its target rate is assigned once more.
	underassignedShare = 0.4
	correctionSteps    = 3   // iterations of fitting the corrections to the tables, per decision
	maxCorrection      = 5.0 // largest factor, up or down, that corrects a weight for a server's assignment

	ackTimeout        = 2000.0 // longest wait for the acknowledgement of a proxy's last message
	messageGap        = 500.0  // least time between two ordinary messages to one proxy
	urgentGap         = 250.0  // least time between two urgent messages to one proxy
	minWeightChange   = 0.1    // relative change of a weight that is worth an order
	minLevelChange    = 0.05   // relative change of an admission level that is worth an order
	unackedPace       = 0.5    // share of the channel's pace that is assumed while no proxy acknowledges
	maxLag            = 1000.0 // largest delivery lag for ordinary orders; pending ones can still change
	maxUnacknowledged = 16     // messages of a proxy whose acknowledgements are tracked
	ordinaryPace      = 0.1    // share of the channel's pace that ordinary orders may use in the long run
	// maxDebt limits how far urgent orders overdraw the budget of ordinary ones, in time of the channel at
	// its full pace: new servers would wait until the whole debt is paid.
	maxDebt             = 500.0
	ordinaryShare       = 0.4    // share of the channel's limits that ordinary orders may fill
	urgentShare         = 0.8    // share of the channel's limits that urgent orders may fill
	discoveryTimeout    = 8000.0 // time without an answer after which discovery is asked again
	discoveryRetryDelay = 800.0  // least delay after a failure of discovery; the jitter is at most as long
	maxLogLines         = 150    // log lines of one controller per logWindow
	logWindow           = 60000.0
)

// retry is the retry method of all classes. It enforces the rule that no request takes effect twice: proxies
// retry only after proof that the first attempt never ran. More retries of safe classes double the work under
// load.
const retry = RetryIfNotRun

// Step applies the events that arrived by now and returns the actions to carry out. It decides at most once
// per decisionInterval; between two decisions it only accumulates events and returns nil.
func (c *Controller) Step(now float64, events []Event) []Action {
	c.now, c.actions = now, nil
	if c.nextRound == 0 { // the first step
		c.queueUpdatedAt, c.lastAdmission, c.nextRound = now, now, now+roundInterval
	}
	for _, event := range events {
		c.handle(event)
	}
	if now < c.nextDecision {
		return nil
	}
	c.nextDecision = now + decisionInterval
	c.actions = append(c.actions, Timer{Delay: decisionInterval})
	if c.settings.QueryDiscovery && !c.watching && now >= c.nextQuery {
		c.nextQuery = now + discoveryTimeout
		c.actions = append(c.actions, Watch{})
	}
	c.checkHealth()
	if now >= c.nextRound {
		c.runRound()
	}
	// The interval is at least a report period, so that each update has a complete report.
	if now-c.lastAdmission >= max(admissionInterval, c.settings.ReportPeriod) {
		c.updateAdmission(now - c.lastAdmission)
		c.lastAdmission = now
	}
	c.publish()
	return c.actions
}

// handle applies one event to the state. It decides nothing.
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

// handleProbed counts consecutive answered probes. A server that refuses a connection is alive too.
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

// handleList applies a server list. A server that is missing from a complete list is removed.
func (c *Controller) handleList(e List) {
	if e.Kind == ListFailed {
		c.watching, c.nextQuery = false, c.now+discoveryRetryDelay*(1+c.rng.Float64())
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
			s = &server{Server: entry, factor: 1, correction: 1, nextSuspicion: minSuspicionTime}
			s.roundByZone = make([]reportTotals, len(c.zones))
			c.serverByID[entry.ID], c.servers = s, append(c.servers, s)
		}
		s.applyListing(entry, c.settings.DrainOnly)
	}
	slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range c.servers {
		if removed := s.Server; !listed[s.ID] && (e.Kind == ListFull || e.Kind == ListCached) {
			removed.State = Removed
			s.applyListing(removed, c.settings.DrainOnly)
		}
	}
}

// applyListing updates a server from its entry in the list. With drainOnly, a ready server that the list
// drops stays in use while it answers, which guards against a wrong or stale list. A dead one is suspected.
func (s *server) applyListing(e Server, drainOnly bool) {
	if e.StartedAt > s.StartedAt {
		// A new process: the suspicion and the stale error sum of the old one no longer apply.
		s.recentErrors, s.errorSum, s.factor, s.unanswered, s.suspected = nil, 0, 1, 0, false
	}
	if s.unlisted = drainOnly && e.State == Removed && s.State == Ready; s.unlisted {
		e.State = Ready
	}
	s.Server = e
}
