package options

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestBadFiles guards against settings that are only partly understood. Each error is one line with the file, line and column.
func TestBadFiles(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"unknown key":       {"{\n  // so\n  \"cores\": {\"kount\": 2}\n}", `:3:13: unknown key "cores.kount"; known here: count, confirm_ms`},
		"wrong type":        {"{\"cores\": {\"count\": \"two\"}}", `:1:21: cores.count must be a number, not "two"`},
		"no whole number":   {"{\"cores\": {\"count\": 1.5}}", ":1:21: cores.count must be a whole number, not 1.5"},
		"zero":              {"{\"cores\": {\"count\": 0}}", ":1:21: cores.count is 0; it may be 1 to 64"},
		"negative":          {"{\"cores\":\n{\"count\": -4}}", ":2:11: cores.count is -4; it may be 1 to 64"},
		"absurd":            {"{\"cores\": {\"count\": 99999999999999999999}}", ":1:21: cores.count must be a whole number"},
		"double key":        {"{\"cores\": {\"count\": 1, \"count\": 2}}", ":1:24: cores.count is there twice"},
		"half written":      {"{\"cores\": {\"count\": 1,", "settings.jsonc:"},
		"empty":             {"", "settings.jsonc:1:1:"},
		"no object":         {"[1]", ":1:1: the file must be an object"},
		"section no object": {"{\"cores\": 4}", ":1:11: cores must be an object, not 4"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.jsonc")
			if err := os.WriteFile(file, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(file)
			var at *Error
			if !errors.As(err, &at) || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v; want one line with %s", err, tc.want)
			}
		})
	}
}

func TestMissingFileAndFolder(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.jsonc")
	if _, err := Load(missing); err == nil {
		t.Error("a missing file that was named is not an error")
	}
	if l, err := LoadIfPresent(missing); err != nil || !reflect.DeepEqual(l.Options, Default()) {
		t.Errorf("%+v, %v; want the defaults", l.Options, err)
	}
	if _, err := LoadIfPresent(t.TempDir()); err == nil {
		t.Error("a folder is not an error")
	}
}

// TestShippedFile guards against a file in the repository that differs from the defaults or can't be read.
func TestShippedFile(t *testing.T) {
	l, err := Load("../../../" + DefaultFile)
	if err != nil || !reflect.DeepEqual(l.Options, Default()) {
		t.Fatalf("%+v, %v; want the defaults", l.Options, err)
	}
	for _, v := range l.Values() {
		if !strings.Contains(v.Origin, DefaultFile) {
			t.Errorf("%s is not in the file", v.Path)
		}
	}
}

func TestValuesHaveOrigins(t *testing.T) {
	file := filepath.Join(t.TempDir(), "own.jsonc")
	if err := os.WriteFile(file, []byte("{\n  \"cores\": {\"count\": 4}, // all of them\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, v := range l.Values() {
		got[v.Path] = v.Origin
	}
	if l.Cores.Count != 4 || got["cores.count"] != file+":2:22" || got["cores.rest_ms"] != "default" {
		t.Errorf("%+v from %v", l.Options, got)
	}
}
