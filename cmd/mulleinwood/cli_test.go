package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// call is a run of the program with these arguments and no variables.
func call(args ...string) *exec.Cmd {
	cmd := command()
	cmd.Args = append(cmd.Args, args...)
	return cmd
}

// TestBadCalls: each ends with code 2 and one line that says what to do, without a trace.
func TestBadCalls(t *testing.T) {
	folder := t.TempDir()
	half := filepath.Join(folder, "half.jsonc")
	if err := os.WriteFile(half, []byte("{\"cores\": {\"count\": 2,"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		args []string
		says string
	}{
		{[]string{"serf"}, "unexpected argument serf (see --help)"},
		{[]string{"serve", "--cores"}, "unknown flag --cores"},
		{[]string{"--settings", filepath.Join(folder, "none.jsonc"), "serve"}, "none.jsonc"},
		{[]string{"--settings", half, "serve"}, "half.jsonc:1:"},
		{[]string{"--settings", folder, "config", "show"}, "is a directory"},
		{[]string{"config", "check", half}, "half.jsonc:1:"},
		{[]string{"config", "check", filepath.Join(folder, "planner.json")}, "planner.json"},
		{[]string{"bench", "cores", "--cores", "0"}, "--cores has 0; it may be 1 to 64"},
		{[]string{"bench", "cores", "--cores=2,-1"}, "it may be 1 to 64"},
		{[]string{"bench", "cores", "--cores", "1000"}, "it may be 1 to 64"},
		{[]string{"bench", "cores", "--proxies", "0"}, "--proxies is 0"},
		{[]string{"bench", "cores", "--seconds", "0"}, "--seconds is 0"},
		{[]string{"bench", "look", "--servers=-3"}, "--servers is -3"},
	} {
		out, err := call(tc.args...).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), tc.says) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: %v, output %q; want code 2 and one line with %q", tc.args, err, out, tc.says)
		}
	}
}

func TestHelpOfEveryCommand(t *testing.T) {
	for _, args := range [][]string{{}, {"serve"}, {"config", "check"}, {"config", "show"}, {"bench"}, {"bench", "cores"}, {"bench", "look"}, {"bench", "decisions"}, {"version"}} {
		out, err := call(append(args, "--help")...).CombinedOutput()
		if err != nil || !strings.Contains(string(out), "Usage: mulleinwood") {
			t.Errorf("%v --help: %v, %q", args, err, out)
		}
	}
}

func TestConfigShow(t *testing.T) {
	out, err := call("--settings", "../../deploy/mulleinwood.jsonc", "config", "show", "--json").Output()
	var values []struct{ Path, Origin string }
	if err != nil || json.Unmarshal(out, &values) != nil || len(values) == 0 || !strings.Contains(values[0].Origin, "mulleinwood.jsonc:") {
		t.Errorf("%v, %s", err, out)
	}
}

// TestBenchCores runs the smallest measurement: planners of one and two cores as processes of their own, under peers.
func TestBenchCores(t *testing.T) {
	folder := t.TempDir()
	file, plot := filepath.Join(folder, "cores.json"), filepath.Join(folder, "cores.png")
	out, err := call("bench", "cores", "--cores", "1,2", "--proxies", "16", "--servers", "8", "--seconds", "1.2", "--json", file, "--plot", plot).CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var result struct {
		Runs []struct {
			Cores      int
			EventsPerS float64            `json:"events_per_s"`
			Drain      map[string]float64 `json:"drain_ms"`
			Breaks     int
		}
	}
	text, err := os.ReadFile(file)
	if err != nil || json.Unmarshal(text, &result) != nil || len(result.Runs) != 2 {
		t.Fatalf("%v: %s", err, text)
	}
	for _, run := range result.Runs {
		if run.EventsPerS <= 0 || run.Drain["count"] == 0 || run.Drain["p99"] < run.Drain["p50"] || run.Breaks > 0 {
			t.Errorf("%+v", run)
		}
	}
	if picture, err := os.ReadFile(plot); err != nil || !strings.HasPrefix(string(picture), "\x89PNG") {
		t.Errorf("no plot: %v", err)
	}
}

// TestBenchWithoutDescriptors: what is missing is said before anything is started.
func TestBenchWithoutDescriptors(t *testing.T) {
	cmd := exec.Command("sh", "-c", `ulimit -n 64 && exec "$0" bench cores --cores 2 --proxies 500`, os.Args[0])
	cmd.Env = []string{"MULLEINWOOD_RUN=1"}
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "descriptors are needed, the limit is 64") {
		t.Errorf("%v, %s", err, out)
	}
}

func TestBenchLookAndDecisions(t *testing.T) {
	for _, args := range [][]string{{"bench", "look", "--cores", "1,2", "--proxies", "64", "--servers", "20"},
		{"bench", "decisions", "--cores", "1,4", "--proxies", "64", "--servers", "40"}} {
		file := filepath.Join(t.TempDir(), "out.json")
		out, err := call(append(args, "--json", file)...).CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %v\n%s", args, err, out)
		}
		var result struct {
			Decisions []struct {
				Refused   float64 `json:"refused_share"`
				Learnt    float64 `json:"learnt_share"`
				QueueMost float64 `json:"queue_lines_most"`
				Breaks    int
			}
		}
		text, err := os.ReadFile(file)
		if err != nil || json.Unmarshal(text, &result) != nil {
			t.Fatalf("%v: %s", err, text)
		}
		if args[1] == "look" {
			continue
		}
		// Four cores decide as one does, within what docs/cores.md states.
		one, four := result.Decisions[0], result.Decisions[1]
		if d := four.Refused - one.Refused; d > 0.02 || d < -0.02 {
			t.Errorf("refused: %.3f by four cores, %.3f by one", four.Refused, one.Refused)
		}
		if d := four.Learnt - one.Learnt; d > 0.1 || d < -0.1 {
			t.Errorf("learnt: %.2f by four cores, %.2f by one", four.Learnt, one.Learnt)
		}
		if one.Breaks+four.Breaks > 0 || four.QueueMost > 60*64 {
			t.Errorf("broken rules: %+v", result.Decisions)
		}
	}
}
