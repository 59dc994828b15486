package controller

import (
	"testing"
	"time"

	"mulleinwood/internal/node"
	"mulleinwood/internal/platform/nodesettings"
)

// The address of a replaced controller must be forgotten; voters and seeds are dialled for ever.
func TestReplacedControllersAreForgotten(t *testing.T) {
	links := newLinkTable(&node.Env{Settings: &nodesettings.Settings{Seeds: []string{"10.0.0.1:8649"}}})
	links.controllers["10.0.0.4"] = &remote{}
	links.known = map[string]bool{"10.0.0.1": true, "10.0.0.2": true, "10.0.0.3": true, "10.0.0.4": true}
	voters := []string{"10.0.0.2#7"}
	for _, testCase := range []struct {
		ip        string
		unreached time.Duration
		want      dialState
	}{{"10.0.0.1", time.Hour, dialWanted}, {"10.0.0.2", time.Hour, dialWanted}, {"10.0.0.3", time.Second, dialWanted}, {"10.0.0.3", time.Hour, dialForgotten}, {"10.0.0.4", time.Hour, dialLinked}} {
		if got := links.dialState(testCase.ip, testCase.unreached, voters); got != testCase.want {
			t.Errorf("%s, unreachable for %s: %d, want %d", testCase.ip, testCase.unreached, got, testCase.want)
		}
	}
	if links.known["10.0.0.3"] || !links.known["10.0.0.2"] {
		t.Error("known addresses: ", links.known)
	}
}
