package peer

import (
	"time"

	"mulleinwood/internal/control/registry"
)

// DigestComparison tells when to ask the other end of a link which cells differ: once two of its full summaries in a row had
// another sum, since news may be on its way, and not again for a while.
type DigestComparison struct {
	differed    int
	requestedAt time.Duration
	requested   bool
}

const compareInterval = 4 * time.Second

// Due takes a full summary's sum.
func (c *DigestComparison) Due(theirs, ours uint64, now time.Duration) bool {
	if theirs == ours {
		c.differed = 0
		return false
	}
	c.differed++
	if c.differed < 2 || c.requested && now-c.requestedAt < compareInterval {
		return false
	}
	c.requestedAt, c.requested = now, true
	return true
}

// Compare answers what the other end says of its cells, after its Entries were taken: whoever is asked sends its lives of
// the cells that differ, and whoever asked sends its own of those that still do. It guards against news that was missed
// while links came and went, however that happened.
func (c *Digests) Compare(servers *registry.Registry, now time.Duration) *Frame {
	ours, zones, here := servers.ZoneDigests(), map[string]bool{}, map[string]uint64{}
	for zone, digest := range c.ByZone {
		if ours[zone] != digest {
			zones[zone], here[zone] = true, ours[zone]
		}
	}
	for zone, digest := range ours {
		if _, known := c.ByZone[zone]; !known && !c.Reply && digest != 0 { // a cell that the other end doesn't know
			zones[zone], here[zone] = true, digest
		}
	}
	switch {
	case len(zones) == 0:
		return nil
	case c.Reply:
		return &Frame{Entries: servers.InZones(zones, now)}
	default:
		return &Frame{Entries: servers.InZones(zones, now), Digests: &Digests{ByZone: here, Reply: true}}
	}
}
