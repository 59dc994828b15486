// Package program is the planner as one process: it reads its configuration, opens its sockets and lets routing
// run until it is told to stop.
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

// The variables that name the planner's surroundings.
const (
	envName      = "NODE_NAME"
	envListen    = "NODE_LISTEN"
	envDiscovery = "NODE_DISCOVERY"
	envConfig    = "NODE_CONFIG"
)

// Config is all that a planner is told before it starts.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     protocol.List
	Settings  settings.Settings
	Options   options.Options // the program's own settings, beside the platform's

	onSent   func(tables.Update) // see versions.sent
	getenv   func(string) string
	fromFile addresses // in the file, whatever the variables say
}

// addresses are the entries of the file that a variable may win over.
type addresses struct{ name, listen, discovery string }

// LoadConfig reads the file that NODE_CONFIG names. A variable that is set wins over what the file says of the
// same thing, so that an operator can move one planner without another file.
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

// CheckConfig says what is wrong with a configuration file, whatever the variables say.
func CheckConfig(file string) error {
	_, err := LoadConfig(func(name string) string {
		if name == envConfig {
			return file
		}
		return ""
	})
	return err
}

// Reload reads the configuration again, as it stands now. Discovery's address is taken from the file if the file says
// something else of it than when it was read before: what an operator has changed since the start wins over a variable,
// which can't change. Otherwise it stays. The second result names the entries that differ and need a new start.
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

// parseSeed takes any text: sixteen hexadecimal digits as they are, others by their hash.
func parseSeed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
