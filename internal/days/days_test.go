package days

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const folder = "../../days"

func catalogue(t *testing.T) Catalogue {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, "kinds.toml"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseCatalogue(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testSite(machines int, contracts ...string) Site {
	s := Site{Name: "test", LengthS: 30, Contracts: contracts}
	s.Tolerate.Machines = machines
	return s
}

func TestDrawnDaysFitTheSite(t *testing.T) {
	c := catalogue(t)
	closings, overlapping := map[string]int{}, 0
	for _, site := range []Site{testSite(1), testSite(2, "health", "pool", "tenants", "quota")} {
		for seed := range uint64(500) {
			d, err := Draw(c, site, seed)
			if err != nil {
				t.Fatal(err)
			}
			checkDrawn(t, c, site, d)
			if d.Closing != nil {
				closings[d.Closing.Kind]++
			}
			if overlap(d.Events()) {
				overlapping++
			}
		}
	}
	if overlapping < 500 {
		t.Errorf("events overlap on only %d of 1000 days", overlapping)
	}
	for _, k := range c.Closings {
		if closings[k.Kind] < 100 {
			t.Errorf("%s closes only %d of 1000 days", k.Kind, closings[k.Kind])
		}
	}
}

func checkDrawn(t *testing.T, c Catalogue, site Site, d Day) {
	t.Helper()
	events, control := d.Events(), 0
	for _, tr := range events {
		if slices.ContainsFunc(c.Kinds, func(k Kind) bool { return k.Name == tr.Kind && k.On == tr.On && k.Group.Control() }) {
			control++
		}
		if tr.At < earliestStartS || tr.At > site.LengthS-endMarginS {
			t.Errorf("%s: %s starts at %.2f s, outside the allowed span", d.Name, tr.Kind, tr.At)
		}
		if tr.Kind == "core_cut" && tr.Count != site.Tolerate.Machines {
			t.Errorf("%s: %d machines cut off, want the %d tolerated ones", d.Name, tr.Count, site.Tolerate.Machines)
		}
	}
	if n := len(events); n < minEvents || n > maxEvents || control < 2 {
		t.Errorf("%s: %d events, %d on the control side", d.Name, n, control)
	}
	if unsupported := c.UnsupportedKinds(d, site); len(unsupported) > 0 {
		t.Errorf("%s: the site doesn't support %v", d.Name, unsupported)
	}
}

func overlap(events []Event) bool {
	for i, a := range events {
		for j, b := range events {
			if i != j && a.At <= b.At && b.At < a.At+a.ForS {
				return true
			}
		}
	}
	return false
}

func TestEqualSeedsDrawEqualDays(t *testing.T) {
	c, site := catalogue(t), testSite(1)
	a, _ := Draw(c, site, 7)
	b, _ := Draw(c, site, 7)
	other, _ := Draw(c, site, 8)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a.Events(), other.Events()) {
		t.Errorf("seed 7: %v and %v; seed 8: %v", a, b, other)
	}
	text, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if back, err := ParseDay(text); err != nil || !reflect.DeepEqual(a, back) {
		t.Errorf("%v encoded and parsed again: %v, %v", a, back, err)
	}
}

func TestHandWrittenDaysHoldEveryKind(t *testing.T) {
	c, alone := catalogue(t), map[string]bool{}
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if name == "kinds" {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		d, err := ParseDay(text)
		if err != nil || d.Name != name {
			t.Errorf("%s: name %q, error %v", file, d.Name, err)
		}
		for _, tr := range d.Events() {
			if !slices.ContainsFunc(c.Kinds, func(k Kind) bool { return k.Name == tr.Kind }) {
				t.Errorf("%s: %s is not in the catalogue", name, tr.Kind)
			}
			if strings.HasPrefix(name, "alone-"+tr.Kind) {
				alone[tr.Kind] = true
			}
		}
	}
	for _, k := range c.Kinds {
		if !alone[k.Name] {
			t.Errorf("no hand-written day contains %s alone", k.Name)
		}
	}
}

func TestKindsCanBeLeftOut(t *testing.T) {
	c := catalogue(t)
	all := len(c.Kinds)
	for seed := range uint64(200) {
		d, err := Draw(c.Without("replace_core"), testSite(1), seed)
		if err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(d.Events(), func(tr Event) bool { return tr.Kind == "replace_core" }) {
			t.Errorf("%s contains the excluded kind", d.Name)
		}
	}
	if len(c.Kinds) != all {
		t.Error("Without modified the original catalogue")
	}
}

func TestWrongInputIsRefused(t *testing.T) {
	for _, text := range []string{"[[kind]]\nname='a'\ngroup='moon'", "[[kind]]\nname='a'\ngroup='core'\nx=[2,1]",
		"[[kind]]\ngroup='core'", "[[kind]]\nname='a'\ngroup='core'\ncolour=1", "[[closing]]\nkind='a'\ndown_s=[2,1]"} {
		if _, err := ParseCatalogue([]byte(text)); err == nil {
			t.Errorf("catalogue accepted: %s", text)
		}
	}
	if _, err := ParseDay([]byte("name='a'\nfault=[]")); err == nil {
		t.Error("day with an unknown field accepted")
	}
	if _, err := ParseSite([]byte("name='a'")); err == nil {
		t.Error("site without a length accepted")
	}
	if _, err := Draw(Catalogue{}, testSite(1), 1); err == nil {
		t.Error("Draw accepted an empty catalogue")
	}
}

func TestVerdicts(t *testing.T) {
	broken := Verdict{Day: "b"}
	if err := broken.Fill([]byte(`{"G":0.7,"refused":0.08,"breaks":{"CONFIG":2,"ACK":1},"first":[{"rule":"CONFIG","at_s":9,"what":"old"}]}`)); err != nil {
		t.Fatal(err)
	}
	if broken.Passed() || broken.BrokenRules() != "ACK 1, CONFIG 2" || broken.Notes[0] != "CONFIG at 9.000 s: old" {
		t.Errorf("broken: %+v", broken)
	}
	for _, report := range []string{`{"fault":"too slow"}`, `{"short":["floor"]}`} {
		if v := (Verdict{}); v.Fill([]byte(report)) != nil || v.Passed() || len(v.Notes) != 1 {
			t.Errorf("%s: %+v", report, v)
		}
	}
	passing := Verdict{Day: "s"}
	if err := passing.Fill([]byte(`{"G":0.95,"fault":null}`)); err != nil || !passing.Passed() {
		t.Errorf("passing: %+v, %v", passing, err)
	}
	all := []Verdict{{Day: "n", Outcome: NotForSite}, passing, broken, {Day: "x", Outcome: NotPlayed}}
	s := Summarize(all, 0.9)
	if s.Played != 2 || s.Passed != 1 || s.Low != 1 || s.NotForSite != 1 || s.NotPlayed != 1 || s.Lowest != 0.7 || s.Broken["CONFIG"] != 1 {
		t.Errorf("summary: %+v", s)
	}
	if WorstFirst(all); all[0].Day != "x" || all[1].Day != "b" || all[3].Day != "n" {
		t.Errorf("order: %v", all)
	}
	if passed, err := ParseGate([]byte(`{"days":[{"gate":true}]}`)); !passed || err != nil {
		t.Errorf("gate: %v, %v", passed, err)
	}
}
