package demo

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mulleinwood/internal/platform/nodesettings"
)

// process is a program that runs.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan error // its end, once
}

// launch writes the settings of a program and starts it.
func (d *Demo) launch(name, role, ip string) error {
	path := filepath.Join(d.Dir, name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings(name, role, ip)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.Dir, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(d.BinDir, role)) //nolint:noctx // it outlives the call: Stop ends it in order
	cmd.Env = append(os.Environ(), nodesettings.Variable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if d.PrintLogs {
		cmd.Stdout, cmd.Stderr = d.Out, d.Out
	}
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	p := &process{name: name, cmd: cmd, done: make(chan error, 1)}
	go func() { p.done <- errors.Join(cmd.Wait(), log.Close()) }()
	d.processes = append(d.processes, p)
	return nil
}

const boundsSettings = `beat_period_s: 0.5
bounds:
  - "drain_s=2"
  - "grace_s=6"
  - "retry_ratio=0.2"
  - "retry_window_s=10"
  - "retry_slack=60"
  - "key_window_s=60"
`

// settings are the settings of a program, as YAML.
func (d *Demo) settings(name, role, ip string) string {
	dataDir := "null"
	listen := fmt.Sprintf("  front: %q\n  readiness: %q\n", address(ip, clientPort), address(ip, readinessPort))
	if role == "controller" {
		dataDir = fmt.Sprintf("%q", filepath.Join(d.Dir, name))
		listen = fmt.Sprintf("  control: %q\n", address(ip, controlPort))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "node: %q\nrole: %q\nip: %q\nzone: %q\nzones:\n  %s: \"here\"\n", name, role, ip, zone, zone)
	fmt.Fprintf(&text, "listen:\n%sinner_port_range:\n  - %d\n  - %d\nseeds:\n", listen, innerPort, innerPort+innerPorts-1)
	for _, seed := range d.seeds {
		fmt.Fprintf(&text, "  - %q\n", seed)
	}
	fmt.Fprintf(&text, "first_start: true\ndata_dir: %s\n", dataDir)
	text.WriteString(boundsSettings)
	return text.String()
}

// terminate asks the program to end and waits; one that doesn't end within waitLimit is killed.
func (p *process) terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.name, err)
	}
	select {
	case err := <-p.done:
		if err != nil {
			return fmt.Errorf("%s ended with %w", p.name, err)
		}
		return nil
	case <-time.After(waitLimit):
		return errors.Join(fmt.Errorf("%s did not end within %s", p.name, waitLimit), p.cmd.Process.Kill())
	}
}

// reload tells the program that its settings file has changed.
func (p *process) reload() error {
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// checkRunning fails if the program has ended.
func (p *process) checkRunning() error {
	select {
	case err := <-p.done:
		return errors.Join(fmt.Errorf("%s ended", p.name), err)
	default:
		return nil
	}
}
