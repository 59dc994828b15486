package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Proxy is a proxy that uses the line protocol. It applies assignments and acknowledges their tokens, and forwards no
// requests.
type Proxy struct {
	Number int
	nc     net.Conn
	stateMonitor
	parts     []Order
	onMessage func([]Order) // called with complete messages; may be nil
	tokens    chan uint32   // tokens to be acknowledged
	done      chan struct{}
}

// maxPendingTokens limits the tokens that wait for acknowledgment while the planner doesn't read. A separate goroutine
// acknowledges them, so that a proxy whose writes block still reads its assignments in time.
const maxPendingTokens = 1024

// writeBuffer is the size in bytes of the socket's send buffer. With larger buffers, thousands of proxies that saturate a
// planner would exhaust the machine's socket memory, and the kernel would drop packets of other connections.
const writeBuffer = 16 << 10

// State is the state of a proxy.
type State struct {
	Table            map[string]float64
	Levels           map[string]float64 // admission level by class; the key "" means all classes
	Excluded         map[string]bool
	Messages         int // complete messages applied
	Replaced         int // complete tables received
	HeartbeatReplies int // heartbeat replies received
	Rejected         int // messages rejected with an error
	Closed           error
}

// Order is one line of an assignment message. A message ends with the first line whose Part is false.
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

// Row is a server and its weight.
type Row struct {
	Server string
	Weight float64
}

// UnmarshalJSON decodes a JSON array of the server and its weight.
func (r *Row) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&r.Server, &r.Weight})
}

// Lines returns the number of lines that the part counts in the channel, without the message's header.
func (o *Order) Lines() int {
	n := len(o.Rows) + len(o.Exclude) + len(o.Include)
	for _, counts := range []bool{o.Replace, o.Level != nil, o.Token != nil} {
		if counts {
			n++
		}
	}
	return n
}

// NewProxy dials a planner and attaches to it.
func NewProxy(planner string, number int, zone string, weight float64) (*Proxy, error) {
	return Join(planner, number, zone, weight, nil)
}

// Join is like NewProxy. If onMessage is not nil, it is called with each complete message after the message was applied and
// before its tokens are acknowledged.
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

// WriteLine writes one line to the planner.
func (p *Proxy) WriteLine(line string) error { return p.Write([]byte(line + "\n")) }

// Write writes complete lines, including their line ends.
func (p *Proxy) Write(lines []byte) error {
	_, err := p.nc.Write(lines)
	return err
}

// Close closes the connection and waits for the reader to end.
func (p *Proxy) Close() {
	p.nc.Close()
	<-p.done
}

// acknowledge acknowledges tokens until the reader ends. A failed write closes the connection.
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

// handleLine handles a heartbeat reply or a part of a message. The last part applies the complete message.
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
		return errors.New("unknown message type " + o.Kind)
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
			return fmt.Errorf("negative weight %v of server %s", r.Weight, r.Server)
		}
		if s.Table[r.Server] = r.Weight; r.Weight == 0 {
			delete(s.Table, r.Server)
		}
	}
	if (o.Level == nil) != (o.Retry == nil) {
		return errors.New("level and retry mode must be given together")
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

// Collector sends the server reports of a zone over the line protocol.
type Collector struct {
	zone string
	nc   net.Conn
}

// NewCollector dials a planner and sends its zone.
func NewCollector(planner, zone string) (*Collector, error) {
	nc, err := net.Dial("tcp", planner)
	if err != nil {
		return nil, err
	}
	c := &Collector{zone: zone, nc: nc}
	return c, c.writeLine(fmt.Sprintf(`{"t":"telemetry","zone":%q}`, zone))
}

// Report sends the zone's statistics of one server: attempts, failures, and the mean latency and time span in milliseconds.
func (c *Collector) Report(server string, tries, failed int, mean, span float64) error {
	return c.writeLine(fmt.Sprintf(
		`{"t":"upstream_stats","zone":%q,"server":%q,"tries":%d,"failed":%d,"mean_ms":%g,"span_ms":%g}`,
		c.zone, server, tries, failed, mean, span))
}

func (c *Collector) writeLine(line string) error {
	_, err := c.nc.Write([]byte(line + "\n"))
	return err
}

// Write writes complete lines, including their line ends.
func (c *Collector) Write(lines []byte) error {
	_, err := c.nc.Write(lines)
	return err
}

// Close ends the connection.
func (c *Collector) Close() { c.nc.Close() }
