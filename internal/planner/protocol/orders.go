package protocol

import (
	"encoding/json"
	"errors"
	"strconv"

	"mulleinwood/tables"
)

// Row is a line of a table. Weight 0 removes it. Where a server is and in which zone isn't written in lines, since proxies
// know both from discovery.
type Row struct {
	Server  string
	Weight  float64
	Address string
	Zone    string
}

// Gate is a level and the manner of trying again for some classes.
type Gate struct {
	Classes []string
	Level   float64
	Retry   int
}

// Assignment is one message to one proxy.
type Assignment struct {
	Replace bool // the rows form the whole table, levels are forgotten
	Rows    []Row
	Gates   []Gate
	Exclude []string // servers to shut out
	Include []string // servers to let in again
	Token   *uint32  // to be answered
}

// LineCount is what the message counts in the channel, its head left aside.
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

// ApplyTo is the table that a proxy holds once it has applied the message to the one given.
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
	maxParts    = 64       // of one message
	maxPartFill = 64 << 10 // from this size on a part is closed; a part stays far under 1 MiB
)

// ErrTooLarge says that a message doesn't fit into the parts that a proxy takes.
var ErrTooLarge = errors.New("orders need over 64 parts")

// Append writes the message in as many parts as it needs. An empty message writes nothing.
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
	for _, g := range o.Gates { // one a part: a part has one level
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

// encoder writes the parts of one message.
type encoder struct {
	out       []byte
	partStart int    // where the present part begins
	parts     int    // begun so far
	openList  string // the list that is open
}

// closePart closes the present part, if it holds anything, so that what follows stands in one of its own.
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

// item goes to the next place in a list, which it begins where needed.
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
	text, _ := json.Marshal(s) // a string always has a JSON form
	e.out = append(e.out, text...)
}

// number writes a figure as exactly as the simulator's wire carries it.
func (e *encoder) number(x float64) { e.out = strconv.AppendFloat(e.out, x, 'g', -1, 32) }
