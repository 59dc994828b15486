package rules

// When proxies are sent what changed.

import (
	"cmp"
	"math"
	"slices"
)

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
			p.owed = append(p.owed[max(0, len(p.owed)+1-maxOwed):], order{next, c.wrote, c.now})
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
	c.pace = min(max(c.pace, -maxDebt/1000*ours)+paced*ordinaryPace, ours*ordinaryPace)
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
		if level := c.level(p, k, levels[k]); math.Abs(level-p.levels[k]) > minLevel*p.levels[k] {
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
	if c.set.MaxMessages > 0 && float64(len(p.writes)+1) > share*float64(c.set.MaxMessages) {
		return false
	}
	ours := c.set.LinesPerSec * c.part.Channel
	if share == ordinaryShare && (c.lag > orderLag || c.queue+lines > orderLag/1000*ours) {
		return false // what waits here can still change, and lets urgent orders pass
	}
	return c.queue+lines <= share*c.set.QueueLines*c.part.Channel
}
