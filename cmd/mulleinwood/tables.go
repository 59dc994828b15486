package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"mulleinwood/internal/planner/record"
	"mulleinwood/tables"
)

type tablesCmd struct {
	Verify tablesVerifyCmd `cmd:"" help:"Go through a record and say whether it is whole and unchanged."`
	Log    tablesLogCmd    `cmd:"" help:"List what was sent, when and why."`
	Show   tablesShowCmd   `cmd:"" help:"Show the table of a version."`
	Diff   tablesDiffCmd   `cmd:"" help:"Show what differs between two versions."`
}

// recordFlags are what every reading of a record needs.
type recordFlags struct {
	File string `arg:"" help:"The record. A planner that writes it locks it: read a copy while one runs."`
	Key  string `help:"The file with the key that the planner has (versions.key_file)." placeholder:"FILE"`
	JSON bool   `name:"json" help:"As JSON."`
}

// open opens the record for reading.
func (f recordFlags) open() (*record.Record, tables.Key, error) {
	var key tables.Key
	if f.Key != "" {
		text, err := os.ReadFile(f.Key)
		if err != nil {
			return nil, nil, startError{err}
		}
		key = bytes.TrimSpace(text)
	}
	if _, err := os.Stat(f.File); err != nil {
		return nil, nil, startError{err}
	}
	r, err := record.Open(f.File, key, true)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.File, err)
	}
	return r, key, nil
}

type tablesVerifyCmd struct{ recordFlags }

// Run verifies. Opening goes through the whole chain; the updates are read besides.
func (k tablesVerifyCmd) Run(out io.Writer) error {
	r, key, err := k.open()
	if err != nil {
		return err
	}
	defer closeRecord(r)
	var first, last, gaps uint64
	var bad error
	err = r.Each(func(e record.Entry) bool {
		if first == 0 {
			first = e.Seq
		}
		last, gaps = e.Seq, gaps+e.Gap
		if e.Gap == 0 {
			if _, bad = tables.Decode(e.Update, key); bad != nil {
				bad = fmt.Errorf("entry %d: %w", e.Seq, bad)
			}
		}
		return bad == nil
	})
	if err = cmp.Or(bad, err); err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(out).Encode(map[string]uint64{"entries": r.Len(), "first": first, "last": last, "missing": gaps})
	}
	_, err = fmt.Fprintf(out, "%s: whole and unchanged: %d entries, %d to %d; %d marked as missing\n", k.File, r.Len(), first,
		last, gaps)
	return err
}

type tablesLogCmd struct {
	recordFlags
	Proxy int `help:"Of this proxy only." default:"-1"`
}

// logLine is an entry for people and programs.
type logLine struct {
	Seq     uint64    `json:"seq"`
	At      time.Time `json:"at"`
	Cause   string    `json:"cause"`
	Version string    `json:"version,omitempty"` // proxy/number
	Planner string    `json:"planner,omitempty"`
	Life    string    `json:"life,omitempty"`
	Whole   bool      `json:"whole,omitempty"`
	Rows    int       `json:"rows,omitempty"`
	Missing uint64    `json:"missing,omitempty"`
}

// Run lists.
func (k tablesLogCmd) Run(out io.Writer) error {
	r, key, err := k.open()
	if err != nil {
		return err
	}
	defer closeRecord(r)
	to := json.NewEncoder(out)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if !k.JSON {
		fmt.Fprintln(table, "entry\tat\tcause\tversion\tplanner\tlife\trows")
	}
	err = r.Each(func(e record.Entry) bool {
		l := logLine{Seq: e.Seq, At: e.At.UTC(), Cause: e.Cause, Missing: e.Gap}
		if u, bad := tables.Decode(e.Update, key); bad == nil && e.Gap == 0 {
			if k.Proxy >= 0 && int(u.Proxy) != k.Proxy {
				return true
			}
			l.Version, l.Planner, l.Life = fmt.Sprintf("%d/%d", u.Proxy, u.Number), u.Instance,
				strconv.FormatUint(u.Incarnation, 16)
			l.Whole, l.Rows = u.Snapshot, len(u.Weights)
		}
		if k.JSON {
			return to.Encode(l) == nil
		}
		rows := fmt.Sprint(l.Rows)
		if l.Whole {
			rows += " (whole)"
		}
		if l.Missing > 0 {
			rows = fmt.Sprintf("%d entries are missing here", l.Missing)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Seq, l.At.Format("2006-01-02 15:04:05.000"), l.Cause, l.Version,
			l.Planner, l.Life, rows)
		return true
	})
	return cmp.Or(err, table.Flush())
}

// errUnknown says that a version can't be told.
var errUnknown = errors.New("not in the record, or what it builds on isn't")

// tableOf puts a version together from the record, as a receiver would have: from the last whole table before it on. Of several
// lives the newest that has the version counts, unless one is named.
func tableOf(r *record.Record, key tables.Key, version string) (found tables.Table, at tables.Version, err error) {
	name, life, _ := strings.Cut(version, "@")
	proxyText, numberText, ok := strings.Cut(name, "/")
	proxy, bad := strconv.ParseUint(proxyText, 10, 32)
	number, bad2 := strconv.ParseUint(numberText, 10, 64)
	if !ok || bad != nil || bad2 != nil {
		return found, at, startError{fmt.Errorf("%q is no version: it is written PROXY/NUMBER, or PROXY/NUMBER@LIFE", version)}
	}
	var receiver *tables.Receiver
	var origin tables.Origin
	err = r.Each(func(e record.Entry) bool {
		u, bad := tables.Decode(e.Update, key)
		if e.Gap > 0 || bad != nil || u.Proxy != uint32(proxy) || life != "" && strconv.FormatUint(u.Incarnation, 16) != life {
			return true
		}
		if receiver == nil || u.Origin != origin {
			receiver, origin = tables.NewReceiver(u.Proxy, key), u.Origin
			receiver.StreamStarted(0, origin)
		}
		if receiver.Apply(0, u) == nil && u.Number == number {
			held, version := receiver.Table()
			found, at = held.Clone(), version
		}
		return true
	})
	if err == nil && at.Number == 0 {
		err = fmt.Errorf("version %s: %w", version, errUnknown)
	}
	return found, at, err
}

type tablesShowCmd struct {
	recordFlags
	Version string `arg:"" help:"PROXY/NUMBER, or PROXY/NUMBER@LIFE, as log lists them."`
}

// Run shows one table.
func (k tablesShowCmd) Run(out io.Writer) error {
	r, key, err := k.open()
	if err != nil {
		return err
	}
	defer closeRecord(r)
	t, at, err := tableOf(r, key, k.Version)
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(out).Encode(map[string]any{"planner": at.Instance, "life": strconv.FormatUint(at.Incarnation, 16),
			"proxy":  at.Proxy,
			"number": at.Number, "weights": t.Weights, "shut": slices.Sorted(maps.Keys(t.Excluded)), "levels": t.Gates})
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "server\tweight\tshut out")
	for _, name := range slices.Sorted(maps.Keys(t.Weights)) {
		fmt.Fprintf(table, "%s\t%g\t%t\n", name, t.Weights[name], t.Excluded[name])
	}
	for _, class := range slices.Sorted(maps.Keys(t.Gates)) {
		fmt.Fprintf(table, "class %s\tlevel %g\tagain %d\n", class, t.Gates[class].Level, t.Gates[class].Again)
	}
	return table.Flush()
}

type tablesDiffCmd struct {
	recordFlags
	From string `arg:"" help:"A version."`
	To   string `arg:"" help:"Another."`
}

// Run shows what differs.
func (k tablesDiffCmd) Run(out io.Writer) error {
	r, key, err := k.open()
	if err != nil {
		return err
	}
	defer closeRecord(r)
	from, _, err := tableOf(r, key, k.From)
	if err != nil {
		return err
	}
	to, _, err := tableOf(r, key, k.To)
	if err != nil {
		return err
	}
	type change struct {
		Server string  `json:"server"`
		From   float32 `json:"from"`
		To     float32 `json:"to"`
	}
	var list []change
	names := map[string]bool{}
	for name := range from.Weights {
		names[name] = true
	}
	for name := range to.Weights {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if from.Weights[name] != to.Weights[name] {
			list = append(list, change{name, from.Weights[name], to.Weights[name]})
		}
	}
	if k.JSON {
		return json.NewEncoder(out).Encode(list)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "server\t%s\t%s\n", k.From, k.To)
	for _, c := range list {
		fmt.Fprintf(table, "%s\t%g\t%g\n", c.Server, c.From, c.To)
	}
	return table.Flush()
}

// closeRecord closes a record that was only read: an error changes nothing that was told of it.
func closeRecord(r *record.Record) { _ = r.Close() }
