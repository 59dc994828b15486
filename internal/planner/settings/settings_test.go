package settings

import (
	_ "embed"
	"reflect"
	"strings"
	"testing"
	"time"

	"mulleinwood/rules"
)

//go:embed testdata/settings.json
var settingsText string

func TestSettings(t *testing.T) {
	got, err := Parse([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	want := rules.Settings{
		Instances: 2, Zone: 1, Zones: 2, Proxies: 6, QueryDiscovery: true, Probes: true, Admission: rules.AdmitShare,
		RetryDefault: rules.RetryIfNotRun, AttemptTimeoutFactor: 0.8, ReportPeriod: 2000, QueueLines: 3600, LinesPerSec: 2400,
		MessageCost: 3, MaxMessages: 20, MessageWindow: 10000, DrainGrace: 2600, MaxTimeWithoutServer: 2700, WarmupTime: 18000, StartCapacity: 0.17,
		OverloadFactor: 2.5, OverloadTime: 3000, MinConnections: 252, LocalFirst: true, DrainOnly: true,
		Classes: []rules.Class{
			{Name: "a", LatencyTarget: 1500, Deadline: 4000, Value: 1, LateValue: 0.2, Effect: rules.Safe, Window: 5000},
			{Name: "b", LatencyTarget: 600, Deadline: 2000, Value: 5, LateValue: 0.1, Effect: rules.Keyed, Scope: rules.ScopeCell,
				Window: 1200, OwnZone: true},
			{Name: "c", LatencyTarget: 500, Deadline: 1500, Value: 2, Effect: rules.Unsafe, Scope: rules.ScopeZone},
		},
	}
	if !reflect.DeepEqual(got.Rules, want) {
		t.Fatalf("settings %+v, want %+v", got.Rules, want)
	}
	got.Rules = rules.Settings{}
	host := Settings{ZoneNames: []string{"n", "s"}, KindNames: []string{"big", "small"},
		LoadFields: []string{"load_share", "concurrent"}, LoadReports: true, MaxConnectTime: 250 * time.Millisecond, Granularity: 4}
	if !reflect.DeepEqual(got, host) {
		t.Fatalf("the host's settings %+v, want %+v", got, host)
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{settingsText, `{"classes": [`, "settings: "},
		{settingsText, `{}`, "no classes"},
		{`"localities": ["n", "s"]`, `"localities": []`, "no localities"},
		{`"extra":`, `"else":`, "extra is missing"},
		{`"rules":`, `"else":`, "rules is missing"},
		{`"ratio"`, `"odd"`, `extra.level-kind "odd"`},
		{`"read_like"`, `"odd"`, `idempotency "odd"`},
		{`"group": "cell"`, `"group": "odd"`, `group "odd"`},
		{`"retry-default": 1`, `"retry-default": 9`, "retry-default 9"},
		{`"slo": 500.0`, `"slo": 0`, "slo"},
	} {
		text := strings.Replace(settingsText, tc.old, tc.new, 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("with %s: error %v, want one with %q", tc.new, err, tc.want)
		}
	}
}
