// Package nodesettings reads the settings file that the platform hands to each process, and checks it.
package nodesettings

import (
	_ "embed"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/encoding/yaml"

	"mulleinwood/internal/platform/apierror"
)

// Variable names the environment variable that holds the path of the settings file.
const Variable = "MULLEINWOOD_BOOT"

//go:embed schema.cue
var schema string

// Settings are the facts that a process starts with.
type Settings struct {
	Node       string            `json:"node"`
	Role       string            `json:"role"`
	Serves     []string          `json:"serves"`
	IP         string            `json:"ip"`
	Zone       string            `json:"zone"`
	Region     string            `json:"region"`
	Zones      map[string]string `json:"zones"`
	Listen     Listen            `json:"listen"`
	InnerPorts []int             `json:"inner_port_range"`
	Seeds      []string          `json:"seeds"`
	FirstStart bool              `json:"first_start"`
	Counted    bool              `json:"counted"`
	Limits     Limits            `json:"limits"`
	Tolerance  Tolerance         `json:"tolerance"`
	DataDir    *string           `json:"data_dir"`
	BeatPeriod float64           `json:"beat_period_s"`
	BoundList  []string          `json:"bounds"`

	bounds map[string]float64
}

// Listen holds the addresses for what the role serves.
type Listen struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

// Tolerance says what may be lost at once.
type Tolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Limits are those of the process.
type Limits struct {
	CPUShare    float64 `json:"cpu_share"`
	MemoryMB    float64 `json:"memory_mb"`
	FileHandles int     `json:"file_handles"`
	DiskMB      float64 `json:"disk_mb"`
}

// Load reads the file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, apierror.Settings.New("%s is not set: it names the settings file", Variable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Settings.Wrap(err, "settings file")
	}
	return Parse(path, text)
}

// Parse checks a settings file and tells what is wrong with it in one line: file, field and reason.
func Parse(path string, text []byte) (*Settings, error) {
	file, err := yaml.Extract(path, text)
	if err != nil {
		return nil, apierror.Settings.New("%s: %s", path, oneLine(err))
	}
	ctx := cuecontext.New()
	shape := ctx.CompileString(schema).LookupPath(cue.ParsePath("#Settings"))
	value := shape.Unify(ctx.BuildFile(file))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		return nil, apierror.Settings.New("%s: %s", path, oneLine(err))
	}
	s := &Settings{}
	if err := value.Decode(s); err != nil {
		return nil, apierror.Settings.New("%s: %s", path, oneLine(err))
	}
	s.bounds = map[string]float64{}
	for _, entry := range s.BoundList {
		for _, pair := range strings.Split(entry, ",") {
			name, figure, ok := strings.Cut(strings.TrimSpace(pair), "=")
			if !ok {
				return nil, apierror.Settings.New("%s: bounds: %q is not name=value", path, pair)
			}
			if x, err := strconv.ParseFloat(figure, 64); err == nil {
				s.bounds[name] = x
			} else if b, err := strconv.ParseBool(figure); err == nil && b {
				s.bounds[name] = 1
			}
		}
	}
	return s, nil
}

// oneLine folds CUE's list of errors into the first of them.
func oneLine(err error) string {
	if all := errors.Errors(err); len(all) > 0 {
		err = all[0]
	}
	return strings.ReplaceAll(strings.TrimSpace(strings.ReplaceAll(err.Error(), "#Settings.", "")), "\n", " ")
}

// memoryShare is the part of the machine's memory that the collector keeps the process below: the rest is for what it
// doesn't see, stacks and bytes that wait in the kernel.
const memoryShare = 0.75

// ApplyMemoryLimit has the collector work harder before the process is ended for its memory.
func (s *Settings) ApplyMemoryLimit() {
	debug.SetMemoryLimit(int64(memoryShare * s.Limits.MemoryMB * (1 << 20)))
}

// Bound gives a bound of the rules, or what to assume where the file doesn't name it.
func (s *Settings) Bound(name string, fallback float64) float64 {
	if x, ok := s.bounds[name]; ok {
		return x
	}
	return fallback
}

// Seconds gives a bound that is a time.
func (s *Settings) Seconds(name string, fallback float64) time.Duration {
	return time.Duration(s.Bound(name, fallback) * float64(time.Second))
}

// InnerAddress is the address at which a control planner with this IP takes inner traffic.
func (s *Settings) InnerAddress(ip string) string { return fmt.Sprintf("%s:%d", ip, s.InnerPorts[0]) }

// SeedIPs are the hosts of the seeds.
func (s *Settings) SeedIPs() []string {
	var ips []string
	for _, seed := range s.Seeds {
		if host, _, ok := strings.Cut(seed, ":"); ok {
			ips = append(ips, host)
		}
	}
	return ips
}
