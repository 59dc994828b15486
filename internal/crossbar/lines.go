package crossbar

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulleinwood/internal/directory"
	"mulleinwood/internal/trunk"
)

const (
	dialLimit    = 400 * time.Millisecond
	userTimeout  = 2000                    // milliseconds that sent bytes may stay unacknowledged: a cut is silent
	idleUnknown  = 8 * time.Second         // a server's idle time, where it doesn't say
	idleEarly    = 1500 * time.Millisecond // a connection is closed here that much before the server closes it
	reportFades  = 300 * time.Millisecond
	doubtFirst   = 500 * time.Millisecond
	doubtMost    = 4 * time.Second
	answeredNear = 2 * time.Second
)

// cutSoon has the kernel end connections whose peer is silent.
func cutSoon(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout) // a platform without it: deadlines remain
	})
}

// line leads to one life of a server. Its connections end with it, whoever has the address next.
type line struct {
	id, service, address, zone string
	capacity                   int

	mu       sync.Mutex
	entry    directory.Entry
	idle     []*trunkConn
	out      int     // requests that are out
	others   float64 // requests of others, by the server's last word
	toldAt   time.Duration
	weight   float64
	weighed  bool
	fails    int
	until    time.Duration // in doubt
	answered time.Duration // last answer
	dead     bool
	tries    uint32
	failed   uint32
	time     float64
	idleFor  time.Duration
}

// trunkConn is a connection to a server that carries one request at a time.
type trunkConn struct {
	conn  *http.ClientConn
	since time.Duration // idle
	used  bool
}

// view is what picks are made from. It is swapped whole.
type view struct {
	services map[string][]*line
}

// heard takes news of servers.
func (c *Crossbar) heard(entries []directory.Entry) {
	c.mu.Lock()
	changed := false
	var ended []*line
	for _, e := range entries {
		now, news := c.dir.Take(e, c.now())
		l := c.lines[e.ID]
		switch {
		case now.State != directory.Ready:
			if l != nil {
				delete(c.lines, e.ID)
				ended = append(ended, l)
				changed = true
			}
		case l == nil && now.Address != "":
			c.lines[e.ID] = &line{id: now.ID, service: now.Service, address: now.Address, zone: now.Zone,
				capacity: max(1, now.Capacity), entry: now, weight: 1, idleFor: idleUnknown}
			changed = true
		case l != nil && news:
			l.mu.Lock()
			l.entry = now
			l.mu.Unlock()
		}
	}
	if changed {
		v := &view{services: map[string][]*line{}}
		for _, l := range c.lines {
			v.services[l.service] = append(v.services[l.service], l)
		}
		for _, all := range v.services {
			slices.SortFunc(all, func(a, b *line) int { return strings.Compare(a.id, b.id) })
		}
		c.view.Store(v)
	}
	c.mu.Unlock()
	for _, l := range ended {
		l.end()
	}
	if changed {
		c.waiting.wakeAll()
	}
}

// weigh takes the tables' changed lines.
func (c *Crossbar) weigh(w *trunk.Weights) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range w.Lines {
		if l := c.lines[one.Server]; l != nil {
			l.mu.Lock()
			l.weight, l.weighed = one.Weight, true
			l.mu.Unlock()
		}
	}
}

// end closes a line: nothing new is sent, what is out goes on.
func (l *line) end() {
	l.mu.Lock()
	l.dead = true
	idle := l.idle
	l.idle = nil
	l.mu.Unlock()
	for _, k := range idle {
		k.conn.Close()
	}
}

func (l *line) sweep(now time.Duration) {
	l.mu.Lock()
	var old []*trunkConn
	l.idle = slices.DeleteFunc(l.idle, func(k *trunkConn) bool {
		if now-k.since > l.idleFor-idleEarly || k.conn.Err() != nil {
			old = append(old, k)
			return true
		}
		return false
	})
	l.mu.Unlock()
	for _, k := range old {
		k.conn.Close()
	}
}

// met hands out what was met since it was last asked.
func (l *line) met() trunk.Met {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := trunk.Met{Tries: l.tries, Failed: l.failed, Time: l.time}
	l.tries, l.failed, l.time = 0, 0, 0
	return m
}

// load is how full the server is thought to be.
func (l *line) load(now time.Duration) float64 {
	others := l.others * math.Exp(-float64(now-l.toldAt)/float64(reportFades))
	return (float64(l.out) + others) / float64(l.capacity)
}

// open tells whether the line takes another request now.
func (l *line) open(now time.Duration, most int) bool {
	return !l.dead && l.out < most && now >= l.until && !(l.entry.Silent && now-l.answered > answeredNear)
}

// pick chooses a server and books a place on it. The tables say in what shares; of two drawn so, the less loaded one is
// taken. Where the table's servers have no room, others may help out.
func (c *Crossbar) pick(service string, not []*line) *line {
	all := c.view.Load().services[service]
	now := c.now()
	for round := range 4 {
		type candidate struct {
			l      *line
			weight float64
			load   float64
		}
		var fit []candidate
		sum := 0.0
		for _, l := range all {
			if slices.Contains(not, l) {
				continue
			}
			l.mu.Lock()
			load := l.load(now)
			home := l.zone == c.set.Zone
			ok, weight := false, l.weight
			switch round {
			case 0: // the ordinary path: by the table, at home while there is room, since to cross zones has a price
				ok = home && l.open(now, l.capacity) && (!l.weighed || l.weight > 0) && load < 1
			case 1: // by the table, wherever
				ok = l.open(now, l.capacity) && (l.weighed && l.weight > 0 || !l.weighed && home) && load < 1.5
			case 2: // room elsewhere
				ok = l.open(now, l.capacity) && load < 1
				weight = 1
			case 3: // nothing better is left: those in doubt, too, and some that are full
				ok = !l.dead && l.out < 2*l.capacity
				weight = 1
				if !home || now < l.until {
					weight = 0.01
				}
			}
			l.mu.Unlock()
			if ok {
				fit = append(fit, candidate{l, weight, load})
				sum += weight
			}
		}
		if len(fit) == 0 {
			continue
		}
		draw := func() candidate {
			at := rand.Float64() * sum
			for _, f := range fit {
				if at -= f.weight; at < 0 {
					return f
				}
			}
			return fit[len(fit)-1]
		}
		a, b := draw(), draw()
		if b.load < a.load {
			a = b
		}
		a.l.mu.Lock()
		a.l.out++
		a.l.mu.Unlock()
		return a.l
	}
	return nil
}

// connect gives a connection that is free, or a new one.
func (c *Crossbar) connect(ctx context.Context, l *line, fresh bool) (*trunkConn, error) {
	now := c.now()
	for !fresh {
		l.mu.Lock()
		n := len(l.idle)
		if n == 0 {
			l.mu.Unlock()
			break
		}
		k := l.idle[n-1]
		l.idle = l.idle[:n-1]
		old := now-k.since > l.idleFor-idleEarly
		l.mu.Unlock()
		if !old && k.conn.Err() == nil {
			k.used = true
			return k, nil
		}
		k.conn.Close()
	}
	conn, err := c.dialer.NewClientConn(ctx, "http", l.address)
	if err != nil {
		return nil, err
	}
	return &trunkConn{conn: conn}, nil
}

// free takes a connection back.
func (l *line) free(k *trunkConn, now time.Duration, header http.Header) {
	if v := header.Get("Keep-Alive"); v != "" {
		for _, part := range strings.Split(v, ",") {
			if name, figure, ok := strings.Cut(strings.TrimSpace(part), "="); ok && name == "timeout" {
				if s, err := strconv.Atoi(figure); err == nil && s > 0 {
					l.mu.Lock()
					l.idleFor = max(time.Duration(s)*time.Second, idleEarly+100*time.Millisecond)
					l.mu.Unlock()
				}
			}
		}
	}
	var oldest *trunkConn
	l.mu.Lock()
	k.since = now
	keep := !l.dead && k.conn.Err() == nil
	if keep {
		l.idle = append(l.idle, k)
		if len(l.idle) > l.capacity+1 { // more than ever run at once: new ones were made for distrust
			oldest = l.idle[0]
			l.idle = l.idle[1:]
		}
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.conn.Close()
	}
	if !keep {
		k.conn.Close()
	}
}

// tell takes the server's word on its load: running, waiting, slots.
func (l *line) tell(header http.Header, now time.Duration) {
	var figures [3]float64
	parts := strings.Split(header.Get("X-Server-Load"), ",")
	if len(parts) != 3 {
		return
	}
	for i, p := range parts {
		x, err := strconv.ParseFloat(strings.TrimSpace(p), 64)
		if err != nil || x < 0 {
			return
		}
		figures[i] = x
	}
	l.mu.Lock()
	l.others, l.toldAt = max(0, figures[0]+figures[1]-float64(l.out)), now
	l.mu.Unlock()
}

// done gives the booked place back and counts how it went.
func (l *line) done(now time.Duration, took time.Duration, arrived, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out--
	if answered {
		l.fails, l.until, l.answered = 0, 0, now
		l.time += took.Seconds()
		l.tries++
		return
	}
	if arrived {
		l.tries++
		l.failed++
	}
	l.fails++
	if l.fails >= 2 || !arrived {
		l.until = now + min(doubtMost, doubtFirst<<min(4, l.fails-1))
	}
}
