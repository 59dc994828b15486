// Package program runs the planner as one process: it reads the configuration, opens the sockets and runs routing until its
// context is done.
package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"reflect"
	"strconv"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/tables"
)

// The environment variables of the planner. All but envConfig override entries of the configuration file.
const (
	envName      = "NODE_NAME"
	envListen    = "NODE_LISTEN"
	envDiscovery = "NODE_DISCOVERY"
	envConfig    = "NODE_CONFIG"
)

// Config is the configuration of a planner.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     protocol.List
	Settings  settings.Settings
	Options   options.Options // the program's own settings, in addition to the platform's

	onSent   func(tables.Update) // see versionTracker.onSent
	getenv   func(string) string
	fromFile addresses // as in the file, without the environment variables
}

// addresses are the entries of the file that environment variables override.
type addresses struct{ name, listen, discovery string }

// LoadConfig reads the file that NODE_CONFIG names. An environment variable that is set overrides the file's entry, so that an
// operator can move one planner without changing the file.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return Config{}, fmt.Errorf("%s is not set: it names the configuration file", envConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", envConfig, err)
	}
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	c := Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Seed: parseSeed(file.Seed),
		Limits: file.Limits, getenv: getenv, fromFile: addresses{file.Name, file.Listen, file.Discovery}}
	for name, to := range map[string]*string{envName: &c.Name, envListen: &c.Listen, envDiscovery: &c.Discovery} {
		if value := getenv(name); value != "" {
			*to = value
		}
	}
	for _, entry := range []struct{ value, variable, key string }{
		{c.Listen, envListen, "listen"}, {c.Discovery, envDiscovery, "discovery"}} {
		if err := checkAddress(entry.value); err != nil {
			return Config{}, fmt.Errorf("%s (or %q in %s): %w", entry.variable, entry.key, path, err)
		}
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return Config{}, fmt.Errorf("%s: limits: a figure is below 0", path)
	}
	if len(file.Settings) == 0 {
		return Config{}, fmt.Errorf("%s: settings are missing", path)
	}
	if c.Settings, err = settings.Parse(file.Settings); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.Known, _, err = protocol.DecodeList(file.Known); err != nil {
			return Config{}, fmt.Errorf("%s: known: %w", path, err)
		}
	}
	return c, nil
}

// CheckConfig returns the first error in a configuration file, without regard to the environment variables.
func CheckConfig(file string) error {
	_, err := LoadConfig(func(name string) string {
		if name == envConfig {
			return file
		}
		return ""
	})
	return err
}

// Reload reads the configuration again. Discovery's address is taken from the file if the entry has changed since the file was
// last read: an operator's change after the start overrides the environment variable, which can't change. Otherwise the address
// stays. needRestart names the changed entries that take effect only after a restart.
func (c Config) Reload() (next Config, needRestart []string, err error) {
	if next, err = LoadConfig(c.getenv); err != nil {
		return Config{}, nil, err
	}
	if next.Discovery = c.Discovery; next.fromFile.discovery != c.fromFile.discovery && next.fromFile.discovery != "" {
		if err := checkAddress(next.fromFile.discovery); err != nil {
			return Config{}, nil, fmt.Errorf("discovery: %w", err)
		}
		next.Discovery = next.fromFile.discovery
	}
	for _, entry := range []struct {
		name string
		same bool
	}{
		{"name", next.fromFile.name == c.fromFile.name}, {"listen", next.fromFile.listen == c.fromFile.listen},
		{"seed", next.Seed == c.Seed}, {"settings", reflect.DeepEqual(next.Settings, c.Settings)},
	} {
		if !entry.same {
			needRestart = append(needRestart, entry.name)
		}
	}
	return next, needRestart, nil
}

func checkAddress(address string) error {
	if address == "" {
		return errors.New("no address is given")
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("port %q is no number below 65536", port)
	}
	return nil
}

// parseSeed returns the seed for a text: the value of up to sixteen hexadecimal digits, or the hash of any other text.
func parseSeed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
