// Package nodeprocess runs the gateway's programs as child processes on loopback addresses: it writes their settings files,
// starts them, sends them signals and waits for their exit. It terminates only processes that it started.
package nodeprocess

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"mulleinwood/internal/platform/nodesettings"
)

// The ports of every process. Processes share ports because each has its own loopback address.
const (
	ControlPort   = 18649
	ClientPort    = 18641
	ReadinessPort = 18640

	firstInnerPort = 17620
	innerPorts     = 16
)

// The roles of processes, which are also the names of the programs.
const (
	Controller = "controller"
	Edge       = "edge"
)

// innerTLSEnv is the environment variable for the certificate directory; it corresponds to --inner-tls.
const innerTLSEnv = "MULLEINWOOD_INNER_TLS"

// Address returns ip and port as a host:port address.
func Address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Spec describes a process. FirstStart and InnerTLS are optional; all other fields are required.
type Spec struct {
	Name       string   // of the node
	Role       string   // Controller or Edge
	IP         string   // a loopback address that no other process uses
	Zone       string   // one of Zones
	Zones      []string // all zones of the gateway
	Seeds      []string // control addresses of the seed controllers
	FirstStart bool     // set on the first start of the whole gateway, with empty disks
	Bounds     []string // bounds in the form name=value
	BinDir     string   // directory of the programs
	Dir        string   // directory for the settings file and the data directory
	InnerTLS   string   // directory of the certificates for inner TLS; "" disables it
}

// DataDir returns the data directory of a controller.
func (s Spec) DataDir() string { return filepath.Join(s.Dir, s.Name) }

// settings returns the settings of the process as YAML.
func (s Spec) settings() string {
	dataDir := "null"
	listen := fmt.Sprintf("  front: %q\n  readiness: %q\n", Address(s.IP, ClientPort), Address(s.IP, ReadinessPort))
	if s.Role == Controller {
		dataDir = strconv.Quote(s.DataDir())
		listen = fmt.Sprintf("  control: %q\n", Address(s.IP, ControlPort))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "node: %q\nrole: %q\nip: %q\nzone: %q\nzones:\n", s.Name, s.Role, s.IP, s.Zone)
	for _, zone := range s.Zones {
		fmt.Fprintf(&text, "  %s: \"here\"\n", zone)
	}
	fmt.Fprintf(&text, "listen:\n%sinner_port_range:\n  - %d\n  - %d\nseeds:\n", listen, firstInnerPort,
		firstInnerPort+innerPorts-1)
	for _, seed := range s.Seeds {
		fmt.Fprintf(&text, "  - %q\n", seed)
	}
	fmt.Fprintf(&text, "first_start: %t\ncounted: %t\ntolerance:\n  machines: 1\ndata_dir: %s\nbeat_period_s: 0.5\nbounds:\n",
		s.FirstStart, s.Role == Controller, dataDir)
	for _, bound := range s.Bounds {
		fmt.Fprintf(&text, "  - %q\n", bound)
	}
	return text.String()
}

// Process is a started child process. Its methods are safe for concurrent use.
type Process struct {
	Spec Spec

	cmd  *exec.Cmd
	done chan struct{} // closed when the process exits
	err  error         // set before done is closed
}

// Start writes the settings file of a process and starts it. The process's stdout and stderr are written to output.
func Start(spec Spec, output io.Writer) (*Process, error) {
	path := filepath.Join(spec.Dir, spec.Name+".yaml")
	if err := os.WriteFile(path, []byte(spec.settings()), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(spec.BinDir, spec.Role)) //nolint:noctx // the owner ends it after the call
	cmd.Env = append(os.Environ(), nodesettings.Variable+"="+path)
	if spec.InnerTLS != "" {
		cmd.Env = append(cmd.Env, innerTLSEnv+"="+spec.InnerTLS)
	}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", spec.Name, err)
	}
	p := &Process{Spec: spec, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends the process a signal. The error wraps os.ErrProcessDone if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("%s to %s: %w", s, p.Spec.Name, err)
	}
	return nil
}

// Done returns a channel that is closed when the process exits.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the exit error of the process, or nil for exit code 0. It is valid only after Done is closed.
func (p *Process) Err() error { return p.err }

// ID returns the process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// CheckRunning returns an error if the process has exited, and nil while it runs.
func (p *Process) CheckRunning() error {
	select {
	case <-p.done:
		return errors.Join(fmt.Errorf("%s ended", p.Spec.Name), p.err)
	default:
		return nil
	}
}
