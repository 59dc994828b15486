// Package options holds the program's own settings, which the platform's configuration doesn't cover. They are read from a file
// of JSON with comments and checked strictly. Each has a default that is safe on the platform.
package options

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// DefaultFile is the file that is read if no other is named. It may be missing.
const DefaultFile = "deploy/mulleinwood.jsonc"

// Options are the program's own settings.
type Options struct {
	Cores Cores `json:"cores"`
	GRPC  GRPC  `json:"grpc"`

	Versions Versions `json:"versions"`
}

// Versions configures versioned updates, which proxies get if they ask for them when they join.
type Versions struct {
	Enabled bool `json:"enabled"`
	// KeyFile is the file with the key that authenticates updates. If it is empty, updates are only protected against accidental
	// corruption.
	KeyFile string `json:"key_file"`
	Record  Record `json:"record"`
}

// Record configures the record of the updates sent to proxies that use the line protocol.
type Record struct {
	// File is the record's file, which must be on a persistent disk. If it is empty, no record is kept.
	File string `json:"file"`
	// Entries is the maximum number of entries, and AgeHours their maximum age in hours.
	Entries  int     `json:"entries" least:"100" most:"100000000"`
	AgeHours float64 `json:"age_hours" least:"0.1" most:"87600"`
}

// GRPC configures the gRPC frontend, which is served at the planner's own address.
type GRPC struct {
	Enabled bool `json:"enabled"`
	// ProbeServers enables probes by grpc.health.v1 and ORCA for servers that don't answer HTTP/1.1.
	ProbeServers bool `json:"probe_servers"`
	TLS          TLS  `json:"tls"`
}

// TLS configures TLS of the gRPC frontend. Without a certificate, TLS is disabled.
type TLS struct {
	Certificate string `json:"certificate"` // PEM file with the certificate chain
	Key         string `json:"key"`         // PEM file with the private key
	ClientCA    string `json:"client_ca"`   // PEM file; clients must present a certificate signed by it
	Roles       []Role `json:"roles"`       // roles by the names in client certificates; if empty, any client may have any role
}

// Role permits a role to clients whose certificate has a name.
type Role struct {
	Name string `json:"name"` // a DNS name of the certificate; "*.x" matches every name directly below x
	Role string `json:"role" one:"proxy,collector"`
}

// Cores configures the use of several cores by one planner.
type Cores struct {
	// Count is the number of cores that run the decision module. It is limited by the platform's limits.cores.
	Count int `json:"count" least:"1" most:"64"`
	// ConfirmMS is how long a core may take to confirm a list change, in milliseconds. 0 means a quarter of the drain grace.
	ConfirmTimeoutMS float64 `json:"confirm_ms" least:"0" most:"60000"`
	// MovesPerS is the most proxies per second that may be moved to balance the cores. 0 disables moves.
	MovesPerSecond int `json:"moves_per_s" least:"0" most:"1000"`
	// RestMS is how long a core stays out after a stall or crash, in milliseconds. It doubles each time.
	RestartDelayMS float64 `json:"rest_ms" least:"100" most:"3600000"`
}

// Default returns the default settings.
func Default() Options {
	return Options{Cores: Cores{Count: 1, MovesPerSecond: 8, RestartDelayMS: 10000}, GRPC: GRPC{TLS: TLS{Roles: []Role{}}},
		Versions: Versions{Record: Record{Entries: 100000, AgeHours: 168}}}
}

// Loaded is a set of options and the origin of each value.
type Loaded struct {
	Options
	File   string            // the file that was read; empty if none
	Origin map[string]string // "file:line:column" by path, such as "cores.count"; without an entry, the value is the default
}

// LoadIfPresent reads a file as Load does, or returns the defaults if the file doesn't exist.
func LoadIfPresent(file string) (Loaded, error) {
	if _, err := os.Stat(file); errors.Is(err, fs.ErrNotExist) {
		return Loaded{Options: Default(), Origin: map[string]string{}}, nil
	}
	return Load(file)
}

// Load reads a file. An error in its contents is an *Error with the place.
func Load(file string) (Loaded, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Loaded{}, fmt.Errorf("settings: %w", err)
	}
	l := Loaded{Options: Default(), File: file, Origin: map[string]string{}}
	if err := decode(file, text, &l.Options, l.Origin); err != nil {
		return Loaded{}, err
	}
	return l, nil
}
