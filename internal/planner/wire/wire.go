// Package wire is the codec of the copper-aa4b frames: batches of events in, replies of actions out.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

const (
	eventSize   = 48
	actionSize  = 16
	rowSize     = 22
	batchHeader = 16 // length, clock, count
	maxFrame    = 1 << 30
	statusOK    = 100
	statusFull  = 302
)

// Event codes.
const (
	evBorn = iota + 1
	evEndpoints
	evTickDue
	evEcho
	evPeerData
	evHalt
	evStreamUp
	evStreamDown
	evInForce
	evRoundup
	evIngress
	evPressure
	evAssignedToMe
	evInStore
	evSwitchTo
)

// Action codes.
const (
	acSleep       = 1
	acInspect     = 2
	acNoteDown    = 4
	acBailOut     = 5
	acTail        = 6
	acReload      = 7
	acEndpoint    = 8
	acPull        = 10
	acSubscribeTo = 11
	acRation      = 12
	acFencePost   = 13
	acFor         = 14
)

// Record is one event record for one instance. Exactly one of Start, Stop and Event is set; none of
// them is set for a record that the module has no use for (peer data and slice records).
type Record struct {
	Instance uint16
	Start    *Start
	Stop     bool
	Event    rules.Event
}

// Start starts an instance.
type Start struct {
	Seed     uint64
	Settings rules.Settings
}

// Batch is one decoded frame.
type Batch struct {
	Now     float64
	Records []Record
}

// ReadFrame reads the next frame: its header, then as many bytes as the header states. It returns
// io.EOF, unwrapped, at a clean end between frames.
func ReadFrame(r io.Reader) ([]byte, error) {
	head := make([]byte, batchHeader)
	if n, err := io.ReadFull(r, head); err != nil {
		if n == 0 && err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header: %d of %d bytes: %w", n, batchHeader, err)
	}
	after := binary.LittleEndian.Uint32(head)
	if after > maxFrame {
		return nil, fmt.Errorf("frame length %d is over the limit of %d", after, maxFrame)
	}
	size := int(after) + batchHeader
	// The buffer grows with what really arrives; the stated length alone allocates nothing.
	body := append(make([]byte, 0, min(size, 64<<10)), head...)
	for len(body) < size {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):min(cap(body), size)])
		body = body[:len(body)+n]
		if err != nil && len(body) < size {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("frame body: %d of %d bytes: %w", len(body), size, err)
		}
	}
	return body, nil
}

// fields reads the little-endian fields of one record.
type fields []byte

func (f fields) u8(at int) int      { return int(f[at]) }
func (f fields) u16(at int) int     { return int(binary.LittleEndian.Uint16(f[at:])) }
func (f fields) u32(at int) uint32  { return binary.LittleEndian.Uint32(f[at:]) }
func (f fields) u64(at int) uint64  { return binary.LittleEndian.Uint64(f[at:]) }
func (f fields) f32(at int) float64 { return float64(math.Float32frombits(f.u32(at))) }
func (f fields) f64(at int) float64 { return math.Float64frombits(f.u64(at)) }

func (f fields) load(at int) ([]float64, error) {
	n := f.u8(at)
	if n > 4 {
		return nil, fmt.Errorf("load report with %d values, at most 4 fit", n)
	}
	var values []float64
	for i := range n {
		values = append(values, f.f32(at+1+4*i))
	}
	return values, nil
}

// Decode reads one whole frame.
func Decode(body []byte) (Batch, error) {
	if len(body) < batchHeader {
		return Batch{}, fmt.Errorf("batch of %d bytes has no header", len(body))
	}
	f := fields(body)
	if after := uint64(f.u32(0)); after != uint64(len(body)-batchHeader) {
		return Batch{}, fmt.Errorf("batch states %d bytes after its header, %d are there", after, len(body)-batchHeader)
	}
	b := Batch{Now: f.f64(4)}
	if math.IsNaN(b.Now) || math.IsInf(b.Now, 0) {
		return Batch{}, errors.New("batch clock is not a number")
	}
	count := uint64(f.u32(12))
	if count*eventSize > uint64(len(body)-batchHeader) {
		return Batch{}, fmt.Errorf("batch states %d records, %d bytes follow", count, len(body)-batchHeader)
	}
	tail := body[batchHeader+int(count)*eventSize:]
	selected, have := uint16(0), false
	b.Records = make([]Record, 0, count)
	for i := range int(count) {
		rec := fields(body[batchHeader+i*eventSize:][:eventSize])
		if rec.u8(0) == evSwitchTo {
			selected, have = uint16(rec.u16(1)), true
			continue
		}
		if !have {
			return Batch{}, fmt.Errorf("record %d: no instance selected before it", i)
		}
		r, err := decodeRecord(rec, tail)
		if err != nil {
			return Batch{}, fmt.Errorf("record %d: %w", i, err)
		}
		r.Instance = selected
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func tailBytes(tail []byte, rec fields, at int, unit uint64) ([]byte, error) {
	off, n := uint64(rec.u32(at)), uint64(rec.u32(at+4))*unit
	if off+n > uint64(len(tail)) {
		return nil, fmt.Errorf("reference to tail bytes %d to %d, the tail has %d", off, off+n, len(tail))
	}
	return tail[off : off+n], nil
}

func decodeRecord(rec fields, tail []byte) (Record, error) {
	switch code := rec.u8(0); code {
	case evBorn:
		text, err := tailBytes(tail, rec, 9, 1)
		if err != nil {
			return Record{}, err
		}
		set, err := settings.Parse(text)
		if err != nil {
			return Record{}, err
		}
		return Record{Start: &Start{Seed: rec.u64(1), Settings: set.Rules}}, nil
	case evEndpoints:
		return decodeList(rec, tail)
	case evTickDue:
		return Record{Event: rules.Tick{Token: rec.u32(1)}}, nil
	case evEcho:
		load, err := rec.load(15)
		how := rec.u16(5)
		return Record{Event: rules.Probed{Server: rules.ServerID(rec.u32(1)), OK: how == statusOK,
			Refused: how == statusFull, Elapsed: rec.f64(7), Load: load}}, err
	case evPeerData:
		_, err := tailBytes(tail, rec, 5, 1)
		return Record{}, err
	case evHalt:
		return Record{Stop: true}, nil
	case evStreamUp:
		return Record{Event: rules.Joined{Proxy: rules.ProxyID(rec.u16(1)), Zone: rec.u8(3), Rate: rec.f32(4),
			Fresh: rec.u8(8) != 0}}, nil
	case evStreamDown:
		return Record{Event: rules.Left{Proxy: rules.ProxyID(rec.u16(1))}}, nil
	case evInForce:
		return Record{Event: rules.Ack{Proxy: rules.ProxyID(rec.u16(1)), Token: rec.u32(3),
			Elapsed: rec.f64(7)}}, nil
	case evRoundup:
		load, err := rec.load(30)
		return Record{Event: rules.Heard{Zone: rec.u8(1), Attempts: float64(rec.u32(2)), Latency: rec.f64(6),
			Failed: float64(rec.u32(14)), Period: rec.f64(18), Server: rules.ServerID(rec.u32(26)), Load: load}}, err
	case evIngress:
		return Record{Event: rules.Demand{Proxy: rules.ProxyID(rec.u16(1)), Class: rec.u16(3),
			Requests: float64(rec.u32(5)), Unanswered: float64(rec.u32(9)), Period: rec.f64(13)}}, nil
	case evPressure, evAssignedToMe, evInStore:
		return Record{}, nil
	default:
		return Record{}, fmt.Errorf("unknown event code %d", code)
	}
}

func decodeList(rec fields, tail []byte) (Record, error) {
	kind := rec.u8(1)
	if kind > int(rules.ListFailed) {
		return Record{}, fmt.Errorf("unknown list kind %d", kind)
	}
	rows, err := tailBytes(tail, rec, 6, rowSize)
	if err != nil {
		return Record{}, err
	}
	list := rules.List{Kind: rules.ListKind(kind)}
	for ; len(rows) > 0; rows = rows[rowSize:] {
		row := fields(rows[:rowSize])
		s := rules.Server{ID: rules.ServerID(row.u32(18)), Weight: row.f32(0), Kind: row.u16(4), Zone: row.u8(6),
			StartedAt: row.f64(8), Cell: row.u16(16)}
		switch state := row.u8(7); state {
		case 0:
			s.State = rules.Removed
		case 1:
			s.State = rules.Ready
		case 2:
			s.State = rules.Draining
		default:
			return Record{}, fmt.Errorf("server %d has unknown readiness %d", s.ID, state)
		}
		list.Servers = append(list.Servers, s)
	}
	return Record{Event: list}, nil
}

// Reply collects the actions of one frame.
type Reply struct {
	count   uint32
	records []byte
	tail    []byte
}

func (r *Reply) record(code byte) fields {
	r.count++
	r.records = append(r.records, make([]byte, actionSize)...)
	rec := fields(r.records[len(r.records)-actionSize:])
	rec[0] = code
	return rec
}

func (f fields) putU16(at int, v uint16)  { binary.LittleEndian.PutUint16(f[at:], v) }
func (f fields) putU32(at int, v uint32)  { binary.LittleEndian.PutUint32(f[at:], v) }
func (f fields) putF32(at int, v float64) { f.putU32(at, math.Float32bits(float32(v))) }
func (f fields) putF64(at int, v float64) { binary.LittleEndian.PutUint64(f[at:], math.Float64bits(v)) }
func (f fields) putBool(at int, v bool) {
	if v {
		f[at] = 1
	}
}

// SelectInstance selects the instance of the actions that follow.
func (r *Reply) SelectInstance(instance uint16) { r.record(acFor).putU16(1, instance) }

// AddFailure says that the decision code of the selected instance failed.
func (r *Reply) AddFailure(text string) { r.text(acBailOut, text) }

func (r *Reply) text(code byte, text string) {
	rec := r.record(code)
	rec.putU32(1, uint32(len(r.tail)))
	rec.putU32(5, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Add appends one action of the selected instance.
func (r *Reply) Add(a rules.Action) error {
	switch a := a.(type) {
	case rules.Timer:
		rec := r.record(acSleep)
		rec.putF64(1, a.Delay)
		rec.putU32(9, a.Token)
	case rules.Probe:
		r.record(acInspect).putU32(1, uint32(a.Server))
	case rules.Watch:
		r.record(acTail).putBool(1, true)
	case rules.Fetch:
		r.record(acReload)
	case rules.Log:
		r.text(acNoteDown, a.Text)
	case rules.SetWeight:
		rec := r.record(acEndpoint)
		rec.putU16(1, uint16(a.Table))
		rec.putU32(3, uint32(a.Server))
		rec.putF32(7, a.Weight)
	case rules.Bind:
		rec := r.record(acSubscribeTo)
		rec.putU16(1, uint16(a.Proxy))
		rec.putU16(3, uint16(a.Table))
	case rules.Withdraw:
		rec := r.record(acPull)
		rec.putU32(1, uint32(a.Server))
		rec.putBool(5, a.Excluded)
	case rules.Admit:
		rec := r.record(acRation)
		rec.putU16(1, uint16(a.Table))
		rec.putU16(3, a.Mask)
		rec.putF32(5, a.Level)
		rec[9] = byte(a.Retry)
	case rules.Mark:
		r.record(acFencePost).putU32(2, a.Token)
	default:
		return fmt.Errorf("no record for action %T", a)
	}
	return nil
}

// Frame returns the encoded reply.
func (r *Reply) Frame() []byte {
	out := make([]byte, 0, 8+len(r.records)+len(r.tail))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(r.records)+len(r.tail)))
	out = binary.LittleEndian.AppendUint32(out, r.count)
	out = append(out, r.records...)
	return append(out, r.tail...)
}
