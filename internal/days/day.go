package days

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Trouble is one entry of a day.
type Trouble struct {
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

// Closing is the fault that strikes at the end of a day.
type Closing struct {
	Kind  string  `toml:"kind"`
	How   string  `toml:"how,omitempty"`
	DownS float64 `toml:"down_s"`
}

// Day is a day of trouble as the bench reads it. What is left out is taken from the site.
type Day struct {
	Name    string    `toml:"name"`
	Slot    string    `toml:"slot"`
	Seed    uint64    `toml:"seed"`
	LengthS float64   `toml:"length_s,omitempty"`
	Closing *Closing  `toml:"closing,omitempty,inline"`
	Plan    []Trouble `toml:"plan,omitempty"`
	Faults  []Trouble `toml:"faults,omitempty"`
}

// Troubles returns the planned work and the faults of the day together.
func (d Day) Troubles() []Trouble { return slices.Concat(d.Plan, d.Faults) }

// ParseDay reads a day and refuses unknown fields.
func ParseDay(text []byte) (Day, error) {
	var d Day
	if err := decodeStrictly(text, &d); err != nil {
		return Day{}, err
	}
	if d.Name == "" {
		return Day{}, fmt.Errorf("a day without a name")
	}
	return d, nil
}

// Encode writes the day as TOML.
func (d Day) Encode() ([]byte, error) {
	var out bytes.Buffer
	err := toml.NewEncoder(&out).Encode(d)
	return out.Bytes(), err
}

// Site is what days need to know of a deployment.
type Site struct {
	Name      string   `toml:"name"`
	Contracts []string `toml:"contracts"`
	LengthS   float64  `toml:"length_s"`
	Tolerate  struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
}

// ParseSite reads what days need from a site file.
func ParseSite(text []byte) (Site, error) {
	var s Site
	if err := toml.Unmarshal(text, &s); err != nil {
		return Site{}, err
	}
	if s.Name == "" || s.LengthS <= 0 {
		return Site{}, fmt.Errorf("a site file needs name and length_s")
	}
	return s, nil
}

// Open reports whether the site can take troubles of a kind.
func (s Site) Open(k Kind) bool { return k.Contract == "" || slices.Contains(s.Contracts, k.Contract) }
