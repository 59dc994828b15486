package program

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const example = "../../../examples/planner.json"

// env returns a getenv function that knows the given variables.
func env(pairs ...string) func(string) string {
	return func(name string) string {
		for i := 0; i < len(pairs); i += 2 {
			if pairs[i] == name {
				return pairs[i+1]
			}
		}
		return ""
	}
}

func TestExampleConfig(t *testing.T) {
	c, err := LoadConfig(env(envConfig, example))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Listen != "127.0.0.1:8080" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.Limits != (Limits{1, 192, 1024}) || c.Settings.Rules.Proxies != 4 || len(c.Settings.ZoneNames) != 2 {
		t.Errorf("read %+v", c)
	}
	c, err = LoadConfig(env(envConfig, example, envName, "n7", envListen, "127.0.0.2:1", envDiscovery, "127.0.0.3:2"))
	if err != nil || c.Name != "n7" || c.Listen != "127.0.0.2:1" || c.Discovery != "127.0.0.3:2" {
		t.Errorf("the variables don't override the file: %+v, %v", c, err)
	}
}

// TestBadConfig guards against a start that fails without reporting the cause and its place.
func TestBadConfig(t *testing.T) {
	good, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	for _, tc := range []struct{ old, new, want string }{
		{`"name"`, `name`, path},
		{`"127.0.0.1:8080"`, `""`, "NODE_LISTEN (or \"listen\" in " + path + "): no address"},
		{`"127.0.0.1:8080"`, `"127.0.0.1"`, "missing port"},
		{`"127.0.0.1:8080"`, `"127.0.0.1:99999"`, `port "99999"`},
		{`"127.0.0.1:8500"`, `""`, "NODE_DISCOVERY"},
		{`"settings"`, `"other"`, "settings are missing"},
		{`"classes"`, `"other"`, "settings: no classes"},
		{`"members": []`, `"members": 7`, "known"},
		{`"sockets": 1024`, `"sockets": "many"`, path},
		{`"cores": 1.0`, `"cores": -1`, "limits"},
	} {
		text := strings.Replace(string(good), tc.old, tc.new, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(env(envConfig, path)); err == nil || !strings.Contains(err.Error(), tc.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("with %s: error %v, want one line with %q", tc.new, err, tc.want)
		}
	}
	for _, getenv := range []func(string) string{env(), env(envConfig, path+".not")} {
		if _, err := LoadConfig(getenv); err == nil || !strings.Contains(err.Error(), envConfig) {
			t.Errorf("error %v, want one that names %s", err, envConfig)
		}
	}
	first, again := parseSeed("other"), parseSeed("other")
	if parseSeed("8c1f30d27a5be964") == first || again != first {
		t.Error("seeds of other texts")
	}
}

// TestReload guards against a variable that overrides a changed file for good, and against an invalid file that is applied.
func TestReload(t *testing.T) {
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(pairs ...string) {
		if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(string(text))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write()
	c, err := LoadConfig(env(envConfig, path, envDiscovery, "127.0.0.3:2"))
	if err != nil {
		t.Fatal(err)
	}
	if next, fixed, err := c.Reload(); err != nil || next.Discovery != "127.0.0.3:2" || len(fixed) > 0 {
		t.Errorf("the same file: %q, %v, %v", next.Discovery, fixed, err)
	}
	write(":8500", ":8501", `"sockets": 1024`, `"sockets": 256`, `"n0"`, `"n1"`, "8c1f", "8c2f", `"bare": 2500`, `"bare": 2600`)
	next, fixed, err := c.Reload()
	if err != nil || next.Discovery != "127.0.0.1:8501" || next.Limits.Sockets != 256 ||
		fmt.Sprint(fixed) != "[name seed settings]" {
		t.Errorf("another file: %q, %+v, %v, %v", next.Discovery, next.Limits, fixed, err)
	}
	for _, bad := range []string{`"members"`, `8500"`, `"settings"`, `: "127.0.0.1:8500"`} {
		write(bad, "")
		if next, _, err := c.Reload(); err == nil {
			t.Errorf("without %s: %+v", bad, next)
		}
	}
	write(":8500", "")
	if _, _, err := c.Reload(); err == nil || !strings.Contains(err.Error(), "discovery") {
		t.Errorf("an address without a port: %v", err)
	}
	os.Remove(path)
	if _, _, err := c.Reload(); err == nil {
		t.Error("a missing file was accepted")
	}
}
