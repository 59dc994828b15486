package program

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/record"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/tables"
)

// versions keeps what each proxy that asked for versions was sent in this life of the planner.
type versions struct {
	origin tables.Origin
	key    tables.Key
	sent   func(tables.Update) // is shown every update that is sent; nil: nobody is

	record   *record.Writer // nil: none
	recorded bool           // so what proxies that don't ask are sent gets versions too

	mu sync.Mutex
	by map[int]*versioned // by proxy, over its streams
}

// newVersions draws this life's number. Nil: versions are off.
func newVersions(name string, own options.Versions, sent func(tables.Update)) (*versions, error) {
	if !own.Enabled {
		return nil, nil
	}
	v := &versions{origin: tables.Origin{Instance: name}, by: map[int]*versioned{}, sent: sent}
	var life [8]byte
	rand.Read(life[:]) // never fails
	v.origin.Incarnation = binary.BigEndian.Uint64(life[:])
	if own.KeyFile != "" {
		text, err := os.ReadFile(own.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("versions.key_file: %w", err)
		}
		if v.key = bytes.TrimSpace(text); len(v.key) < minKeyBytes {
			return nil, fmt.Errorf("versions.key_file: %s: a key of %d bytes, at least %d are needed", own.KeyFile,
				len(v.key), minKeyBytes)
		}
	}
	return v, nil
}

// minKeyBytes is the least length of a key.
const minKeyBytes = 16

// of is what a proxy was sent. A new stream of it goes on with the numbers.
func (v *versions) of(proxy int) *versioned {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.by[proxy] == nil {
		v.by[proxy] = &versioned{all: v, sender: tables.NewSender(v.origin, uint32(proxy), v.key)}
	}
	return v.by[proxy]
}

// versioned is the planner's end of one proxy's versions.
type versioned struct {
	all    *versions
	mu     sync.Mutex
	sender *tables.Sender
	notice *time.Timer // that tells the newest number once nothing was sent for a while
	resent int         // questions answered in the present second
	since  time.Time
}

// maxResends is how many questions of one proxy are answered in a second; what goes over it waits for the next one's.
const maxResends = 4

// updateLine is an update as a line carries it.
type updateLine struct {
	Kind   string  `json:"t"`
	Update []byte  `json:"update,omitempty"` // base64
	At     uint64  `json:"at,omitempty"`     // the newest number, where nothing is missing
	Digest []byte  `json:"digest,omitempty"` // and its table's digest
	Stamp  *uint32 `json:"stamp,omitempty"`
}

// errLine says that a table is too large for a line.
var errLine = errors.New("an update over what a line holds")

// keep opens the record that the settings name and writes every version into it. A record that can't be used is told of, and
// the planner goes on without.
func (v *versions) keep(own options.Record, log zerolog.Logger) {
	if own.File == "" {
		return
	}
	r, err := record.Open(own.File, v.key, false)
	if err != nil {
		log.Error().Err(err).Str("file", own.File).Msg("no record is kept: the file can't be used, and stays as it is")
		return
	}
	within := record.Retention{MaxEntries: uint64(own.Entries), MaxAge: time.Duration(own.AgeHours * float64(time.Hour))}
	v.recorded = true
	v.record = record.NewWriter(r, within, func(err error) {
		log.Error().Err(err).Str("file", own.File).Msg("the record takes nothing: what is missing will be marked in it")
	})
}

// close ends the record.
func (v *versions) close() {
	if v != nil && v.record != nil {
		v.record.Close()
	}
}

// cause is why a version came to be, as far as its order shows.
func cause(o protocol.Assignment) string {
	switch {
	case o.Replace:
		return "join"
	case len(o.Exclude)+len(o.Include) > 0:
		return "shut out"
	case slices.ContainsFunc(o.Rows, func(r protocol.Row) bool { return r.Weight == 0 }):
		return "removal"
	case len(o.Rows) > 0:
		return "weights"
	}
	return "levels"
}

// order takes an order into the proxy's table, notes the version that results, and sends it: as an update if the proxy asked
// for versions, else as ever.
func (v *versioned) order(to *transport.Conn, o protocol.Assignment, asked bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	table, _ := v.sender.Table()
	u, err := v.sender.Next(o.ApplyTo(table), o.Replace)
	if err != nil {
		return err
	}
	if v.all.record != nil {
		v.all.record.Add(record.Entry{At: time.Now(), Cause: cause(o), Update: u.Append(nil, v.all.key)})
	}
	if asked {
		if v.notice != nil {
			v.notice.Stop()
		}
		v.notice = time.AfterFunc(time.Duration(tables.NoticeDelayMS*float64(time.Millisecond)), func() { v.tell(to, u.Version) })
		return v.send(to, u, o.Token)
	}
	text, err := o.Append(nil)
	if err != nil {
		return err
	}
	return to.Send(text)
}

// tell tells a proxy that its newest version is still this one. On a stream that has ended it reaches nobody.
func (v *versioned) tell(to *transport.Conn, sent tables.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, at := v.sender.Table(); at == sent {
		d := v.sender.Digest()
		line(to, updateLine{Kind: "update", At: at.Number, Digest: d[:]})
	}
}

func (v *versioned) send(to *transport.Conn, u tables.Update, stamp *uint32) error {
	if v.all.sent != nil {
		v.all.sent(u)
	}
	return line(to, updateLine{Kind: "update", Update: u.Append(nil, v.all.key), Stamp: stamp})
}

// line writes one line.
func line(to *transport.Conn, l updateLine) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if len(text) >= protocol.MaxLineBytes {
		return errLine
	}
	return to.Send(append(text, '\n'))
}

// again answers a question for missed updates, if they are still kept: they were counted in the channel when they were first
// sent. What needs a whole table is the module's affair, and so is a proxy that asks too often: false.
func (v *versioned) again(to *transport.Conn, m protocol.ResyncRequest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); now.Sub(v.since) >= time.Second {
		v.since, v.resent = now, 0
	}
	if v.resent++; v.resent > maxResends {
		return true // it asks again, ever farther apart
	}
	_, at := v.sender.Table()
	answer := v.sender.Resend(tables.ResendRequest{Origin: at.Origin, Proxy: at.Proxy, Snapshot: m.Full, After: m.After})
	if len(answer) == 0 { // nothing is missing, or nothing was sent yet: then a whole table comes with the first order
		if at.Number > 0 {
			d := v.sender.Digest()
			line(to, updateLine{Kind: "update", At: at.Number, Digest: d[:]})
		}
		return true
	}
	if answer[0].Snapshot {
		return false
	}
	for _, u := range answer {
		if v.send(to, u, nil) != nil {
			return true
		}
	}
	return true
}
