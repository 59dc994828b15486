package days

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Outcome is the result of an attempt to run a day on the bench.
type Outcome string

// The outcomes. NotForSite marks a day that the site doesn't support; NotPlayed one for which the bench gave no verdict.
const (
	Played     Outcome = "played"
	NotForSite Outcome = "not for this site"
	NotPlayed  Outcome = "not played"
)

// Verdict is the stored result of one run of a day.
type Verdict struct {
	Day     string         `json:"day"` // base name of its file
	Seed    uint64         `json:"seed"`
	Digest  string         `json:"digest"` // of the file, so that a changed day is run again
	Outcome Outcome        `json:"outcome"`
	Entry   string         `json:"entry,omitempty"` // name of the bench's journal entry
	Gate    bool           `json:"gate"`
	Score   float64        `json:"score"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Broken  map[string]int `json:"broken,omitempty"` // number of violations by rule
	Notes   []string       `json:"notes,omitempty"`  // violations, missed minimums, faults, or why a verdict is missing
}

// report contains the fields of a bench report that a verdict needs.
type report struct {
	Score   float64         `json:"G"`
	Served  float64         `json:"served"`
	Refused float64         `json:"refused"`
	Failed  float64         `json:"failed"`
	Fault   json.RawMessage `json:"fault"`
	Short   []string        `json:"short"`
	Breaks  map[string]int  `json:"breaks"`
	First   []struct {
		Rule string  `json:"rule"`
		AtS  float64 `json:"at_s"`
		What string  `json:"what"`
	} `json:"first"`
}

// Fill sets the figures and the notes from a bench report. It sets Gate if no rule is broken, there is no fault and no
// minimum score is missed; the caller may overwrite Gate with the result of the bench's journal.
func (v *Verdict) Fill(text []byte) error {
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("report of %s: %w", v.Day, err)
	}
	v.Outcome = Played
	v.Score, v.Served, v.Refused, v.Failed, v.Broken = r.Score, r.Served, r.Refused, r.Failed, r.Breaks
	fault := string(r.Fault)
	noFault := fault == "" || fault == "null"
	v.Gate = noFault && len(r.Breaks) == 0 && len(r.Short) == 0
	if !noFault {
		v.Notes = append(v.Notes, "fault: "+fault)
	}
	for _, f := range r.First {
		v.Notes = append(v.Notes, fmt.Sprintf("%s at %.3f s: %s", f.Rule, f.AtS, f.What))
	}
	v.Notes = append(v.Notes, r.Short...)
	return nil
}

// ParseGate reports whether the day of a bench journal entry passed the gate. It fails unless the entry has exactly one day.
func ParseGate(entry []byte) (bool, error) {
	var e struct {
		Days []struct {
			Gate bool `json:"gate"`
		} `json:"days"`
	}
	if err := json.Unmarshal(entry, &e); err != nil {
		return false, err
	}
	if len(e.Days) != 1 {
		return false, fmt.Errorf("journal entry contains %d days, want 1", len(e.Days))
	}
	return e.Days[0].Gate, nil
}

// Passed reports whether the day was run, broke no rule and passed the gate.
func (v Verdict) Passed() bool { return v.Outcome == Played && v.Gate && len(v.Broken) == 0 }

// BrokenRules returns the broken rules in alphabetical order with their counts, or "none".
func (v Verdict) BrokenRules() string {
	if len(v.Broken) == 0 {
		return "none"
	}
	var out []string
	for _, rule := range slices.Sorted(maps.Keys(v.Broken)) {
		out = append(out, fmt.Sprintf("%s %d", rule, v.Broken[rule]))
	}
	return strings.Join(out, ", ")
}

// Summary aggregates verdicts. Lowest, Mean and MostRefused cover the played days only.
type Summary struct {
	Played, Passed, NotForSite, NotPlayed, Low int
	Lowest, Mean, MostRefused                  float64
	Broken                                     map[string]int // number of days by broken rule
}

// Summarize aggregates the verdicts. Low counts the played days whose score, before it is set to 0 for a broken rule, is
// below low.
func Summarize(verdicts []Verdict, low float64) Summary {
	s := Summary{Broken: map[string]int{}, Lowest: 1}
	for _, v := range verdicts {
		switch v.Outcome {
		case NotForSite:
			s.NotForSite++
		case Played:
			s.count(v, low)
		default:
			s.NotPlayed++
		}
	}
	if s.Played > 0 {
		s.Mean /= float64(s.Played)
	}
	return s
}

func (s *Summary) count(v Verdict, low float64) {
	s.Played++
	if v.Passed() {
		s.Passed++
	}
	if v.Score < low {
		s.Low++
	}
	s.Mean += v.Score
	s.Lowest, s.MostRefused = min(s.Lowest, v.Score), max(s.MostRefused, v.Refused)
	for rule := range v.Broken {
		s.Broken[rule]++
	}
}

// WorstFirst sorts verdicts in place: not played, not passed, passed, not for the site; within a group by rising score.
func WorstFirst(verdicts []Verdict) {
	rank := func(v Verdict) int {
		switch {
		case v.Outcome == NotPlayed:
			return 0
		case v.Outcome == NotForSite:
			return 3
		case !v.Passed():
			return 1
		}
		return 2
	}
	slices.SortStableFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Score, b.Score), cmp.Compare(a.Day, b.Day),
			cmp.Compare(a.Seed, b.Seed))
	})
}
