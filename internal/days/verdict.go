package days

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Outcome says how the play of a day ended.
type Outcome string

// The outcomes. A day that is not for the site was left out; a day that was not played has no verdict of the bench.
const (
	Played     Outcome = "played"
	NotForSite Outcome = "not for this site"
	NotPlayed  Outcome = "not played"
)

// Verdict is what is kept of one play of a day.
type Verdict struct {
	Day     string         `json:"day"` // its file, without the folder
	Seed    uint64         `json:"seed"`
	Digest  string         `json:"digest"` // of the file, so that a changed day is played again
	Outcome Outcome        `json:"outcome"`
	Entry   string         `json:"entry,omitempty"` // the bench's name for its journal entry
	Gate    bool           `json:"gate"`
	Score   float64        `json:"score"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Broken  map[string]int `json:"broken,omitempty"` // rules, and how often
	Notes   []string       `json:"notes,omitempty"`  // first breaks, missed floors, faults, or why there is no verdict
}

// report holds the parts of a bench's report that a verdict needs.
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

// Fill takes the figures and the notes from a bench's report. The gate passes if no rule is broken, there is no fault and
// no floor is missed, unless the bench's journal says otherwise.
func (v *Verdict) Fill(text []byte) error {
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("report of %s: %w", v.Day, err)
	}
	v.Outcome = Played
	v.Score, v.Served, v.Refused, v.Failed, v.Broken = r.Score, r.Served, r.Refused, r.Failed, r.Breaks
	fault := string(r.Fault)
	sound := fault == "" || fault == "null"
	v.Gate = sound && len(r.Breaks) == 0 && len(r.Short) == 0
	if !sound {
		v.Notes = append(v.Notes, "fault: "+fault)
	}
	for _, f := range r.First {
		v.Notes = append(v.Notes, fmt.Sprintf("%s at %.3f s: %s", f.Rule, f.AtS, f.What))
	}
	v.Notes = append(v.Notes, r.Short...)
	return nil
}

// ParseGate reads from a journal entry of the bench whether its only day passed the gate.
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
		return false, fmt.Errorf("a journal entry of %d days", len(e.Days))
	}
	return e.Days[0].Gate, nil
}

// Sound reports whether the day was played, kept all rules and passed the gate.
func (v Verdict) Sound() bool { return v.Outcome == Played && v.Gate && len(v.Broken) == 0 }

// Rules returns the broken rules in order, each with how often, or "none".
func (v Verdict) Rules() string {
	if len(v.Broken) == 0 {
		return "none"
	}
	var out []string
	for _, rule := range slices.Sorted(maps.Keys(v.Broken)) {
		out = append(out, fmt.Sprintf("%s %d", rule, v.Broken[rule]))
	}
	return strings.Join(out, ", ")
}

// Summary counts verdicts.
type Summary struct {
	Played, Passed, NotForSite, NotPlayed, Low int
	Lowest, Mean, MostRefused                  float64
	Broken                                     map[string]int // days, by rule
}

// Summarize counts the verdicts; Low counts the played days whose score, before it is set to 0 for a broken rule, is
// under low.
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
	if v.Sound() {
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

// WorstFirst sorts verdicts: those without a play first, then those that did not pass, then by score.
func WorstFirst(verdicts []Verdict) {
	rank := func(v Verdict) int {
		switch {
		case v.Outcome == NotPlayed:
			return 0
		case v.Outcome == NotForSite:
			return 3
		case !v.Sound():
			return 1
		}
		return 2
	}
	slices.SortStableFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Score, b.Score), cmp.Compare(a.Day, b.Day),
			cmp.Compare(a.Seed, b.Seed))
	})
}
