// Package settings parses the settings that a controller gets at its start. Both hosts use it: the simulator's adapter reads
// the text from a record, the planner from its configuration.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"mulleinwood/rules"
)

// Settings are the decision module's settings and those that only a host on sockets needs.
type Settings struct {
	Rules          rules.Settings
	ZoneNames      []string
	KindNames      []string
	LoadFields     []string      // names of a load report's values, in the order in which the module gets them
	LoadReports    bool          // servers attach a load report to the response to a probe
	MaxConnectTime time.Duration // timeout of connection attempts
	Granularity    float64       // of the module's clock, in milliseconds; 0: the finest available
}

// AdmitsByRate reports whether admission levels are requests per second rather than shares.
func (s Settings) AdmitsByRate() bool { return s.Rules.Admission == rules.AdmitRate }

// LongestDeadline returns the longest deadline of any class, in milliseconds.
func (s Settings) LongestDeadline() float64 {
	longest := 0.0
	for _, class := range s.Rules.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// defaultMaxConnectTime is the timeout of connection attempts if the settings have none.
const defaultMaxConnectTime = time.Second

type document struct {
	Classes []struct {
		Name          string  `json:"name"`
		LatencyTarget float64 `json:"slo"`
		Deadline      float64 `json:"deadline"`
		Idempotency   string  `json:"idempotency"`
		Group         string  `json:"group"`
		Window        float64 `json:"repeat-window"`
		Value         float64 `json:"importance"`
		LateValue     float64 `json:"late-worth"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Extra     *struct {
		Admission            string  `json:"level-kind"`
		QueueLines           float64 `json:"pending-max"`
		MessageCost          float64 `json:"per-message"`
		LinesPerSec          float64 `json:"egress-per-s"`
		MaxMessages          int     `json:"reloads-max"`
		MessageWindow        float64 `json:"counted-over"`
		ReportPeriod         float64 `json:"interval"`
		MaxTimeWithoutServer float64 `json:"bare"`
		MinConnections       float64 `json:"min-conn-cap"`
		LocalFirst           bool    `json:"local-first"`
		Proxies              int     `json:"proxy-count"`
		KeyRanges            int     `json:"ranges"`
		RetryDefault         int     `json:"retry-default"`
		AttemptTimeoutFactor float64 `json:"try-aims"`
		OwnZone              []bool  `json:"stays-local"`
	} `json:"extra"`
	Granularity float64  `json:"granularity"`
	Localities  []string `json:"localities"`
	Kinds       []string `json:"kinds"`
	Report      struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Me          int `json:"me"`
	Zone        int `json:"my-zone"`
	Instances   int `json:"replicas-of-me"`
	Permissions struct {
		Probes      bool    `json:"probes"`
		DialTimeout float64 `json:"dial-timeout"`
	} `json:"permissions"`
	Rules *struct {
		WarmupTime     float64 `json:"cold"`
		StartCapacity  float64 `json:"start-capacity"`
		DrainGrace     float64 `json:"stop-sending-within"`
		OverloadFactor float64 `json:"fall-multiple"`
		OverloadTime   float64 `json:"tip-after"`
		DrainOnly      bool    `json:"drain-binds-alone"`
	} `json:"rules"`
}

// maxClasses is the number of classes that fit the mask in requests.
const maxClasses = 16

// Parse decodes the JSON text and checks it. Unknown keys are ignored.
func Parse(text []byte) (Settings, error) {
	var parsed document
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := parsed.checkRequired(); err != nil {
		return Settings{}, err
	}
	ruleSettings, err := parsed.ruleSettings()
	if err != nil {
		return Settings{}, err
	}
	connect := time.Duration(parsed.Permissions.DialTimeout * float64(time.Millisecond))
	if connect <= 0 {
		connect = defaultMaxConnectTime
	}
	return Settings{Rules: ruleSettings, ZoneNames: parsed.Localities, KindNames: parsed.Kinds, LoadFields: parsed.Report.Fields,
		LoadReports:    parsed.Report.Via == "pull" || parsed.Report.Via == "piggyback",
		MaxConnectTime: connect, Granularity: max(0, parsed.Granularity)}, nil
}

// checkRequired returns an error if a part of the settings is missing or too large.
func (d document) checkRequired() error {
	switch {
	case len(d.Classes) == 0:
		return errors.New("settings: no classes")
	case len(d.Classes) > maxClasses:
		return fmt.Errorf("settings: %d classes, at most %d fit a mask", len(d.Classes), maxClasses)
	case len(d.Localities) == 0:
		return errors.New("settings: no localities")
	case d.Extra == nil:
		return errors.New("settings: extra is missing")
	case d.Rules == nil:
		return errors.New("settings: rules is missing")
	}
	return nil
}

// ruleSettings returns the settings of the decision module.
func (d document) ruleSettings() (rules.Settings, error) {
	extra, limits := d.Extra, d.Rules
	settings := rules.Settings{
		Instances: d.Instances, Zone: d.Zone, Zones: len(d.Localities), Proxies: extra.Proxies,
		QueryDiscovery: d.Discovery == "on_request", Probes: d.Permissions.Probes, KeyRanges: extra.KeyRanges,
		AttemptTimeoutFactor: extra.AttemptTimeoutFactor, ReportPeriod: extra.ReportPeriod, QueueLines: extra.QueueLines,
		LinesPerSec: extra.LinesPerSec, MessageCost: extra.MessageCost, MaxMessages: extra.MaxMessages,
		MessageWindow: extra.MessageWindow, DrainGrace: limits.DrainGrace, MaxTimeWithoutServer: extra.MaxTimeWithoutServer,
		WarmupTime: limits.WarmupTime, StartCapacity: limits.StartCapacity, OverloadFactor: limits.OverloadFactor,
		OverloadTime:   limits.OverloadTime,
		MinConnections: extra.MinConnections, LocalFirst: extra.LocalFirst, DrainOnly: limits.DrainOnly,
	}
	if extra.RetryDefault < 0 || extra.RetryDefault > int(rules.RetryTwice) {
		return settings, fmt.Errorf("settings: extra.retry-default %d is not a retry method", extra.RetryDefault)
	}
	settings.RetryDefault = rules.Retry(extra.RetryDefault)
	admission, known := admissionKinds[extra.Admission]
	if !known {
		return settings, fmt.Errorf("settings: extra.level-kind %q is unknown", extra.Admission)
	}
	settings.Admission = admission
	for i, c := range d.Classes {
		class := rules.Class{Name: c.Name, LatencyTarget: c.LatencyTarget, Deadline: c.Deadline, Value: c.Value,
			LateValue: c.LateValue, Window: c.Window, OwnZone: i < len(extra.OwnZone) && extra.OwnZone[i]}
		if !(c.LatencyTarget > 0) || !(c.Deadline > 0) {
			return settings, fmt.Errorf("settings: class %q has no slo or no deadline", c.Name)
		}
		if class.Effect, known = effects[c.Idempotency]; !known {
			return settings, fmt.Errorf("settings: class %q has unknown idempotency %q", c.Name, c.Idempotency)
		}
		if class.Scope, known = scopes[c.Group]; !known {
			return settings, fmt.Errorf("settings: class %q has unknown group %q", c.Name, c.Group)
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}

// The names that the settings use for values of the decision module.
var (
	admissionKinds = map[string]rules.AdmitKind{
		"ratio": rules.AdmitShare, "rps": rules.AdmitRate, "silent": rules.AdmitNone,
	}
	effects = map[string]rules.Effect{
		"read_like": rules.Safe, "idempotency_key": rules.Keyed, "non_idempotent": rules.Unsafe,
	}
	scopes = map[string]rules.Scope{
		"all": rules.ScopeAll, "": rules.ScopeAll, "zone": rules.ScopeZone, "cell": rules.ScopeCell,
	}
)
