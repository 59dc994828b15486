// Package audit holds a planner to the five rules from outside: it sees what discovery told and what the proxies were sent,
// and nothing of the planner's books. It is a value that is fed with events and times and knows no socket and no clock.
package audit

import (
	"fmt"
	"maps"
	"slices"

	"mulleinwood/rules"
)

// Slack is what the protocol adds to every time limit on sockets, and Start the time from the planner's first answer in
// which none counts, both in milliseconds.
const (
	Slack        = 300.0
	StartupGrace = 1000.0
)

// Rule names one of the five.
type Rule string

// The rules.
const (
	NoServer       Rule = "a joined proxy without a server"
	UnsafeRetry    Rule = "an effect that may happen twice"
	DrainedServer  Rule = "a drained server in a table"
	WarmupOverload Rule = "a cold server pushed over"
	ChannelLimit   Rule = "a channel over its limit"
)

// Violation is one broken rule.
type Violation struct {
	Rule   Rule    `json:"rule"`
	At     float64 `json:"at_ms"`
	Detail string  `json:"what"`
}

// Server is an entry of the list as discovery told it.
type Server struct {
	Name      string
	State     rules.State
	Size      float64
	StartedAt float64
}

// Order is one whole message to a proxy.
type Order struct {
	Replace bool
	Rows    map[string]float64
	Retries map[int]rules.Retry // by class
	Drop    []string
	Undrop  []string
	Lines   float64 // its head included
}

type entry struct {
	Server
	toldAt   float64 // when it was told to drain or to be gone
	hotSince float64 // since when it is sent more than it may; 0: it isn't
	told     bool    // of the break, so that each counts once
}

type proxy struct {
	rate     float64
	table    map[string]float64
	shut     map[string]bool
	joinedAt float64
	bare     float64   // since when it has no line to pick
	writes   []float64 // messages of late
	told     bool
}

// Auditor keeps books.
type Auditor struct {
	set     rules.Settings
	servers map[string]*entry
	proxies map[int]*proxy
	begun   float64 // the planner's first answer
	queue   float64 // lines in the channel, which sends at its usual pace
	drained float64
	breaks  []Violation
	// Peak holds the largest observed value of each limited quantity: lines, then times in milliseconds.
	Peak struct {
		QueueLines     float64 `json:"queue_lines"`
		DrainMillis    float64 `json:"drain_ms"`
		NoServerMillis float64 `json:"bare_ms"`
	}
}

// New returns an auditor of a planner that has given its first answer now.
func New(set rules.Settings, now float64) *Auditor {
	return &Auditor{set: set, servers: map[string]*entry{}, proxies: map[int]*proxy{}, begun: now, drained: now}
}

// Violations are the rules broken so far.
func (a *Auditor) Violations() []Violation { return a.breaks }

func (a *Auditor) broken(now float64, rule Rule, format string, args ...any) {
	a.breaks = append(a.breaks, Violation{rule, now, fmt.Sprintf(format, args...)})
}

// ServerChanged is a change of the list that has reached the planner, or must be taken to have.
func (a *Auditor) ServerChanged(now float64, s Server) {
	e := a.servers[s.Name]
	if e == nil {
		e = &entry{}
		a.servers[s.Name] = e
	}
	if s.State != rules.Ready && (e.State == rules.Ready || e.Name == "") {
		e.toldAt = now
	}
	e.Server, e.hotSince, e.told = s, 0, false
	a.updateBarenessOfAll(now)
}

// ProxyJoined is a proxy whose stream the planner has taken. What it holds of an earlier stream it keeps.
func (a *Auditor) ProxyJoined(now float64, number int, rate float64) {
	p := a.proxies[number]
	if p == nil {
		p = &proxy{table: map[string]float64{}, shut: map[string]bool{}}
		a.proxies[number] = p
	}
	p.rate, p.joinedAt, p.bare, p.writes, p.told = rate, now, now, nil, false
	if a.pickable(p) {
		p.bare = 0
	}
}

// ProxyLeft is a proxy whose stream has ended. Time limits stop for it.
func (a *Auditor) ProxyLeft(number int) {
	if p := a.proxies[number]; p != nil {
		p.joinedAt = 0
	}
}

// OrderReceived is a message that a proxy has read.
func (a *Auditor) OrderReceived(now float64, number int, o Order) {
	p := a.proxies[number]
	if p == nil {
		return
	}
	a.pass(now)
	if a.queue += o.Lines; a.queue > a.Peak.QueueLines {
		a.Peak.QueueLines = a.queue
	}
	if a.set.QueueLines > 0 && a.queue > a.set.QueueLines {
		a.broken(now, ChannelLimit, "%.0f lines wait, %.0f may", a.queue, a.set.QueueLines)
	}
	if a.set.MaxMessages > 0 {
		p.writes = slices.DeleteFunc(append(p.writes, now), func(at float64) bool { return now-at > a.set.MessageWindow })
		if len(p.writes) > a.set.MaxMessages {
			a.broken(now, ChannelLimit, "%d messages to proxy %d within %.0f ms, %d may be", len(p.writes), number,
				a.set.MessageWindow, a.set.MaxMessages)
		}
	}
	if o.Replace {
		p.table = map[string]float64{}
	}
	for name, weight := range o.Rows {
		if weight > 0 {
			p.table[name] = weight
		} else {
			delete(p.table, name)
		}
	}
	for _, name := range o.Drop {
		p.shut[name] = true
	}
	for _, name := range o.Undrop {
		delete(p.shut, name)
	}
	for k, retry := range o.Retries {
		// Proof that a try never ran makes any repeat safe. After any failure only a safe class may run again; a keyed one's
		// repeat is dropped only by servers that share the key, which a proxy doesn't choose by.
		if class := a.set.Classes[k]; class.Effect != rules.Safe && retry > rules.RetryIfNotRun {
			a.broken(now, UnsafeRetry, "class %s may be tried again by method %d", class.Name, retry)
		}
	}
	a.updateBareness(now, p)
}

// pass lets the channel send.
func (a *Auditor) pass(now float64) {
	a.queue = max(0, a.queue-(now-a.drained)/1000*a.set.LinesPerSec)
	a.drained = now
}

// cold says whether a server has started lately, and its capacity as a share of its whole one.
func (a *Auditor) capacity(now float64, s Server) (share float64, cold bool) {
	age := now - s.StartedAt
	if s.StartedAt == 0 || age >= a.set.WarmupTime {
		return 1, false
	}
	return a.set.StartCapacity + (1-a.set.StartCapacity)*max(0, age)/a.set.WarmupTime, true
}

// pickable says whether a proxy holds a line that it may pick.
func (a *Auditor) pickable(p *proxy) bool {
	for name := range p.table {
		if e := a.servers[name]; e != nil && e.State == rules.Ready && !p.shut[name] {
			return true
		}
	}
	return false
}

func (a *Auditor) updateBareness(now float64, p *proxy) {
	switch {
	case a.pickable(p):
		p.bare = 0
	case p.bare == 0:
		p.bare, p.told = now, false
	}
}

func (a *Auditor) updateBarenessOfAll(now float64) {
	for _, p := range a.proxies {
		a.updateBareness(now, p)
	}
}

// Tick looks at everything that time alone can break. Call it every tenth of a second or so.
func (a *Auditor) Tick(now float64) {
	readySize, warm := a.readyServers(now)
	totalRate := 0.0
	load := map[string]float64{} // requests a second that a server is sent
	for _, number := range slices.Sorted(maps.Keys(a.proxies)) {
		p := a.proxies[number]
		totalRate += p.rate
		a.auditTable(now, number, p, load)
		switch {
		case p.bare <= 0:
		case warm:
			a.auditBareness(now, number, p)
		default:
			p.bare = now // its time counts from a warm server on
		}
	}
	a.auditColdServers(now, load, readySize, totalRate)
}

// readyServers is the size of all ready servers together, and whether one of them is warm.
func (a *Auditor) readyServers(now float64) (size float64, warm bool) {
	for _, e := range a.servers {
		if e.State == rules.Ready {
			_, cold := a.capacity(now, e.Server)
			warm = warm || !cold
			size += e.Size
		}
	}
	return size, warm
}

// auditTable adds what a proxy sends to each server by its table, and looks for servers that it should have let go.
func (a *Auditor) auditTable(now float64, number int, p *proxy, load map[string]float64) {
	sum := 0.0
	for name, weight := range p.table {
		if !p.shut[name] {
			sum += weight
		}
	}
	for name, weight := range p.table {
		if p.shut[name] {
			continue
		}
		load[name] += p.rate * weight / sum
		e := a.servers[name]
		if e == nil || p.joinedAt == 0 || e.State == rules.Ready || e.State == rules.Removed && a.set.DrainOnly {
			continue
		}
		since := now - max(e.toldAt, a.begun+StartupGrace, p.joinedAt)
		a.Peak.DrainMillis = max(a.Peak.DrainMillis, since)
		if since > a.set.DrainGrace+Slack && !e.told {
			e.told = true
			a.broken(now, DrainedServer, "proxy %d holds %s, told %.0f ms ago", number, name, since)
		}
	}
}

// auditBareness looks whether a proxy that has nothing to pick has had nothing for too long. Time counts while there is a warm
// server that could be listed, as there is now.
func (a *Auditor) auditBareness(now float64, number int, p *proxy) {
	if p.joinedAt <= 0 {
		return
	}
	since := now - max(p.bare, a.begun+StartupGrace)
	a.Peak.NoServerMillis = max(a.Peak.NoServerMillis, since)
	if since > a.set.MaxTimeWithoutServer+Slack && !p.told {
		p.told = true
		a.broken(now, NoServer, "proxy %d for %.0f ms", number, since)
	}
}

// auditColdServers looks for cold servers that have been sent too much for too long.
func (a *Auditor) auditColdServers(now float64, load map[string]float64, readySize, totalRate float64) {
	for name, e := range a.servers {
		share, cold := a.capacity(now, e.Server)
		canDo := share * e.Size / readySize * totalRate
		if !cold || e.State != rules.Ready || readySize == 0 || load[name] <= a.set.OverloadFactor*canDo {
			e.hotSince = 0
			continue
		}
		if e.hotSince == 0 {
			e.hotSince = now
		}
		if now-e.hotSince > a.set.OverloadTime && !e.told {
			e.told = true
			a.broken(now, WarmupOverload, "%s is sent %.1f requests a second, it can do %.1f", name, load[name], canDo)
		}
	}
}
