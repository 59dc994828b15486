package main

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinwood/internal/planner/record"
	"mulleinwood/tables"
)

// TestTablesCommands reads a record of two lives of a planner, with a gap in it: a version is put together only from what is
// there, and of the life that is asked for.
func TestTablesCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "record.db")
	r, err := record.Open(file, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	add := func(e record.Entry) {
		if err := r.Append(time.Now(), record.Retention{}, e); err != nil {
			t.Fatal(err)
		}
	}
	for life := range uint64(2) {
		s := tables.NewSender(tables.Origin{Instance: "n0", Incarnation: life + 10}, 7, nil)
		for n := range 6 {
			table := tables.New()
			table.Weights["s-a"], table.Weights["s-b"] = float32(n+1), float32(life+1)
			u, err := s.Next(table, n == 4)
			if err != nil {
				t.Fatal(err)
			}
			if life == 1 && n == 2 { // was lost
				add(record.Entry{At: time.Now(), Cause: "gap", Gap: 1})
				continue
			}
			add(record.Entry{At: time.Now(), Cause: "weights", Update: u.Append(nil, nil)})
		}
	}
	r.Close()
	for _, tc := range []struct {
		args []string
		says string
		code int
	}{
		{[]string{"verify", file}, "whole and unchanged: 12 entries, 1 to 12; 1 marked as missing", 0},
		{[]string{"log", file}, "1 entries are missing here", 0},
		{[]string{"log", file, "--proxy", "8"}, "entry", 0},
		{[]string{"show", file, "7/2"}, "s-a     2       false", 0},
		{[]string{"show", file, "7/2@a", "--json"}, `"life":"a"`, 0},
		{[]string{"show", file, "7/4@a"}, "s-a     4", 0},
		{[]string{"show", file, "7/4@b"}, "not in the record, or what it builds on isn't", 1},
		{[]string{"show", file, "7/6@b"}, "s-a     6", 0}, // a whole table came after the gap
		{[]string{"diff", file, "7/1@a", "7/6@b"}, "s-b", 0},
		{[]string{"show", file, "seven"}, "is no version: it is written PROXY/NUMBER", 2},
		{[]string{"verify", file, "--key", "no/such"}, "no/such", 2},
		{[]string{"verify", "no/such"}, "no/such", 2},
	} {
		cmd := call(append([]string{"tables"}, tc.args...)...)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != tc.code || !strings.Contains(string(out), tc.says) {
			t.Errorf("%v: code %d, %q; want code %d and %q", tc.args, code, out, tc.code, tc.says)
		}
	}
	out, err := call("tables", "log", file, "--json").Output()
	if err != nil || strings.Count(string(out), "\n") != 12 || !json.Valid(out[:strings.Index(string(out), "\n")]) {
		t.Errorf("%v, %s", err, out)
	}
}
