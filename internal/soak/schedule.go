package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// EventKind is a kind of event in a schedule.
type EventKind string

// The kinds of events.
const (
	Terminate   EventKind = "terminate"    // SIGTERM; the process is restarted after its exit
	Kill        EventKind = "kill"         // SIGKILL; the process is restarted
	Wipe        EventKind = "wipe"         // SIGKILL; the process is restarted with an empty disk
	Reload      EventKind = "reload"       // SIGHUP
	Suspend     EventKind = "suspend"      // SIGSTOP, then SIGCONT after ForS
	ConfigStorm EventKind = "config_storm" // Count configuration changes in sequence
	LeavingWave EventKind = "leaving_wave" // Count clients send slow requests and disconnect
	ServerDrain EventKind = "server_drain" // a server drains, leaves and is replaced
	ServerLeave EventKind = "server_leave" // a server deregisters with DELETE first, still serves, and is replaced
	ServerCrash EventKind = "server_crash" // a server exits without deregistering, and is replaced
)

// Event is one event of a run.
type Event struct {
	AtS   float64   `toml:"at_s"` // seconds from the start of traffic
	Kind  EventKind `toml:"kind"`
	On    string    `toml:"on,omitempty"`    // the name of a process, or the service of a server; "" for neither
	ForS  float64   `toml:"for_s,omitempty"` // duration of a suspension in seconds
	Count int       `toml:"count,omitempty"` // number of changes or clients
}

// String returns the event as a line of a report.
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

// Size contains the numbers of processes, servers and clients of a run, and its duration.
type Size struct {
	Controllers     int     `toml:"controllers"`
	Edges           int     `toml:"edges"`
	Servers         int     `toml:"servers"` // per service
	Clients         int     `toml:"clients"`
	DurationSeconds float64 `toml:"duration_s"` // duration of traffic
}

// Schedule contains all inputs of a run. Equal schedules trigger the same events at the same times, but the behaviour of the
// processes differs from run to run.
type Schedule struct {
	Seed   uint64  `toml:"seed"` // of the clients' random choices and of drawn events
	Size   Size    `toml:"size"`
	Events []Event `toml:"event"`
	Quotas []Quota `toml:"quota,omitempty"`
	// InnerTLS enables authentication and encryption of the links between processes.
	InnerTLS bool `toml:"inner_tls,omitempty"`
}

// Encode returns the schedule as TOML, which can be reduced by hand and run again.
func (s Schedule) Encode() ([]byte, error) { return toml.Marshal(s) }

// ParseSchedule parses a schedule. It rejects unknown fields and every schedule that Check rejects.
func ParseSchedule(text []byte) (Schedule, error) {
	var s Schedule
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return Schedule{}, err
	}
	return s, s.Check()
}

// Check rejects a schedule that can't be run: too small a size, unknown kinds, and events or quotas without a target.
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

// check rejects an event that can't be triggered.
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
	quietStartS        = 2.0 // without events, at the start of traffic
	quietEndS          = 8.0 // without events at the end, so that all faults are over when the configuration is read back
	recoveryTimeS      = 7.0 // between a lost disk and any other controller fault: one machine may fail
	maxSeriesGapS      = 2.5 // between the SIGTERMs of a series; below the grace period, so that shutdowns overlap
	maxEventGapS       = 2.2
	minSuspensionS     = 0.4
	maxSuspensionS     = 3.0
	maxStormChanges    = 8
	minWaveClients     = 8
	innerTLSEverySeeds = 4 // one in so many seeds has inner TLS
	// One in wipesInTurnEverySeeds seeds loses the disks of all controllers in turn, wipeIntervalS apart, so that repeats come
	// in between while all machines are in contact.
	wipesInTurnEverySeeds = 4
	wipesInTurnSeed       = 3
	wipeIntervalS         = 10.0
)

// Draw generates a schedule. Equal arguments give equal schedules.
func Draw(seed uint64, size Size) Schedule {
	d := &scheduleGenerator{random: rand.New(rand.NewPCG(seed, 1)), size: size, end: size.DurationSeconds - quietEndS,
		wipesInTurn: seed%wipesInTurnEverySeeds == wipesInTurnSeed}
	if d.wipesInTurn {
		d.wipeInTurn()
	}
	for at := quietStartS; at < d.end; at += d.between(0.1, maxEventGapS) {
		d.drawEvent(at)
	}
	slices.SortStableFunc(d.events, func(a, b Event) int { return cmpFloat(a.AtS, b.AtS) })
	return Schedule{Seed: seed, Size: size, Events: d.events, Quotas: drawQuotas(seed, size),
		InnerTLS: seed%innerTLSEverySeeds == 0}
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

// scheduleGenerator draws the events of one schedule.
type scheduleGenerator struct {
	random            *rand.Rand
	size              Size
	end               float64
	events            []Event
	wipedAt           float64 // 0 before the first lost disk
	controllerFaultAt float64 // time of the last controller fault; 0 before the first
	wipesInTurn       bool    // controllers have no other faults than lost disks
}

func (d *scheduleGenerator) between(low, high float64) float64 {
	return low + d.random.Float64()*(high-low)
}

func (d *scheduleGenerator) pick(names []string) string { return names[d.random.IntN(len(names))] }

func (d *scheduleGenerator) add(e Event) {
	e.AtS = float64(int(e.AtS*1000)) / 1000
	if e.AtS < d.end {
		d.events = append(d.events, e)
	}
}

// drawEvent draws an event, or a series of events, that starts at the given time.
func (d *scheduleGenerator) drawEvent(at float64) {
	edges := d.size.edgeNames()
	wave := max(minWaveClients, d.size.Clients/2)
	switch draw := d.random.IntN(20); draw {
	case 0, 1, 2, 3:
		d.rollingRestart(at, edges)
	case 4:
		d.add(Event{AtS: at, Kind: Kill, On: d.pick(edges)})
	case 5:
		d.add(Event{AtS: at, Kind: Suspend, On: d.pick(edges), ForS: d.between(minSuspensionS, maxSuspensionS)})
	case 6:
		d.add(Event{AtS: at, Kind: Reload, On: d.pick(append(edges, d.size.controllerNames()...))})
	case 7, 8, 9:
		d.drawCoreEvent(at)
	case 10, 11:
		d.add(Event{AtS: at, Kind: ConfigStorm, Count: 1 + d.random.IntN(maxStormChanges)})
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

// rollingRestart terminates one or more edges in turn; an edge gets its signal while the one before it may still drain.
func (d *scheduleGenerator) rollingRestart(at float64, edges []string) {
	gap := d.between(0, maxSeriesGapS)
	order := d.random.Perm(len(edges))
	for i := range 1 + d.random.IntN(len(edges)) {
		d.add(Event{AtS: at + float64(i)*gap, Kind: Terminate, On: edges[order[i]]})
	}
}

// wipeInTurn adds the loss of each controller's disk in turn, half of them together with the end of an edge.
func (d *scheduleGenerator) wipeInTurn() {
	controllers := d.size.controllerNames()
	order := d.random.Perm(len(controllers))
	for i, at := 0, d.between(quietStartS, wipeIntervalS); at < d.end; i, at = i+1, at+wipeIntervalS {
		d.add(Event{AtS: at, Kind: Wipe, On: controllers[order[i%len(order)]]})
		if d.random.IntN(2) == 0 {
			d.add(Event{AtS: at, Kind: Kill, On: d.pick(d.size.edgeNames())})
		}
	}
}

// drawCoreEvent draws a fault of a controller, unless the repair of a lost disk may still be in progress.
func (d *scheduleGenerator) drawCoreEvent(at float64) {
	if d.wipesInTurn || d.wipedAt > 0 && at-d.wipedAt < recoveryTimeS {
		return
	}
	on := d.pick(d.size.controllerNames())
	switch d.random.IntN(5) {
	case 0, 1:
		d.add(Event{AtS: at, Kind: Terminate, On: on})
	case 2:
		d.add(Event{AtS: at, Kind: Kill, On: on})
	case 3:
		d.add(Event{AtS: at, Kind: Suspend, On: on, ForS: d.between(minSuspensionS, maxSuspensionS)})
	default:
		if d.controllerFaultAt > 0 && at-d.controllerFaultAt < recoveryTimeS {
			return
		}
		d.add(Event{AtS: at, Kind: Wipe, On: on})
		d.wipedAt = at
	}
	d.controllerFaultAt = at
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
