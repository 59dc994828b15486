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

// versionTracker keeps what each proxy that asked for versions was sent in this life of the planner.
type versionTracker struct {
	origin tables.Origin
	key    tables.Key
	onSent func(tables.Update) // is shown every update that is sent; nil: nobody is

	record   *record.Writer // nil: none
	recorded bool           // so what proxies that don't ask are sent gets versions too

	mu      sync.Mutex
	proxies map[int]*proxyVersions // by proxy, over its streams
}

// newVersionTracker draws this life's number. Nil: versions are off.
func newVersionTracker(name string, set options.Versions, onSent func(tables.Update)) (*versionTracker, error) {
	if !set.Enabled {
		return nil, nil
	}
	v := &versionTracker{origin: tables.Origin{Instance: name}, proxies: map[int]*proxyVersions{}, onSent: onSent}
	var incarnation [8]byte
	rand.Read(incarnation[:]) // never fails
	v.origin.Incarnation = binary.BigEndian.Uint64(incarnation[:])
	if set.KeyFile != "" {
		text, err := os.ReadFile(set.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("versions.key_file: %w", err)
		}
		if v.key = bytes.TrimSpace(text); len(v.key) < minKeyBytes {
			return nil, fmt.Errorf("versions.key_file: %s: a key of %d bytes, at least %d are needed", set.KeyFile,
				len(v.key), minKeyBytes)
		}
	}
	return v, nil
}

// minKeyBytes is the least length of a key.
const minKeyBytes = 16

// forProxy is what a proxy was sent. A new stream of it goes on with the numbers.
func (v *versionTracker) forProxy(proxy int) *proxyVersions {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.proxies[proxy] == nil {
		v.proxies[proxy] = &proxyVersions{tracker: v, sender: tables.NewSender(v.origin, uint32(proxy), v.key)}
	}
	return v.proxies[proxy]
}

// proxyVersions is the planner's end of one proxy's versions.
type proxyVersions struct {
	tracker     *versionTracker
	mu          sync.Mutex
	sender      *tables.Sender
	noticeTimer *time.Timer // that tells the newest number once nothing was sent for a while
	resends     int         // questions answered in the present second
	windowStart time.Time
}

// maxResendsPerSecond is how many questions of one proxy are answered in a second; what goes over it waits for the next one's.
const maxResendsPerSecond = 4

// updateLine is an update as a line carries it.
type updateLine struct {
	Kind   string  `json:"t"`
	Update []byte  `json:"update,omitempty"` // base64
	Newest uint64  `json:"at,omitempty"`     // the newest number, where nothing is missing
	Digest []byte  `json:"digest,omitempty"` // and its table's digest
	Token  *uint32 `json:"stamp,omitempty"`
}

// errLineTooLong says that a table is too large for a line.
var errLineTooLong = errors.New("an update over what a line holds")

// openRecord opens the record that the settings name and writes every version into it. A record that can't be used is told of, and
// the planner goes on without.
func (v *versionTracker) openRecord(set options.Record, log zerolog.Logger) {
	if set.File == "" {
		return
	}
	r, err := record.Open(set.File, v.key, false)
	if err != nil {
		log.Error().Err(err).Str("file", set.File).Msg("no record is kept: the file can't be used, and stays as it is")
		return
	}
	retention := record.Retention{MaxEntries: uint64(set.Entries), MaxAge: time.Duration(set.AgeHours * float64(time.Hour))}
	v.recorded = true
	v.record = record.NewWriter(r, retention, func(err error) {
		log.Error().Err(err).Str("file", set.File).Msg("the record takes nothing: what is missing will be marked in it")
	})
}

// close ends the record.
func (v *versionTracker) close() {
	if v != nil && v.record != nil {
		v.record.Close()
	}
}

// assignmentCause is why a version came to be, as far as its order shows.
func assignmentCause(o protocol.Assignment) string {
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

// assign takes an order into the proxy's table, notes the version that results, and sends it: as an update if the proxy asked
// for versions, else as ever.
func (v *proxyVersions) assign(to *transport.Conn, o protocol.Assignment, wantsVersions bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	table, _ := v.sender.Table()
	u, err := v.sender.Next(o.ApplyTo(table), o.Replace)
	if err != nil {
		return err
	}
	if v.tracker.record != nil {
		v.tracker.record.Add(record.Entry{At: time.Now(), Cause: assignmentCause(o), Update: u.Append(nil, v.tracker.key)})
	}
	if wantsVersions {
		if v.noticeTimer != nil {
			v.noticeTimer.Stop()
		}
		v.noticeTimer = time.AfterFunc(time.Duration(tables.NoticeDelayMS*float64(time.Millisecond)), func() { v.sendNotice(to, u.Version) })
		return v.send(to, u, o.Token)
	}
	text, err := o.Append(nil)
	if err != nil {
		return err
	}
	return to.Send(text)
}

// sendNotice tells a proxy that its newest version is still this one. On a stream that has ended it reaches nobody.
func (v *proxyVersions) sendNotice(to *transport.Conn, sent tables.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, at := v.sender.Table(); at == sent {
		d := v.sender.Digest()
		sendLine(to, updateLine{Kind: "update", Newest: at.Number, Digest: d[:]})
	}
}

func (v *proxyVersions) send(to *transport.Conn, u tables.Update, token *uint32) error {
	if v.tracker.onSent != nil {
		v.tracker.onSent(u)
	}
	return sendLine(to, updateLine{Kind: "update", Update: u.Append(nil, v.tracker.key), Token: token})
}

// sendLine writes one line.
func sendLine(to *transport.Conn, l updateLine) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if len(text) >= protocol.MaxLineBytes {
		return errLineTooLong
	}
	return to.Send(append(text, '\n'))
}

// resend answers a question for missed updates, if they are still kept: they were counted in the channel when they were first
// sent. What needs a whole table is the module's affair, and so is a proxy that asks too often: false.
func (v *proxyVersions) resend(to *transport.Conn, m protocol.ResyncRequest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); now.Sub(v.windowStart) >= time.Second {
		v.windowStart, v.resends = now, 0
	}
	if v.resends++; v.resends > maxResendsPerSecond {
		return true // it asks again, ever farther apart
	}
	_, at := v.sender.Table()
	updates := v.sender.Resend(tables.ResendRequest{Origin: at.Origin, Proxy: at.Proxy, Snapshot: m.Full, After: m.After})
	if len(updates) == 0 { // nothing is missing, or nothing was sent yet: then a whole table comes with the first order
		if at.Number > 0 {
			d := v.sender.Digest()
			sendLine(to, updateLine{Kind: "update", Newest: at.Number, Digest: d[:]})
		}
		return true
	}
	if updates[0].Snapshot {
		return false
	}
	for _, u := range updates {
		if v.send(to, u, nil) != nil {
			return true
		}
	}
	return true
}
