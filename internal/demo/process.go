package demo

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"mulleinwood/internal/nodeprocess"
)

// bounds are those of the demo's processes.
var bounds = []string{"drain_s=2", "grace_s=6", "retry_ratio=0.2", "retry_window_s=10", "retry_slack=60", "key_window_s=60"}

// launch starts a program, which logs to a file of its own or to the demo's output.
func (d *Demo) launch(name, role, ip string) error {
	spec := nodeprocess.Spec{Name: name, Role: role, IP: ip, Zone: zone, Zones: []string{zone}, Seeds: d.seeds, FirstStart: true,
		Bounds: bounds, BinDir: d.BinDir, Dir: d.Dir}
	output := d.Out
	if !d.PrintLogs {
		log, err := os.Create(filepath.Join(d.Dir, name+".log"))
		if err != nil {
			return err
		}
		output = log
		d.logs = append(d.logs, log)
	}
	p, err := nodeprocess.Start(spec, output)
	if err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	return nil
}

// closeLogs closes the files that the programs' logs went to. What could not be written is lost with them.
func (d *Demo) closeLogs() {
	for _, log := range d.logs {
		_ = log.Close()
	}
	d.logs = nil
}

// terminate asks a program to end and waits; one that doesn't end within waitLimit is killed.
func terminate(p *nodeprocess.Process) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Done():
		if err := p.Err(); err != nil {
			return fmt.Errorf("%s ended with %w", p.Spec.Name, err)
		}
		return nil
	case <-time.After(waitLimit):
		return errors.Join(fmt.Errorf("%s did not end within %s", p.Spec.Name, waitLimit), p.Signal(syscall.SIGKILL))
	}
}
