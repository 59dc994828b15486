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
	if c.settings.KeyRanges > 0 || len(c.servers) == 0 {
		return // slices of a key space are not decided here; and without a list nothing is
	}
	c.updateQueue(c.settings.LinesPerSec * c.otherParts.ChannelShare)
	c.computeShares()
	c.computeTargets()
	c.dealTables()
	c.computeWeights()
	levels := c.admissionLevels()
	due := slices.DeleteFunc(slices.Clone(c.proxies), func(p *proxy) bool { return !p.joined })
	slices.SortStableFunc(due, func(a, b *proxy) int { return cmp.Compare(b.misroutedRate, a.misroutedRate) })
	next := (c.token + 1) % 65536
	for _, p := range due {
		if c.publishTable(p, levels) {
			p.messageTimes = append(p.messageTimes, c.now)
			p.expectAck(writeMark{next, c.linesWritten, c.now})
			p.bound, p.lastSent, c.token = true, c.now, next
		}
	}
	if c.token == next {
		c.actions = append(c.actions, Mark{Token: next})
		c.sentMarks = append(c.sentMarks, writeMark{next, c.linesWritten, c.now})
	}
}

// expectAck notes a message whose answer is out; the oldest is given up when there are too many.
func (p *proxy) expectAck(mark writeMark) {
	oldest := max(0, len(p.unacknowledged)+1-maxUnacknowledged)
	p.unacknowledged = append(p.unacknowledged[oldest:], mark)
}

// handleAck takes a proxy's answer. The channel keeps the order, so all that was written before has left it,
// whoever it was for: what proxies that vanished without a sign don't answer counts no longer than the rest.
func (c *Controller) handleAck(e Ack) {
	p := c.proxyByID[e.Proxy]
	if p == nil {
		return
	}
	acknowledged := func(mark writeMark) bool { return mark.token == e.Token }
	if i := slices.IndexFunc(p.unacknowledged, acknowledged); i >= 0 {
		c.linesDelivered, c.lastAckAt = max(c.linesDelivered, p.unacknowledged[i].end), c.now
		p.unacknowledged = p.unacknowledged[i+1:]
	}
}

// updateQueue brings the lines thought to wait up to date: those behind the last message that was answered.
// Where nobody answers, they are taken to leave at a part of the channel's pace.
func (c *Controller) updateQueue(ours float64) {
	paced := (c.now - c.queueUpdatedAt) / 1000 * ours
	if len(c.sentMarks) > 0 && c.now-max(c.lastAckAt, c.sentMarks[0].at) > orderLag {
		c.linesDelivered = min(c.linesWritten, c.linesDelivered+paced*unackedPace)
	}
	c.ordinaryBudget = min(max(c.ordinaryBudget, -maxDebt/1000*ours)+paced*ordinaryPace, ours*ordinaryPace)
	for len(c.sentMarks) > 0 && c.sentMarks[0].end <= c.linesDelivered {
		c.sentMarks = c.sentMarks[1:]
	}
	c.queuedLines, c.deliveryLag, c.queueUpdatedAt = c.linesWritten-c.linesDelivered, 0, c.now
	if len(c.sentMarks) > 0 {
		c.deliveryLag = c.now - c.sentMarks[0].at
	}
}

// publishTable writes the changed lines and levels of one proxy's table, once its last message was answered
// or has been waited for; a new proxy gets the whole table at once. It says whether anything was written.
func (c *Controller) publishTable(p *proxy, levels []float64) bool {
	whole, gap, share := float64(len(p.lines)+len(levels))+c.settings.MessageCost+2, messageGap, ordinaryShare
	if len(p.unacknowledged) > 0 {
		gap = ackTimeout
	}
	if p.urgent {
		gap, share = urgentGap, urgentShare
	}
	if p.bound && c.now-p.lastSent < gap || !c.mayWrite(p, whole, share) {
		return false
	}
	before := len(c.actions)
	c.writeLevels(p, levels)
	// Without a message that goes out anyway, lines take something left of what ordinary orders may use.
	if p.urgent || len(c.actions) > before || c.ordinaryBudget > 0 {
		c.writeWeights(p)
	}
	lines := float64(len(c.actions)-before) + c.settings.MessageCost + 1
	if !p.bound {
		lines = whole
		c.actions = append(c.actions, Bind{Proxy: p.id, Table: TableID(p.id)})
	}
	if len(c.actions) == before {
		return false
	}
	c.queuedLines += lines
	c.linesWritten += lines
	c.ordinaryBudget -= lines
	return true
}

// writeLevels writes the levels that have changed by enough.
func (c *Controller) writeLevels(p *proxy, levels []float64) {
	for k := range levels {
		level := c.levelFor(p, k, levels[k])
		if math.Abs(level-p.levels[k]) <= minLevel*p.levels[k] {
			continue
		}
		p.levels[k] = level
		c.actions = append(c.actions, Admit{Table: TableID(p.id), Mask: 1 << k, Level: level, Retry: retry})
	}
}

// writeWeights writes the lines that have changed by enough.
func (c *Controller) writeWeights(p *proxy) {
	for i := range p.lines {
		l := &p.lines[i]
		if l.moved() {
			l.sent = l.wanted
			weight := SetWeight{Table: TableID(p.id), Server: l.server.ID, Weight: l.wanted}
			c.actions = append(c.actions, weight)
		}
	}
}

// mayWrite guards the channel's limits, each only up to a share: lines that wait, for which the channel is
// thought to run slower than stated, and messages to one proxy within the span.
func (c *Controller) mayWrite(p *proxy, lines, share float64) bool {
	for len(p.messageTimes) > 0 && c.now-p.messageTimes[0] > c.settings.MessageWindow {
		p.messageTimes = p.messageTimes[1:]
	}
	if c.settings.MaxMessages > 0 && float64(len(p.messageTimes)+1) > share*float64(c.settings.MaxMessages) {
		return false
	}
	ours := c.settings.LinesPerSec * c.otherParts.ChannelShare
	if share == ordinaryShare && (c.deliveryLag > orderLag || c.queuedLines+lines > orderLag/1000*ours) {
		return false // what waits here can still change, and lets urgent orders pass
	}
	return c.queuedLines+lines <= share*c.settings.QueueLines*c.otherParts.ChannelShare
}
