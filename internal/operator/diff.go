package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Diff tells what changes from one configuration to another, a line each: routes and services by name, and limits.
func Diff(from, to []byte) ([]string, error) {
	a, err := items(from)
	if err != nil {
		return nil, fmt.Errorf("the configuration in force: %w", err)
	}
	b, err := items(to)
	if err != nil {
		return nil, err
	}
	var lines []string
	for name, text := range b {
		switch old, ok := a[name]; {
		case !ok:
			lines = append(lines, "+ "+name)
		case !bytes.Equal(old, text):
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", name, old, text))
		}
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			lines = append(lines, "- "+name)
		}
	}
	slices.SortFunc(lines, func(x, y string) int { return bytes.Compare([]byte(x[2:]), []byte(y[2:])) })
	return lines, nil
}

// items flattens a configuration into named parts, each in canonical bytes.
func items(text []byte) (map[string][]byte, error) {
	var document struct {
		Services []map[string]any `json:"services"`
		Limits   map[string]any   `json:"limits"`
		Plants   []struct {
			Plant    string           `json:"plant"`
			Channels []map[string]any `json:"channels"`
		} `json:"plants"`
	}
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	all := map[string][]byte{}
	put := func(name string, v any) error {
		b, err := json.Marshal(v)
		all[name] = b
		return err
	}
	for _, s := range document.Services {
		if err := put(fmt.Sprint("service ", s["name"]), s); err != nil {
			return nil, err
		}
	}
	for _, p := range document.Plants {
		for _, r := range p.Channels {
			if err := put(fmt.Sprint("route ", r["name"], " of ", p.Plant), r); err != nil {
				return nil, err
			}
		}
	}
	if document.Limits != nil {
		if err := put("limits", document.Limits); err != nil {
			return nil, err
		}
	}
	return all, nil
}
