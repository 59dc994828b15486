// Package options holds the program's own settings: what the platform's configuration doesn't speak of. They stand in a
// file of JSON with comments, are strict, and each is safe on the platform if the file says nothing of it.
package options

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// DefaultFile is read if no other is named. It may be missing.
const DefaultFile = "deploy/mulleinwood.jsonc"

// Options are the program's own settings.
type Options struct {
	Cores Cores `json:"cores"`
	GRPC  GRPC  `json:"grpc"`

	Versions Versions `json:"versions"`
}

// Versions says whether proxies that ask for them when they join get versioned updates.
type Versions struct {
	Enabled bool `json:"enabled"`
	// KeyFile holds the key that makes updates authentic; empty: they are guarded against accidents only.
	KeyFile string `json:"key_file"`
	Record  Record `json:"record"`
}

// Record says where what is sent to proxies that speak lines is kept.
type Record struct {
	// File is the store; empty: nothing is kept. It needs a disk that lasts.
	File string `json:"file"`
	// Entries is how many are kept at most, AgeHours how old they get.
	Entries  int     `json:"entries" least:"100" most:"100000000"`
	AgeHours float64 `json:"age_hours" least:"0.1" most:"87600"`
}

// GRPC says how the gRPC front is served, at the planner's own address.
type GRPC struct {
	Enabled bool `json:"enabled"`
	// ProbeServers lets probes try grpc.health.v1 and ORCA where a server doesn't answer HTTP/1.1.
	ProbeServers bool `json:"probe_servers"`
	TLS          TLS  `json:"tls"`
}

// TLS is that of the gRPC front. Without a certificate there is none.
type TLS struct {
	Certificate string `json:"certificate"` // PEM file, the chain
	Key         string `json:"key"`         // PEM file
	ClientCA    string `json:"client_ca"`   // PEM file; clients must show a certificate that it signs
	Roles       []Role `json:"roles"`       // who may be what, by the names in client certificates; none: anybody anything
}

// Role lets clients whose certificate has a name be something.
type Role struct {
	Name string `json:"name"` // a DNS name of the certificate; "*.x" stands for every name right below x
	Role string `json:"role" one:"proxy,collector"`
}

// Cores say how one planner uses several cores.
type Cores struct {
	// Count is how many cores decide. What the platform grants (limits.cores) cuts it.
	Count int `json:"count" least:"1" most:"64"`
	// ConfirmMS is how long a core may take to confirm a change of the list, in milliseconds; 0: a quarter of the grace.
	ConfirmMS float64 `json:"confirm_ms" least:"0" most:"60000"`
	// MovesPerS is how many proxies a second may be moved to even out the cores; 0: none.
	MovesPerS int `json:"moves_per_s" least:"0" most:"1000"`
	// RestMS is how long a core that stalled or crashed is left out, in milliseconds; doubled each time.
	RestMS float64 `json:"rest_ms" least:"100" most:"3600000"`
}

// Default is what holds where nothing is said.
func Default() Options {
	return Options{Cores: Cores{Count: 1, MovesPerS: 8, RestMS: 10000}, GRPC: GRPC{TLS: TLS{Roles: []Role{}}},
		Versions: Versions{Record: Record{Entries: 100000, AgeHours: 168}}}
}

// Loaded are options and where each value came from.
type Loaded struct {
	Options
	File   string            // that was read; "": none
	Origin map[string]string // by path, as in "cores.count"; what is missing has its default
}

// LoadIfPresent reads a file as Load does. Where there is none, the defaults hold.
func LoadIfPresent(file string) (Loaded, error) {
	if _, err := os.Stat(file); errors.Is(err, fs.ErrNotExist) {
		return Loaded{Options: Default(), Origin: map[string]string{}}, nil
	}
	return Load(file)
}

// Load reads a file. Its error says what can't be read, and where.
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
