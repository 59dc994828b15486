package protocol

import (
	"encoding/json"
	"errors"
	"strconv"

	"mulleinwood/tables"
)

// Row is a row of a table. Weight 0 removes the server. Address and Zone aren't encoded in lines, since proxies of that
// protocol know both from discovery.
type Row struct {
	Server  string
	Weight  float64
	Address string
	Zone    string
}

// Gate is an admission level and a retry method for some classes. Retry is a rules.Retry.
type Gate struct {
	Classes []string
	Level   float64
	Retry   int
}

// Assignment is one message to one proxy: changes to its table, or a whole table.
type Assignment struct {
	Replace bool // Rows and Gates replace the whole table
	Rows    []Row
	Gates   []Gate
	Exclude []string // servers that must get no requests
	Include []string // servers that are no longer excluded
	Token   *uint32  // the proxy acknowledges it; nil: no acknowledgement
}

// LineCount returns the number of lines that the message uses of the outgoing channel, without its fixed overhead.
func (o *Assignment) LineCount() int {
	n := len(o.Rows) + len(o.Gates) + len(o.Exclude) + len(o.Include)
	if o.Replace {
		n++
	}
	if o.Token != nil {
		n++
	}
	return n
}

// ApplyTo returns the table that results from applying the message to t, which isn't modified.
func (o *Assignment) ApplyTo(t tables.Table) tables.Table {
	next := t.Clone()
	if o.Replace {
		clear(next.Weights)
		clear(next.Gates)
	}
	for _, r := range o.Rows {
		if w := float32(r.Weight); w > 0 {
			next.Weights[r.Server] = w
		} else {
			delete(next.Weights, r.Server)
		}
	}
	for _, name := range o.Exclude {
		next.Excluded[name] = true
	}
	for _, name := range o.Include {
		delete(next.Excluded, name)
	}
	for _, g := range o.Gates {
		for _, class := range g.Classes {
			next.Gates[class] = tables.Gate{Level: float32(g.Level), Again: uint8(g.Retry)}
		}
	}
	return next
}

const (
	maxParts    = 64       // limit of parts of one message
	maxPartFill = 64 << 10 // bytes after which a part is closed; keeps parts far below 1 MiB
)

// ErrTooLarge reports that a message needs more parts than a proxy accepts.
var ErrTooLarge = errors.New("orders need over 64 parts")

// Append appends the encoded message to out, in as many parts as it needs. An empty message appends nothing.
func (o *Assignment) Append(out []byte) ([]byte, error) {
	e := encoder{out: out}
	if o.Replace {
		e.field("replace")
		e.out = append(e.out, "true"...)
	}
	for _, r := range o.Rows {
		e.item("rows")
		e.out = append(e.out, '[')
		e.quote(r.Server)
		e.out = append(e.out, ',')
		e.number(r.Weight)
		e.out = append(e.out, ']')
	}
	for _, s := range o.Exclude {
		e.item("drop")
		e.quote(s)
	}
	for _, s := range o.Include {
		e.item("undrop")
		e.quote(s)
	}
	for _, g := range o.Gates { // one part each: a part has one level
		e.closePart()
		for _, name := range g.Classes {
			e.item("for")
			e.quote(name)
		}
		e.field("gate")
		e.number(g.Level)
		e.field("again")
		e.number(float64(g.Retry))
	}
	if o.Token != nil {
		e.field("stamp")
		e.number(float64(*o.Token))
	}
	if e.parts == 0 {
		return out, nil
	}
	e.endList()
	e.out = append(e.out, "}\n"...)
	if e.parts > maxParts {
		return out, ErrTooLarge
	}
	return e.out, nil
}

// encoder encodes the parts of one message.
type encoder struct {
	out       []byte
	partStart int    // offset of the current part in out
	parts     int    // number of parts started
	openList  string // name of the JSON list that is being written; empty: none
}

// closePart ends the current part unless it is empty, so that the next field starts a new part.
func (e *encoder) closePart() {
	if e.parts > 0 && len(e.out) > e.partStart {
		e.endList()
		e.out = append(e.out, `,"part":true}`+"\n"...)
		e.partStart = len(e.out)
	}
}

func (e *encoder) endList() {
	if e.openList != "" {
		e.out, e.openList = append(e.out, ']'), ""
	}
}

func (e *encoder) field(name string) {
	e.endList()
	if e.parts == 0 || len(e.out) == e.partStart {
		e.partStart = len(e.out)
		e.parts++
		e.out = append(e.out, `{"t":"assign"`...)
	}
	e.out = append(append(append(e.out, ',', '"'), name...), '"', ':')
}

// item prepares for the next element of a list, and opens the list if needed.
func (e *encoder) item(list string) {
	if e.openList == list && len(e.out)-e.partStart < maxPartFill {
		e.out = append(e.out, ',')
		return
	}
	if len(e.out)-e.partStart >= maxPartFill {
		e.closePart()
	}
	e.field(list)
	e.out, e.openList = append(e.out, '['), list
}

func (e *encoder) quote(s string) {
	text, _ := json.Marshal(s) // encoding a string can't fail
	e.out = append(e.out, text...)
}

// number writes a number as a float32, the precision of the simulator's wire format.
func (e *encoder) number(x float64) { e.out = strconv.AppendFloat(e.out, x, 'g', -1, 32) }
