// Package settings reads the facts that a controller is given when it starts. Both hosts use it: the adapter
// finds the text in a record, the planner in its configuration.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"mulleinwood/rules"
)

// Settings are the module's settings and what only a host on sockets needs.
type Settings struct {
	Rules          rules.Settings
	ZoneNames      []string
	KindNames      []string
	LoadFields     []string      // names of a load report's values, in the order the module gets them
	LoadReports    bool          // servers attach a load report to the answer of a probe
	MaxConnectTime time.Duration // a connection that takes longer has failed
	Granularity    float64       // of the clock that the module sees, in milliseconds; 0: as fine as it gets
}

// Rates says whether levels are requests a second rather than shares.
func (s Settings) Rates() bool { return s.Rules.Admission == rules.AdmitRate }

// LongestDeadline is how long any client waits at most, in milliseconds.
func (s Settings) LongestDeadline() float64 {
	longest := 0.0
	for _, class := range s.Rules.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// defaultMaxConnectTime is taken where the settings don't say how long a connection may take to come up.
const defaultMaxConnectTime = time.Second

type document struct {
	Classes []struct {
		Name        string  `json:"name"`
		Aim         float64 `json:"slo"`
		Deadline    float64 `json:"deadline"`
		Idempotency string  `json:"idempotency"`
		Group       string  `json:"group"`
		Window      float64 `json:"repeat-window"`
		Worth       float64 `json:"importance"`
		LateWorth   float64 `json:"late-worth"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Extra     *struct {
		LevelKind    string  `json:"level-kind"`
		PendingMax   float64 `json:"pending-max"`
		PerMessage   float64 `json:"per-message"`
		EgressPerS   float64 `json:"egress-per-s"`
		ReloadsMax   int     `json:"reloads-max"`
		CountedOver  float64 `json:"counted-over"`
		Interval     float64 `json:"interval"`
		Bare         float64 `json:"bare"`
		ConnsLeast   float64 `json:"min-conn-cap"`
		LocalFirst   bool    `json:"local-first"`
		ProxyCount   int     `json:"proxy-count"`
		Ranges       int     `json:"ranges"`
		RetryDefault int     `json:"retry-default"`
		TryAims      float64 `json:"try-aims"`
		StaysLocal   []bool  `json:"stays-local"`
	} `json:"extra"`
	Granularity float64  `json:"granularity"`
	Localities  []string `json:"localities"`
	Kinds       []string `json:"kinds"`
	Report      struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Me          int `json:"me"`
	MyZone      int `json:"my-zone"`
	Instances   int `json:"replicas-of-me"`
	Permissions struct {
		Probes      bool    `json:"probes"`
		DialTimeout float64 `json:"dial-timeout"`
	} `json:"permissions"`
	Rules *struct {
		Cold         float64 `json:"cold"`
		StartCap     float64 `json:"start-capacity"`
		Grace        float64 `json:"stop-sending-within"`
		FallMultiple float64 `json:"fall-multiple"`
		TipAfter     float64 `json:"tip-after"`
		DrainOnly    bool    `json:"drain-binds-alone"`
	} `json:"rules"`
}

// Parse reads the JSON text. Unknown keys are skipped.
func Parse(text []byte) (Settings, error) {
	var j document
	if err := json.Unmarshal(text, &j); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	switch {
	case len(j.Classes) == 0:
		return Settings{}, errors.New("settings: no classes")
	case len(j.Classes) > 16:
		return Settings{}, fmt.Errorf("settings: %d classes, at most 16 fit a mask", len(j.Classes))
	case len(j.Localities) == 0:
		return Settings{}, errors.New("settings: no localities")
	case j.Extra == nil:
		return Settings{}, errors.New("settings: extra is missing")
	case j.Rules == nil:
		return Settings{}, errors.New("settings: rules is missing")
	}
	x, r := j.Extra, j.Rules
	s := rules.Settings{
		Instances: j.Instances, Zone: j.MyZone, Zones: len(j.Localities), Proxies: x.ProxyCount,
		QueryDiscovery: j.Discovery == "on_request", Probes: j.Permissions.Probes, Slices: x.Ranges,
		TryAims: x.TryAims, ReportPeriod: x.Interval, QueueLines: x.PendingMax, LinesPerSec: x.EgressPerS,
		HeadLines: x.PerMessage, MaxMessages: x.ReloadsMax, MessagesOver: x.CountedOver,
		DrainGrace: r.Grace, Bare: x.Bare, WarmupTime: r.Cold, StartCapacity: r.StartCap, FallMultiple: r.FallMultiple,
		FallAfter: r.TipAfter, MinConns: x.ConnsLeast, LocalFirst: x.LocalFirst, DrainOnly: r.DrainOnly,
	}
	if x.RetryDefault < 0 || x.RetryDefault > int(rules.RetryTwice) {
		return Settings{}, fmt.Errorf("settings: extra.retry-default %d is not a retry method", x.RetryDefault)
	}
	s.RetryDefault = rules.Retry(x.RetryDefault)
	switch x.LevelKind {
	case "ratio":
		s.Admission = rules.AdmitShare
	case "rps":
		s.Admission = rules.AdmitRate
	case "silent":
		s.Admission = rules.AdmitNone
	default:
		return Settings{}, fmt.Errorf("settings: extra.level-kind %q is unknown", x.LevelKind)
	}
	for i, c := range j.Classes {
		class := rules.Class{Name: c.Name, LatencyTarget: c.Aim, Deadline: c.Deadline, Value: c.Worth,
			LateValue: c.LateWorth, Window: c.Window, OwnZone: i < len(x.StaysLocal) && x.StaysLocal[i]}
		if !(c.Aim > 0) || !(c.Deadline > 0) {
			return Settings{}, fmt.Errorf("settings: class %q lacks its aim or its deadline", c.Name)
		}
		switch c.Idempotency {
		case "read_like":
			class.Effect = rules.Safe
		case "idempotency_key":
			class.Effect = rules.Keyed
		case "non_idempotent":
			class.Effect = rules.Unsafe
		default:
			return Settings{}, fmt.Errorf("settings: class %q has unknown idempotency %q", c.Name, c.Idempotency)
		}
		switch c.Group {
		case "all", "":
			class.Scope = rules.ScopeAll
		case "zone":
			class.Scope = rules.ScopeZone
		case "cell":
			class.Scope = rules.ScopeCell
		default:
			return Settings{}, fmt.Errorf("settings: class %q has unknown group %q", c.Name, c.Group)
		}
		s.Classes = append(s.Classes, class)
	}
	connect := time.Duration(j.Permissions.DialTimeout * float64(time.Millisecond))
	if connect <= 0 {
		connect = defaultMaxConnectTime
	}
	return Settings{Rules: s, ZoneNames: j.Localities, KindNames: j.Kinds, LoadFields: j.Report.Fields,
		LoadReports:    j.Report.Via == "pull" || j.Report.Via == "piggyback",
		MaxConnectTime: connect, Granularity: max(0, j.Granularity)}, nil
}
