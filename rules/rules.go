package rules

// The decisions of the control plane. The interface (settings, events, actions) is in api.go.
//
// The ordinary path: each round compares a server's speed with the fleet's mean and sets its weight to
// listed x (1 + kP*e + kP/tI*sum). Everything else here keeps that path safe when things fail.
// Reading order: constants, state, events, estimates, round, health, admission and retries, publisher.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
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
	approach   = 0.15
	errorsKept = 3 // rounds over which a server's error is averaged
	roundTime  = 2500.0
	coverage   = 0.6 // share of the usable servers that must have been heard
	heardFor   = 60000.0

	fitLeast   = 0.05 // of the demand is let in even if all servers are cold
	startShare = 0.25 // of its weight that a started server gets at once
	coldSafety = 0.6  // of the cold budget that we plan to use
	zoneSlack  = 0.15 // a zone may take this much over its even share before it spills to others
	awayShare  = 0.04 // of every table spread over all zones, so that a lost zone leaves lines to pick

	tickTime    = 250.0
	dryTries    = 6.0    // tries in a row without one answer that cast doubt on a server
	dryLatency  = 3.0    // and for at least this many mean answer times
	doubtMost   = 0.4    // share of the ready servers that doubt may keep out
	holdFirst   = 3000.0 // a doubted server stays out at least this long; doubled each time it relapses
	holdMost    = 24000.0
	returnTime  = 6000 // from its end until a doubted server has its whole weight again
	probePause  = 1000.0
	probesAlive = 2 // answers in a row that end a doubt

	pressureUnknown = 5.0 // assumed before the first reports: others may have left the fleet in any state
	collapse        = 2.0 // pressure over which cold servers are kept out
	aimShare        = 0.3 // mean answer time over the worth-weighted aim at which shedding starts
	baseShare       = 1.2
	waitShare       = 0.1  // of the aim: waiting that is wanted at most
	failWeight      = 1.0  // what a failing try adds to the pressure
	fleetTime       = 1000 // time over which the fleet's answers are averaged
	ableDecay       = 0.98 // what is left after a step of the most that the fleet answered
	shedFrom        = 0.8  // pressure from which work is held against what the fleet can do
	roomSlope       = 0.5
	roomLeast       = 0.5
	limitGrow       = 1.06 // of the limit at each step without pressure
	shedMost        = 0.9
	shedStep        = 1000.0
	unlimited       = 1e6 // a rate that never binds

	ackWait       = 2000.0 // a message's answers are waited for this long
	messageGap    = 500.0  // between two ordinary messages to one proxy
	moveLeast     = 0.1    // relative change of a line that is worth an order
	paceSure      = 0.5    // of its usual pace that the channel is trusted to keep
	ordinaryShare = 0.4    // of the channel's limits that ordinary orders may fill
	urgentShare   = 0.8    // and urgent ones
	levelLeast    = 0.05   // relative change of a level that is worth an order
	askPause      = 800.0  // before discovery is asked again, plus as much by chance
	logMost       = 150
)

type zoneSum struct{ tries, failed, answered, time float64 }

type server struct {
	Server
	round      []zoneSum // what was heard this round, by zone of the proxies
	recent     zoneSum   // all zones, faded
	errors     []float64 // of the last rounds
	sum        float64
	factor     float64
	lastHeard  float64
	dry        float64 // tries since the last answer
	drySince   float64
	doubted    bool    // kept out by our own judgement
	held       bool    // cold, and kept out while the fleet is failing
	hold       float64 // how long the next doubt lasts at least
	until      float64 // a doubt lasts at least until then
	returnedAt float64 // end of the last doubt
	nextProbe  float64
	alive      int     // probes answered in a row
	sentOut    bool    // what the proxies were told
	inTables   bool    // may hold a line now
	share      float64 // of the traffic of all proxies
	capped     bool    // by the cold budget
}

type proxy struct {
	id       ProxyID
	zone     int
	joined   bool
	bound    bool
	rate     float64
	demand   []float64 // requests a second by class
	seen     []bool
	lines    map[ServerID]float64 // the table as ordered so far
	levels   []float64            // by class, as ordered so far; below 0: never
	writes   []float64            // times of recent messages
	waiting  bool                 // for an answer
	lastSent float64
	token    uint32
	touched  float64 // lines of this step's message
}

// Controller decides for the proxies joined to it.
type Controller struct {
	set       Settings
	rng       *rand.Rand
	now       float64
	out       []Action
	servers   []*server // by id
	proxies   []*proxy  // by id
	started   bool
	watching  bool
	askAt     float64
	nextTick  float64
	nextRound float64
	nextShed  float64
	fleet     zoneSum // recent answers of all servers, decayed
	pressure  float64 // how late answers come; 1 is the most that is wanted
	base      float64 // least answer time met so far
	filled    float64 // how far the fleet's average has filled since the start
	able      float64 // most work a second that the fleet lately answered
	limit     float64 // work a second that may come in
	shed      float64 // share of the offered work that is refused
	fit       float64 // share of the demand that cold servers leave room for
	queue     float64 // lines thought to wait in the channel
	drained   float64 // when queue was last brought up to date
	token     uint32
	stalled   bool
	logged    int
}

// New returns a controller that knows only its settings.
func New(set Settings, seed uint64) *Controller {
	return &Controller{set: set, rng: rand.New(rand.NewPCG(seed, 1)), fit: 1, pressure: pressureUnknown,
		limit: math.Inf(1), base: math.Inf(1)}
}

// Step takes what happened at now and returns what to do.
func (c *Controller) Step(now float64, events []Event) []Action {
	c.now, c.out = now, nil
	if !c.started {
		c.started, c.drained, c.nextRound = true, now, now+roundTime
		c.askAt = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case List:
			c.list(e)
		case Probed:
			c.probed(e)
		case Joined:
			c.join(e)
		case Left:
			c.proxy(e.Proxy).joined = false
		case Ack:
			if p := c.proxy(e.Proxy); e.Token == p.token {
				p.waiting = false
			}
		case Heard:
			c.heard(e)
		case Demand:
			c.demand(e)
		}
	}
	if now >= c.nextTick {
		c.nextTick = now + tickTime
		c.out = append(c.out, Timer{Delay: tickTime})
	}
	c.ask()
	c.health()
	if now >= c.nextRound {
		c.runRound()
	}
	if now >= c.nextShed {
		c.nextShed = now + shedStep
		c.admission()
	}
	c.publish()
	return c.out
}

func (c *Controller) log(format string, args ...any) {
	if c.logged++; c.logged <= logMost {
		c.out = append(c.out, Log{Text: fmt.Sprintf(format, args...)})
	}
}

// ---- events ----

// find returns the server with this id, or nil.
func (c *Controller) find(id ServerID) *server {
	i := sort.Search(len(c.servers), func(i int) bool { return c.servers[i].ID >= id })
	if i < len(c.servers) && c.servers[i].ID == id {
		return c.servers[i]
	}
	return nil
}

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
		s := c.find(entry.ID)
		if s == nil {
			s = &server{factor: 1, hold: holdFirst, round: make([]zoneSum, c.set.Zones)}
			s.Server = entry
			c.servers = append(c.servers, s)
			sort.Slice(c.servers, func(i, j int) bool { return c.servers[i].ID < c.servers[j].ID })
		}
		if entry.StartedAt > s.StartedAt {
			// A new process: what was held against the old one, and its stale sum, no longer counts.
			s.errors, s.sum, s.factor, s.dry, s.doubted = nil, 0, 1, 0, false
		}
		s.Server = entry
	}
	if e.Kind == ListFull || e.Kind == ListCached {
		for _, s := range c.servers {
			if !listed[s.ID] {
				s.State = Gone
			}
		}
	}
}

// ask subscribes to discovery where it speaks only when asked, and again after a failure.
func (c *Controller) ask() {
	if c.set.AskDiscovery && !c.watching && c.now >= c.askAt {
		c.askAt = c.now + 10*askPause
		c.out = append(c.out, Watch{})
	}
}

// proxy returns the record of a proxy, a new one for a new id.
func (c *Controller) proxy(id ProxyID) *proxy {
	i := sort.Search(len(c.proxies), func(i int) bool { return c.proxies[i].id >= id })
	if i < len(c.proxies) && c.proxies[i].id == id {
		return c.proxies[i]
	}
	n := len(c.set.Classes)
	p := &proxy{id: id, demand: make([]float64, n), seen: make([]bool, n), lines: map[ServerID]float64{}}
	for range n {
		p.levels = append(p.levels, -1)
	}
	c.proxies = slices.Insert(c.proxies, i, p)
	return p
}

func (c *Controller) join(e Joined) {
	p := c.proxy(e.Proxy)
	p.joined, p.bound, p.waiting, p.zone, p.writes = true, false, false, e.Zone, nil
	if p.rate == 0 {
		p.rate = e.Rate
	}
}

// ---- estimates ----

func (c *Controller) heard(e Heard) {
	s := c.find(e.Server)
	if s == nil || e.Zone >= len(s.round) || e.Tries <= 0 {
		return
	}
	answered := max(0, e.Tries-e.Failed)
	if e.Latency <= 0 {
		answered = 0
	}
	z := &s.round[e.Zone]
	for _, sum := range []*zoneSum{z, &s.recent, &c.fleet} {
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

func (c *Controller) demand(e Demand) {
	p := c.proxy(e.Proxy)
	if e.Class >= len(p.demand) || e.Period <= 0 {
		return
	}
	rate := e.Requests / e.Period * 1000
	if p.seen[e.Class] {
		rate = (p.demand[e.Class] + rate) / 2
	}
	p.demand[e.Class], p.seen[e.Class] = rate, true
	p.rate = 0
	for _, d := range p.demand {
		p.rate += d
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
func (s *server) usable() bool { return s.State == Ready && !s.doubted && !s.held }

// runRound is one step of the feedback loop, when enough of the fleet was heard.
func (c *Controller) runRound() {
	c.nextRound = c.now + roundTime
	var ready, fresh float64
	for _, s := range c.servers {
		if s.usable() {
			ready++
			if s.lastHeard > 0 && c.now-s.lastHeard <= heardFor {
				fresh++
			}
		}
	}
	if ready == 0 || fresh < coverage*ready {
		if !c.stalled {
			c.log("round waits: %v of %v servers heard", fresh, ready)
		}
		c.stalled = true
		return
	}
	c.stalled = false
	speed, rate := make([]float64, len(c.servers)), make([]float64, len(c.servers))
	var speeds, rates, n, m float64
	for i, s := range c.servers {
		speed[i], rate[i] = s.measure()
		if s.usable() && rate[i] >= 0 {
			rates, m = rates+rate[i], m+1
			if speed[i] > 0 {
				speeds, n = speeds+speed[i], n+1
			}
		}
	}
	for i, s := range c.servers {
		clear(s.round)
		if !s.usable() {
			continue
		}
		e := 0.0 // unheard servers count as average
		if speed[i] > 0 {
			e = speed[i]*n/speeds - 1
		}
		if rate[i] >= 0 && rates > 0 {
			if short := rate[i]*m/rates - 1; short < 0 {
				e = min(e, short)
			}
		}
		s.errors = append(s.errors, e)
		if len(s.errors) > errorsKept {
			s.errors = s.errors[1:]
		}
		mean := 0.0
		for _, x := range s.errors {
			mean += x / float64(len(s.errors))
		}
		if mean < -deadBand || mean > deadBand {
			s.sum = max(-sumCap, min(sumCap, s.sum*(1-tDecay/tI)+mean))
			want := max(factorLow, min(factorHigh, 1+kP*mean+kP/tI*s.sum))
			s.factor += approach * (want - s.factor)
		}
	}
}

// measure returns a server's speed this round (0 if nothing was answered) and its success rate (-1 if
// it was not tried). Speed is the inverse mean latency, averaged over the zones at or above their mean.
func (s *server) measure() (speed, rate float64) {
	var sum, n, tries, failed float64
	for _, z := range s.round {
		tries, failed = tries+z.tries, failed+z.failed
		if z.answered > 0 && z.time > 0 {
			sum, n = sum+z.answered/z.time, n+1
		}
	}
	if tries == 0 {
		return 0, -1
	}
	rate = 1 - failed/tries
	if n == 0 {
		return 0, rate
	}
	mean := sum / n
	sum, n = 0, 0
	for _, z := range s.round {
		if z.answered > 0 && z.time > 0 && z.answered/z.time >= mean*0.999999 {
			sum, n = sum+z.answered/z.time, n+1
		}
	}
	return sum / n, rate
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

// shares fixes each server's part of the traffic of all proxies.
//
// Cold budget: guards the rule that a started server is never pushed over by all proxies together. Its
// share stays under what it can do if the whole fleet ran full, so that planners need not agree.
// Last line: guards the rule that no proxy is left without a server. If none is usable, all ready
// servers count again, doubted or not.
func (c *Controller) shares() {
	var ready, usable float64
	for _, s := range c.servers {
		if s.State == Ready {
			ready++
		}
		if s.usable() {
			usable++
		}
	}
	open := 0.0 // weight of the servers that are not at their cold budget
	for _, s := range c.servers {
		s.share, s.capped = 0, false
		s.inTables = s.usable() || usable == 0 && s.State == Ready
		if s.inTables {
			s.share = c.weight(s)
			open += s.share
		}
	}
	left := 1.0 // of the traffic, for those
	for again := true; again && open > 0; {
		again = false
		for _, s := range c.servers {
			budget := coldSafety * c.set.FallMultiple * c.present(s) / ready
			if c.present(s) < 1 && !s.capped && s.share/open*left > budget {
				open, left = max(0, open-s.share), left-budget
				s.share, s.capped, again = budget, true, true
			}
		}
	}
	c.fit = 1
	if open < 1e-9 {
		c.fit = max(fitLeast, 1-left)
	}
	for _, s := range c.servers {
		if !s.capped && open >= 1e-9 {
			s.share *= left / open
		}
		s.share /= c.fit
	}
}

// zoneTables splits the shares into one weight per proxy zone and server. Crossing zones has a price,
// so a zone's proxies use its own servers as far as these have room and spill only the rest.
func (c *Controller) zoneTables() [][]float64 {
	zones := c.set.Zones
	demand, room, local := make([]float64, zones), make([]float64, zones), make([]float64, zones)
	total := 0.0
	for _, p := range c.proxies {
		if p.joined && p.zone < zones {
			demand[p.zone] += p.rate + 1e-3
			total += p.rate + 1e-3
		}
	}
	for _, s := range c.servers {
		if s.Zone < zones {
			room[s.Zone] += s.share
		}
	}
	spare := 0.0
	for z := range zones {
		demand[z] /= max(total, 1e-9)
		local[z] = min(demand[z], room[z]*(1+zoneSlack))
		spare += max(0, room[z]-local[z])
	}
	tables := make([][]float64, zones)
	for z := range zones {
		tables[z] = make([]float64, len(c.servers))
		for i, s := range c.servers {
			if s.Zone >= zones || room[s.Zone] <= 0 || demand[z] <= 0 {
				tables[z][i] = s.share
				continue
			}
			part := s.share / room[s.Zone]
			w := 0.0
			if s.Zone == z {
				w = local[z] / demand[z] * part
			} else if spare > 0 {
				w = (demand[z] - local[z]) / demand[z] * max(0, room[s.Zone]-local[s.Zone]) / spare * part
			}
			tables[z][i] = (1-awayShare)*w + awayShare*s.share
		}
	}
	return tables
}

// ---- health ----

// health keeps out servers that answer nothing and lets them in again.
//
// It guards against whatever swallows requests: hung or silent servers, cut links, dead processes that
// the list still shows. It could harm when everything is slow at once; so doubt never keeps out more
// than a share of the fleet, and a server is let in again, at a fraction of its weight, as soon as its
// probes are answered.
func (c *Controller) health() {
	var ready, kept float64
	for _, s := range c.servers {
		if s.State == Ready {
			ready++
			if s.doubted {
				kept++
			}
		}
	}
	for _, s := range c.servers {
		// Proxies avoid servers that fail them, so in a collapse all their traffic runs to the few lines
		// that have not failed yet: a cold server is not put there before the fleet answers again.
		s.held = c.present(s) < 1 && c.pressure > collapse
		if s.State != Ready {
			continue
		}
		dry := s.dry >= dryTries && c.now-s.drySince >= dryLatency*c.latency()
		if !s.doubted && dry && kept+1 <= doubtMost*ready {
			kept++
			s.doubted, s.until, s.alive, s.nextProbe = true, c.now+s.hold, 0, c.now
			s.hold = min(holdMost, 2*s.hold)
			c.log("server %d out: %v tries without an answer", s.ID, s.dry)
		}
		if s.doubted && c.now >= s.until && (s.alive >= probesAlive || !c.set.Probes) {
			s.doubted, s.dry, s.returnedAt, s.errors = false, 0, c.now, nil
			kept--
			c.log("server %d back in", s.ID)
		}
		if s.doubted && c.set.Probes && c.now >= s.nextProbe {
			s.nextProbe = c.now + probePause
			c.out = append(c.out, Probe{Server: s.ID})
		}
	}
}

func (c *Controller) probed(e Probed) {
	if s := c.find(e.Server); s != nil {
		s.alive++
		if !e.OK && !e.Refused {
			s.alive = 0
		}
	}
}

// ---- admission and retries ----

// admission sheds work when answers come too late for their aims, least worth per work first.
//
// What may come in is held against what the fleet lately answered, not against the last level: reports
// are seconds old, and a level that builds on its own past levels swings between flood and famine. The
// limit is kept in work a second, not as a share: what is refused comes again and swells the demand, and
// a share of that would let in all of it at once.
func (c *Controller) admission() {
	var aims, worth, offered, admitted, requests float64
	levels := c.wantedLevels()
	for k, class := range c.set.Classes {
		d := c.classDemand(k)
		aims += class.Worth * (d + 1e-3) / class.Aim
		worth += class.Worth * (d + 1e-3)
		offered += d * class.Aim
		admitted += d * class.Aim * levels[k]
		requests += d * levels[k]
	}
	if c.fleet.tries < 1 || requests < 1e-9 {
		return
	}
	latency := c.latency()
	if latency > 0 {
		c.base = min(c.base, latency)
	}
	aim := worth / aims
	wanted := baseShare*min(c.base, aimShare*aim) + waitShare*aim
	c.pressure = latency/wanted + failWeight*c.fleet.failed/c.fleet.tries
	// Work answered a second, in units of the aims, which are all that is known of a class's work.
	decay := math.Exp(-shedStep / fleetTime)
	c.filled = 1 - (1-c.filled)*decay // corrects the average of a controller that just started
	answered := c.fleet.answered * (1 - decay) / c.filled * 1000 / shedStep * admitted / requests
	c.able = max(answered, c.able*ableDecay)
	c.limit *= limitGrow
	if c.pressure > shedFrom {
		c.limit = min(c.limit, c.able*max(roomLeast, 1+roomSlope*(1-c.pressure)))
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

func (z *zoneSum) fade(by float64) {
	z.tries *= by
	z.failed *= by
	z.answered *= by
	z.time *= by
}

// classDemand is what comes to the joined proxies of a class, requests a second.
func (c *Controller) classDemand(class int) float64 {
	sum := 0.0
	for _, p := range c.proxies {
		if p.joined {
			sum += p.demand[class]
		}
	}
	return sum
}

// wantedLevels gives each class its level as a share: the classes with the least worth for their work
// (told by the aim, the only figure known of it) give way first.
func (c *Controller) wantedLevels() []float64 {
	n := len(c.set.Classes)
	levels, order, work := make([]float64, n), make([]int, n), make([]float64, n)
	total := 0.0
	for k, class := range c.set.Classes {
		levels[k], order[k] = 1, k
		work[k] = c.classDemand(k) * class.Aim
		total += work[k]
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := c.set.Classes[order[i]], c.set.Classes[order[j]]
		return a.Worth/a.Aim < b.Worth/b.Aim
	})
	cut := max(c.shed, 1-c.fit) * total
	for _, k := range order {
		if work[k] > 0 && cut > 0 {
			part := min(cut, work[k])
			levels[k] = 1 - part/work[k]
			cut -= part
		}
	}
	return levels
}

// Safe repeats: guards the rule that nothing takes effect twice. Proxies try again only after proof that
// the first try never ran, whatever the class. (Trying safe classes again after any failure was measured
// and cost more than it won: the abandoned try still runs, and under load the work doubles.)
const retry = RetryProof

// ---- publisher ----

// publish brings the proxies from what they were sent to what is wanted; each proxy has its own table.
func (c *Controller) publish() {
	if c.set.Slices > 0 {
		return // slices of a key space are not decided here
	}
	c.queue = max(0, c.queue-(c.now-c.drained)*c.set.LinesPerSec/1000*paceSure)
	c.drained = c.now
	c.shares()
	tables, levels := c.zoneTables(), c.wantedLevels()
	for _, p := range c.proxies {
		p.touched = 0
	}
	c.withdrawals(tables)
	for _, p := range c.proxies {
		if p.joined && p.zone < len(tables) {
			c.update(p, tables[p.zone], levels)
		}
	}
	marked := false
	for _, p := range c.proxies {
		if p.touched == 0 {
			continue
		}
		if !marked {
			marked, c.token = true, (c.token+1)%65536
			c.out = append(c.out, Mark{Token: c.token})
		}
		c.queue += p.touched + c.set.HeadLines + 1
		p.writes = append(p.writes, c.now)
		p.waiting, p.lastSent, p.token = true, c.now, c.token
	}
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
	return c.queue+lines+c.set.HeadLines <= share*c.set.QueueLines
}

// withdrawals go first and wait for no answer. They guard the rule on drains: a server that drains or
// is gone gets nothing more, whoever wrote the tables. A server comes back with its new weight.
func (c *Controller) withdrawals(tables [][]float64) {
	for i, s := range c.servers {
		out := !s.inTables
		if out == s.sentOut {
			continue
		}
		free := true
		for _, p := range c.proxies {
			free = free && (!p.joined || c.mayWrite(p, 2*float64(len(c.proxies)), urgentShare))
		}
		if !free {
			return
		}
		s.sentOut = out
		for _, p := range c.proxies {
			if !p.joined {
				continue
			}
			p.touched += 2
			if p.bound && !out && p.zone < len(tables) {
				p.setLine(c, s.ID, tables[p.zone][i])
			}
		}
		c.out = append(c.out, Withdraw{Server: s.ID, Out: out})
	}
}

func (p *proxy) setLine(c *Controller, id ServerID, weight float64) {
	p.lines[id] = weight
	c.out = append(c.out, SetWeight{Table: TableID(p.id), Server: id, Weight: weight})
}

// update writes the changed lines and levels of one proxy's table, once its last message was answered or
// has been waited for; a new proxy gets the whole table at once.
func (c *Controller) update(p *proxy, table, levels []float64) {
	if p.bound && (c.now-p.lastSent < messageGap || p.waiting && c.now-p.lastSent < ackWait) {
		return
	}
	moved, any := make([]bool, len(table)), false
	lines := 0.0
	for i, s := range c.servers {
		want, have := table[i], p.lines[s.ID]
		any = any || want > 0
		// A withdrawn server's line is left as it is; it gets its new weight when the server returns.
		moved[i] = !s.sentOut && math.Abs(want-have) > moveLeast*have
		if moved[i] {
			lines++
		}
	}
	rates := make([]float64, len(levels))
	for k, level := range levels {
		rates[k] = level
		if c.set.Admission == AdmitRate {
			rates[k] = unlimited
			if level < 1 {
				rates[k] = level * p.demand[k]
			}
		}
		if levelMoved(rates[k], p.levels[k]) {
			lines++
		}
	}
	share := ordinaryShare
	if !p.bound {
		lines, share = float64(len(c.servers)+len(levels)+2), urgentShare
	}
	if !any || lines == 0 || !c.mayWrite(p, lines, share) {
		return
	}
	for i, s := range c.servers {
		if moved[i] {
			p.setLine(c, s.ID, table[i])
		}
	}
	for k, rate := range rates {
		if levelMoved(rate, p.levels[k]) {
			p.levels[k] = rate
			c.out = append(c.out, Admit{Table: TableID(p.id), Mask: 1 << k, Level: rate, Retry: retry})
		}
	}
	if !p.bound {
		p.bound = true
		c.out = append(c.out, Bind{Proxy: p.id, Table: TableID(p.id)})
	}
	p.touched += lines
}

func levelMoved(want, have float64) bool {
	return have < 0 || math.Abs(want-have) > levelLeast*have
}
