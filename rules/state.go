package rules

// The state of a controller. The decisions are in the files of the module, see rules.go.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// reportTotals sums up reports. The total latency is that of all answers, in milliseconds.
type reportTotals struct{ attempts, failed, answered, totalLatency float64 }

// successRate returns the share of successful attempts. There must be at least one attempt.
func (t reportTotals) successRate() float64 { return 1 - t.failed/t.attempts }

// decay multiplies all totals by a factor.
func (t *reportTotals) decay(by float64) {
	*t = reportTotals{t.attempts * by, t.failed * by, t.answered * by, t.totalLatency * by}
}

// server is the state of one server. Times are in milliseconds.
type server struct {
	Server

	// From reports of the proxies.
	thisRound    reportTotals   // of the current round
	roundByZone  []reportTotals // of the current round, by zone of the proxies
	recentTotals reportTotals   // decayed by updateAdmission
	lastReport   float64        // time of the last report
	recentErrors []float64      // of the last errorWindow rounds
	errorSum     float64        // decayed and bounded sum of the mean errors
	factor       float64        // multiplies the listed weight

	// Health, and reasons to exclude the server.
	unanswered      float64 // attempts since the last answer
	unansweredSince float64
	suspected       bool    // excluded as it does not answer
	suspectedUntil  float64 // earliest end of the suspicion
	nextSuspicion   float64 // least duration of the next suspicion
	nextProbe       float64
	probesAnswered  int     // consecutive
	returnedAt      float64 // end of the last suspicion
	coldExcluded    bool    // cold, and excluded while the fleet is failing
	unlisted        bool    // missing from the list but still used, as only draining removes servers

	// Results of the current decision.
	inTables     bool    // may have lines
	share        float64 // of the traffic of all proxies of the fleet
	targetRate   float64 // wanted traffic from our own proxies, in requests a second
	assignedRate float64 // traffic from our tables, in requests a second
	correction   float64 // factor on its weight that compensates for its assignment to tables
	visitedBy    *proxy  // proxy whose table is being filled and has a line for the server
}

// line is a server in a proxy's table. The wanted weight is 0 once the line is to be removed.
type line struct {
	server       *server
	wanted, sent float64 // weights
}

// proxy is the state of one proxy and of its table.
type proxy struct {
	id     ProxyID
	zone   int
	joined bool
	bound  bool // to the table that is kept here

	// Its demand.
	typicalRate float64   // requests a second
	demand      []float64 // average requests a second, by class
	reportedAt  []float64 // time of the last report, by class

	// Its table.
	lines         []line
	wantedLines   float64   // number of lines with a wanted weight above 0
	levels        []float64 // last sent admission levels, by class; -1: none yet
	urgent        bool      // a line must be removed, no line is usable, or the table is not bound
	misroutedRate float64   // requests a second that don't follow the wanted weights

	// Messages to it.
	messageTimes   []float64   // of messages within MessageWindow
	unacknowledged []writeMark // oldest first
	lastSent       float64
}

// hasLine reports whether the proxy's table has a line for a server, wanted or not yet removed.
func (p *proxy) hasLine(s *server) bool {
	return slices.ContainsFunc(p.lines, func(l line) bool { return l.server == s })
}

// writeMark is the end of a message, or of all messages of a decision, in the sequence of all lines written.
type writeMark struct {
	token uint32
	end   float64 // number of lines written until then, since the start
	at    float64 // time of writing
}

// zone is the traffic of one zone. Rates are requests a second; shares are of all traffic.
type zone struct {
	ownRate       float64 // from our proxies there
	totalRate     float64 // from all proxies of the planner there
	inboundRate   float64 // from our proxies of all zones to its servers
	trafficShare  float64 // from its proxies
	spillShare    float64 // share of its traffic that exceeds the capacity of its servers
	capacityShare float64 // for its servers
	spareShare    float64 // part of capacityShare that other zones may use
	servers       priorityQueue[*server]
}

// Controller decides for the proxies joined to it. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	rng      *rand.Rand
	now      float64
	actions  []Action // of this step

	servers    []*server // sorted by id, like proxies
	serverByID map[ServerID]*server
	proxies    []*proxy
	proxyByID  map[ProxyID]*proxy
	zones      []zone

	// Schedule. With Settings.QueryDiscovery, discovery is asked at nextQuery unless a subscription stands.
	watching      bool
	nextQuery     float64
	nextDecision  float64
	nextRound     float64
	lastAdmission float64

	// Traffic.
	ownPart       Part      // from our own proxies
	otherParts    Part      // from the proxies of the planner's other cores
	joinedProxies float64   // number of proxies of all cores of the planner
	typicalRate   float64   // of all these proxies, in requests a second
	demands       []float64 // average requests a second of all these proxies, by class

	// Capacity and load of the fleet.
	usableServers  float64      // number of servers that may have lines
	totalLines     float64      // of all tables together
	listedWeight   float64      // sum of the weights of ready servers, reduced for cold ones
	coldCapacity   float64      // share of the demand that the fleet can take if all servers are cold, else 1
	fleet          reportTotals // of all servers, decayed
	averageFill    float64      // weight, 0 to 1, of the data since the start in the average of fleet
	pressure       float64      // failure share plus the ratio of latency to wanted latency; above 1 is overload
	idleLatencies  []float64    // last latencies per unit of work
	idleLatency    float64      // least latency met so far, per unit of work
	bestThroughput float64      // decaying maximum of the work answered per second and listed weight

	// Admission.
	shedOrder []int   // classes by ascending value per work
	workLimit float64 // admitted work per second
	shedShare float64 // share of the offered work that is refused

	// Orders in the channel to the proxies.
	token          uint32      // of the last message
	linesWritten   float64     // since the start
	linesDelivered float64     // of these, the ones known to have left the channel
	queuedLines    float64     // estimate of the lines that wait in the channel
	ordinaryBudget float64     // lines that ordinary orders may use; negative after urgent ones overdrew it
	sentMarks      []writeMark // ends of the decisions with undelivered lines, oldest first
	deliveryLag    float64     // age of the oldest of sentMarks
	lastAckAt      float64     // time of the last acknowledgement
	queueUpdatedAt float64

	loggedLines    int // log lines since logWindowStart
	logWindowStart float64
}

// New returns a controller without servers or proxies. The seed determines its random choices.
func New(settings Settings, seed uint64) *Controller {
	c := &Controller{settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), coldCapacity: 1,
		workLimit:   math.Inf(1),
		idleLatency: math.Inf(1), zones: make([]zone, max(1, settings.Zones)), demands: make([]float64,
			len(settings.Classes)),
		serverByID: map[ServerID]*server{}, proxyByID: map[ProxyID]*proxy{}, otherParts: Part{ChannelShare: 1}}
	for k := range settings.Classes {
		c.shedOrder = append(c.shedOrder, k)
	}
	slices.SortStableFunc(c.shedOrder, func(i, j int) int {
		return lessValuable(settings.Classes[i],
			settings.Classes[j])
	})
	return c
}

// handleJoined adds a proxy. The lines and levels that are known of a returning proxy's table are kept: the
// proxy is bound to that table again.
func (c *Controller) handleJoined(e Joined) {
	p, n := c.proxyByID[e.Proxy], len(c.settings.Classes)
	if p == nil {
		p = &proxy{id: e.Proxy, typicalRate: e.Rate, demand: make([]float64, n),
			reportedAt: make([]float64, n)}
		p.levels = slices.Repeat([]float64{-1}, n) // none ordered yet
		c.proxyByID[e.Proxy], c.proxies = p, append(c.proxies, p)
		slices.SortFunc(c.proxies, func(a, b *proxy) int { return cmp.Compare(a.id, b.id) })
	}
	p.joined, p.bound, p.unacknowledged, p.zone, p.messageTimes = true, false, nil, min(e.Zone,
		len(c.zones)-1), nil
}

// OwnLoad returns the traffic of the controller's own proxies as of its last decision, and the estimated number of lines
// that wait in the channel for them.
func (c *Controller) OwnLoad() (own Part, waiting float64) { return c.ownPart, c.queuedLines }

// handleForgotten removes all state of a server.
func (c *Controller) handleForgotten(id ServerID) {
	delete(c.serverByID, id)
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool { return s.ID == id })
	for _, p := range c.proxies {
		p.lines = slices.DeleteFunc(p.lines, func(l line) bool { return l.server.ID == id })
	}
}

// log adds a line to the operators' log, unless there are maxLogLines within the current logWindow.
func (c *Controller) log(format string, args ...any) {
	if c.now-c.logWindowStart > logWindow {
		c.logWindowStart, c.loggedLines = c.now, 0
	}
	if c.loggedLines++; c.loggedLines <= maxLogLines {
		c.actions = append(c.actions, Log{Text: fmt.Sprintf(format, args...)})
	}
}
