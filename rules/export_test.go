package rules

// Booked is what a controller thinks it has written to its channel and was not yet sent.
func (c *Controller) Booked() float64 { return c.queuedLines }

// Remembered is how many servers a controller remembers, and how many lines all its tables have.
func (c *Controller) Remembered() (servers, lines int) {
	for _, p := range c.proxies {
		lines += len(p.lines)
	}
	return max(len(c.servers), len(c.serverByID)), lines
}
