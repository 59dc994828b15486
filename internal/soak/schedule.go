package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// EventKind says what an event brings about.
type EventKind string

// The kinds of events.
const (
	Terminate   EventKind = "terminate"    // SIGTERM, and a new start once the process has ended
	Kill        EventKind = "kill"         // SIGKILL, and a new start
	Wipe        EventKind = "wipe"         // SIGKILL, and a new start with an empty disk
	Reload      EventKind = "reload"       // SIGHUP
	Suspend     EventKind = "suspend"      // SIGSTOP, and SIGCONT after ForS
	ConfigStorm EventKind = "config_storm" // Count changes, one after the other
	LeavingWave EventKind = "leaving_wave" // Count clients send requests that take long, and leave
	ServerDrain EventKind = "server_drain" // a server drains, leaves and is replaced
	ServerLeave EventKind = "server_leave" // a server says DELETE first, serves on, and is replaced
	ServerCrash EventKind = "server_crash" // a server ends without a word, and is replaced
)

// Event is one event of a run.
type Event struct {
	AtS   float64   `toml:"at_s"` // seconds from the start of traffic
	Kind  EventKind `toml:"kind"`
	On    string    `toml:"on,omitempty"`    // the name of a process, or the service of a server; "" where none is struck
	ForS  float64   `toml:"for_s,omitempty"` // seconds, of a pause
	Count int       `toml:"count,omitempty"` // of changes or clients
}

// String is the event as stories tell it.
func (e Event) String() string {
	text := fmt.Sprintf("%8.3f s  %s", e.AtS, e.Kind)
	if e.On != "" {
		text += " " + e.On
	}
	if e.ForS > 0 {
		text += fmt.Sprintf(" for %.1f s", e.ForS)
	}
	if e.Count > 0 {
		text += fmt.Sprintf(" x%d", e.Count)
	}
	return text
}

// Size is how large a run is.
type Size struct {
	Controllers     int     `toml:"controllers"`
	Edges           int     `toml:"edges"`
	Servers         int     `toml:"servers"` // of each service
	Clients         int     `toml:"clients"`
	DurationSeconds float64 `toml:"duration_s"` // of traffic
}

// Schedule is all that a run is made of: played again it brings the same events about at the same times. What the processes
// make of them differs from play to play.
type Schedule struct {
	Seed   uint64  `toml:"seed"` // of the clients' choices, and of the events where they were drawn
	Size   Size    `toml:"size"`
	Events []Event `toml:"event"`
	Quotas []Quota `toml:"quota,omitempty"`
	// InnerTLS has the processes authenticate and encrypt their links to each other.
	InnerTLS bool `toml:"inner_tls,omitempty"`
}

// Encode writes the schedule as TOML, for reading, cutting down by hand and playing again.
func (s Schedule) Encode() ([]byte, error) { return toml.Marshal(s) }

// ParseSchedule reads a schedule and refuses unknown fields, unknown kinds, and events that strike nothing that there is.
func ParseSchedule(text []byte) (Schedule, error) {
	var s Schedule
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return Schedule{}, err
	}
	return s, s.Check()
}

// Check refuses a schedule that can't be played: too small a size, unknown kinds, and events or quotas that strike nothing.
func (s Schedule) Check() error {
	z := s.Size
	if z.Controllers < 3 || z.Edges < 2 || z.Servers < 2 || z.Clients < 1 || z.DurationSeconds <= 0 {
		return fmt.Errorf("size %+v: at least 3 controllers, 2 edges, 2 servers of each service, 1 client and some time", z)
	}
	for _, q := range s.Quotas {
		if err := q.check(z); err != nil {
			return err
		}
	}
	for _, e := range s.Events {
		if err := e.check(z); err != nil {
			return err
		}
	}
	return nil
}

// check refuses an event that can't be brought about.
func (e Event) check(size Size) error {
	controllers := size.controllerNames()
	switch e.Kind {
	case Terminate, Kill, Wipe, Reload, Suspend:
		if !slices.Contains(append(controllers, size.edgeNames()...), e.On) {
			return fmt.Errorf("%s: there is no process %q", e.Kind, e.On)
		}
		if e.Kind == Wipe && !slices.Contains(controllers, e.On) {
			return fmt.Errorf("%s: %s has no disk", e.Kind, e.On)
		}
	case ServerDrain, ServerLeave, ServerCrash:
		if !slices.Contains(serviceNames, e.On) {
			return fmt.Errorf("%s: there is no service %q", e.Kind, e.On)
		}
	case ConfigStorm, LeavingWave:
	default:
		return fmt.Errorf("unknown kind of event %q", e.Kind)
	}
	if e.AtS < 0 || e.ForS < 0 || e.Count < 0 {
		return fmt.Errorf("%s: a figure below zero", e.Kind)
	}
	return nil
}

func (z Size) controllerNames() []string { return numberedNames("controller", z.Controllers) }

func (z Size) edgeNames() []string { return numberedNames("edge", z.Edges) }

func numberedNames(prefix string, count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return names
}

// Times of drawn schedules, in seconds.
const (
	quietStart    = 2.0 // without an event
	quietEnd      = 8.0 // so that what was struck is back when the configuration is read at the end
	recoveryTime  = 7.0 // between a lost disk and any other event on a controller: tolerance is one machine
	maxSeriesGap  = 2.5 // between the SIGTERMs of a series: below the grace, so that they overlap
	maxEventGap   = 2.2
	minSuspension = 0.4
	maxSuspension = 3.0
	maxStorm      = 8
	clientsOfWave = 8
	innerTLSEvery = 4 // seeds, of which one has inner TLS
)

// Draw draws a schedule. Equal arguments give equal schedules.
func Draw(seed uint64, size Size) Schedule {
	d := &drawing{random: rand.New(rand.NewPCG(seed, 1)), size: size, end: size.DurationSeconds - quietEnd}
	for at := quietStart; at < d.end; at += d.between(0.1, maxEventGap) {
		d.drawEvent(at)
	}
	slices.SortStableFunc(d.events, func(a, b Event) int { return cmpFloat(a.AtS, b.AtS) })
	return Schedule{Seed: seed, Size: size, Events: d.events, Quotas: drawQuotas(seed, size),
		InnerTLS: seed%innerTLSEvery == 0}
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// drawing is a schedule that is being drawn.
type drawing struct {
	random  *rand.Rand
	size    Size
	end     float64
	events  []Event
	wipedAt float64 // 0: no disk was lost yet
	coreAt  float64 // when a controller was last struck
}

func (d *drawing) between(low, high float64) float64 { return low + d.random.Float64()*(high-low) }

func (d *drawing) pick(names []string) string { return names[d.random.IntN(len(names))] }

func (d *drawing) add(e Event) {
	e.AtS = float64(int(e.AtS*1000)) / 1000
	if e.AtS < d.end {
		d.events = append(d.events, e)
	}
}

// drawEvent draws one event, or a series of them, that begins at a time.
func (d *drawing) drawEvent(at float64) {
	edges := d.size.edgeNames()
	wave := max(clientsOfWave, d.size.Clients/2)
	switch draw := d.random.IntN(20); draw {
	case 0, 1, 2, 3:
		d.rollingRestart(at, edges)
	case 4:
		d.add(Event{AtS: at, Kind: Kill, On: d.pick(edges)})
	case 5:
		d.add(Event{AtS: at, Kind: Suspend, On: d.pick(edges), ForS: d.between(minSuspension, maxSuspension)})
	case 6:
		d.add(Event{AtS: at, Kind: Reload, On: d.pick(append(edges, d.size.controllerNames()...))})
	case 7, 8, 9:
		d.drawCoreEvent(at)
	case 10, 11:
		d.add(Event{AtS: at, Kind: ConfigStorm, Count: 1 + d.random.IntN(maxStorm)})
	case 12, 13, 14, 15:
		d.add(Event{AtS: at, Kind: LeavingWave, Count: wave})
	case 16, 17:
		d.add(Event{AtS: at, Kind: ServerDrain, On: d.pick(serviceNames)})
	case 18:
		d.add(Event{AtS: at, Kind: ServerLeave, On: d.pick(serviceNames)})
	default:
		d.add(Event{AtS: at, Kind: ServerCrash, On: d.pick(serviceNames)})
	}
}

// rollingRestart has some edges, or all, end one after the other; the next gets its signal while the one before drains.
func (d *drawing) rollingRestart(at float64, edges []string) {
	gap := d.between(0, maxSeriesGap)
	order := d.random.Perm(len(edges))
	for i := range 1 + d.random.IntN(len(edges)) {
		d.add(Event{AtS: at + float64(i)*gap, Kind: Terminate, On: edges[order[i]]})
	}
}

// drawCoreEvent strikes a controller, unless a lost disk may not have been made good yet.
func (d *drawing) drawCoreEvent(at float64) {
	if d.wipedAt > 0 && at-d.wipedAt < recoveryTime {
		return
	}
	on := d.pick(d.size.controllerNames())
	switch d.random.IntN(5) {
	case 0, 1:
		d.add(Event{AtS: at, Kind: Terminate, On: on})
	case 2:
		d.add(Event{AtS: at, Kind: Kill, On: on})
	case 3:
		d.add(Event{AtS: at, Kind: Suspend, On: on, ForS: d.between(minSuspension, maxSuspension)})
	default:
		if d.coreAt > 0 && at-d.coreAt < recoveryTime {
			return
		}
		d.add(Event{AtS: at, Kind: Wipe, On: on})
		d.wipedAt = at
	}
	d.coreAt = at
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
