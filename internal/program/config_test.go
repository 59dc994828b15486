package program

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const example = "../../examples/planner.json"

// env returns a getenv of the given variables.
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
		t.Errorf("variables don't win over the file: %+v, %v", c, err)
	}
}

// TestBadConfig guards against a start that fails without saying what is wrong and where.
func TestBadConfig(t *testing.T) {
	good, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	for _, tc := range []struct{ old, new, says string }{
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
		if _, err := LoadConfig(env(envConfig, path)); err == nil || !strings.Contains(err.Error(), tc.says) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("with %s: error %v, want one line that says %q", tc.new, err, tc.says)
		}
	}
	for _, getenv := range []func(string) string{env(), env(envConfig, path+".not")} {
		if _, err := LoadConfig(getenv); err == nil || !strings.Contains(err.Error(), envConfig) {
			t.Errorf("error %v, want one that names %s", err, envConfig)
		}
	}
	if seed("8c1f30d27a5be964") == seed("other") || seed("other") != seed("other") {
		t.Error("seeds of other texts")
	}
}
