package peer

import (
	"time"

	"mulleinwood/internal/control/registry"
)

// compareInterval is the minimum time between two digest requests to the same peer.
const compareInterval = 4 * time.Second

// DigestComparison decides when to request the peer's digests: after two consecutive full summaries whose digest differs
// from the local one, since after the first an update may still be in flight, and then at most every compareInterval. The
// zero value is ready to use.
type DigestComparison struct {
	differed    int // consecutive full summaries with a different digest
	requestedAt time.Duration
	requested   bool
}

// Due records the remote digest of a full summary and reports whether the zones should be compared now.
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

// Compare returns the answer to the peer's digests, or nil if no zone differs. It must be called after the entries that came
// with the digests were applied. The answer to a request has the entries and digests of the zones that differ; the answer
// to a reply has the entries of the zones that still differ. The exchange repairs updates that were missed while links were
// down.
func (d *Digests) Compare(servers *registry.Registry, now time.Duration) []Message {
	own, zones, differing := servers.ZoneDigests(), map[string]bool{}, map[string]uint64{}
	for zone, digest := range d.ByZone {
		if own[zone] != digest {
			zones[zone], differing[zone] = true, own[zone]
		}
	}
	for zone, digest := range own {
		if _, known := d.ByZone[zone]; !known && !d.Reply && digest != 0 { // a zone that is unknown to the peer
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
