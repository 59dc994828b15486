package peer

import (
	"time"

	"mulleinwood/internal/control/registry"
)

// compareInterval is how long a process waits before it asks the same peer for its digests again.
const compareInterval = 4 * time.Second

// DigestComparison decides when to ask the other end of a link for its digests: once two full summaries in a row had
// another digest than the own one, since an update may be on its way, and then not for a while. The zero value is ready.
type DigestComparison struct {
	differed    int // full summaries in a row
	requestedAt time.Duration
	requested   bool
}

// Due takes the digest of a full summary and reports whether the zones should be compared now.
func (c *DigestComparison) Due(remote, local uint64, now time.Duration) bool {
	if remote == local {
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

// Compare answers the digests of the other end, after the entries that came with them were applied. To a request it gives
// the own entries and digests of the zones that differ, to a reply the entries of those that still do. Together they
// repair whatever updates were missed while links came and went.
func (d *Digests) Compare(servers *registry.Registry, now time.Duration) []Message {
	own, zones, differing := servers.ZoneDigests(), map[string]bool{}, map[string]uint64{}
	for zone, digest := range d.ByZone {
		if own[zone] != digest {
			zones[zone], differing[zone] = true, own[zone]
		}
	}
	for zone, digest := range own {
		if _, known := d.ByZone[zone]; !known && !d.Reply && digest != 0 { // a zone that the other end doesn't know
			zones[zone], differing[zone] = true, digest
		}
	}
	if len(zones) == 0 {
		return nil
	}
	update := RegistryUpdate{Entries: servers.InZones(zones, now)}
	if d.Reply {
		return []Message{update}
	}
	return []Message{update, &Digests{ByZone: differing, Reply: true}}
}
