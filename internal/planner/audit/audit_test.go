package audit

import (
	"testing"

	"mulleinwood/rules"
)

// TestEachRuleIsFound guards against an auditor that finds nothing: each rule is broken once, by the smallest step over its
// limit, and the step before it is fine.
func TestEachRuleIsFound(t *testing.T) {
	set := rules.Settings{DrainGrace: 2000, MaxTimeWithoutServer: 2500, QueueLines: 100, LinesPerSec: 100, MaxMessages: 3, MessageWindow: 10000,
		WarmupTime: 10000, StartCapacity: 0.2, OverloadFactor: 2.5, OverloadTime: 3000,
		Classes: []rules.Class{{Name: "view"}, {Name: "post", Effect: rules.Keyed}, {Name: "pay", Effect: rules.Unsafe}}}
	setup := func() *Auditor {
		a := New(set, 0)
		for _, name := range []string{"s-0", "s-1", "s-2", "s-3"} {
			a.ServerChanged(1, Server{Name: name, State: rules.Ready, Size: 1})
		}
		a.ProxyJoined(2000, 0, 10)
		a.OrderReceived(2001, 0, Order{Replace: true, Rows: map[string]float64{"s-0": 1, "s-1": 1}, Lines: 4})
		return a
	}
	for _, tc := range []struct {
		rule       Rule
		fine, over func(*Auditor)
	}{
		{DrainedServer, func(a *Auditor) {
			a.ServerChanged(5000, Server{Name: "s-0", State: rules.Draining, Size: 1})
			a.Tick(7300)
		}, func(a *Auditor) { a.Tick(7301) }},
		{NoServer, func(a *Auditor) {
			a.OrderReceived(5000, 0, Order{Rows: map[string]float64{"s-0": 0, "s-1": 0}, Lines: 5})
			a.Tick(7800)
		}, func(a *Auditor) { a.Tick(7801) }},
		{NoServer, func(a *Auditor) { // shut out is no line to pick
			a.OrderReceived(5000, 0, Order{Drop: []string{"s-0", "s-1"}, Lines: 5})
			a.Tick(7800)
		}, func(a *Auditor) { a.Tick(7801) }},
		{UnsafeRetry, func(a *Auditor) {
			a.OrderReceived(5000, 0, Order{Retries: map[int]rules.Retry{0: rules.RetryTwice, 1: rules.RetryIfNotRun, 2: rules.RetryIfNotRun}, Lines: 5})
		}, func(a *Auditor) {
			a.OrderReceived(6000, 0, Order{Retries: map[int]rules.Retry{2: rules.RetryOnce}, Lines: 5})
		}},
		{ChannelLimit, func(a *Auditor) { a.OrderReceived(9000, 0, Order{Lines: 100}) }, func(a *Auditor) { a.OrderReceived(9001, 0, Order{Lines: 1}) }},
		{ChannelLimit, func(a *Auditor) {
			a.OrderReceived(9000, 0, Order{Lines: 1})
			a.OrderReceived(9000, 0, Order{Lines: 1})
		}, func(a *Auditor) { a.OrderReceived(12000, 0, Order{Lines: 1}) }},
		{WarmupOverload, func(a *Auditor) { // half of the traffic, of which a whole server is to have a fourth
			a.ServerChanged(5000, Server{Name: "s-1", State: rules.Ready, Size: 1, StartedAt: 5000})
			a.Tick(5000)
			a.Tick(8000) // 0.44 of a server: 1.1 of them may come, two do
		}, func(a *Auditor) { a.Tick(8001) }},
	} {
		a := setup()
		if tc.fine(a); len(a.Violations()) > 0 {
			t.Errorf("%s: found before it is broken: %v", tc.rule, a.Violations())
		}
		if tc.over(a); len(a.Violations()) != 1 || a.Violations()[0].Rule != tc.rule {
			t.Errorf("%s: found %v", tc.rule, a.Violations())
		}
	}
}
