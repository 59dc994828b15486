package rules

// QueuedLines returns the controller's estimate of the lines that wait in its channel.
func (c *Controller) QueuedLines() float64 { return c.queuedLines }

// TrackedCounts returns the number of servers in the controller's state, and of lines in all its tables.
func (c *Controller) TrackedCounts() (servers, lines int) {
	for _, p := range c.proxies {
		lines += len(p.lines)
	}
	return max(len(c.servers), len(c.serverByID)), lines
}
