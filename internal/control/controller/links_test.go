package controller

import (
	"testing"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/platform/nodesettings"
)

// The addresses of controllers that were replaced are not dialled for ever; those of voters and seeds are.
func TestLostControllersAreForgotten(t *testing.T) {
	c := &Controller{set: &nodesettings.Settings{Seeds: []string{"10.0.0.1:8649"}}, peers: map[string]*remote{"10.0.0.4": {}},
		known:      map[string]bool{"10.0.0.1": true, "10.0.0.2": true, "10.0.0.3": true, "10.0.0.4": true},
		membership: consensus.Membership{Epoch: 2, Voters: []string{"10.0.0.2#7"}}}
	for _, one := range []struct {
		ip        string
		unreached time.Duration
		want      dialing
	}{{"10.0.0.1", time.Hour, wanted}, {"10.0.0.2", time.Hour, wanted}, {"10.0.0.3", time.Second, wanted}, {"10.0.0.3", time.Hour, forgotten}, {"10.0.0.4", time.Hour, linked}} {
		if got := c.dialing(one.ip, one.unreached); got != one.want {
			t.Errorf("%s, out of reach for %s: %d, not %d", one.ip, one.unreached, got, one.want)
		}
	}
	if c.known["10.0.0.3"] || !c.known["10.0.0.2"] {
		t.Error("known are ", c.known)
	}
}
