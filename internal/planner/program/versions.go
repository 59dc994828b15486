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

// versionTracker holds the versioned updates sent to each proxy by this incarnation of the planner.
type versionTracker struct {
	origin tables.Origin
	key    tables.Key
	onSent func(tables.Update) // called with every update sent; may be nil

	record   *record.Writer // nil if no record is kept
	recorded bool           // a record is kept, so assignments to proxies that don't ask for versions get them too

	mu      sync.Mutex
	proxies map[int]*proxyVersions // by proxy number; kept across a proxy's streams
}

// newVersionTracker returns a tracker with a random incarnation number, or nil if versions are disabled.
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

// minKeyBytes is the minimum length of a key.
const minKeyBytes = 16

// forProxy returns the versions of a proxy. A new stream of the proxy continues their numbers.
func (v *versionTracker) forProxy(proxy int) *proxyVersions {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.proxies[proxy] == nil {
		v.proxies[proxy] = &proxyVersions{tracker: v, sender: tables.NewSender(v.origin, uint32(proxy), v.key)}
	}
	return v.proxies[proxy]
}

// proxyVersions is the planner's side of one proxy's versioned updates.
type proxyVersions struct {
	tracker     *versionTracker
	mu          sync.Mutex
	sender      *tables.Sender
	noticeTimer *time.Timer // sends the newest version's number after a time without updates
	resends     int         // resend requests handled since windowStart
	windowStart time.Time
}

// maxResendsPerSecond is the most resend requests of one proxy that are answered in a second. A proxy whose request is dropped
// retries it.
const maxResendsPerSecond = 4

// updateLine is the JSON form of an update in the line protocol.
type updateLine struct {
	Kind   string  `json:"t"`
	Update []byte  `json:"update,omitempty"` // base64
	Newest uint64  `json:"at,omitempty"`     // number of the newest version, if the line carries no update
	Digest []byte  `json:"digest,omitempty"` // digest of the newest version's table
	Token  *uint32 `json:"stamp,omitempty"`
}

// errLineTooLong reports that an update exceeds the maximum length of a line.
var errLineTooLong = errors.New("an update over what a line holds")

// openRecord opens the record that the settings name; every version is then written to it. If the record is unusable, the
// planner logs that and runs without it.
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

// close closes the record, if there is one.
func (v *versionTracker) close() {
	if v != nil && v.record != nil {
		v.record.Close()
	}
}

// assignmentCause returns the cause of a version, as far as its assignment shows it.
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

// assign applies an assignment to the proxy's table, records the resulting version and sends it: as a versioned update if the
// proxy asked for versions, else as a plain assignment.
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
		v.noticeTimer = time.AfterFunc(time.Duration(tables.NoticeDelayMS*float64(time.Millisecond)), func() {
			v.sendNotice(to, u.Version)
		})
		return v.send(to, u, o.Token)
	}
	text, err := o.Append(nil)
	if err != nil {
		return err
	}
	return to.Send(text)
}

// sendNotice sends a proxy the number and digest of its newest version, if that is still the given one. It has no effect on a
// stream that has ended.
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

// sendLine sends an update as one line.
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

// resend answers a request for missed updates, if they are still kept. They don't count against the channel's limit, since they
// were counted when first sent. It returns false if the proxy needs a complete table, which the module must provide.
func (v *proxyVersions) resend(to *transport.Conn, m protocol.ResyncRequest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); now.Sub(v.windowStart) >= time.Second {
		v.windowStart, v.resends = now, 0
	}
	if v.resends++; v.resends > maxResendsPerSecond {
		return true // the proxy retries with backoff
	}
	_, at := v.sender.Table()
	updates := v.sender.Resend(tables.ResendRequest{Origin: at.Origin, Proxy: at.Proxy, Snapshot: m.Full, After: m.After})
	if len(updates) == 0 { // nothing is missing, or nothing was sent yet and the first assignment brings a complete table
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
