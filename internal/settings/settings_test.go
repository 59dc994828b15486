package settings

import (
	"reflect"
	"strings"
	"testing"

	"mulleinwood/rules"
)

const settingsText = `{"classes": [
 {"deadline": 4000.0, "group": "all", "idempotency": "read_like", "importance": 1.0, "late-worth": 0.2,
  "name": "a", "repeat-window": 5000.0, "slo": 1500.0},
 {"deadline": 2000.0, "group": "cell", "idempotency": "idempotency_key", "importance": 5.0, "late-worth": 0.1,
  "name": "b", "repeat-window": 1200.0, "slo": 600.0},
 {"deadline": 1500.0, "group": "zone", "idempotency": "non_idempotent", "importance": 2.0, "name": "c",
  "slo": 500.0}],
 "discovery": "on_request", "something-new": {"deep": [1, 2]},
 "extra": {"bare": 2700.0, "counted-over": 10000.0, "egress-per-s": 2400.0, "interval": 2000.0, "level-kind": "ratio",
  "local-first": true, "min-conn-cap": 252.0, "pending-max": 3600.0, "per-message": 3.0, "proxy-count": 6, "ranges": 0, "reloads-max": 20,
  "retry-default": 1, "stays-local": [false, true, false], "try-aims": 0.8},
 "localities": ["n", "s"], "me": 1, "my-zone": 1, "permissions": {"probes": true}, "replicas-of-me": 2,
 "rules": {"cold": 18000.0, "fall-multiple": 2.5, "start-capacity": 0.17, "stop-sending-within": 2600.0,
  "drain-binds-alone": true, "tip-after": 3000.0}}`

func TestSettings(t *testing.T) {
	got, err := Parse([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	want := rules.Settings{
		Instances: 2, Zone: 1, Zones: 2, Proxies: 6, AskDiscovery: true, Probes: true, Admission: rules.AdmitShare,
		RetryDefault: rules.RetryProof, TryAims: 0.8, ReportPeriod: 2000, QueueLines: 3600, LinesPerSec: 2400,
		HeadLines: 3, MessagesMost: 20, MessagesOver: 10000, DrainGrace: 2600, Bare: 2700, ColdFor: 18000, StartCapacity: 0.17,
		FallMultiple: 2.5, FallAfter: 3000, ConnsLeast: 252, LocalFirst: true, DrainOnly: true,
		Classes: []rules.Class{
			{Name: "a", Aim: 1500, Deadline: 4000, Worth: 1, LateWorth: 0.2, Effect: rules.Safe, Window: 5000},
			{Name: "b", Aim: 600, Deadline: 2000, Worth: 5, LateWorth: 0.1, Effect: rules.Keyed, Scope: rules.ScopeCell,
				Window: 1200, OwnZone: true},
			{Name: "c", Aim: 500, Deadline: 1500, Worth: 2, Effect: rules.Unsafe, Scope: rules.ScopeZone},
		},
	}
	if !reflect.DeepEqual(got.Rules, want) {
		t.Fatalf("settings %+v, want %+v", got.Rules, want)
	}
}

func TestBadSettings(t *testing.T) {
	for _, tc := range []struct{ old, new, says string }{
		{settingsText, `{"classes": [`, "settings: "},
		{settingsText, `{}`, "no classes"},
		{`"localities": ["n", "s"]`, `"localities": []`, "no localities"},
		{`"extra":`, `"else":`, "extra is missing"},
		{`"rules":`, `"else":`, "rules is missing"},
		{`"ratio"`, `"odd"`, `extra.level-kind "odd"`},
		{`"read_like"`, `"odd"`, `idempotency "odd"`},
		{`"group": "cell"`, `"group": "odd"`, `group "odd"`},
		{`"retry-default": 1`, `"retry-default": 9`, "retry-default 9"},
		{`"slo": 500.0`, `"slo": 0`, "aim"},
	} {
		text := strings.Replace(settingsText, tc.old, tc.new, 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), tc.says) {
			t.Errorf("with %s: error %v, want one that says %q", tc.new, err, tc.says)
		}
	}
}
