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
			if overlap(d.Troubles()) {
				overlapping++
			}
		}
	}
	if overlapping < 500 {
		t.Errorf("troubles overlap on %d of 1000 days only", overlapping)
	}
	for _, k := range c.Closings {
		if closings[k.Kind] < 100 {
			t.Errorf("%s closes %d of 1000 days only", k.Kind, closings[k.Kind])
		}
	}
}

func checkDrawn(t *testing.T, c Catalogue, site Site, d Day) {
	t.Helper()
	troubles, control := d.Troubles(), 0
	for _, tr := range troubles {
		if slices.ContainsFunc(c.Kinds, func(k Kind) bool { return k.Name == tr.Kind && k.On == tr.On && k.Group.Control() }) {
			control++
		}
		if tr.At < firstAt || tr.At > site.LengthS-lastGap {
			t.Errorf("%s: %s at %.2f s", d.Name, tr.Kind, tr.At)
		}
		if tr.Kind == "core_cut" && tr.Count != site.Tolerate.Machines {
			t.Errorf("%s: %d machines cut off, %d are tolerated", d.Name, tr.Count, site.Tolerate.Machines)
		}
	}
	if n := len(troubles); n < minTroubles || n > maxTroubles || control < 2 {
		t.Errorf("%s: %d troubles, %d of the control side", d.Name, n, control)
	}
	if closed := c.Closed(d, site); len(closed) > 0 {
		t.Errorf("%s: the site cannot take %v", d.Name, closed)
	}
}

func overlap(troubles []Trouble) bool {
	for i, a := range troubles {
		for j, b := range troubles {
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
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a.Troubles(), other.Troubles()) {
		t.Errorf("seed 7: %v and %v; seed 8: %v", a, b, other)
	}
	text, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if back, err := ParseDay(text); err != nil || !reflect.DeepEqual(a, back) {
		t.Errorf("%v, written and read back: %v, %v", a, back, err)
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
			t.Errorf("%s: named %q, %v", file, d.Name, err)
		}
		for _, tr := range d.Troubles() {
			if !slices.ContainsFunc(c.Kinds, func(k Kind) bool { return k.Name == tr.Kind }) {
				t.Errorf("%s: the catalogue does not know %s", name, tr.Kind)
			}
			if strings.HasPrefix(name, "alone-"+tr.Kind) {
				alone[tr.Kind] = true
			}
		}
	}
	for _, k := range c.Kinds {
		if !alone[k.Name] {
			t.Errorf("no day holds %s alone", k.Name)
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
		if slices.ContainsFunc(d.Troubles(), func(tr Trouble) bool { return tr.Kind == "replace_core" }) {
			t.Errorf("%s holds what was left out", d.Name)
		}
	}
	if len(c.Kinds) != all {
		t.Error("the catalogue itself has lost kinds")
	}
}

func TestWrongInputIsRefused(t *testing.T) {
	for _, text := range []string{"[[kind]]\nname='a'\ngroup='moon'", "[[kind]]\nname='a'\ngroup='core'\nx=[2,1]",
		"[[kind]]\ngroup='core'", "[[kind]]\nname='a'\ngroup='core'\ncolour=1", "[[closing]]\nkind='a'\ndown_s=[2,1]"} {
		if _, err := ParseCatalogue([]byte(text)); err == nil {
			t.Errorf("taken: %s", text)
		}
	}
	if _, err := ParseDay([]byte("name='a'\nfault=[]")); err == nil {
		t.Error("a day with an unknown field is taken")
	}
	if _, err := ParseSite([]byte("name='a'")); err == nil {
		t.Error("a site without a length is taken")
	}
	if _, err := Draw(Catalogue{}, testSite(1), 1); err == nil {
		t.Error("a day is drawn from nothing")
	}
}

func TestVerdicts(t *testing.T) {
	broken := Verdict{Day: "b"}
	if err := broken.Fill([]byte(`{"G":0.7,"refused":0.08,"breaks":{"CONFIG":2,"ACK":1},"first":[{"rule":"CONFIG","at_s":9,"what":"old"}]}`)); err != nil {
		t.Fatal(err)
	}
	if broken.Sound() || broken.Rules() != "ACK 1, CONFIG 2" || broken.Notes[0] != "CONFIG at 9.000 s: old" {
		t.Errorf("broken: %+v", broken)
	}
	for _, report := range []string{`{"fault":"too slow"}`, `{"short":["floor"]}`} {
		if v := (Verdict{}); v.Fill([]byte(report)) != nil || v.Sound() || len(v.Notes) != 1 {
			t.Errorf("%s: %+v", report, v)
		}
	}
	sound := Verdict{Day: "s"}
	if err := sound.Fill([]byte(`{"G":0.95,"fault":null}`)); err != nil || !sound.Sound() {
		t.Errorf("sound: %+v, %v", sound, err)
	}
	all := []Verdict{{Day: "n", Outcome: NotForSite}, sound, broken, {Day: "x", Outcome: NotPlayed}}
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
