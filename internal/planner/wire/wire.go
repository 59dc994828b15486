// Package wire decodes and encodes copper-aa4b frames, the protocol of the simulator: a batch of events comes in, a reply with
// actions goes out.
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
	eventSize       = 48      // bytes of an event record
	actionSize      = 16      // bytes of an action record
	rowSize         = 22      // bytes of a server in a list
	batchHeaderSize = 16      // bytes of length, clock and record count
	maxFrameSize    = 1 << 30 // bytes after the header
	statusOK        = 100     // status of a successful probe
	statusRefused   = 302     // status of a probe that the server refused
)

// Event codes, each named after the event of package rules that its record carries. Start, stop and select records control
// instances; peer data and slice records are not used.
const (
	eventStart = iota + 1
	eventList
	eventTick
	eventProbed
	eventPeerData
	eventStop
	eventJoined
	eventLeft
	eventAck
	eventHeard
	eventDemand
	eventSlicePressure
	eventSliceAssigned
	eventSliceStored
	eventSelectInstance
)

// Action codes, each named after the action of package rules that its record carries.
const (
	actionTimer          = 1
	actionProbe          = 2
	actionLog            = 4
	actionFailure        = 5
	actionWatch          = 6
	actionFetch          = 7
	actionSetWeight      = 8
	actionWithdraw       = 10
	actionBind           = 11
	actionAdmit          = 12
	actionMark           = 13
	actionSelectInstance = 14
)

// Record is one event record for one instance. Exactly one of Start, Stop and Event is set, or none for a record that the
// decision module doesn't use (peer data and slice records).
type Record struct {
	Instance uint16
	Start    *Start // starts the instance
	Stop     bool   // stops the instance
	Event    rules.Event
}

// Start contains the parameters of a new instance.
type Start struct {
	Seed     uint64
	Settings rules.Settings
}

// Batch is a decoded frame.
type Batch struct {
	Now     float64 // clock of the simulator, in milliseconds
	Records []Record
}

// ReadFrame reads the next frame: its header, then as many bytes as the header states. It returns io.EOF, unwrapped, if the
// input ends between two frames.
func ReadFrame(r io.Reader) ([]byte, error) {
	header := make([]byte, batchHeaderSize)
	if n, err := io.ReadFull(r, header); err != nil {
		if n == 0 && err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header: %d of %d bytes: %w", n, batchHeaderSize, err)
	}
	length := binary.LittleEndian.Uint32(header)
	if length > maxFrameSize {
		return nil, fmt.Errorf("frame length %d is over the limit of %d", length, maxFrameSize)
	}
	size := int(length) + batchHeaderSize
	// The buffer grows with the bytes that arrive. The stated length alone must not cause a large allocation.
	body := append(make([]byte, 0, min(size, 64<<10)), header...)
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

// fields gives access to the little-endian fields of one record.
type fields []byte

func (f fields) u8(at int) int      { return int(f[at]) }
func (f fields) u16(at int) int     { return int(binary.LittleEndian.Uint16(f[at:])) }
func (f fields) u32(at int) uint32  { return binary.LittleEndian.Uint32(f[at:]) }
func (f fields) u64(at int) uint64  { return binary.LittleEndian.Uint64(f[at:]) }
func (f fields) f32(at int) float64 { return float64(math.Float32frombits(f.u32(at))) }
func (f fields) f64(at int) float64 { return math.Float64frombits(f.u64(at)) }

// loadReport reads a load report: the number of values, then the values.
func (f fields) loadReport(at int) ([]float64, error) {
	count := f.u8(at)
	if count > 4 {
		return nil, fmt.Errorf("load report with %d values, at most 4 fit", count)
	}
	var values []float64
	for i := range count {
		values = append(values, f.f32(at+1+4*i))
	}
	return values, nil
}

// Decode decodes one whole frame.
func Decode(body []byte) (Batch, error) {
	if len(body) < batchHeaderSize {
		return Batch{}, fmt.Errorf("batch of %d bytes has no header", len(body))
	}
	header := fields(body)
	if length := uint64(header.u32(0)); length != uint64(len(body)-batchHeaderSize) {
		return Batch{}, fmt.Errorf("batch states %d bytes after its header, %d are there", length, len(body)-batchHeaderSize)
	}
	batch := Batch{Now: header.f64(4)}
	if math.IsNaN(batch.Now) || math.IsInf(batch.Now, 0) {
		return Batch{}, errors.New("batch clock is not a number")
	}
	count := uint64(header.u32(12))
	if count*eventSize > uint64(len(body)-batchHeaderSize) {
		return Batch{}, fmt.Errorf("batch states %d records, %d bytes follow", count, len(body)-batchHeaderSize)
	}
	tail := body[batchHeaderSize+int(count)*eventSize:]
	selected, hasSelected := uint16(0), false
	batch.Records = make([]Record, 0, count)
	for i := range int(count) {
		record := fields(body[batchHeaderSize+i*eventSize:][:eventSize])
		if record.u8(0) == eventSelectInstance {
			selected, hasSelected = uint16(record.u16(1)), true
			continue
		}
		if !hasSelected {
			return Batch{}, fmt.Errorf("record %d: no instance selected before it", i)
		}
		r, err := decodeRecord(record, tail)
		if err != nil {
			return Batch{}, fmt.Errorf("record %d: %w", i, err)
		}
		r.Instance = selected
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

// tailBytes returns the bytes of the tail that the record references by an offset and a number of units.
func tailBytes(tail []byte, record fields, at int, unit uint64) ([]byte, error) {
	offset, length := uint64(record.u32(at)), uint64(record.u32(at+4))*unit
	if offset+length > uint64(len(tail)) {
		return nil, fmt.Errorf("reference to tail bytes %d to %d, the tail has %d", offset, offset+length, len(tail))
	}
	return tail[offset : offset+length], nil
}

// decodeRecord decodes one event record.
func decodeRecord(record fields, tail []byte) (Record, error) {
	switch code := record.u8(0); code {
	case eventStart:
		text, err := tailBytes(tail, record, 9, 1)
		if err != nil {
			return Record{}, err
		}
		parsed, err := settings.Parse(text)
		if err != nil {
			return Record{}, err
		}
		return Record{Start: &Start{Seed: record.u64(1), Settings: parsed.Rules}}, nil
	case eventList:
		return decodeList(record, tail)
	case eventTick:
		return Record{Event: rules.Tick{Token: record.u32(1)}}, nil
	case eventProbed:
		load, err := record.loadReport(15)
		status := record.u16(5)
		return Record{Event: rules.Probed{Server: rules.ServerID(record.u32(1)), OK: status == statusOK,
			Refused: status == statusRefused, Elapsed: record.f64(7), Load: load}}, err
	case eventPeerData:
		_, err := tailBytes(tail, record, 5, 1)
		return Record{}, err
	case eventStop:
		return Record{Stop: true}, nil
	case eventJoined:
		return Record{Event: rules.Joined{Proxy: rules.ProxyID(record.u16(1)), Zone: record.u8(3), Rate: record.f32(4),
			Fresh: record.u8(8) != 0}}, nil
	case eventLeft:
		return Record{Event: rules.Left{Proxy: rules.ProxyID(record.u16(1))}}, nil
	case eventAck:
		return Record{Event: rules.Ack{Proxy: rules.ProxyID(record.u16(1)), Token: record.u32(3),
			Elapsed: record.f64(7)}}, nil
	case eventHeard:
		load, err := record.loadReport(30)
		return Record{Event: rules.Heard{Zone: record.u8(1), Attempts: float64(record.u32(2)), Latency: record.f64(6),
			Failed: float64(record.u32(14)), Period: record.f64(18), Server: rules.ServerID(record.u32(26)), Load: load}}, err
	case eventDemand:
		return Record{Event: rules.Demand{Proxy: rules.ProxyID(record.u16(1)), Class: record.u16(3),
			Requests: float64(record.u32(5)), Unanswered: float64(record.u32(9)), Period: record.f64(13)}}, nil
	case eventSlicePressure, eventSliceAssigned, eventSliceStored:
		return Record{}, nil
	default:
		return Record{}, fmt.Errorf("unknown event code %d", code)
	}
}

// decodeList decodes a record with entries of the server list.
func decodeList(record fields, tail []byte) (Record, error) {
	kind := record.u8(1)
	if kind > int(rules.ListFailed) {
		return Record{}, fmt.Errorf("unknown list kind %d", kind)
	}
	rows, err := tailBytes(tail, record, 6, rowSize)
	if err != nil {
		return Record{}, err
	}
	list := rules.List{Kind: rules.ListKind(kind)}
	for ; len(rows) > 0; rows = rows[rowSize:] {
		row := fields(rows[:rowSize])
		server := rules.Server{ID: rules.ServerID(row.u32(18)), Weight: row.f32(0), Kind: row.u16(4), Zone: row.u8(6),
			StartedAt: row.f64(8), Cell: row.u16(16)}
		switch state := row.u8(7); state {
		case 0:
			server.State = rules.Removed
		case 1:
			server.State = rules.Ready
		case 2:
			server.State = rules.Draining
		default:
			return Record{}, fmt.Errorf("server %d has unknown readiness %d", server.ID, state)
		}
		list.Servers = append(list.Servers, server)
	}
	return Record{Event: list}, nil
}

// Reply builds the reply to one batch. The zero value is an empty reply.
type Reply struct {
	count   uint32
	records []byte
	tail    []byte
}

// addRecord appends an action record with the code and returns its fields.
func (r *Reply) addRecord(code byte) fields {
	r.count++
	r.records = append(r.records, make([]byte, actionSize)...)
	record := fields(r.records[len(r.records)-actionSize:])
	record[0] = code
	return record
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
func (r *Reply) SelectInstance(instance uint16) {
	r.addRecord(actionSelectInstance).putU16(1, instance)
}

// AddFailure reports that the decision module of the selected instance failed.
func (r *Reply) AddFailure(text string) { r.addText(actionFailure, text) }

// addText appends an action record that references a text in the tail.
func (r *Reply) addText(code byte, text string) {
	record := r.addRecord(code)
	record.putU32(1, uint32(len(r.tail)))
	record.putU32(5, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Add appends an action of the selected instance. It returns an error for an action without a record format.
func (r *Reply) Add(a rules.Action) error {
	switch a := a.(type) {
	case rules.Timer:
		record := r.addRecord(actionTimer)
		record.putF64(1, a.Delay)
		record.putU32(9, a.Token)
	case rules.Probe:
		r.addRecord(actionProbe).putU32(1, uint32(a.Server))
	case rules.Watch:
		r.addRecord(actionWatch).putBool(1, true)
	case rules.Fetch:
		r.addRecord(actionFetch)
	case rules.Log:
		r.addText(actionLog, a.Text)
	case rules.SetWeight:
		record := r.addRecord(actionSetWeight)
		record.putU16(1, uint16(a.Table))
		record.putU32(3, uint32(a.Server))
		record.putF32(7, a.Weight)
	case rules.Bind:
		record := r.addRecord(actionBind)
		record.putU16(1, uint16(a.Proxy))
		record.putU16(3, uint16(a.Table))
	case rules.Withdraw:
		record := r.addRecord(actionWithdraw)
		record.putU32(1, uint32(a.Server))
		record.putBool(5, a.Excluded)
	case rules.Admit:
		record := r.addRecord(actionAdmit)
		record.putU16(1, uint16(a.Table))
		record.putU16(3, a.Mask)
		record.putF32(5, a.Level)
		record[9] = byte(a.Retry)
	case rules.Mark:
		r.addRecord(actionMark).putU32(2, a.Token)
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
