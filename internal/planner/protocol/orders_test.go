package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
)

// part is a part of an assignment as a proxy decodes it.
type part struct {
	Kind    string   `json:"t"`
	For     []string `json:"for"`
	Replace bool     `json:"replace"`
	Rows    [][]any  `json:"rows"`
	Gate    *float64 `json:"gate"`
	Again   *int     `json:"again"`
	Drop    []string `json:"drop"`
	Undrop  []string `json:"undrop"`
	Stamp   *uint32  `json:"stamp"`
	Part    bool     `json:"part"`
}

// decodeParts decodes encoded parts and checks that all but the last announce another part.
func decodeParts(t testing.TB, text []byte) []part {
	t.Helper()
	lines := strings.SplitAfter(string(text), "\n")
	if last := lines[len(lines)-1]; last != "" {
		t.Fatalf("the last line has no line end: %.60q", last)
	}
	lines = lines[:len(lines)-1]
	var list []part
	for i, line := range lines {
		var p part
		if err := json.Unmarshal([]byte(line), &p); err != nil {
			t.Fatalf("part %d: %v in %.80q", i, err, line)
		}
		if p.Kind != "assign" || p.Part != (i < len(lines)-1) || len(line) > MaxLineBytes || (p.Gate == nil) != (p.Again == nil) {
			t.Fatalf("part %d of %d: %.120q", i, len(lines), line)
		}
		list = append(list, p)
	}
	return list
}

func token(n uint32) *uint32 { return &n }

func TestAssignment(t *testing.T) {
	o := Assignment{Replace: true, Rows: []Row{{Server: "s-1", Weight: 1.5}, {Server: `s-"2`, Weight: 0.25}}, Exclude: []string{"s-3"}, Include: []string{"s-4"},
		Gates: []Gate{{[]string{"lookup"}, 0.5, 1}, {[]string{"order", "pay"}, 1, 0}}, Token: token(905)}
	text, err := o.Append([]byte("before\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := `before
{"t":"assign","replace":true,"rows":[["s-1",1.5],["s-\"2",0.25]],"drop":["s-3"],"undrop":["s-4"],"part":true}
{"t":"assign","for":["lookup"],"gate":0.5,"again":1,"part":true}
{"t":"assign","for":["order","pay"],"gate":1,"again":0,"stamp":905}
`
	if string(text) != want {
		t.Errorf("encoded\n%swant\n%s", text, want)
	}
	if o.LineCount() != 8 {
		t.Errorf("%d lines counted, want 8: replace, 2 rows, 2 servers, 2 levels, a mark", o.LineCount())
	}
	for name, tc := range map[string]struct {
		orders Assignment
		want   string
	}{
		"nothing":         {Assignment{}, ""},
		"a mark":          {Assignment{Token: token(0)}, `{"t":"assign","stamp":0}` + "\n"},
		"an empty table":  {Assignment{Replace: true}, `{"t":"assign","replace":true}` + "\n"},
		"a level":         {Assignment{Gates: []Gate{{[]string{"a"}, 0, 3}}}, `{"t":"assign","for":["a"],"gate":0,"again":3}` + "\n"},
		"a line removed":  {Assignment{Rows: []Row{{Server: "s"}}}, `{"t":"assign","rows":[["s",0]]}` + "\n"},
		"a server let in": {Assignment{Include: []string{"s"}}, `{"t":"assign","undrop":["s"]}` + "\n"},
	} {
		if text, err := tc.orders.Append(nil); err != nil || string(text) != tc.want {
			t.Errorf("%s: %s, %v; want %s", name, text, err, tc.want)
		}
	}
}

// TestManyParts checks that large messages are split into parts of at most 1 MiB, and that only the first replaces
// the table.
func TestManyParts(t *testing.T) {
	o := Assignment{Replace: true, Gates: []Gate{{[]string{"a"}, 1, 1}}, Token: token(7)}
	for i := range 30000 {
		o.Rows = append(o.Rows, Row{Server: fmt.Sprintf("server-%08d", i), Weight: float64(i) + 0.5})
	}
	text, err := o.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	list, rows := decodeParts(t, text), []Row{}
	for i, p := range list {
		if p.Replace != (i == 0) || (p.Stamp != nil) != (i == len(list)-1) {
			t.Errorf("part %d: replace %t, stamp %v", i, p.Replace, p.Stamp)
		}
		for _, r := range p.Rows {
			rows = append(rows, Row{Server: r[0].(string), Weight: r[1].(float64)})
		}
	}
	if len(list) < 3 || !reflect.DeepEqual(rows, o.Rows) {
		t.Errorf("%d rows in %d parts, want %d rows", len(rows), len(list), len(o.Rows))
	}
	for len(o.Rows) < 300000 {
		o.Rows = append(o.Rows, o.Rows[:30000]...)
	}
	if _, err := o.Append(nil); !errors.Is(err, ErrTooLarge) {
		t.Errorf("%d rows: error %v", len(o.Rows), err)
	}
}

// TestNumbers checks that a proxy decodes the same numbers that were encoded.
func TestNumbers(t *testing.T) {
	for _, x := range []float64{0, 1e-9, 0.1, 1.0 / 3, 1, 1e6, 123456.789} {
		o := Assignment{Rows: []Row{{Server: "s", Weight: x}}}
		text, _ := o.Append(nil)
		if got := decodeParts(t, text)[0].Rows[0][1].(float64); float32(got) != float32(x) || math.IsNaN(got) {
			t.Errorf("%v read as %v", x, got)
		}
	}
}
