package rules

// What a controller remembers. No decision is made here; they are in the files of policy.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// tally sums up reports; time is that of all answers together.
type tally struct{ tries, failed, answered, time float64 }

func (z tally) rate() float64 { return 1 - z.failed/z.tries }

func (z *tally) fade(by float64) {
	*z = tally{z.tries * by, z.failed * by, z.answered * by, z.time * by}
}

// server is what is known of one server.
type server struct {
	Server

	// What reports said of it.
	round        tally     // this round
	zones        []tally   // this round, by zone of the proxies
	recent       tally     // lately, faded
	lastHeard    float64   // time of the last report
	recentErrors []float64 // of the last rounds
	errorSum     float64   // decayed and capped sum of the mean errors
	factor       float64   // on the listed weight

	// Whether it is kept out.
	unanswered      float64 // tries since the last answer
	unansweredSince float64
	suspected       bool    // kept out by our own judgement
	suspectedUntil  float64 // at least
	nextSuspicion   float64 // how long the next suspicion lasts at least
	nextProbe       float64
	probesAnswered  int     // in a row
	returnedAt      float64 // end of the last suspicion
	heldBack        bool    // cold, and kept out while the fleet is failing
	unlisted        bool    // the list dropped it, which does not bind

	// What the current look decides.
	inTables     bool    // may hold a line
	share        float64 // of the traffic of all proxies
	targetRate   float64 // the same in requests a second of our own proxies
	assignedRate float64 // requests a second that our tables bring it
	correction   float64 // of its weight, for how it is held
	dealtTo      *proxy  // whose table is being dealt and holds it
}

// line is a server in a proxy's table. One that is not wanted any more has wanted 0.
type line struct {
	server       *server
	wanted, sent float64 // weights
}

// proxy is what is known of one proxy, and what its table holds.
type proxy struct {
	id     ProxyID
	zone   int
	joined bool
	bound  bool // its table is the one that is kept here

	// What it asks for.
	typicalRate float64   // requests a second
	demand      []float64 // the same by class, lately
	reportedAt  []float64 // time of the last report, by class

	// Its table.
	lines         []line
	wantedLines   float64   // how many of them are wanted
	levels        []float64 // by class, as ordered so far; -1: none yet
	urgent        bool      // a line must go, or none works, or the table is not bound
	misroutedRate float64   // requests a second that the table sends elsewhere than wanted

	// What it was sent.
	messageTimes   []float64   // of recent messages
	unacknowledged []writeMark // messages whose answers are out, oldest first
	lastSent       float64
}

// knows says whether the proxy's table has a line for a server, wanted or not yet removed.
func (p *proxy) knows(s *server) bool {
	return slices.ContainsFunc(p.lines, func(l line) bool { return l.server == s })
}

// writeMark is where a message, or all of a look, ends in the sequence of all lines written.
type writeMark struct {
	token uint32
	end   float64 // lines written up to it, since the start
	at    float64 // time
}

// zone is the traffic of one zone. Rates are requests a second; shares are of all traffic.
type zone struct {
	ownRate       float64 // from our proxies there
	totalRate     float64 // own, and from the proxies there that share our planner
	inboundRate   float64 // from all our proxies to its servers
	trafficShare  float64 // what comes from its proxies
	spillShare    float64 // of that, what has no room at home
	capacityShare float64 // what its servers should get
	spareShare    float64 // what of that other zones may use
	servers       ranked[*server]
}

// Controller decides for the proxies joined to it. It is for one goroutine.
type Controller struct {
	settings Settings
	rng      *rand.Rand
	now      float64
	actions  []Action // of this step

	servers    []*server // sorted by id, as are the proxies
	serverByID map[ServerID]*server
	proxies    []*proxy
	proxyByID  map[ProxyID]*proxy
	zones      []zone

	// When what is due. Discovery that speaks only when asked is asked at queryAt, unless it is watched.
	watching     bool
	queryAt      float64
	nextDecision float64
	nextRound    float64
	lastShedding float64

	// What comes in. Parts are of the planner's other cores.
	ownPart       Part      // what our own proxies bring
	otherParts    Part      // what we were told of the others
	joinedProxies float64   // of the planner
	typicalRate   float64   // their requests a second
	demands       []float64 // the same by class, lately

	// What the fleet can do.
	usableServers  float64   // servers in tables
	totalLines     float64   // of all tables together
	listedWeight   float64   // weight that the list shows ready, less for cold servers
	coldCapacity   float64   // share of the demand that cold servers leave room for
	fleet          tally     // recent answers of all servers, decayed
	averageFill    float64   // how far that has filled since the start
	pressure       float64   // how late answers come; 1 is the most that is wanted
	recentIdle     []float64 // lately, answer times for the work of a request
	idleLatency    float64   // least answer time met so far, for the work of a request
	bestThroughput float64   // most work a second lately answered, for each weight listed

	// What is let in.
	shedOrder []int   // classes, least worth for their work first
	workLimit float64 // work a second that may come in
	shedShare float64 // share of the offered work that is refused

	// What is on its way to the proxies.
	token          uint32      // of the last message
	linesWritten   float64     // since the start
	linesDelivered float64     // those of them known to have left
	queuedLines    float64     // thought to wait
	ordinaryBudget float64     // lines that ordinary orders may use; below 0, they owe
	sentMarks      []writeMark // of each look, while they have not left
	deliveryLag    float64     // how long the oldest of them has been on its way
	lastAckAt      float64     // when a message was last answered
	queueUpdatedAt float64

	logged  int     // log lines
	logFrom float64 // since when they are counted
}

// New returns a controller that knows only its settings.
func New(set Settings, seed uint64) *Controller {
	c := &Controller{settings: set, rng: rand.New(rand.NewPCG(seed, 1)), coldCapacity: 1,
		workLimit:   math.Inf(1),
		idleLatency: math.Inf(1), zones: make([]zone, max(1, set.Zones)), demands: make([]float64,
			len(set.Classes)),
		serverByID: map[ServerID]*server{}, proxyByID: map[ProxyID]*proxy{}, otherParts: Part{ChannelShare: 1}}
	for k := range set.Classes {
		c.shedOrder = append(c.shedOrder, k)
	}
	slices.SortStableFunc(c.shedOrder, func(i, j int) int {
		return lessValuable(set.Classes[i],
			set.Classes[j])
	})
	return c
}

// handleJoined takes a proxy in. The lines and levels of its table stay as we know them: it is bound to it
// again.
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

// OwnLoad tells what the controller's own proxies bring, as of its last look, and the lines thought to wait for
// them.
func (c *Controller) OwnLoad() (own Part, waiting float64) { return c.ownPart, c.queuedLines }

// handleForgotten drops all that is remembered of a server.
func (c *Controller) handleForgotten(id ServerID) {
	delete(c.serverByID, id)
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool { return s.ID == id })
	for _, p := range c.proxies {
		p.lines = slices.DeleteFunc(p.lines, func(l line) bool { return l.server.ID == id })
	}
}

// log adds a line to the operators' log. What goes over its bound is left out, for a while and not for good.
func (c *Controller) log(format string, args ...any) {
	if c.now-c.logFrom > logSpan {
		c.logFrom, c.logged = c.now, 0
	}
	if c.logged++; c.logged <= maxLogLines {
		c.actions = append(c.actions, Log{Text: fmt.Sprintf(format, args...)})
	}
}
