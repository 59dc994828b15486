package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"mulleinwood/tables"
)

// Versioned is a proxy that receives versioned updates and applies them with tables.Receiver.
type Versioned struct {
	Number int
	nc     net.Conn
	stateMonitor
	receiver   *tables.Receiver
	origin     tables.Origin
	transmit   func([]byte) [][]byte
	startedAt  time.Time
	done       chan struct{}
	readerDone chan struct{}
	writeMu    sync.Mutex
	OnTable    func(tables.Table, tables.Version) // called with each new table; may be nil
}

// JoinVersioned dials a planner and attaches to it. Transmit simulates the channel: it maps the bytes of an update to the
// updates that arrive, which may be none, one or several, unchanged or corrupted. If transmit is nil, all updates arrive
// unchanged. If onTable is not nil, it is called with each new table.
func JoinVersioned(planner string, number int, zone string, weight float64, key tables.Key, transmit func([]byte) [][]byte,
	onTable func(tables.Table, tables.Version)) (*Versioned, error) {
	nc, err := net.Dial("tcp", planner)
	if err != nil {
		return nil, err
	}
	p := &Versioned{Number: number, nc: nc, stateMonitor: newStateMonitor(), receiver: tables.NewReceiver(uint32(number), key),
		transmit: transmit, startedAt: time.Now(),
		done: make(chan struct{}), readerDone: make(chan struct{}), OnTable: onTable}
	if err := p.writeLine(fmt.Sprintf(`{"t":"attach","proxy":%d,"zone":%q,"weight":%g,"fresh":true,"versions":true}`, number,
		zone, weight)); err != nil {
		nc.Close()
		return nil, err
	}
	go p.readLoop(key)
	go p.requestResends()
	return p, nil
}

func (p *Versioned) writeLine(line string) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	_, err := io.WriteString(p.nc, line+"\n")
	return err
}

// Close closes the connection and waits for the reader to end.
func (p *Versioned) Close() {
	p.nc.Close()
	<-p.done
}

func (p *Versioned) now() float64 {
	return float64(time.Since(p.startedAt)) / float64(time.Millisecond)
}

// requestResends requests missing updates until the reader ends.
func (p *Versioned) requestResends() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-p.readerDone:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		a, due := p.receiver.NextResendRequest(p.now())
		p.mu.Unlock()
		if due {
			p.writeLine(fmt.Sprintf(`{"t":"again","proxy":%d,"whole":%t,"after":%d}`, p.Number, a.Snapshot, a.After))
		}
	}
}

func (p *Versioned) readLoop(key tables.Key) {
	defer close(p.done)
	defer close(p.readerDone)
	in := bufio.NewReaderSize(p.nc, 1<<16)
	for {
		text, err := in.ReadBytes('\n')
		var l struct {
			T      string
			Update []byte
			At     uint64
			Digest []byte
			Stamp  *uint32
		}
		if err == nil {
			err = json.Unmarshal(text, &l)
		}
		if err == nil && l.T != "update" {
			err = fmt.Errorf("unexpected message type %q for a proxy with versioned updates", l.T)
		}
		if err != nil {
			p.update(func(s *State) { s.Closed = err })
			return
		}
		if l.Update == nil {
			p.mu.Lock()
			p.receiver.HandleNotice(p.now(), tables.Version{Origin: p.origin, Proxy: uint32(p.Number), Number: l.At},
				tables.Digest(l.Digest))
			p.mu.Unlock()
			continue
		}
		updates := [][]byte{l.Update}
		if p.transmit != nil {
			updates = p.transmit(l.Update)
		}
		for _, update := range updates {
			p.applyUpdate(update, key)
		}
		if l.Stamp != nil { // the token only confirms that the message was read; resend requests report a rejected update
			p.writeLine(fmt.Sprintf(`{"t":"done","proxy":%d,"mark":%d,"took_ms":1}`, p.Number, *l.Stamp))
		}
	}
}

// applyUpdate passes an update to the receiver. The first update that can be decoded sets the stream's origin.
func (p *Versioned) applyUpdate(update []byte, key tables.Key) {
	p.update(func(s *State) {
		if u, err := tables.Decode(update, key); err == nil && p.origin == (tables.Origin{}) {
			p.origin = u.Origin
			p.receiver.StreamStarted(p.now(), u.Origin)
		}
		_, before := p.receiver.Table()
		if p.receiver.ApplyEncoded(p.now(), update) != nil {
			s.Rejected++
			return
		}
		table, at := p.receiver.Table()
		if at == before {
			return
		}
		s.Messages++
		s.Table, s.Levels, s.Excluded = map[string]float64{}, map[string]float64{}, table.Clone().Excluded
		for name, weight := range table.Weights {
			s.Table[name] = float64(weight)
		}
		for class, gate := range table.Gates {
			s.Levels[class] = float64(gate.Level)
		}
		if p.OnTable != nil {
			p.OnTable(table.Clone(), at)
		}
	})
}

// UpToDate reports whether the proxy knows of no missing update, and returns the version that it holds.
func (p *Versioned) UpToDate() (bool, tables.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, at := p.receiver.Table()
	return p.receiver.UpToDate(), at
}
