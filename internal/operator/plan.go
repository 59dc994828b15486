package operator

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cuejson "cuelang.org/go/encoding/json"
	"github.com/joomcode/errorx"

	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/platform/apierror"
)

//go:embed plan.cue
var planShape string

// Entry is a booking as people write it.
type Entry struct {
	ID      string  `json:"id"`
	Tenant  string  `json:"tenant"`
	Service string  `json:"service"`
	Route   string  `json:"route,omitempty"`
	Zone    string  `json:"zone,omitempty"`
	Start   string  `json:"start"`
	End     string  `json:"end"`
	Ramp    string  `json:"ramp,omitempty"`
	Slots   float64 `json:"slots,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	Work    string  `json:"work,omitempty"`
	Rank    int     `json:"rank,omitempty"`
	Owner   string  `json:"owner"`
	Reason  string  `json:"reason,omitempty"`
}

// Plan reads a file of days, and says what is wrong with it in one line with its place.
func Plan(path string, text []byte) ([]reservation.Booking, error) {
	expr, err := cuejson.Extract(path, text)
	if err != nil {
		return nil, apierror.Invalid.New("%s", firstError(err, path))
	}
	ctx := cuecontext.New()
	value := ctx.CompileString(planShape).LookupPath(cue.ParsePath("#Plan")).Unify(ctx.BuildExpr(expr))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		return nil, apierror.Invalid.New("%s", firstError(err, path))
	}
	var file struct {
		Bookings []Entry `json:"bookings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, apierror.Invalid.New("%s: %s", path, err)
	}
	var all []reservation.Booking
	seen := map[string]bool{}
	for _, e := range file.Bookings {
		if seen[e.ID] {
			return nil, apierror.Invalid.New("%s: booking %s stands there twice", path, e.ID)
		}
		seen[e.ID] = true
		b, err := e.Booking()
		if err != nil {
			return nil, errorx.Decorate(err, "%s", path)
		}
		all = append(all, b)
	}
	return all, nil
}

// Booking reads times and spans.
func (e Entry) Booking() (reservation.Booking, error) {
	b := reservation.Booking{ID: e.ID, Tenant: e.Tenant, Service: e.Service, Route: e.Route, Zone: e.Zone, Slots: e.Slots,
		Rate: e.Rate,
		Rank: e.Rank, Owner: e.Owner, Reason: e.Reason}
	for _, f := range []struct {
		name, text string
		into       *float64
	}{{"start", e.Start, &b.Start}, {"end", e.End, &b.End}} {
		at, err := Time(f.text)
		if err != nil {
			return b, apierror.Invalid.New("booking %s: %s %q is no time such as 2026-07-01T06:00:00-04:00", e.ID, f.name, f.text)
		}
		*f.into = at
	}
	for _, f := range []struct {
		name, text string
		into       *float64
	}{{"ramp", e.Ramp, &b.Ramp}, {"work", e.Work, &b.Work}} {
		if f.text == "" {
			continue
		}
		span, err := time.ParseDuration(f.text)
		if err != nil || span < 0 {
			return b, apierror.Invalid.New("booking %s: %s %q is no span such as 250ms or 10m", e.ID, f.name, f.text)
		}
		*f.into = span.Seconds()
	}
	if b = b.WithSlots(); b.Slots <= 0 {
		return b, apierror.Invalid.New("booking %s: it takes slots, or rate and work", e.ID)
	}
	return b, nil
}

// EntryOf writes a booking as people do.
func EntryOf(b reservation.Booking) Entry {
	span := func(seconds float64) string {
		if seconds == 0 {
			return ""
		}
		return time.Duration(seconds * float64(time.Second)).String()
	}
	return Entry{ID: b.ID, Tenant: b.Tenant, Service: b.Service, Route: b.Route, Zone: b.Zone, Start: At(b.Start), End: At(b.End),
		Ramp: span(b.Ramp), Slots: b.Slots, Rate: b.Rate, Work: span(b.Work), Rank: b.Rank, Owner: b.Owner, Reason: b.Reason}
}

// Time reads a time of day with its zone.
func Time(text string) (float64, error) {
	for _, form := range []string{time.RFC3339, "2006-01-02T15:04Z07:00"} {
		if t, err := time.Parse(form, text); err == nil {
			return float64(t.UnixNano()) / 1e9, nil
		}
	}
	return 0, fmt.Errorf("%q is no time", text)
}

// At writes a time of the core.
func At(seconds float64) string {
	return time.Unix(0, int64(seconds*1e9)).UTC().Format("2006-01-02T15:04:05Z")
}
