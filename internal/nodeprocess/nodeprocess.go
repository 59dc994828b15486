// Package nodeprocess runs programs of the gateway as processes on loopback addresses: it writes their settings files, starts
// them, sends them signals and waits for their end. It ends only processes that it started.
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

// The ports of all processes, each of which has a loopback address of its own.
const (
	ControlPort   = 18649
	ClientPort    = 18641
	ReadinessPort = 18640

	firstInnerPort = 17620
	innerPorts     = 16
)

// The roles, which are the names of the programs, too.
const (
	Controller = "controller"
	Edge       = "edge"
)

// innerTLSVariable names the folder of a process's certificates, as --inner-tls does.
const innerTLSVariable = "MULLEINWOOD_INNER_TLS"

// Address joins an IP address and a port.
func Address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Spec describes a process. All fields but FirstStart and InnerTLS are required.
type Spec struct {
	Name       string   // of the machine
	Role       string   // Controller or Edge
	IP         string   // a loopback address that no other process uses
	Zone       string   // one of Zones
	Zones      []string // of the whole gateway
	Seeds      []string // control addresses
	FirstStart bool     // the whole gateway starts for the first time, with empty disks
	Bounds     []string // name=value
	BinDir     string   // folder that holds the programs
	Dir        string   // folder for the settings file and the data directory
	InnerTLS   string   // folder of the certificates for links between processes; "": links are plain
}

// DataDir is the folder of a controller's disk.
func (s Spec) DataDir() string { return filepath.Join(s.Dir, s.Name) }

// settings are the settings of the process, as YAML.
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

// Process is a process that was started.
type Process struct {
	Spec Spec

	cmd  *exec.Cmd
	done chan struct{} // closed at its end
	err  error         // set before done is closed
}

// Start writes the settings of a process and starts it. What it prints goes to output.
func Start(spec Spec, output io.Writer) (*Process, error) {
	path := filepath.Join(spec.Dir, spec.Name+".yaml")
	if err := os.WriteFile(path, []byte(spec.settings()), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(spec.BinDir, spec.Role)) //nolint:noctx // it outlives the call: its owner ends it
	cmd.Env = append(os.Environ(), nodesettings.Variable+"="+path)
	if spec.InnerTLS != "" {
		cmd.Env = append(cmd.Env, innerTLSVariable+"="+spec.InnerTLS)
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

// Signal sends the process a signal. It fails with os.ErrProcessDone where the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("%s to %s: %w", s, p.Spec.Name, err)
	}
	return nil
}

// Done is closed at the end of the process.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err is how the process ended: nil for code 0. It is valid once Done is closed.
func (p *Process) Err() error { return p.err }

// ID is the number of the process.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// CheckRunning fails if the process has ended.
func (p *Process) CheckRunning() error {
	select {
	case <-p.done:
		return errors.Join(fmt.Errorf("%s ended", p.Spec.Name), p.err)
	default:
		return nil
	}
}
