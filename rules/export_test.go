package rules

// QueuedLines is what a controller thinks it has written to its channel and was not yet sent.
func (c *Controller) QueuedLines() float64 { return c.queuedLines }

// TrackedCounts is how many servers a controller remembers, and how many lines all its tables have.
func (c *Controller) TrackedCounts() (servers, lines int) {
	for _, p := range c.proxies {
		lines += len(p.lines)
	}
	return max(len(c.servers), len(c.serverByID)), lines
}
