package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Proxy holds a stream to a planner, applies what it is sent and answers its marks. It forwards nothing.
type Proxy struct {
	Number int
	nc     net.Conn
	stateMonitor
	parts     []Order
	onMessage func([]Order) // is given whole messages; nil: nobody is
	tokens    chan uint32   // that are to be answered
	done      chan struct{}
}

// maxPendingTokens may wait to be answered while the planner doesn't read. Answering them apart from reading keeps a proxy whose
// own reports stand still from reading its orders late.
const maxPendingTokens = 1024

// writeBuffer bounds what the system keeps for a planner that doesn't read: thousands of proxies that flood one would
// bring the machine's memory for sockets to its limit, where it drops what others are sent.
const writeBuffer = 16 << 10

// State is what a proxy holds.
type State struct {
	Table            map[string]float64
	Levels           map[string]float64 // by class; the key "" stands for all
	Excluded         map[string]bool
	Messages         int // whole ones
	Replaced         int // tables that came whole
	HeartbeatReplies int // heartbeats answered
	Rejected         int // messages that it answered with an error
	Closed           error
}

// Order is a part of a message.
type Order struct {
	Kind    string   `json:"t"`
	Classes []string `json:"for"`
	Replace bool     `json:"replace"`
	Rows    []Row    `json:"rows"`
	Level   *float64 `json:"gate"`
	Retry   *int     `json:"again"`
	Exclude []string `json:"drop"`
	Include []string `json:"undrop"`
	Token   *uint32  `json:"stamp"`
	Part    bool     `json:"part"`
}

// Row is a pair of a server and its weight.
type Row struct {
	Server string
	Weight float64
}

// UnmarshalJSON reads the pair.
func (r *Row) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&r.Server, &r.Weight})
}

// Lines is what the part counts in the channel, the message's head left aside.
func (o *Order) Lines() int {
	n := len(o.Rows) + len(o.Exclude) + len(o.Include)
	for _, counts := range []bool{o.Replace, o.Level != nil, o.Token != nil} {
		if counts {
			n++
		}
	}
	return n
}

// NewProxy dials a planner and joins it.
func NewProxy(planner string, number int, zone string, weight float64) (*Proxy, error) {
	return Join(planner, number, zone, weight, nil)
}

// Join is NewProxy with a listener: it is given each whole message once that is in force, before its marks are answered.
func Join(planner string, number int, zone string, weight float64, onMessage func([]Order)) (*Proxy, error) {
	nc, err := net.Dial("tcp", planner)
	if err != nil {
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(writeBuffer)
	}
	p := &Proxy{Number: number, nc: nc, stateMonitor: newStateMonitor(), onMessage: onMessage, done: make(chan struct{}),
		tokens: make(chan uint32, maxPendingTokens)}
	if err := p.WriteLine(fmt.Sprintf(`{"t":"attach","proxy":%d,"zone":%q,"weight":%g,"fresh":true}`, number, zone,
		weight)); err != nil {
		nc.Close()
		return nil, err
	}
	go p.readLoop()
	go p.acknowledge()
	return p, nil
}

// WriteLine writes a line.
func (p *Proxy) WriteLine(line string) error { return p.Write([]byte(line + "\n")) }

// Write writes whole lines, made beforehand.
func (p *Proxy) Write(lines []byte) error {
	_, err := p.nc.Write(lines)
	return err
}

// Close leaves the planner and waits for the reader.
func (p *Proxy) Close() {
	p.nc.Close()
	<-p.done
}

// acknowledge answers marks until the reader ends, or the connection does.
func (p *Proxy) acknowledge() {
	for token := range p.tokens {
		if p.WriteLine(fmt.Sprintf(`{"t":"done","proxy":%d,"mark":%d,"took_ms":1}`, p.Number, token)) != nil {
			p.nc.Close()
		}
	}
}

func (p *Proxy) readLoop() {
	defer close(p.done)
	defer close(p.tokens)
	defer p.nc.Close()
	in := bufio.NewReaderSize(p.nc, 1<<16)
	for {
		line, err := in.ReadBytes('\n')
		if err == nil {
			err = p.handleLine(line)
		}
		if err != nil {
			p.mu.Lock()
			p.state.Closed = err
			p.changed.Broadcast()
			p.mu.Unlock()
			return
		}
	}
}

// handleLine reads a part; the last one brings the whole message into force.
func (p *Proxy) handleLine(line []byte) error {
	var o Order
	if err := json.Unmarshal(line, &o); err != nil {
		return err
	}
	switch {
	case o.Kind == "hb_ok":
		p.mu.Lock()
		p.state.HeartbeatReplies++
		p.changed.Broadcast()
		p.mu.Unlock()
		return nil
	case o.Kind != "assign":
		return errors.New("unknown kind " + o.Kind)
	}
	if p.parts = append(p.parts, o); o.Part {
		return nil
	}
	p.mu.Lock()
	var tokens []uint32
	for _, o := range p.parts {
		if err := p.apply(o); err != nil {
			p.mu.Unlock()
			return err
		}
		if o.Token != nil {
			tokens = append(tokens, *o.Token)
		}
	}
	message := p.parts
	p.parts = nil
	p.state.Messages++
	p.changed.Broadcast()
	p.mu.Unlock()
	if p.onMessage != nil {
		p.onMessage(message)
	}
	for _, token := range tokens {
		p.tokens <- token
	}
	return nil
}

func (p *Proxy) apply(o Order) error {
	s := &p.state
	if o.Replace {
		s.Table, s.Levels = map[string]float64{}, map[string]float64{}
		s.Replaced++
	}
	for _, r := range o.Rows {
		if r.Weight < 0 {
			return fmt.Errorf("weight %v of %s", r.Weight, r.Server)
		}
		if s.Table[r.Server] = r.Weight; r.Weight == 0 {
			delete(s.Table, r.Server)
		}
	}
	if (o.Level == nil) != (o.Retry == nil) {
		return errors.New("a level without a way of trying again, or the other way round")
	}
	if o.Level != nil {
		if len(o.Classes) == 0 {
			o.Classes = []string{""}
		}
		for _, class := range o.Classes {
			s.Levels[class] = *o.Level
		}
	}
	for _, server := range o.Exclude {
		s.Excluded[server] = true
	}
	for _, server := range o.Include {
		delete(s.Excluded, server)
	}
	return nil
}

// Collector relays the reports of a zone.
type Collector struct {
	zone string
	nc   net.Conn
}

// NewCollector dials a planner and states its zone.
func NewCollector(planner, zone string) (*Collector, error) {
	nc, err := net.Dial("tcp", planner)
	if err != nil {
		return nil, err
	}
	c := &Collector{zone: zone, nc: nc}
	return c, c.writeLine(fmt.Sprintf(`{"t":"telemetry","zone":%q}`, zone))
}

// Report tells what the zone's proxies met at a server.
func (c *Collector) Report(server string, tries, failed int, mean, span float64) error {
	return c.writeLine(fmt.Sprintf(`{"t":"upstream_stats","zone":%q,"server":%q,"tries":%d,"failed":%d,"mean_ms":%g,"span_ms":%g}`,
		c.zone, server, tries, failed, mean, span))
}

func (c *Collector) writeLine(line string) error {
	_, err := c.nc.Write([]byte(line + "\n"))
	return err
}

// Write writes whole lines, made beforehand.
func (c *Collector) Write(lines []byte) error {
	_, err := c.nc.Write(lines)
	return err
}

// Close ends the connection.
func (c *Collector) Close() { c.nc.Close() }
