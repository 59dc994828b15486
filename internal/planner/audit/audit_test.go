package audit

import (
	"testing"

	"mulleinwood/rules"
)

// TestEachRuleIsFound guards against an auditor that finds nothing. Each rule is violated once, by the smallest step over its
// limit, after a step that reaches the limit and must not be reported.
func TestEachRuleIsFound(t *testing.T) {
	settings := rules.Settings{DrainGrace: 2000, MaxTimeWithoutServer: 2500, QueueLines: 100, LinesPerSec: 100, MaxMessages: 3, MessageWindow: 10000,
		WarmupTime: 10000, StartCapacity: 0.2, OverloadFactor: 2.5, OverloadTime: 3000,
		Classes: []rules.Class{{Name: "view"}, {Name: "post", Effect: rules.Keyed}, {Name: "pay", Effect: rules.Unsafe}}}
	setup := func() *Auditor {
		auditor := New(settings, 0)
		for _, name := range []string{"s-0", "s-1", "s-2", "s-3"} {
			auditor.ServerChanged(1, Server{Name: name, State: rules.Ready, Size: 1})
		}
		auditor.ProxyJoined(2000, 0, 10)
		auditor.OrderReceived(2001, 0, Order{Replace: true, Rows: map[string]float64{"s-0": 1, "s-1": 1}, Lines: 4})
		return auditor
	}
	for _, tc := range []struct {
		rule               Rule
		atLimit, overLimit func(*Auditor)
	}{
		{DrainedServer, func(auditor *Auditor) {
			auditor.ServerChanged(5000, Server{Name: "s-0", State: rules.Draining, Size: 1})
			auditor.Tick(7300)
		}, func(auditor *Auditor) { auditor.Tick(7301) }},
		{NoServer, func(auditor *Auditor) {
			auditor.OrderReceived(5000, 0, Order{Rows: map[string]float64{"s-0": 0, "s-1": 0}, Lines: 5})
			auditor.Tick(7800)
		}, func(auditor *Auditor) { auditor.Tick(7801) }},
		{NoServer, func(auditor *Auditor) { // a dropped server is not usable
			auditor.OrderReceived(5000, 0, Order{Drop: []string{"s-0", "s-1"}, Lines: 5})
			auditor.Tick(7800)
		}, func(auditor *Auditor) { auditor.Tick(7801) }},
		{UnsafeRetry, func(auditor *Auditor) {
			auditor.OrderReceived(5000, 0, Order{Retries: map[int]rules.Retry{0: rules.RetryTwice, 1: rules.RetryIfNotRun, 2: rules.RetryIfNotRun}, Lines: 5})
		}, func(auditor *Auditor) {
			auditor.OrderReceived(6000, 0, Order{Retries: map[int]rules.Retry{2: rules.RetryOnce}, Lines: 5})
		}},
		{ChannelLimit, func(auditor *Auditor) { auditor.OrderReceived(9000, 0, Order{Lines: 100}) }, func(auditor *Auditor) { auditor.OrderReceived(9001, 0, Order{Lines: 1}) }},
		{ChannelLimit, func(auditor *Auditor) {
			auditor.OrderReceived(9000, 0, Order{Lines: 1})
			auditor.OrderReceived(9000, 0, Order{Lines: 1})
		}, func(auditor *Auditor) { auditor.OrderReceived(12000, 0, Order{Lines: 1}) }},
		{WarmupOverload, func(auditor *Auditor) { // gets half of the traffic; the share of a warm server is a fourth
			auditor.ServerChanged(5000, Server{Name: "s-1", State: rules.Ready, Size: 1, StartedAt: 5000})
			auditor.Tick(5000)
			auditor.Tick(8000) // capacity is 0.44 of a warm server's: 1.1 times that is allowed, 2 are sent
		}, func(auditor *Auditor) { auditor.Tick(8001) }},
	} {
		auditor := setup()
		if tc.atLimit(auditor); len(auditor.Violations()) > 0 {
			t.Errorf("%s: reported at the limit: %v", tc.rule, auditor.Violations())
		}
		if tc.overLimit(auditor); len(auditor.Violations()) != 1 || auditor.Violations()[0].Rule != tc.rule {
			t.Errorf("%s: violations over the limit: %v", tc.rule, auditor.Violations())
		}
	}
}
