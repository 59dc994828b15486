package soak

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var testSize = Size{Controllers: 3, Edges: 3, Servers: 3, Clients: 6, DurationSeconds: 60}

// A schedule depends only on its arguments, survives encoding, and loses no second disk before the first is repaired.
func TestSchedules(t *testing.T) {
	overlapping, kinds := 0, map[EventKind]bool{}
	for seed := range uint64(200) {
		s := Draw(seed, testSize)
		if !reflect.DeepEqual(s, Draw(seed, testSize)) {
			t.Fatalf("seed %d draws two schedules", seed)
		}
		text, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseSchedule(text)
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("seed %d differs after encoding and parsing: %v", seed, err)
		}
		wiped, terminated := -recoveryTimeS, -grace.Seconds()
		for _, e := range s.Events {
			kinds[e.Kind] = true
			if wipe := e.Kind == Wipe; wipe && e.AtS-wiped < recoveryTimeS {
				t.Errorf("seed %d: two disks are lost within %.1f s", seed, e.AtS-wiped)
			} else if wipe {
				wiped = e.AtS
			}
			if e.Kind == Terminate {
				if e.AtS-terminated < grace.Seconds() {
					overlapping++
				}
				terminated = e.AtS
			}
			if e.AtS < quietStartS || e.AtS > testSize.DurationSeconds-quietEndS {
				t.Errorf("seed %d: %s is outside the span of events", seed, e)
			}
		}
	}
	if overlapping < 200 || len(kinds) != 10 {
		t.Errorf("%d SIGTERMs arrive during another drain, want 200; kinds %v, want 10", overlapping, kinds)
	}
}

// A schedule that can't be run is rejected with an error that names the reason.
func TestBadSchedulesAreRefused(t *testing.T) {
	const size = "seed = 1\n[size]\ncontrollers = 3\nedges = 3\nservers = 2\nclients = 1\nduration_s = 9.0\n"
	for text, want := range map[string]string{
		"seed = ":     "",
		"unknown = 1": "",
		"seed = 1":    "size",
		size + "[[event]]\nat_s = 1.0\nkind = \"eclipse\"":                         "unknown kind",
		size + "[[event]]\nat_s = 1.0\nkind = \"kill\"\non = \"edge-9\"":           "no process",
		size + "[[event]]\nat_s = 1.0\nkind = \"wipe\"\non = \"edge-1\"":           "no disk",
		size + "[[event]]\nat_s = 1.0\nkind = \"server_crash\"\non = \"printers\"": "no service",
		size + "[[event]]\nat_s = -1.0\nkind = \"leaving_wave\"":                   "below zero",
		size + quotaOf("edges", 0, 0.1):                                            "a share of 0",
		size + quotaOf("edges", 1, 0.1):                                            "a share of 1",
		size + quotaOf("edges", 0.5, 0.01):                                         "ticker",
		size + quotaOf("edge-9", 0.5, 0.1):                                         "no process",
		size + quotaOf("printers", 0.5, 10):                                        "no process",
	} {
		_, err := ParseSchedule([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := ParseSchedule([]byte(size)); err != nil {
		t.Errorf("schedule without events rejected: %v", err)
	}
}

func quotaOf(on string, share, period float64) string {
	return fmt.Sprintf("[[quota]]\non = %q\nat_s = 0.0\nfor_s = 9.0\nshare = %g\nperiod_s = %g\n", on, share, period)
}

// Of three consecutive seeds, one has a quota for the whole run, one for a part of it and one has none. All are valid.
func TestDrawnQuotas(t *testing.T) {
	for seed := range uint64(60) {
		s := Draw(seed, testSize)
		if err := s.Check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if drawn := len(s.Quotas) > 0; drawn != (seed%3 != 2) {
			t.Errorf("seed %d: quotas %v", seed, s.Quotas)
		}
		for _, q := range s.Quotas {
			if whole := q.ForS == testSize.DurationSeconds; whole != (seed%3 == 0) || q.Share < minDrawnShare || q.Share > maxDrawnShare {
				t.Errorf("seed %d: %s", seed, q)
			}
		}
	}
}
