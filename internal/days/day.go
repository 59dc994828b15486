package days

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Event is a planned operation or a fault in a day.
type Event struct {
	At      float64 `toml:"at"` // seconds from the start of traffic
	Kind    string  `toml:"kind"`
	On      string  `toml:"on,omitempty"`
	Share   float64 `toml:"share,omitempty"`
	Count   int     `toml:"count,omitempty"`
	X       float64 `toml:"x,omitempty"`
	ForS    float64 `toml:"for_s,omitempty"`
	GapS    float64 `toml:"gap_s,omitempty"`
	How     string  `toml:"how,omitempty"`
	Zone    string  `toml:"zone,omitempty"`
	ToZone  string  `toml:"to_zone,omitempty"`
	Region  string  `toml:"region,omitempty"`
	Service string  `toml:"service,omitempty"`
	Class   string  `toml:"class,omitempty"`
}

// Closing is the fault at the end of a day.
type Closing struct {
	Kind  string  `toml:"kind"`
	How   string  `toml:"how,omitempty"`
	DownS float64 `toml:"down_s"`
}

// Day is a fault scenario in the format of the bench. The bench takes omitted fields from the site.
type Day struct {
	Name    string   `toml:"name"`
	Slot    string   `toml:"slot"`
	Seed    uint64   `toml:"seed"`
	LengthS float64  `toml:"length_s,omitempty"`
	Closing *Closing `toml:"closing,omitempty,inline"`
	Plan    []Event  `toml:"plan,omitempty"`
	Faults  []Event  `toml:"faults,omitempty"`
}

// Events returns the planned work of the day followed by its faults.
func (d Day) Events() []Event { return slices.Concat(d.Plan, d.Faults) }

// ParseDay parses a day. It rejects unknown fields and a day without a name.
func ParseDay(text []byte) (Day, error) {
	var d Day
	if err := decodeStrictly(text, &d); err != nil {
		return Day{}, err
	}
	if d.Name == "" {
		return Day{}, fmt.Errorf("day has no name")
	}
	return d, nil
}

// Encode returns the day as TOML.
func (d Day) Encode() ([]byte, error) {
	var out bytes.Buffer
	err := toml.NewEncoder(&out).Encode(d)
	return out.Bytes(), err
}

// Site describes a deployment as far as days depend on it.
type Site struct {
	Name      string   `toml:"name"`
	Contracts []string `toml:"contracts"`
	LengthS   float64  `toml:"length_s"`
	Tolerate  struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
}

// ParseSite parses a site file. Fields that Site lacks are ignored; name and a positive length_s are required.
func ParseSite(text []byte) (Site, error) {
	var s Site
	if err := toml.Unmarshal(text, &s); err != nil {
		return Site{}, err
	}
	if s.Name == "" || s.LengthS <= 0 {
		return Site{}, fmt.Errorf("site file has no name or no positive length_s")
	}
	return s, nil
}

// Supports reports whether the contract that a kind needs is in force at the site.
func (s Site) Supports(k Kind) bool {
	return k.Contract == "" || slices.Contains(s.Contracts, k.Contract)
}
