package rules

// Sending of changed tables and levels to the proxies.

import (
	"cmp"
	"math"
	"slices"
)

// publish sends the differences between wanted and sent tables, those of the most misrouted traffic first;
// each proxy has its own table. Urgent messages don't wait for an acknowledgement: for a line that must be
// removed, as the rule on draining requires, a table without a usable line, and a proxy that is not bound to
// its table.
func (c *Controller) publish() {
	if c.settings.KeyRanges > 0 || len(c.servers) == 0 {
		return // tables of key ranges are not supported, and there is nothing to assign without a list
	}
	c.updateQueue(c.settings.LinesPerSec * c.otherParts.ChannelShare)
	c.computeShares()
	c.computeTargets()
	c.assignTables()
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

// expectAck adds an unacknowledged message and drops the oldest beyond maxUnacknowledged.
func (p *proxy) expectAck(mark writeMark) {
	oldest := max(0, len(p.unacknowledged)+1-maxUnacknowledged)
	p.unacknowledged = append(p.unacknowledged[oldest:], mark)
}

// handleAck applies a proxy's acknowledgement. The channel keeps the order, so all lines written before, to
// any proxy, have left it: lines to a proxy that vanished silently count as queued no longer than the others.
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

// updateQueue updates the estimate of the queued lines: those written after the last acknowledged message.
// While no proxy acknowledges, lines are assumed to leave at unackedPace of the channel's pace.
func (c *Controller) updateQueue(pace float64) {
	drained := (c.now - c.queueUpdatedAt) / 1000 * pace
	if len(c.sentMarks) > 0 && c.now-max(c.lastAckAt, c.sentMarks[0].at) > maxLag {
		c.linesDelivered = min(c.linesWritten, c.linesDelivered+drained*unackedPace)
	}
	c.ordinaryBudget = min(max(c.ordinaryBudget, -maxDebt/1000*pace)+drained*ordinaryPace, pace*ordinaryPace)
	for len(c.sentMarks) > 0 && c.sentMarks[0].end <= c.linesDelivered {
		c.sentMarks = c.sentMarks[1:]
	}
	c.queuedLines, c.deliveryLag, c.queueUpdatedAt = c.linesWritten-c.linesDelivered, 0, c.now
	if len(c.sentMarks) > 0 {
		c.deliveryLag = c.now - c.sentMarks[0].at
	}
}

// publishTable writes the changed lines and levels of one proxy's table, once its last message was
// acknowledged or ackTimeout has passed; a new proxy gets the whole table at once. It reports whether
// anything was written.
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
	// Lines that don't share a message with levels or urgent changes need budget for ordinary orders.
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

// writeLevels writes the admission levels that changed by more than minLevelChange.
func (c *Controller) writeLevels(p *proxy, levels []float64) {
	for k := range levels {
		level := c.levelFor(p, k, levels[k])
		if math.Abs(level-p.levels[k]) <= minLevelChange*p.levels[k] {
			continue
		}
		p.levels[k] = level
		c.actions = append(c.actions, Admit{Table: TableID(p.id), Mask: 1 << k, Level: level, Retry: retry})
	}
}

// writeWeights writes the lines that changed by more than minWeightChange.
func (c *Controller) writeWeights(p *proxy) {
	for i := range p.lines {
		l := &p.lines[i]
		if l.needsUpdate() {
			l.sent = l.wanted
			weight := SetWeight{Table: TableID(p.id), Server: l.server.ID, Weight: l.wanted}
			c.actions = append(c.actions, weight)
		}
	}
}

// mayWrite reports whether a message fits a share of the channel's limits: the queued lines, whose estimate
// allows for a channel slower than its stated pace, and the messages to one proxy within MessageWindow.
func (c *Controller) mayWrite(p *proxy, lines, share float64) bool {
	for len(p.messageTimes) > 0 && c.now-p.messageTimes[0] > c.settings.MessageWindow {
		p.messageTimes = p.messageTimes[1:]
	}
	if c.settings.MaxMessages > 0 && float64(len(p.messageTimes)+1) > share*float64(c.settings.MaxMessages) {
		return false
	}
	pace := c.settings.LinesPerSec * c.otherParts.ChannelShare
	if share == ordinaryShare && (c.deliveryLag > maxLag || c.queuedLines+lines > maxLag/1000*pace) {
		return false // pending changes can still be merged, and don't delay urgent orders
	}
	return c.queuedLines+lines <= share*c.settings.QueueLines*c.otherParts.ChannelShare
}
