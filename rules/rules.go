package rules

// The decisions of the control plane. The interface (settings, events, actions) is in api.go.
//
// The ordinary path: each round compares a server's speed with the fleet's mean and sets its weight to
// listed x (1 + kP*e + kP/tI*sum). Everything else here keeps that path safe when things fail.
// What is remembered is in state.go.
// Reading order: constants, events, estimates, round, health, admission, dealing, publisher.

import (
	"cmp"
	"math"
	"math/rand/v2"
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

	fitLeast   = 0.05   // of the demand is let in even if all servers are cold
	startShare = 0.25   // of its weight that a started server gets at once
	coldSafety = 0.6    // of the cold budget that we plan to use
	zoneSlack  = 0.15   // a zone may take this much over its even share before it spills to others
	demandTime = 1500.0 // time over which the demand of a class at a proxy is averaged
	silentFor  = 2.0    // report periods without a report of a class, from which on its demand fades
	usualTime  = 4000.0 // and the usual rate of a proxy

	lookTime    = 100.0   // between two looks at everything
	dryTries    = 6.0     // tries in a row without one answer that cast doubt on a server
	dryLatency  = 3.0     // and for at least this many mean answer times
	doubtMost   = 0.4     // share of the ready servers that doubt may keep out
	holdFirst   = 3000.0  // a doubted server stays out at least this long; doubled each time it relapses
	holdMost    = 24000.0 // at most
	returnTime  = 10000   // from its end until a doubted server has its whole weight again
	probePause  = 1000.0  // between two probes of a doubted server
	probesAlive = 2       // answers in a row that end a doubt

	collapse     = 1.6    // pressure over which cold servers are kept out
	avoidTries   = 3.0    // at one server, that fail in a row: from then on a proxy may avoid it
	aimShare     = 0.5    // of the aim: the idle answer time is taken to be no longer
	baseShare    = 1.1    // of the idle answer time that is wanted at most, plus
	waitShare    = 0.08   // of the aim, for waiting
	idleLooks    = 3      // looks in a row that tell the idle answer time: answers and their work come apart
	filledEnough = 0.9    // of that average before it tells the idle answer time
	fleetTime    = 1000   // time over which the fleet's answers are averaged
	ableDecay    = 0.98   // what is left after a step of the most that the fleet answered
	shedFrom     = 0.8    // pressure from which work is held against what the fleet can do
	roomSlope    = 0.5    // of what the fleet can do that is refused for each point of pressure over 1
	roomLeast    = 0.5    // of it that is let in at any pressure
	limitGrow    = 1.06   // of the limit at each step without pressure
	shedMost     = 0.9    // of the work may be refused
	shedStep     = 1000.0 // between two looks at the pressure
	unlimited    = 1e6    // a rate that never binds
	rateRoom     = 0.5    // square roots of a proxy's rate that are let in over it

	connShare   = 0.25 // of the connections that a small server takes: what all tables together may open
	tableShare  = 0.5  // of the channel's queue: what one table for every proxy may take
	linesLeast  = 4    // of any table
	linesMany   = 8    // of a mean one, at most, or
	linesUseful = 4    // for each server that its traffic fills
	starved     = 0.4  // of its part of the traffic: a server held for less than that is dealt once more
	fitSteps    = 3    // of fitting the weights to the tables, each look
	fitMost     = 5.0  // largest correction of a weight for how the server is held, up or down

	ackWait       = 2000.0 // a message's answers are waited for this long
	messageGap    = 500.0  // between two ordinary messages to one proxy
	urgentGap     = 250.0  // between two urgent ones
	moveLeast     = 0.1    // relative change of a line that is worth an order
	levelLeast    = 0.05   // relative change of a level that is worth an order
	paceSure      = 0.5    // of its usual pace that the channel is trusted to keep while nobody answers
	orderLag      = 1000.0 // that ordinary orders may be on their way: what waits here can still change
	owedMost      = 16     // messages of a proxy whose answers are looked for
	ordinaryPace  = 0.1    // of that pace that ordinary orders may use in the long run
	debtMost      = 500.0  // of its time that they owe at most: newcomers would wait for all that was urgent
	ordinaryShare = 0.4    // of the channel's limits that ordinary orders may fill
	urgentShare   = 0.8    // and urgent ones
	askAgain      = 8000.0 // when discovery does not answer at all
	askPause      = 800.0  // before discovery is asked again, plus as much by chance
	logMost       = 150    // lines of log from one controller within
	logSpan       = 60000.0
)

// Safe repeats: guards the rule that nothing takes effect twice. Proxies try again only after proof that the
// first try never ran, whatever the class. (For safe classes more was measured: it doubles work under load.)
const retry = RetryProof

// New returns a controller that knows only its settings.
func New(set Settings, seed uint64) *Controller {
	c := &Controller{set: set, rng: rand.New(rand.NewPCG(seed, 1)), fit: 1, limit: math.Inf(1),
		base: math.Inf(1), zones: make([]zone, max(1, set.Zones)), demands: make([]float64, len(set.Classes)),
		server: map[ServerID]*server{}, proxy: map[ProxyID]*proxy{}, part: Part{Channel: 1}}
	for k := range set.Classes {
		c.order = append(c.order, k)
	}
	slices.SortStableFunc(c.order, func(i, j int) int { // the aim is all that is known of a class's work
		a, b := set.Classes[i], set.Classes[j]
		return cmp.Compare(a.Worth/a.Aim, b.Worth/b.Aim)
	})
	return c
}

// Step takes what happened at now and returns what to do. Events only add up between two looks.
func (c *Controller) Step(now float64, events []Event) []Action {
	c.now, c.out = now, nil
	if c.nextRound == 0 { // the first turn
		c.drained, c.lastShed, c.nextRound = now, now, now+roundTime
	}
	for _, e := range events {
		switch e := e.(type) {
		case List:
			c.list(e)
		case Probed:
			if s := c.server[e.Server]; s != nil && (e.OK || e.Refused) {
				s.alive++
			} else if s != nil {
				s.alive = 0
			}
		case Joined:
			c.join(e)
		case Left:
			if p := c.proxy[e.Proxy]; p != nil {
				p.joined = false
			}
		case Ack:
			c.answered(e)
		case Heard:
			c.heard(e)
		case Part:
			c.part = e
		case Forgotten:
			c.forget(e.Server)
		case Demand:
			c.demand(e)
		}
	}
	if now < c.nextLook {
		return nil
	}
	c.nextLook = now + lookTime
	c.out = append(c.out, Timer{Delay: lookTime})
	if c.set.AskDiscovery && !c.watching && now >= c.askAt { // discovery that speaks only when asked
		c.askAt = now + askAgain
		c.out = append(c.out, Watch{})
	}
	c.health()
	if now >= c.nextRound {
		c.runRound()
	}
	if now-c.lastShed >= max(shedStep, c.set.ReportPeriod) { // so that each look has a whole report
		c.admission(now - c.lastShed)
		c.lastShed = now
	}
	c.publish()
	return c.out
}

// ---- events ----

// list follows discovery. A server missing from a whole list is gone.
func (c *Controller) list(e List) {
	if e.Kind == ListFailed {
		c.watching, c.askAt = false, c.now+askPause*(1+c.rng.Float64())
		return
	}
	if e.Kind != ListCached {
		c.watching = true
	}
	listed := map[ServerID]bool{}
	for _, entry := range e.Servers {
		listed[entry.ID] = true
		entry.Zone = min(entry.Zone, len(c.zones)-1)
		s := c.server[entry.ID]
		if s == nil {
			s = &server{Server: entry, factor: 1, fitted: 1, hold: holdFirst}
			s.zones = make([]tally, len(c.zones))
			c.server[entry.ID], c.servers = s, append(c.servers, s)
		}
		s.follow(entry, c.set.DrainOnly)
	}
	slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range c.servers {
		if gone := s.Server; !listed[s.ID] && (e.Kind == ListFull || e.Kind == ListCached) {
			gone.State = Gone
			s.follow(gone, c.set.DrainOnly)
		}
	}
}

// follow takes what the list says of a server. Where only draining binds, a ready server that the list drops
// stays in use while it answers: guards against a list that is wrong or behind. A dead one falls into doubt.
func (s *server) follow(e Server, drainOnly bool) {
	if e.StartedAt > s.StartedAt {
		// A new process: what was held against the old one, and its stale sum, no longer counts.
		s.errors, s.sum, s.factor, s.dry, s.doubted = nil, 0, 1, 0, false
	}
	if s.unlisted = drainOnly && e.State == Gone && s.State == Ready; s.unlisted {
		e.State = Ready
	}
	s.Server = e
}

// join takes a proxy in. The lines and levels of its table stay as we know them: it is bound to it again.
func (c *Controller) join(e Joined) {
	p, n := c.proxy[e.Proxy], len(c.set.Classes)
	if p == nil {
		p = &proxy{id: e.Proxy, usual: e.Rate, demand: make([]float64, n), told: make([]float64, n)}
		p.levels = slices.Repeat([]float64{-1}, n) // none ordered yet
		c.proxy[e.Proxy], c.proxies = p, append(c.proxies, p)
		slices.SortFunc(c.proxies, func(a, b *proxy) int { return cmp.Compare(a.id, b.id) })
	}
	p.joined, p.bound, p.owed, p.zone, p.writes = true, false, nil, min(e.Zone, len(c.zones)-1), nil
}

// ---- estimates ----

func (c *Controller) heard(e Heard) {
	s := c.server[e.Server]
	if s == nil || e.Zone >= len(s.zones) || e.Tries <= 0 {
		return
	}
	answered := max(0, e.Tries-e.Failed)
	if e.Latency <= 0 {
		answered = 0
	}
	for _, sum := range []*tally{&s.round, &s.zones[e.Zone], &s.recent, &c.fleet} {
		sum.tries += e.Tries
		sum.failed += e.Failed
		sum.answered += answered
		sum.time += answered * e.Latency
	}
	s.lastHeard = c.now
	if answered > 0 {
		s.dry = 0
		return
	}
	if s.dry == 0 {
		s.drySince = c.now - e.Period
	}
	s.dry += e.Tries
}

// demand counts a report for as much as the time it covers: late ones cover many periods.
func (c *Controller) demand(e Demand) {
	p := c.proxy[e.Proxy]
	if p == nil || e.Class >= len(p.demand) || e.Period <= 0 {
		return
	}
	p.told[e.Class] = c.now
	p.demand[e.Class] += (1 - math.Exp(-e.Period/demandTime)) * (e.Requests/e.Period*1000 - p.demand[e.Class])
	step := (1 - math.Exp(-e.Period/usualTime)) / float64(len(p.demand))
	p.usual *= 1 - step
	for _, d := range p.demand {
		p.usual += step * d
	}
}

// latency is the mean answer time of the median server: a few sick servers or a few heavy requests don't
// speak for the fleet.
func (c *Controller) latency() float64 {
	var all []float64
	for _, s := range c.servers {
		if s.usable() && s.recent.answered > 0 {
			all = append(all, s.recent.time/s.recent.answered)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// ---- round: the design ----

// usable says whether a server may hold a line.
func (s *server) usable() bool { return s.State == Ready && !s.doubted && !s.kept }

// runRound is one step of the feedback loop, when enough of the fleet was heard.
func (c *Controller) runRound() {
	c.nextRound = c.now + roundTime
	var ready, fresh, speeds, rates, n, m float64
	for _, s := range c.servers {
		if !s.usable() {
			continue
		}
		if s.held > 0 { // only those in our tables can be heard: a gate over all would never open in one zone
			ready++
			if s.lastHeard > 0 && c.now-s.lastHeard <= heardFor {
				fresh++
			}
		}
		if s.round.tries > 0 {
			rates, m = rates+s.round.rate(), m+1
		}
		if s.speed() > 0 {
			speeds, n = speeds+s.speed(), n+1
		}
	}
	if fresh == 0 || fresh < coverage*ready {
		c.log("round waits: %v of %v servers heard", fresh, ready)
		return
	}
	for _, s := range c.servers {
		if s.usable() {
			e := 0.0 // unheard servers count as average
			if s.speed() > 0 {
				e = s.speed()*n/speeds - 1
			}
			if s.round.tries > 0 && rates > 0 && s.round.rate()*m < rates { // the failure clamp
				e = min(e, s.round.rate()*m/rates-1)
			}
			s.learn(e)
		}
		s.round = tally{}
		clear(s.zones)
	}
}

// learn takes the error of one round into the factor.
func (s *server) learn(e float64) {
	s.errors = append(s.errors, e)
	s.errors = s.errors[max(0, len(s.errors)-errorsKept):]
	mean := 0.0
	for _, x := range s.errors {
		mean += x / float64(len(s.errors))
	}
	if math.Abs(mean) > deadBand {
		s.sum = max(-sumCap, min(sumCap, s.sum*(1-tDecay/tI)+mean))
		s.factor += approach * (max(factorLow, min(factorHigh, 1+kP*mean+kP/tI*s.sum)) - s.factor)
	}
}

// speed is the inverse mean latency, averaged over the proxy zones at or above their mean; 0: no answer.
func (s *server) speed() (mean float64) {
	for range 2 { // over all zones, then over those at or above that mean
		sum, n := 0.0, 0.0
		for _, z := range s.zones {
			if z.time > 0 && z.answered/z.time >= mean*0.999999 {
				sum, n = sum+z.answered/z.time, n+1
			}
		}
		mean = sum / max(1, n)
	}
	return mean
}

// present is the share of its capacity that a server has at least, by its last start.
func (c *Controller) present(s *server) float64 {
	if s.StartedAt == 0 || c.now-s.StartedAt >= c.set.ColdFor {
		return 1
	}
	return c.set.StartCapacity + (1-c.set.StartCapacity)*max(0, c.now-s.StartedAt)/c.set.ColdFor
}

// weight is a server's listed weight times its factor; a started or returned server begins at a share.
func (c *Controller) weight(s *server) float64 {
	factor := s.factor
	if now := c.present(s); now < 1 {
		factor = min(factor, max(startShare, now))
	}
	if back := c.now - s.returnedAt; s.returnedAt > 0 && back < returnTime {
		factor = min(factor, startShare+(1-startShare)*back/returnTime)
	}
	return s.Weight * factor
}

// shares fixes each server's part of all traffic. Cold budget: guards the rule that a started server is never
// pushed over. Its share stays under what it can do if the whole fleet ran full, so planners need not agree.
// Last line: no proxy is left without a server; if none is usable, all ready ones count, doubted or not.
func (c *Controller) shares() {
	var ready, usable, total, warm, cold float64 // servers; weight of all and the warm, share of the cold
	c.listed, c.usable, c.fit = 0, 0, 1
	for _, s := range c.servers {
		if s.State == Ready {
			ready++
			c.listed += s.Weight * max(startShare, c.present(s))
		}
		if s.usable() {
			usable++
		}
	}
	for _, s := range c.servers {
		s.share = 0
		if s.inTables = s.usable() || usable == 0 && s.State == Ready; s.inTables {
			s.share = c.weight(s)
			total += s.share
			c.usable++
			if c.present(s) == 1 {
				warm += s.share
			}
		}
	}
	for _, s := range c.servers {
		if now := c.present(s); s.inTables && now < 1 {
			s.share = min(s.share/max(1e-9, total), coldSafety*c.set.FallMultiple*now/ready)
			cold += s.share
		}
	}
	if warm == 0 && total > 0 {
		c.fit = max(fitLeast, cold)
	}
	for _, s := range c.servers {
		if c.present(s) == 1 && warm > 0 {
			s.share *= (1 - cold) / warm
		} else {
			s.share /= c.fit
		}
	}
}

// ---- health ----

// health keeps out servers that answer nothing and lets them in again, eased, once their probes are answered.
// It guards against whatever swallows requests: hung or silent servers, cut links, dead processes that the
// list still shows. It could harm when all is slow at once: doubt keeps out a share of the fleet at most.
func (c *Controller) health() {
	var ready, out float64
	for _, s := range c.servers {
		if s.State == Ready && !s.unlisted {
			ready++
			if s.doubted {
				out++
			}
		}
	}
	latency, failing := c.latency(), c.pressure > collapse || c.filled < filledEnough
	// Where a line meets too few tries for its proxy to avoid a server that is cold, traffic stays where the
	// tables send it, within the cold budget. Guards against holding out most of a fleet that was replaced.
	avoided := c.usual*c.set.ColdFor/1000 >= avoidTries*c.lines
	for _, s := range c.servers {
		// Proxies avoid servers that fail them, so in a collapse all their traffic runs to the few that have
		// not failed yet: no cold server is put there before the fleet answers again.
		s.kept = c.present(s) < 1 && failing && avoided
		if s.State != Ready {
			continue
		}
		dry := s.dry >= dryTries && c.now-s.drySince >= dryLatency*latency
		if !s.doubted && dry && (s.unlisted || out+1 <= doubtMost*ready) {
			out++
			s.doubted, s.until, s.alive, s.nextProbe = true, c.now+s.hold, 0, c.now
			s.hold = min(holdMost, 2*s.hold)
			c.log("server %d out: %v tries without an answer, listed %t", s.ID, s.dry, !s.unlisted)
		}
		if s.doubted && c.now >= s.until && (s.alive >= probesAlive || !c.set.Probes) {
			out--
			s.doubted, s.dry, s.returnedAt, s.errors = false, 0, c.now, nil
			c.log("server %d back", s.ID)
		}
		if s.doubted && c.set.Probes && c.now >= s.nextProbe {
			s.nextProbe = c.now + probePause
			c.out = append(c.out, Probe{Server: s.ID})
		}
	}
}

// ---- admission ----

// admission sheds work when answers come too late for their aims. What may come in is held against what the
// fleet lately answered, not against the last level: reports are seconds old, and a level that builds on its
// past swings. It is kept in work a second: a share would let in all the repeats of refused clients at once.
func (c *Controller) admission(span float64) {
	var aims, worth, offered, admitted, requests float64
	levels := c.wantedLevels()
	for k, class := range c.set.Classes {
		d := c.demands[k]
		aims += class.Worth * (d + 1e-3) / class.Aim
		worth += class.Worth * (d + 1e-3)
		offered += d * class.Aim
		admitted += d * class.Aim * levels[k]
		requests += d * levels[k]
	}
	if c.fleet.tries < 1 || requests < 1e-9 {
		return
	}
	// The idle time goes by the work let in: once the heavy requests are refused, answers come sooner.
	aim, latency, work := worth/aims, c.latency(), admitted/requests
	if latency > 0 && c.filled > filledEnough {
		c.idle = append(c.idle, latency/work)[max(0, len(c.idle)+1-idleLooks):]
		c.base = min(c.base, slices.Max(c.idle))
	}
	idle := min(c.base*work, aimShare*aim)
	c.pressure = c.fleet.failed/c.fleet.tries + latency/(baseShare*idle+waitShare*aim)
	// Work answered a second, in units of the aims, which are all that is known of a class's work.
	decay := math.Exp(-span / fleetTime)
	c.filled = 1 - (1-c.filled)*decay // corrects the average of a controller that just started
	answered := c.fleet.answered * (1 - decay) / c.filled * 1000 / span * work
	c.able = max(answered/max(1e-9, c.listed), c.able*math.Pow(ableDecay, span/1000))
	able := c.able * c.listed
	c.limit = max(c.limit*math.Pow(limitGrow, span/1000), able*roomLeast)
	if c.pressure > shedFrom && c.filled > filledEnough { // a first report may tell of a part of the proxies
		c.limit = min(c.limit, able*max(roomLeast, 1+roomSlope*(1-c.pressure)))
	}
	before := c.shed
	c.shed = max(0, min(shedMost, 1-c.limit/offered))
	if (before == 0) != (c.shed == 0) {
		c.log("shedding now %.2f of the work, pressure %.2f", c.shed, c.pressure)
	}
	c.fleet.fade(decay)
	for _, s := range c.servers {
		s.recent.fade(decay)
	}
}

// wantedLevels gives each class its level as a share: those with the least worth for their work give way.
func (c *Controller) wantedLevels() []float64 {
	total := 0.0
	for k, d := range c.demands {
		total += d * c.set.Classes[k].Aim
	}
	levels, cut := slices.Repeat([]float64{1}, len(c.demands)), max(c.shed, 1-c.fit)*total
	for _, k := range c.order {
		if work := c.demands[k] * c.set.Classes[k].Aim; work > 0 && cut > 0 {
			levels[k] = 1 - min(cut, work)/work
			cut -= min(cut, work)
		}
	}
	return levels
}

// level is what a proxy is told of a class's level. A rate is its usual part of the fleet's demand, with room
// for chance: a proxy with few requests would else refuse what the fleet has room for.
func (c *Controller) level(p *proxy, k int, level float64) float64 {
	if c.set.Admission != AdmitRate {
		return level
	}
	if level >= 1 {
		return unlimited
	}
	rate := level * c.demands[k] * p.usual / c.usual
	return rate + rateRoom*math.Sqrt(rate)
}

// ---- dealing: which servers a proxy's table holds ----

// targets splits the shares by proxy zone. Crossing zones has a price, so a zone's proxies use its own
// servers as far as these have room and spill only the rest. Where proxies join controllers of their own
// zone, those that we don't see are taken to be in the zones where we see none.
func (c *Controller) targets() {
	for i := range c.zones {
		c.zones[i] = zone{servers: c.zones[i].servers}
	}
	clear(c.demands)
	c.joined, c.usual = 0, 1e-3
	c.mine = Part{Usual: make([]float64, len(c.zones))}
	for _, p := range c.proxies {
		if p.joined {
			for k, d := range p.demand { // what is not asked for is not reported
				silent := max(0, c.now-p.told[k]-silentFor*c.set.ReportPeriod)
				c.demands[k] += d * math.Exp(-silent/demandTime)
			}
			c.joined++
			c.usual += p.usual + 1e-3
			c.zones[p.zone].own += p.usual + 1e-3
		}
	}
	c.mine.Joined, c.mine.Demands = c.joined, slices.Clone(c.demands)
	c.joined += c.part.Joined
	for k, d := range c.part.Demands {
		c.demands[k] += d
	}
	for i := range c.zones {
		z := &c.zones[i]
		if z.all, c.mine.Usual[i] = z.own, z.own; i < len(c.part.Usual) {
			z.all, c.usual = z.own+c.part.Usual[i], c.usual+c.part.Usual[i]
		}
	}
	unseen, hidden, spare := 0.0, 0.0, 1e-9 // traffic of proxies not seen, room of zones without ours
	if c.set.LocalFirst && c.joined > 0 {
		unseen = max(0, float64(c.set.Proxies)-c.joined) * c.usual / c.joined
	}
	for _, s := range c.servers {
		c.zones[s.Zone].room += s.share
		if c.zones[s.Zone].all == 0 {
			hidden += s.share
		}
	}
	for i := range c.zones {
		z := &c.zones[i]
		if z.part = z.all / (c.usual + unseen); z.all == 0 && hidden > 0 {
			z.part = unseen / (c.usual + unseen) * z.room / hidden
		}
		z.over = max(0, 1-z.room*(1+zoneSlack)/max(1e-9, z.part))
		z.spare = max(0, z.room-z.part) + 1e-9*z.room
		spare += z.spare
	}
	for i := range c.zones {
		c.zones[i].flow += c.zones[i].own * (1 - c.zones[i].over)
		for j := range c.zones {
			c.zones[j].flow += c.zones[i].own * c.zones[i].over * c.zones[j].spare / spare
		}
	}
	for _, s := range c.servers {
		s.target = s.share / max(1e-9, c.zones[s.Zone].room) * c.zones[s.Zone].flow
	}
}

// size is the number of lines of a proxy's table, mostly by its traffic: no more than servers' connection
// limits and the channel allow with every proxy at that, nor many more servers than its traffic fills. Guards
// against full connections; a table of fewer lines could be without a server for longer when many die.
func (c *Controller) size(p *proxy) float64 {
	n := max(1, c.joined, float64(c.set.Proxies))
	mean := min(tableShare*c.set.QueueLines/n-c.set.HeadLines, max(linesMany, linesUseful*c.usable/n))
	if c.set.ConnsLeast > 0 {
		mean = min(mean, connShare*c.set.ConnsLeast*c.usable/n)
	}
	return max(linesLeast, mean*(1+3*p.usual*c.joined/c.usual)/4)
}

// deal gives each proxy its part of the fleet: its own zone first, others only for what spills. It starts
// from the tables as they are, so that few lines change when servers come and go; each new line is for the
// server held least for its target. Few servers in a zone are all held, but by proxies with little traffic.
func (c *Controller) deal() {
	for _, s := range c.servers {
		s.held, s.seen = 0, nil
	}
	c.lines = 0
	for _, p := range c.proxies {
		p.have = 0
		for i := range p.lines {
			if l := &p.lines[i]; !l.s.inTables || l.s.Zone != p.zone && c.zones[p.zone].over == 0 {
				l.want = 0
			} else if l.want > 0 {
				p.have++
			}
		}
		p.lines = slices.DeleteFunc(p.lines, func(l line) bool { return l.want == 0 && l.sent == 0 })
		for _, l := range p.lines {
			if l.want > 0 && p.joined {
				l.s.held += p.usual / p.have
			}
		}
	}
	for z := range c.zones {
		c.zones[z].servers.begin(heldLess)
	}
	for _, s := range c.servers {
		if s.target > 0 {
			c.zones[s.Zone].servers.add(s)
		}
	}
	for _, p := range c.proxies {
		if p.joined {
			size, far := c.size(p), 0.0
			if over := c.zones[p.zone].over; over > 0 {
				far = max(1, math.Round(size*over))
			}
			c.fill(p, true, size-far)
			c.fill(p, false, far)
			c.lines += p.have
		}
	}
	c.spread()
}

// heldLess orders servers by how little they are held for their target.
func heldLess(a, b *server) bool {
	if x, y := a.held*b.target, b.held*a.target; x != y {
		return x < y
	}
	return a.ID < b.ID
}

// busier orders proxies by the traffic of a line.
func busier(a, b *proxy) bool {
	if x, y := a.usual*b.have, b.usual*a.have; x != y {
		return x > y
	}
	return a.id < b.id
}

// spread deals servers that are held for too little once more, each to the busiest proxy of its zone:
// newcomers, and those whose proxies left.
func (c *Controller) spread() {
	byZone := map[int]*ranked[*proxy]{} // few looks need any
	for _, s := range c.servers {
		if s.held >= starved*s.target {
			continue
		}
		r := byZone[s.Zone]
		if r == nil {
			r = &ranked[*proxy]{before: busier}
			for _, p := range c.proxies {
				if p.joined && p.zone == s.Zone {
					r.add(p)
				}
			}
			byZone[s.Zone] = r
		}
		if best, found := r.first(func(p *proxy) bool { return p.knows(s) }); found {
			best.take(s)
			r.moved()
		}
		r.restore()
	}
}

// fill deals a proxy servers of its own zone, or of others, until its table holds enough of them.
func (c *Controller) fill(p *proxy, home bool, lines float64) {
	for _, l := range p.lines {
		if l.s.seen = p; l.want > 0 && (l.s.Zone == p.zone) == home {
			lines--
		}
	}
	for ; lines > 0; lines-- {
		var best *server
		for z := range c.zones {
			if (z != p.zone) == home {
				continue
			}
			s, found := c.zones[z].servers.first(func(s *server) bool { return s.seen == p })
			if found && (best == nil || heldLess(s, best)) {
				best = s
			}
		}
		if best == nil {
			break
		}
		p.take(best)
		c.zones[best.Zone].servers.moved()
	}
	for z := range c.zones {
		c.zones[z].servers.restore()
	}
}

// take gives a proxy a line for a server; its weight comes with weigh.
func (p *proxy) take(s *server) {
	p.have++
	s.seen, s.held = p, s.held+p.usual/p.have
	p.lines = append(p.lines, line{s: s, want: 1})
}

// moved says whether a line differs from what the proxy was sent by enough to be worth an order.
func (l line) moved() bool { return math.Abs(l.want-l.sent) > moveLeast*l.sent }

// weigh sets the weights of all lines: a server's share, corrected for how it is held, so that the traffic it
// gets from all our tables follows its share although each table holds only a part of the fleet.
func (c *Controller) weigh() {
	for range fitSteps {
		for _, s := range c.servers {
			s.held = 0
		}
		for _, p := range c.proxies {
			sum := p.weigh(1)
			for _, l := range p.lines {
				if p.joined {
					l.s.held += (p.usual + 1e-3) * l.want / sum
				}
			}
		}
		for _, s := range c.servers {
			if s.held > 0 {
				s.fitted = max(1/fitMost, min(fitMost, s.fitted*math.Sqrt(s.target/s.held)))
			}
		}
	}
	for _, p := range c.proxies {
		sum, works := p.weigh(c.usable), false
		p.urgent, p.need = !p.bound, 0
		for _, l := range p.lines {
			works = works || l.want > 0 && l.sent > 0
			p.urgent = p.urgent || l.sent > 0 && !l.s.inTables
			if l.moved() {
				p.need += math.Abs(l.want-l.sent) / sum * p.usual
			}
		}
		if p.urgent = p.urgent || !works && p.have > 0; p.urgent {
			p.need += c.usual // first
		}
	}
}

// weigh sets the weights of a proxy's lines, in which a mean server has the given weight, and sums them up.
func (p *proxy) weigh(mean float64) (sum float64) {
	for i := range p.lines {
		if l := &p.lines[i]; l.want > 0 {
			l.want = max(1e-9, l.s.share*l.s.fitted*mean)
			sum += l.want
		}
	}
	return max(1e-9, sum)
}

// ---- publisher ----

// publish brings the proxies from what they were sent to what is wanted, most needed first; each has its own
// table. Urgent messages wait for no answer: for a line that must go (which guards the rule on drains), a
// table that works no more, and a proxy without a table of ours.
func (c *Controller) publish() {
	if c.set.Slices > 0 || len(c.servers) == 0 {
		return // slices of a key space are not decided here; and without a list nothing is
	}
	c.drain(c.set.LinesPerSec * c.part.Channel)
	c.shares()
	c.targets()
	c.deal()
	c.weigh()
	levels := c.wantedLevels()
	due := slices.DeleteFunc(slices.Clone(c.proxies), func(p *proxy) bool { return !p.joined })
	slices.SortStableFunc(due, func(a, b *proxy) int { return cmp.Compare(b.need, a.need) })
	next := (c.token + 1) % 65536
	for _, p := range due {
		if c.update(p, levels) {
			p.writes = append(p.writes, c.now)
			p.owed = append(p.owed[max(0, len(p.owed)+1-owedMost):], order{next, c.wrote, c.now})
			p.bound, p.lastSent, c.token = true, c.now, next
		}
	}
	if c.token == next {
		c.out = append(c.out, Mark{Token: next})
		c.sent = append(c.sent, order{next, c.wrote, c.now})
	}
}

// answered takes a proxy's answer. The channel keeps the order, so all that was written before has left it,
// whoever it was for: what proxies that vanished without a sign don't answer counts no longer than the rest.
func (c *Controller) answered(e Ack) {
	p := c.proxy[e.Proxy]
	if p == nil {
		return
	}
	if i := slices.IndexFunc(p.owed, func(o order) bool { return o.token == e.Token }); i >= 0 {
		c.passed, c.answeredAt = max(c.passed, p.owed[i].end), c.now
		p.owed = p.owed[i+1:]
	}
}

// drain brings the lines thought to wait up to date: those behind the last message that was answered. Where
// nobody answers, they are taken to leave at a part of the channel's pace.
func (c *Controller) drain(ours float64) {
	paced := (c.now - c.drained) / 1000 * ours
	if len(c.sent) > 0 && c.now-max(c.answeredAt, c.sent[0].at) > orderLag {
		c.passed = min(c.wrote, c.passed+paced*paceSure)
	}
	c.pace = min(max(c.pace, -debtMost/1000*ours)+paced*ordinaryPace, ours*ordinaryPace)
	for len(c.sent) > 0 && c.sent[0].end <= c.passed {
		c.sent = c.sent[1:]
	}
	c.queue, c.lag, c.drained = c.wrote-c.passed, 0, c.now
	if len(c.sent) > 0 {
		c.lag = c.now - c.sent[0].at
	}
}

// update writes the changed lines and levels of one proxy's table, once its last message was answered or has
// been waited for; a new proxy gets the whole table at once.
func (c *Controller) update(p *proxy, levels []float64) bool {
	whole, gap, share := float64(len(p.lines)+len(levels))+c.set.HeadLines+2, messageGap, ordinaryShare
	if len(p.owed) > 0 {
		gap = ackWait
	}
	if p.urgent {
		gap, share = urgentGap, urgentShare
	}
	if p.bound && c.now-p.lastSent < gap || !c.mayWrite(p, whole, share) {
		return false
	}
	before := len(c.out)
	for k := range levels {
		if level := c.level(p, k, levels[k]); math.Abs(level-p.levels[k]) > levelLeast*p.levels[k] {
			p.levels[k] = level
			c.out = append(c.out, Admit{Table: TableID(p.id), Mask: 1 << k, Level: level, Retry: retry})
		}
	}
	for i := range p.lines {
		if l := &p.lines[i]; l.moved() && (p.urgent || len(c.out) > before || c.pace > 0) {
			l.sent = l.want
			c.out = append(c.out, SetWeight{Table: TableID(p.id), Server: l.s.ID, Weight: l.want})
		}
	}
	lines := float64(len(c.out)-before) + c.set.HeadLines + 1
	if !p.bound {
		lines = whole
		c.out = append(c.out, Bind{Proxy: p.id, Table: TableID(p.id)})
	}
	if len(c.out) == before {
		return false
	}
	c.queue, c.wrote, c.pace = c.queue+lines, c.wrote+lines, c.pace-lines
	return true
}

// mayWrite guards the channel's limits, each only up to a share: lines that wait, for which the channel is
// thought to run slower than stated, and messages to one proxy within the span.
func (c *Controller) mayWrite(p *proxy, lines, share float64) bool {
	for len(p.writes) > 0 && c.now-p.writes[0] > c.set.MessagesOver {
		p.writes = p.writes[1:]
	}
	if c.set.MessagesMost > 0 && float64(len(p.writes)+1) > share*float64(c.set.MessagesMost) {
		return false
	}
	ours := c.set.LinesPerSec * c.part.Channel
	if share == ordinaryShare && (c.lag > orderLag || c.queue+lines > orderLag/1000*ours) {
		return false // what waits here can still change, and lets urgent orders pass
	}
	return c.queue+lines <= share*c.set.QueueLines*c.part.Channel
}
