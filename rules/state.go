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
	round, recent tally     // what was heard this round, and lately (faded)
	zones         []tally   // this round, by zone of the proxies
	errors        []float64 // of the last rounds
	sum, factor   float64
	lastHeard     float64
	dry, drySince float64 // tries since the last answer
	doubted       bool    // kept out by our own judgement
	kept          bool    // cold, and kept out while the fleet is failing
	unlisted      bool    // the list dropped it, which does not bind
	hold, until   float64 // how long the next doubt lasts at least, and until when this one does
	returnedAt    float64 // end of the last doubt
	nextProbe     float64
	alive         int     // probes answered in a row
	inTables      bool    // may hold a line now
	share, target float64 // of the traffic of all proxies; the same in requests a second of our own
	held, fitted  float64 // what our tables bring it, and the correction of its weight for that
	seen          *proxy  // whose table is being dealt and holds it
}

// line is a server in a proxy's table. One that is not wanted any more has want 0.
type line struct {
	s          *server
	want, sent float64 // weights
}

// proxy is what is known of one proxy, and what its table holds.
type proxy struct {
	id            ProxyID
	zone          int
	joined, bound bool
	usual         float64   // requests a second
	demand        []float64 // the same by class, lately
	told          []float64 // when it was last heard, by class
	lines         []line
	have          float64   // lines that are wanted
	levels        []float64 // by class, as ordered so far
	writes        []float64 // times of recent messages
	owed          []order   // messages whose answers are out, oldest first
	lastSent      float64
	urgent        bool    // its table has a line that must go, or none that works
	need          float64 // requests a second that its table sends elsewhere than wanted
}

// knows says whether the proxy's table has a line for a server, wanted or not yet removed.
func (p *proxy) knows(s *server) bool {
	return slices.ContainsFunc(p.lines, func(l line) bool { return l.s == s })
}

// order is where a message, or all of a look, ends in the sequence of all lines written.
type order struct {
	token   uint32
	end, at float64
}

// zone is the traffic of one zone.
type zone struct {
	own, flow   float64 // of our proxies there, and of all ours to its servers, in requests a second
	all         float64 // own, and of the proxies there that share our planner
	part, over  float64 // of all traffic, what comes from its proxies; share of that without room at home
	room, spare float64 // of all traffic, what its servers should get, and what of it others may use
	servers     ranked[*server]
}

// Controller decides for the proxies joined to it.
type Controller struct {
	set                                   Settings
	rng                                   *rand.Rand
	now                                   float64
	out                                   []Action
	servers                               []*server // sorted by id, as are the proxies
	proxies                               []*proxy
	server                                map[ServerID]*server
	proxy                                 map[ProxyID]*proxy
	zones                                 []zone
	joined, usual                         float64   // proxies of the planner, and their requests a second
	demands                               []float64 // the same by class, lately
	mine, part                            Part      // what our own proxies bring, and what we were told of the others
	order                                 []int     // classes, least worth for their work first
	usable                                float64   // servers in tables
	lines                                 float64   // of all their tables together
	watching                              bool
	askAt                                 float64
	nextDecision, nextRound, lastShedding float64
	fleet                                 tally     // recent answers of all servers, decayed
	filled                                float64   // how far that has filled since the start
	pressure                              float64   // how late answers come; 1 is the most that is wanted
	idle                                  []float64 // lately, answer times for the work of a request
	base                                  float64   // least answer time met so far, for the work of a request
	listed                                float64   // weight that the list shows ready, less for cold servers
	able                                  float64   // most work a second lately answered, for each weight listed
	limit                                 float64   // work a second that may come in
	shed                                  float64   // share of the offered work that is refused
	fit                                   float64   // share of the demand that cold servers leave room for
	queue, pace                           float64   // lines thought to wait, and that ordinary orders may use
	wrote, passed                         float64   // lines written since the start, and those of them known to have left
	sent                                  []order   // of each look, while they have not
	lag                                   float64   // how long the oldest of them has been on its way
	answeredAt, drained                   float64   // when a message was last answered, and all of this brought up to date
	token                                 uint32
	logged                                int
	logFrom                               float64 // since when they are counted
}

// New returns a controller that knows only its settings.
func New(set Settings, seed uint64) *Controller {
	c := &Controller{set: set, rng: rand.New(rand.NewPCG(seed, 1)), fit: 1, limit: math.Inf(1),
		base: math.Inf(1), zones: make([]zone, max(1, set.Zones)), demands: make([]float64, len(set.Classes)),
		server: map[ServerID]*server{}, proxy: map[ProxyID]*proxy{}, part: Part{Channel: 1}}
	for k := range set.Classes {
		c.order = append(c.order, k)
	}
	slices.SortStableFunc(c.order, func(i, j int) int { return poorer(set.Classes[i], set.Classes[j]) })
	return c
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

// Mine tells what the controller's own proxies bring, as of its last look, and the lines thought to wait for them.
func (c *Controller) Mine() (own Part, waiting float64) { return c.mine, c.queue }

// forget drops all that is remembered of a server.
func (c *Controller) forget(id ServerID) {
	delete(c.server, id)
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool { return s.ID == id })
	for _, p := range c.proxies {
		p.lines = slices.DeleteFunc(p.lines, func(l line) bool { return l.s.ID == id })
	}
}

// log adds a line to the operators' log. What goes over its bound is left out, for a while and not for good.
func (c *Controller) log(format string, args ...any) {
	if c.now-c.logFrom > logSpan {
		c.logFrom, c.logged = c.now, 0
	}
	if c.logged++; c.logged <= maxLogLines {
		c.out = append(c.out, Log{Text: fmt.Sprintf(format, args...)})
	}
}
