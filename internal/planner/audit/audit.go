// Package audit checks from outside that a planner keeps five rules. An Auditor gets the changes of the server list and the
// messages that the proxies receive, and nothing of the planner's own state. It is a deterministic state machine that opens
// no sockets and reads no clock. Times are in milliseconds.
package audit

import (
	"fmt"
	"maps"
	"slices"

	"mulleinwood/rules"
)

const (
	// Slack is the tolerance that the protocol adds to time limits on sockets, in milliseconds.
	Slack = 300.0
	// StartupGrace is the time after the planner's first answer that no time limit counts, in milliseconds.
	StartupGrace = 1000.0
)

// Rule is one of the rules that are checked. Its text describes the violation.
type Rule string

// The rules.
const (
	NoServer       Rule = "a joined proxy without a server"
	UnsafeRetry    Rule = "an effect that may happen twice"
	DrainedServer  Rule = "a drained server in a table"
	WarmupOverload Rule = "a cold server pushed over"
	ChannelLimit   Rule = "a channel over its limit"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule    `json:"rule"`
	At     float64 `json:"at_ms"` // time of detection
	Detail string  `json:"what"`
}

// Server is an entry of the server list as discovery reported it.
type Server struct {
	Name      string
	State     rules.State
	Size      float64 // capacity relative to other servers
	StartedAt float64 // 0 if not known, which counts as warm
}

// Order is one complete message to a proxy.
type Order struct {
	Replace bool                // the rows replace the whole table
	Rows    map[string]float64  // weight by server; 0 removes the row
	Retries map[int]rules.Retry // by class
	Drop    []string            // servers to stop using
	Undrop  []string            // dropped servers to use again
	Lines   float64             // length of the message, header included
}

// serverState is the state of one listed server.
type serverState struct {
	Server
	unavailableSince float64 // since when it has not been ready: draining or removed
	overloadedSince  float64 // since when its load exceeds the limit; 0 if it doesn't
	reported         bool    // a violation has been reported, so that it counts once
}

// proxyState is the state of one proxy.
type proxyState struct {
	rate          float64
	table         map[string]float64
	dropped       map[string]bool
	joinedAt      float64   // 0 if its stream has ended
	noServerSince float64   // since when its table has no usable server; 0 if it has one
	messageTimes  []float64 // times of the messages within the last MessageWindow
	reported      bool
}

// Auditor records the state of servers and proxies and the rules that were violated. It is not safe for concurrent use.
type Auditor struct {
	settings       rules.Settings
	servers        map[string]*serverState
	proxies        map[int]*proxyState
	startedAt      float64 // time of the planner's first answer
	queueLines     float64 // lines in the channel, assuming its usual throughput
	queueUpdatedAt float64
	violations     []Violation
	// Peak holds the largest observed value of each limited quantity: lines, then times in milliseconds.
	Peak struct {
		QueueLines     float64 `json:"queue_lines"`
		DrainMillis    float64 `json:"drain_ms"`
		NoServerMillis float64 `json:"bare_ms"`
	}
}

// New returns an Auditor of a planner that gave its first answer at now.
func New(settings rules.Settings, now float64) *Auditor {
	return &Auditor{settings: settings, servers: map[string]*serverState{}, proxies: map[int]*proxyState{},
		startedAt: now, queueUpdatedAt: now}
}

// Violations returns the violations so far.
func (a *Auditor) Violations() []Violation { return a.violations }

// addViolation adds a violation with a formatted detail.
func (a *Auditor) addViolation(now float64, rule Rule, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, now, fmt.Sprintf(format, args...)})
}

// ServerChanged records a change of the server list that the planner has received, or is assumed to have received.
func (a *Auditor) ServerChanged(now float64, s Server) {
	e := a.servers[s.Name]
	if e == nil {
		e = &serverState{}
		a.servers[s.Name] = e
	}
	if s.State != rules.Ready && (e.State == rules.Ready || e.Name == "") {
		e.unavailableSince = now
	}
	e.Server, e.overloadedSince, e.reported = s, 0, false
	a.updateNoServerOfAll(now)
}

// ProxyJoined records that the planner has accepted a proxy's stream. The proxy keeps the table of an earlier stream.
func (a *Auditor) ProxyJoined(now float64, number int, rate float64) {
	p := a.proxies[number]
	if p == nil {
		p = &proxyState{table: map[string]float64{}, dropped: map[string]bool{}}
		a.proxies[number] = p
	}
	p.rate, p.joinedAt, p.noServerSince, p.messageTimes, p.reported = rate, now, now, nil, false
	if a.hasUsableServer(p) {
		p.noServerSince = 0
	}
}

// ProxyLeft records that a proxy's stream has ended. Time limits don't apply to the proxy until it joins again.
func (a *Auditor) ProxyLeft(number int) {
	if p := a.proxies[number]; p != nil {
		p.joinedAt = 0
	}
}

// OrderReceived records a message that a proxy has read.
func (a *Auditor) OrderReceived(now float64, number int, order Order) {
	p := a.proxies[number]
	if p == nil {
		return
	}
	a.drainQueue(now)
	if a.queueLines += order.Lines; a.queueLines > a.Peak.QueueLines {
		a.Peak.QueueLines = a.queueLines
	}
	if a.settings.QueueLines > 0 && a.queueLines > a.settings.QueueLines {
		a.addViolation(now, ChannelLimit, "%.0f lines queued, limit %.0f", a.queueLines, a.settings.QueueLines)
	}
	if a.settings.MaxMessages > 0 {
		p.messageTimes = slices.DeleteFunc(append(p.messageTimes, now), func(at float64) bool {
			return now-at > a.settings.MessageWindow
		})
		if len(p.messageTimes) > a.settings.MaxMessages {
			a.addViolation(now, ChannelLimit, "%d messages to proxy %d within %.0f ms, limit %d", len(p.messageTimes), number,
				a.settings.MessageWindow, a.settings.MaxMessages)
		}
	}
	if order.Replace {
		p.table = map[string]float64{}
	}
	for name, weight := range order.Rows {
		if weight > 0 {
			p.table[name] = weight
		} else {
			delete(p.table, name)
		}
	}
	for _, name := range order.Drop {
		p.dropped[name] = true
	}
	for _, name := range order.Undrop {
		delete(p.dropped, name)
	}
	for k, retry := range order.Retries {
		// A request that provably never ran may always be retried. After other failures only a safe class may be retried:
		// the retry of a keyed class is deduplicated only by servers that share the key, and proxies don't pick by key.
		if class := a.settings.Classes[k]; class.Effect != rules.Safe && retry > rules.RetryIfNotRun {
			a.addViolation(now, UnsafeRetry, "class %s is allowed retry method %d", class.Name, retry)
		}
	}
	a.updateNoServer(now, p)
}

// drainQueue subtracts the lines that the channel has sent since the last call.
func (a *Auditor) drainQueue(now float64) {
	a.queueLines = max(0, a.queueLines-(now-a.queueUpdatedAt)/1000*a.settings.LinesPerSec)
	a.queueUpdatedAt = now
}

// capacityShare returns the current capacity of a server as a share of its full capacity, and whether it is warming up.
func (a *Auditor) capacityShare(now float64, s Server) (share float64, warmingUp bool) {
	age := now - s.StartedAt
	if s.StartedAt == 0 || age >= a.settings.WarmupTime {
		return 1, false
	}
	return a.settings.StartCapacity + (1-a.settings.StartCapacity)*max(0, age)/a.settings.WarmupTime, true
}

// hasUsableServer reports whether a proxy's table contains a ready server that is not dropped.
func (a *Auditor) hasUsableServer(p *proxyState) bool {
	for name := range p.table {
		if e := a.servers[name]; e != nil && e.State == rules.Ready && !p.dropped[name] {
			return true
		}
	}
	return false
}

// updateNoServer updates the time since when a proxy has no usable server.
func (a *Auditor) updateNoServer(now float64, p *proxyState) {
	switch {
	case a.hasUsableServer(p):
		p.noServerSince = 0
	case p.noServerSince == 0:
		p.noServerSince, p.reported = now, false
	}
}

// updateNoServerOfAll does the same for all proxies.
func (a *Auditor) updateNoServerOfAll(now float64) {
	for _, p := range a.proxies {
		a.updateNoServer(now, p)
	}
}

// Tick checks the rules that can be violated by the passing of time alone. It should be called about every 100 ms.
func (a *Auditor) Tick(now float64) {
	readySize, warm := a.readyServers(now)
	totalRate := 0.0
	load := map[string]float64{} // requests per second, by server
	for _, number := range slices.Sorted(maps.Keys(a.proxies)) {
		p := a.proxies[number]
		totalRate += p.rate
		a.checkTable(now, number, p, load)
		switch {
		case p.noServerSince <= 0:
		case warm:
			a.checkNoServer(now, number, p)
		default:
			p.noServerSince = now // the time counts only while a warm server is ready
		}
	}
	a.checkWarmupOverload(now, load, readySize, totalRate)
}

// readyServers returns the total size of all ready servers, and whether one of them is warm.
func (a *Auditor) readyServers(now float64) (size float64, warm bool) {
	for _, e := range a.servers {
		if e.State == rules.Ready {
			_, warmingUp := a.capacityShare(now, e.Server)
			warm = warm || !warmingUp
			size += e.Size
		}
	}
	return size, warm
}

// checkTable adds the traffic of a proxy to the load of the servers in its table, and checks that the proxy doesn't use a server
// for too long after it became unavailable.
func (a *Auditor) checkTable(now float64, number int, p *proxyState, load map[string]float64) {
	totalWeight := 0.0
	for name, weight := range p.table {
		if !p.dropped[name] {
			totalWeight += weight
		}
	}
	for name, weight := range p.table {
		if p.dropped[name] {
			continue
		}
		load[name] += p.rate * weight / totalWeight
		e := a.servers[name]
		if e == nil || p.joinedAt == 0 || e.State == rules.Ready || e.State == rules.Removed && a.settings.DrainOnly {
			continue
		}
		elapsed := now - max(e.unavailableSince, a.startedAt+StartupGrace, p.joinedAt)
		a.Peak.DrainMillis = max(a.Peak.DrainMillis, elapsed)
		if elapsed > a.settings.DrainGrace+Slack && !e.reported {
			e.reported = true
			a.addViolation(now, DrainedServer, "proxy %d still has %s after %.0f ms", number, name, elapsed)
		}
	}
}

// checkNoServer checks that a joined proxy isn't without a usable server for too long. It must be called only while a warm
// server is ready, since only that time counts.
func (a *Auditor) checkNoServer(now float64, number int, p *proxyState) {
	if p.joinedAt <= 0 {
		return
	}
	elapsed := now - max(p.noServerSince, a.startedAt+StartupGrace)
	a.Peak.NoServerMillis = max(a.Peak.NoServerMillis, elapsed)
	if elapsed > a.settings.MaxTimeWithoutServer+Slack && !p.reported {
		p.reported = true
		a.addViolation(now, NoServer, "proxy %d for %.0f ms", number, elapsed)
	}
}

// checkWarmupOverload checks that no server that is warming up is overloaded for too long.
func (a *Auditor) checkWarmupOverload(now float64, load map[string]float64, readySize, totalRate float64) {
	for name, e := range a.servers {
		share, warmingUp := a.capacityShare(now, e.Server)
		capacity := share * e.Size / readySize * totalRate
		if !warmingUp || e.State != rules.Ready || readySize == 0 || load[name] <= a.settings.OverloadFactor*capacity {
			e.overloadedSince = 0
			continue
		}
		if e.overloadedSince == 0 {
			e.overloadedSince = now
		}
		if now-e.overloadedSince > a.settings.OverloadTime && !e.reported {
			e.reported = true
			a.addViolation(now, WarmupOverload, "%s is sent %.1f requests per second, capacity %.1f", name,
				load[name], capacity)
		}
	}
}
